-- The fabric treats packets badly: a fifth of them comes twice, over two balancers, every twentieth is lost, and each
-- takes its own time, so that they overtake each other. Feeds must stay without gap or repetition, answers whole, and a
-- Filing that arrives twice must run once.
deploy { services = { { name = "board", count = 3, slots = 5 }, { name = "filing", count = 2, slots = 5 } } }
fabric { duplicate = 0.2, drop = 0.05, delayMs = 30 }
call { name = "crews", service = "board", load = { feeds = 6, flows = 6, queries_per_second = 30, seconds = 7, query_deadline_ms = 8000 } }
call { name = "contractors", service = "filing", seed = 8, load = { filings = 10, filing_bytes = 500000, seconds = 7, filing_deadline_ms = 20000 } }
callResult "crews"
callResult "contractors"
local summary = check()
expect(summary.broken == 0 and summary.givenUp == 0, "no flow to be cut")
expect(summary.answeredWhole >= 200, "Filings and queries to be answered")
