-- The platform has become slow for one balancer alone: it hears nothing from it. Operators take a data centre out. The
-- balancer must learn of it from its peers, or it would go on handing packets to a data centre that is out; and the
-- answer that comes hours late, of an older version, must not bring the old state back.
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
