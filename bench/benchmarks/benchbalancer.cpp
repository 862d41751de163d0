#include "allocations.h"
#include "libdecision/placing.h"
#include "libdecision/ranking.h"
#include "libdecision/routing.h"
#include "libmodel/randomsource.h"

#include <benchmark/benchmark.h>

using namespace kingcuptrail;

namespace {

constexpr std::size_t flowCount = 4096;

std::vector<Member> makeMembers(std::size_t count)
{
    RandomSource random(count);
    std::vector<Member> members;
    for (std::size_t index = 0; index < count; ++index)
        members.push_back({ .token = { random.id(), 1 }, .state = MemberState::Serving, .linked = true, .load = static_cast<double>(random.below(100)) });
    return members;
}

std::vector<FlowId> makeFlows()
{
    RandomSource random(1);
    std::vector<FlowId> flows;
    for (std::size_t index = 0; index < flowCount; ++index)
        flows.push_back(random.id());
    return flows;
}

/// Calls `decide` for a set of flows and reports the allocations of each call.
template <typename Decide>
void measure(benchmark::State& state, Decide decide)
{
    const auto flows = makeFlows();
    std::size_t index = 0;
    const std::uint64_t before = allocationCount();
    for (auto _ : state)
        decide(flows[index++ % flowCount]);
    state.counters["allocations"] = benchmark::Counter(static_cast<double>(allocationCount() - before), benchmark::Counter::kAvgIterations);
}

/// Routes a packet that carries the token of its owner, as all packets of a flow but the first ones do.
void routeByTokenOfMembers(benchmark::State& state)
{
    const auto members = makeMembers(static_cast<std::size_t>(state.range(0)));
    const MemberIndex index = buildMemberIndex(members);
    measure(state, [&](FlowId flow) {
        benchmark::DoNotOptimize(routeByToken(index, members, members[flow % members.size()].token, 0));
    });
}
BENCHMARK(routeByTokenOfMembers)->Arg(3)->Arg(7)->Arg(20)->Arg(80)->Arg(300)->Arg(4500);

/// Routes an opening packet: chooses among the members of one service.
void routeOpenAmongMembers(benchmark::State& state)
{
    const auto members = makeMembers(static_cast<std::size_t>(state.range(0)));
    measure(state, [&](FlowId flow) {
        benchmark::DoNotOptimize(routeUnowned(members, { .flow = flow, .isOpen = true }, {}));
    });
}
BENCHMARK(routeOpenAmongMembers)->Arg(3)->Arg(7)->Arg(20)->Arg(80)->Arg(300);

/// Finds the next member for a packet that is forwarded down the ranking.
void nextInRankingOfMembers(benchmark::State& state)
{
    const auto members = makeMembers(static_cast<std::size_t>(state.range(0)));
    const std::array<UpstreamId, 1> visited { members[0].token.upstream };
    measure(state, [&](FlowId flow) { benchmark::DoNotOptimize(nextInRanking(flow, members, visited)); });
}
BENCHMARK(nextInRankingOfMembers)->Arg(3)->Arg(7)->Arg(20)->Arg(80)->Arg(300);

/// Rebuilds a balancer's index after a change of members.
void rebuildMemberIndex(benchmark::State& state)
{
    const auto members = makeMembers(static_cast<std::size_t>(state.range(0)));
    for (auto _ : state)
        benchmark::DoNotOptimize(buildMemberIndex(members));
}
BENCHMARK(rebuildMemberIndex)->Arg(5)->Arg(20)->Arg(80)->Arg(300)->Arg(4500);

}
