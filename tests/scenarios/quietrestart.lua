-- An upstream that only holds feeds for the moment is restarted within milliseconds and is cold. No request was under way
-- and no connection was refused: its agent sees nothing but feeds that were cut. The crews all come back at once, with
-- their queries, and must not be let in as if it were warm.
deploy { services = { { name = "board", count = 2, slots = 5, warmUpMs = 4000, flags = { cold_for_ms = 2000, query_ms = 60 } } } }
call { name = "crews", service = "board", load = { feeds = 16, flows = 4, seconds = 7 } }
waitForEvents("crews", "feedItem", 100)
kill "board-1"
start "board-1"
waitForEvents("board-1", "upstreamStarted", 2)
call { name = "dispatchers", service = "board", seed = 2, load = { flows = 12, queries_per_second = 50, seconds = 5 } }
callResult "crews"
callResult "dispatchers"
check()
