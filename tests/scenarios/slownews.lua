-- The platform's answers to one balancer are held back, and a data centre is taken out of service. The balancer must get this
-- change from its peers, or it would go on forwarding packets to that data centre. The delayed answer, which carries an older
-- version, must not restore the previous state.
deploy { slowPlatform = "b2", services = { { name = "board", count = 6, slots = 5 } } }
call { name = "crews", service = "board", load = { feeds = 6, flows = 6, queries_per_second = 50, seconds = 9 } }
waitForEvents("crews", "feedItem", 30)
hold(deployment.relays.platform, true)
local out = takeOut "south"
waitForVersion(out, deployment.daemons)
waitForEvents("crews", "feedItem", 250)
hold(deployment.relays.platform, false)
local back = bringBack "south"
waitForVersion(back, deployment.daemons)
callResult "crews"
check()
