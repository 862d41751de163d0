-- The platform's store is down for longer than any lease. Feeds and Filings must continue, because no daemon needs the store
-- to forward a packet. A balancer that is restarted meanwhile has no configuration and no members: it must accept no packets
-- until it has both, since it would drop every packet, and it must join once the store is back. No daemon may return to an
-- older configuration.
deploy { services = { { name = "board", count = 3, slots = 5 }, { name = "filing", count = 2, slots = 5 } } }
call { name = "crews", service = "board", load = { feeds = 6, flows = 6, queries_per_second = 30, seconds = 12 } }
call { name = "contractors", service = "filing", seed = 4, load = { filings = 24, filing_bytes = 200000, seconds = 12 } }
waitForEvents("crews", "feedItem", 30)
local version = apply(configWithLimit(30))
waitForVersion(version, deployment.daemons)
platform { down = true }
waitForEvents("contractors", "requestSent", 6)
kill "b3"
start "b3"
waitForEvents("contractors", "requestSent", 17)
expect(status("b3") and not balancersUp()[3], "a balancer without members to get no packets")
platform {}
waitUntilReady()
waitForVersion(version, deployment.balancers)
callResult "crews"
callResult "contractors"
local summary = check()
expect(summary.broken == 0, "no flow to be cut")
expect(summary.outcomeUnknown == 0, "every outcome to be known")
