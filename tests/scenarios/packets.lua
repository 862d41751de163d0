-- The fabric duplicates a fifth of the packets (over two balancers), drops every twentieth, and delays each by a random
-- time, which reorders them. Feeds must have no gaps or repeated items, answers must be complete, and a Filing that arrives
-- twice must run once.
deploy { services = { { name = "board", count = 3, slots = 5 }, { name = "filing", count = 2, slots = 5 } } }
fabric { duplicate = 0.2, drop = 0.05, delayMs = 30 }
call { name = "crews", service = "board", load = { feeds = 6, flows = 6, queries_per_second = 30, seconds = 7, query_deadline_ms = 8000 } }
call { name = "contractors", service = "filing", seed = 8, load = { filings = 10, filing_bytes = 500000, seconds = 7, filing_deadline_ms = 20000 } }
callResult "crews"
callResult "contractors"
local summary = check()
expect(summary.broken == 0 and summary.givenUp == 0, "no flow to be cut")
expect(summary.answeredWhole >= 200, "Filings and queries to be answered")
