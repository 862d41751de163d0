-- Every balancer is replaced, one after the other, as in a routine rollout: it gets SIGTERM, announces to the fabric and its
-- peers that it is leaving, and exits; a new process replaces it. No flow or request may be affected.
deploy { services = { { name = "board", count = 3, slots = 5 }, { name = "filing", count = 2, slots = 5 } } }
call { name = "crews", service = "board", load = { feeds = 6, flows = 6, queries_per_second = 50, seconds = 9 } }
call { name = "contractors", service = "filing", seed = 7, load = { filings = 18, filing_bytes = 1000000, seconds = 9 } }
for index, name in ipairs(deployment.balancers) do
    waitForEvents("contractors", "requestSent", 4 * index)
    stop(name)
    waitLeft(name, 10000)
    start(name)
    waitUntilReady()
end
expect(callResult("crews").outcomes.answerWhole >= 400, "the queries to be answered")
callResult "contractors"
local summary = check()
expect(summary.broken == 0 and summary.givenUp == 0, "no flow to be cut")
expect(summary.outcomeUnknown == 0, "every outcome to be known")
