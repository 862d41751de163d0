-- A balancer's process is paused for some seconds and continues: its links stay open, and it acts on packets and gossip that
-- are out of date by then. End users must notice no more than a delay: the packets that it held are resent over the other
-- balancers, and what it delivers late must be recognised as duplicates.
deploy { services = { { name = "board", count = 3, slots = 5 }, { name = "filing", count = 2, slots = 5 } } }
call { name = "crews", service = "board", load = { feeds = 6, flows = 6, queries_per_second = 30, seconds = 10 } }
call { name = "contractors", service = "filing", seed = 5, load = { filings = 20, filing_bytes = 300000, seconds = 10 } }
waitForEvents("crews", "feedItem", 30)
freeze "b1"
waitForEvents("contractors", "requestSent", 10)
thaw "b1"
freeze "b2"
waitForEvents("contractors", "requestSent", 14)
thaw "b2"
callResult "crews"
callResult "contractors"
local summary = check()
expect(summary.broken == 0 and summary.givenUp == 0, "no flow to be cut")
expect(summary.outcomeUnknown == 0, "every outcome to be known")
