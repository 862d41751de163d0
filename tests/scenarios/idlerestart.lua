-- An idle upstream is restarted within milliseconds, between two health checks, and is cold afterwards. No request failed, no
-- feed was cut and no connection was refused, so the agent has no direct sign of the restart. The next requests must not be
-- admitted as if the upstream were warm.
deploy { services = { { name = "filing", count = 1, slots = 5, warmUpMs = 3000, flags = { cold_for_ms = 3000, query_ms = 40, filing_ms = 300 } } } }
call { name = "crews", service = "filing", load = { flows = 12, queries_per_second = 100, seconds = 8 } }
callResult "crews"
kill "filing-1"
start "filing-1"
waitForEvents("filing-1", "upstreamStarted", 2)
for number = 1, 4 do
    call { name = "contractors-" .. number, service = "filing", seed = number, load = { filings = 8, filing_bytes = 2000, seconds = 2 } }
end
for number = 1, 4 do callResult("contractors-" .. number) end
check()
