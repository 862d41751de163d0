-- An upstream is restarted under load without notice to its agent and starts cold: at first it can serve one request. The
-- agent must detect this from its own measurements and must not give it the load of a warm upstream.
deploy { services = { { name = "board", count = 3, slots = 5, warmUpMs = 4000, flags = { cold_for_ms = 2000, query_ms = 40 } } } }
call { name = "crews", service = "board", load = { flows = 30, queries_per_second = 120, seconds = 12 } }
waitForEvents("crews", "answerWhole", 600)
kill "board-2"
start "board-2"
callResult "crews"
check()
