#include "libdecision/directory.h"
#include "libdecision/directorydifference.h"
#include "libdecision/peerchoice.h"

#include <benchmark/benchmark.h>

using namespace kingcuptrail;

namespace {

PeerEntry entryOf(std::uint32_t number, std::uint64_t epoch)
{
    return {
        .name = "process-" + std::to_string(number),
        .role = number % 3 == 0 ? PeerRole::Balancer : PeerRole::Agent,
        .address = number,
        .dataCentre = "centre-" + std::to_string(number % 5),
        .service = "board",
        .epoch = epoch,
    };
}

Directory directoryOf(std::int64_t entries)
{
    Directory directory;
    for (std::uint32_t number = 0; std::cmp_less(number, entries); ++number)
        applyEntry(directory, entryOf(number, 1));
    return directory;
}

/// An announcement that renews an entry, with the digests that every message carries.
void learnEntry(benchmark::State& state)
{
    Directory directory = directoryOf(state.range(0));
    std::uint64_t epoch = 1;
    for (auto step : state) {
        ++epoch;
        applyEntry(directory, entryOf(static_cast<std::uint32_t>(epoch % static_cast<std::uint64_t>(state.range(0))), epoch));
        benchmark::DoNotOptimize(digestOf(directory));
        benchmark::DoNotOptimize(agentsDigestOf(directory));
    }
}
BENCHMARK(learnEntry)->Arg(300)->Arg(1000)->Arg(5000);

void choosePeers(benchmark::State& state)
{
    const Directory directory = directoryOf(state.range(0));
    std::minstd_rand random(7);
    for (auto step : state)
        benchmark::DoNotOptimize(randomAddresses(directory.peers, 2, 0, random));
}
BENCHMARK(choosePeers)->Arg(300)->Arg(1000)->Arg(5000);

/// The digest that a search for a flow's holder sends to each data centre.
void digestOfDataCentre(benchmark::State& state)
{
    const Directory directory = directoryOf(state.range(0));
    for (auto step : state)
        benchmark::DoNotOptimize(agentsDigestOf(directory, "centre-1", {}));
}
BENCHMARK(digestOfDataCentre)->Arg(300)->Arg(1000)->Arg(5000);

}
