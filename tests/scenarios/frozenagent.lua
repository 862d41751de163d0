-- An agent is paused for longer than its lease while its upstream processes a Filing, and continues after the lease has
-- lapsed. Meanwhile the caller has resent the Filing to another upstream. The Filing may run at only one of the two, and no
-- caller may be told that it did not run when it did.
deploy { services = { { name = "filing", count = 3, slots = 5, flags = { filing_ms = 500 } } } }
for number = 1, 2 do
    call { name = "contractors-" .. number, service = "filing", seed = 20 + number, load = {
        filings = 20, filing_bytes = 100000, seconds = 12, filing_deadline_ms = 9000 } }
end
waitForEvents("filing-1", "upstreamWorkBegan", 2)
freeze "agent-filing-1"
waitForEvents("contractors-1", "requestSent", 12)
thaw "agent-filing-1"
callResult "contractors-1"
callResult "contractors-2"
local summary = check()
expect(summary.doubleRuns == 0, "no Filing to run twice")
