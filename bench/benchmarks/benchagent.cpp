#include "allocations.h"
#include "libdecision/admission.h"
#include "libdecision/closedflows.h"
#include "libdecision/forwarding.h"
#include "libdecision/ledger.h"
#include "libdecision/redirects.h"
#include "libmodel/randomsource.h"
#include "libprotocol/flowendpoint.h"

#include <benchmark/benchmark.h>
#include <string>
#include <unordered_map>

using namespace kingcuptrail;

namespace {

/// The decisions of an agent for one flow: it is opened, receives four packets and is closed.
void openPacketsClose(benchmark::State& state)
{
    RandomSource random(1);
    std::unordered_map<FlowId, ServiceAddress> flows;
    const auto entryCount = static_cast<std::size_t>(state.range(0));
    while (flows.size() < entryCount)
        flows.emplace(random.id(), 1);
    ClosedFlows closed;
    Millis now = 0;
    for (auto _ : state) {
        const FlowId flow = random.id();
        ++now;
        PacketFacts facts { .isOpen = true, .closeReason = findCloseReason(closed, flow), .serviceMatches = true };
        benchmark::DoNotOptimize(decidePacket(facts));
        flows.emplace(flow, 1);
        for (int packet = 0; packet < 4; ++packet) {
            facts = { .hasToken = true, .tokenIsOwn = true, .holdsFlow = flows.contains(flow), .serviceMatches = true };
            benchmark::DoNotOptimize(decidePacket(facts));
        }
        flows.erase(flow);
        recordClosedFlow(closed, {}, flow, RefusalReason::FlowUnknown, now);
    }
}
BENCHMARK(openPacketsClose)->Arg(2000)->Arg(20000);

/// Admits and finishes one request at an upstream with free slots.
void admitAndFinish(benchmark::State& state)
{
    AdmissionState admission;
    const AdmissionOptions options { .slots = 5 };
    Millis now = 0;
    std::uint64_t id = 0;
    for (auto _ : state) {
        now += 10;
        benchmark::DoNotOptimize(admit(admission, options, { .id = ++id, .deadline = now + 1000, .queuedAt = now }, now));
        finishWork(admission, options, WorkClass::Short, WorkOutcome::Succeeded, 40, now);
    }
}
BENCHMARK(admitAndFinish);

/// Begins and settles one once-only key in a ledger that holds the given number of settled keys.
void beginAndSettle(benchmark::State& state)
{
    const auto entryCount = static_cast<std::size_t>(state.range(0));
    const LedgerOptions options { .maxEntries = entryCount };
    Ledger ledger;
    std::uint64_t key = 0;
    Millis now = 0;
    const auto runOne = [&] {
        const std::string text = "filing-" + std::to_string(++key);
        now += options.retention / static_cast<Millis>(entryCount) + 1;
        expireLedger(ledger, options, now);
        benchmark::DoNotOptimize(beginWork(ledger, options, text, now));
        settleWork(ledger, options, text, LedgerState::Ran, now);
    };
    while (key < entryCount)
        runOne();
    for (auto _ : state)
        runOne();
}
BENCHMARK(beginAndSettle)->Arg(10000)->Arg(100000);

/// Bytes that `fill` allocates for each of `count` entries.
template <typename Fill>
double bytesPerEntry(std::size_t count, Fill fill)
{
    const std::size_t before = allocatedBytes();
    const auto kept = fill(count);
    benchmark::DoNotOptimize(kept);
    return static_cast<double>(allocatedBytes() - before) / static_cast<double>(count);
}

/// Memory for each entry of the tables that grow with flows or keys. The measured time is that of filling them.
void memoryOfTables(benchmark::State& state)
{
    constexpr std::size_t count = 10000;
    for (auto _ : state) {
        state.counters["flowEndpoint"] = bytesPerEntry(count, [](std::size_t entries) {
            std::unordered_map<FlowId, FlowEndpoint> flows;
            for (FlowId flow = 1; flow <= entries; ++flow)
                flows.emplace(flow, FlowEndpoint());
            return flows;
        });
        state.counters["redirect"] = bytesPerEntry(count, [](std::size_t entries) {
            Redirects redirects;
            for (FlowId flow = 1; flow <= entries; ++flow)
                recordRedirect(redirects, { .maxEntries = entries }, flow, { 1, 1 }, 0);
            return redirects;
        });
        state.counters["ledgerKey"] = bytesPerEntry(count, [](std::size_t entries) {
            Ledger ledger;
            const LedgerOptions options { .maxEntries = entries };
            for (std::size_t key = 1; key <= entries; ++key) {
                const std::string text = "a-key-of-thirty-six-characters-" + std::to_string(10000 + key);
                beginWork(ledger, options, text, 0);
                settleWork(ledger, options, text, LedgerState::Ran, 0);
            }
            return ledger;
        });
        state.counters["closedFlow"] = bytesPerEntry(count, [](std::size_t entries) {
            ClosedFlows closed;
            for (FlowId flow = 1; flow <= entries; ++flow)
                recordClosedFlow(closed, { .maxEntries = entries }, flow, RefusalReason::FlowUnknown, 0);
            return closed;
        });
    }
}
BENCHMARK(memoryOfTables)->Iterations(3)->Unit(benchmark::kMillisecond);

}
