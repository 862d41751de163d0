// Flows that are idle for longer than 20 s, but not for as long as the configuration's `idle-timeout-ms`.

#include "../standins/driver.h"

using namespace review;

namespace {

constexpr Millis usualTimeout = 15000;
constexpr Millis longTimeout = 30000;
constexpr Millis shortPause = 10000;
constexpr Millis longPause = 25000;
constexpr std::size_t flowsEach = 10;

struct IdleFlow {
    std::shared_ptr<RequesterFlow> flow;
    Millis pause = 0;
};

int play(World& world, bool hasTrouble)
{
    for (const char* zone : { "zone-a", "zone-a", "zone-b", "zone-b" })
        world.addTarget("board", zone);
    world.store().write("config", "main", configuration(3, { "board" }, usualTimeout));
    world.start();
    if (!world.waitUntilReady(10000))
        return notRun;
    world.runFor(3000);
    if (hasTrouble) {
        world.store().write("config", "main", configuration(7, { "board" }, longTimeout));
        world.note("the store has confirmed version 7 of the configuration: idle-timeout-ms is 30000");
    }
    const Millis timeout = hasTrouble ? longTimeout : usualTimeout;
    world.runFor(5000);
    std::vector<IdleFlow> flows;
    for (std::size_t number = 0; number < 2 * flowsEach; ++number) {
        flows.push_back({ .flow = world.openFlow(routeTo(1), "first request " + std::to_string(number), 3000), .pause = number < flowsEach ? shortPause : longPause });
        world.runFor(20);
    }
    world.runFor(1000);
    for (const IdleFlow& idle : flows) {
        if (idle.flow->answers != 1)
            return notRun;
    }
    const Millis begin = world.now();
    int broken = 0;
    for (const Millis pause : { shortPause, longPause }) {
        world.runFor(begin + pause - world.now());
        for (std::size_t number = 0; number < flows.size(); ++number) {
            if (flows[number].pause == pause)
                world.request(flows[number].flow, "second request " + std::to_string(number) + " after a pause of some " + std::to_string(pause) + " ms", 3000);
        }
        world.runFor(3500);
    }
    for (const IdleFlow& idle : flows) {
        const bool isSystemReset = idle.flow->end == FlowEnd::Reset && !idle.flow->isResetByTarget;
        if (isSystemReset && idle.pause + 1500 < timeout)
            ++broken;
    }
    world.note(std::to_string(broken) + " open flows were reset by the system after a pause shorter than idle-timeout-ms, " + std::to_string(timeout) + " ms");
    return broken > 0 ? ruleBroken : ruleHeld;
}

}

int main()
{
    return runCase(play);
}
