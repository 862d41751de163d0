-- An upstream that only serves feeds is restarted within milliseconds and is cold afterwards. No request was in progress and
-- no connection was refused: its agent sees only that feeds were cut. All callers reconnect at once and send queries, which
-- must not be admitted as if the upstream were warm.
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
