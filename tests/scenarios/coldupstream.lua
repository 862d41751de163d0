-- An upstream is restarted under load by its host, without anybody saying so, and starts cold: at first it bears one
-- request. Its agent must notice by what it measures, and must not hand it the load of a warm one.
deploy { services = { { name = "board", count = 3, slots = 5, warmUpMs = 4000, flags = { cold_for_ms = 2000, query_ms = 40 } } } }
call { name = "crews", service = "board", load = { flows = 30, queries_per_second = 120, seconds = 12 } }
waitForEvents("crews", "answerWhole", 600)
kill "board-2"
start "board-2"
callResult "crews"
check()
