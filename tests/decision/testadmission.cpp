#include "loadharness.h"

#include <algorithm>
#include <cppunit/extensions/HelperMacros.h>

using namespace kingcuptrail;

namespace {

constexpr Millis warmAt = 14000;
constexpr double capacity = 250;
constexpr std::array overloads { Overload::Slows, Overload::Sheds, Overload::Crashes };

/// A run that first warms its upstreams at 70 % load; only later requests are counted.
LoadRun warmRun(std::vector<UpstreamModel> upstreams = { {} })
{
    LoadRun run { .upstreams = std::move(upstreams), .countFrom = warmAt };
    const double rate = 0.7 * capacity * static_cast<double>(run.upstreams.size());
    run.arrivals.push_back({ .shortPerSecond = rate, .until = warmAt });
    return run;
}

/// One upstream under a steady load, given as a part of its warm capacity.
LoadRun steadyRun(UpstreamModel upstream, double load, Millis until, Millis countFrom = 0)
{
    LoadRun run { .upstreams = { std::move(upstream) }, .countFrom = countFrom };
    run.arrivals.push_back({ .shortPerSecond = load * capacity, .until = until });
    return run;
}

void assertColdStartOverloadsWithoutGuard(LoadRun run)
{
    run.options.coldStartGuard = false;
    const UpstreamStats unguarded = runLoad(run).upstreams[0];
    CPPUNIT_ASSERT(run.upstreams[0].overload == Overload::Crashes ? unguarded.crashCount > 10 : unguarded.overloadedAt.size() > 500);
}

double slotUtilisation(const UpstreamStats& stats, const LoadRun& run, Millis span)
{
    return stats.usefulSlotTime / static_cast<double>(span * run.options.slots);
}

void assertRefusalsCorrect(const Outcomes& outcomes)
{
    CPPUNIT_ASSERT_EQUAL(0U, outcomes.falseNotRunRefusals);
    CPPUNIT_ASSERT_EQUAL(outcomes.offered, outcomes.servedInTime + outcomes.servedLate + outcomes.refused + outcomes.failed);
}

WorkItem makeItem(std::uint64_t id, Millis now, Millis deadline = 500, WorkClass workClass = WorkClass::Short)
{
    return { .id = id, .workClass = workClass, .deadline = now + deadline, .queuedAt = now };
}

}

class TestAdmission : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(TestAdmission);
    CPPUNIT_TEST(saturationKeepsGoodputAndRefusesEarly);
    CPPUNIT_TEST(burstIsServedThroughRetries);
    CPPUNIT_TEST(longAndShortWorkShareSlots);
    CPPUNIT_TEST(overloadedUpstreamDoesNotAffectOthers);
    CPPUNIT_TEST(coldUpstreamIsNotOverloaded);
    CPPUNIT_TEST(suddenColdUpstreamIsDetected);
    CPPUNIT_TEST(restartWhileIdleLowersTheLimit);
    CPPUNIT_TEST(idleTimeEndsPeakTrial);
    CPPUNIT_TEST(wrongHintsHaveLimitedEffect);
    CPPUNIT_TEST(limitSettlesAtPeakThroughput);
    CPPUNIT_TEST(hintsReduceSlotsDuringWarmUp);
    CPPUNIT_TEST(queuedWorkIsRefusedAsNotRun);
    CPPUNIT_TEST(startsPauseAfterFailures);
    CPPUNIT_TEST_SUITE_END();

    // Guards against answers that arrive after their caller gave up. The load is three times the capacity, and an unbounded
    // queue would delay every answer past its deadline. With the guard each caller is refused within 50 ms or answered in
    // time.
    void saturationKeepsGoodputAndRefusesEarly()
    {
        for (const std::uint32_t seed : { 1U, 2U, 3U }) {
            LoadRun run = warmRun();
            run.seed = seed;
            run.arrivals.push_back({ .shortPerSecond = 3 * capacity, .from = warmAt, .until = warmAt + 20000 });
            const LoadResult guarded = runLoad(run);
            const Outcomes& outcomes = guarded.outcomes.at(WorkClass::Short);
            assertRefusalsCorrect(outcomes);
            CPPUNIT_ASSERT(slotUtilisation(guarded.upstreams[0], run, 20000) >= 0.9);
            CPPUNIT_ASSERT(outcomes.servedInTime >= 0.9 * capacity * 20);
            CPPUNIT_ASSERT(outcomes.share(outcomes.servedLate) < 0.005);
            CPPUNIT_ASSERT(percentile(outcomes.refusedAfter, 0.99) <= 50);

            run.options.queueGuard = false;
            const Outcomes unbounded = runLoad(run).outcomes.at(WorkClass::Short);
            CPPUNIT_ASSERT(unbounded.servedInTime < 0.1 * capacity * 20);
        }
    }

    // Guards against callers of a burst that all retry at once. A hundred queries arrive in the same millisecond; those that
    // exceed the queue get retry delays spread by their id, and all are answered within two seconds.
    void burstIsServedThroughRetries()
    {
        LoadRun run = warmRun();
        run.burst = 100;
        run.burstAt = warmAt + 1000;
        run.burstDeadline = 2000;
        run.callersRetry = true;
        run.retry = { .ratio = 1, .burst = 1000, .maxTries = 20 };
        const LoadResult result = runLoad(run);
        CPPUNIT_ASSERT_EQUAL(100U, result.outcomes.at(WorkClass::Short).servedInTime);
        CPPUNIT_ASSERT(result.maxSimultaneousRetries < 50);
    }

    // Guards against one class of work starving the other. Uploads arrive faster than the slots can serve: without reserved
    // slots they would hold every slot and queries would miss their deadlines; with queries always first, uploads would
    // never start.
    void longAndShortWorkShareSlots()
    {
        LoadRun run = warmRun();
        run.arrivals.push_back({ .shortPerSecond = 60, .longPerSecond = 8, .from = warmAt, .until = warmAt + 50000 });
        const LoadResult guarded = runLoad(run);
        const Outcomes& queries = guarded.outcomes.at(WorkClass::Short);
        const Outcomes& uploads = guarded.outcomes.at(WorkClass::Long);
        assertRefusalsCorrect(uploads);
        CPPUNIT_ASSERT(queries.share(queries.servedInTime) >= 0.99);
        CPPUNIT_ASSERT(uploads.servedInTime >= 150);
        CPPUNIT_ASSERT_EQUAL(0U, uploads.servedLate);
        run.options.classGuard = false;
        const Outcomes mixed = runLoad(run).outcomes.at(WorkClass::Short);
        CPPUNIT_ASSERT(mixed.share(mixed.servedInTime) < 0.5);

        LoadRun both = warmRun();
        both.arrivals.push_back({ .shortPerSecond = 400, .longPerSecond = 8, .from = warmAt, .until = warmAt + 50000 });
        const LoadResult shared = runLoad(both);
        CPPUNIT_ASSERT(shared.outcomes.at(WorkClass::Long).servedInTime >= 0.2 * 5 * 50);
        CPPUNIT_ASSERT(shared.outcomes.at(WorkClass::Short).servedInTime >= 0.6 * capacity * 50);
        CPPUNIT_ASSERT_EQUAL(0U, shared.outcomes.at(WorkClass::Long).servedLate);
        CPPUNIT_ASSERT(percentile(shared.outcomes.at(WorkClass::Long).servedAfter, 0.99) <= 7500);
    }

    // Guards against one overloaded upstream that affects the others. One of three upstreams answers four times slower or
    // gets most of the load. It refuses what it can't serve and works at capacity, and retries stay within a tenth of the
    // first tries.
    void overloadedUpstreamDoesNotAffectOthers()
    {
        LoadRun slow = warmRun({ {}, { .shortTime = 80 }, {} });
        slow.arrivals[0].shortPerSecond = 420;
        slow.arrivals[0].until = 40000;
        LoadRun skewed = warmRun({ {}, {}, {} });
        skewed.arrivals.push_back({ .shortPerSecond = 450, .from = warmAt, .until = 40000, .shares = { 0.8, 0.1, 0.1 } });
        for (LoadRun* run : { &slow, &skewed }) {
            run->callersRetry = true;
            const LoadResult result = runLoad(*run);
            const Outcomes& outcomes = result.outcomes.at(WorkClass::Short);
            const std::size_t overloaded = run == &slow ? 1 : 0;
            CPPUNIT_ASSERT(slotUtilisation(result.upstreams[overloaded], *run, 40000 - warmAt) >= 0.9);
            CPPUNIT_ASSERT(outcomes.share(outcomes.servedInTime) >= 0.86);
            CPPUNIT_ASSERT(outcomes.share(outcomes.servedLate) < 0.01);
            CPPUNIT_ASSERT(percentile(outcomes.refusedAfter, 0.99) <= 50);
            CPPUNIT_ASSERT(result.retries <= 0.1 * result.firstTries + run->retry.burst);
            assertRefusalsCorrect(outcomes);
        }
    }

    // Guards against upstreams that collapse after a data centre's return. They start cold under 80 % load and would
    // collapse repeatedly if they got all slots at once; with the warm-up none gets more requests than it can serve.
    void coldUpstreamIsNotOverloaded()
    {
        for (const Overload overload : overloads) {
            const LoadRun run = steadyRun({ .overload = overload, .coldAt = { 0 } }, 0.8, 25000);
            const LoadResult guarded = runLoad(run);
            const Outcomes& outcomes = guarded.outcomes.at(WorkClass::Short);
            CPPUNIT_ASSERT_EQUAL(std::size_t(0), guarded.upstreams[0].overloadedAt.size());
            CPPUNIT_ASSERT(!isCold(guarded.upstreams[0].state));
            CPPUNIT_ASSERT(outcomes.share(outcomes.servedInTime) >= 0.75);
            assertRefusalsCorrect(outcomes);
            assertColdStartOverloadsWithoutGuard(run);

            // The upstream takes four times as long to warm up as configured.
            const LoadRun slower = steadyRun({ .overload = overload, .warmTime = 40000, .coldAt = { 0 } }, 0.7, 100000, 60000);
            const LoadResult late = runLoad(slower);
            CPPUNIT_ASSERT(overload == Overload::Slows || late.upstreams[0].overloadedAt.size() <= 2);
            CPPUNIT_ASSERT(late.outcomes.at(WorkClass::Short).servedInTime >= 0.9 * 0.7 * capacity * 40);
        }
    }

    // Guards against sending the load of a warm upstream to one that turns cold under 70 % load. Its first slow answers,
    // sheds or lost connections reveal it: later than 100 ms after that, no request starts beyond what it can serve.
    void suddenColdUpstreamIsDetected()
    {
        constexpr Millis turn = 20000;
        for (const Overload overload : overloads) {
            const LoadRun run = steadyRun({ .overload = overload, .coldAt = { turn } }, 0.7, 45000, turn);
            const LoadResult guarded = runLoad(run);
            const Outcomes& outcomes = guarded.outcomes.at(WorkClass::Short);
            const UpstreamStats& stats = guarded.upstreams[0];
            CPPUNIT_ASSERT(stats.overloadedAt.size() <= run.options.slots);
            CPPUNIT_ASSERT(std::all_of(stats.overloadedAt.begin(), stats.overloadedAt.end(), [](Millis at) { return at <= turn + 100; }));
            CPPUNIT_ASSERT(!isCold(stats.state));
            CPPUNIT_ASSERT(outcomes.share(outcomes.servedInTime) >= 0.75);
            assertColdStartOverloadsWithoutGuard(run);
        }
    }

    // Guards against a burst at full concurrency for an upstream that was restarted during 45 s without requests.
    void restartWhileIdleLowersTheLimit()
    {
        for (const Overload overload : overloads) {
            LoadRun run = warmRun({ { .overload = overload, .coldAt = { 59900 } } });
            run.burst = 20;
            run.burstAt = 59990;
            run.arrivals.push_back({ .shortPerSecond = 0.8 * capacity, .from = 60000, .until = 80000 });
            const LoadResult guarded = runLoad(run);
            const Outcomes& outcomes = guarded.outcomes.at(WorkClass::Short);
            CPPUNIT_ASSERT(guarded.upstreams[0].overloadedAt.size() <= 1);
            CPPUNIT_ASSERT(outcomes.share(outcomes.servedInTime) >= 0.7);
            assertColdStartOverloadsWithoutGuard(run);
        }
    }

    // Guards against a limit that stays at one. A trial of a lower level was running before the idle time, and only uploads
    // arrive after it.
    void idleTimeEndsPeakTrial()
    {
        const AdmissionOptions options { .slots = 5, .warmUp = 1000 };
        AdmissionState state;
        state.limit = { .limit = 4, .cold = false, .coldSince = 0, .lastCompletion = 0, .peak = { .level = 4, .onTrial = true } };
        for (Millis now = 40000; now < 80000; now += 500) {
            const bool runs = admit(state, options, makeItem(1, now, 60000, WorkClass::Long), now).decision == AdmitDecision::Run;
            dequeueRunnable(state, options, now);
            if (!runs)
                finishWork(state, options, WorkClass::Long, WorkOutcome::Succeeded, 900, now);
        }
        CPPUNIT_ASSERT_EQUAL(5U, currentLimit(state));
    }

    // Guards against health reports that are wrong. "Healthy and idle" for a cold upstream must not admit more requests;
    // "unhealthy and full" all the time for a working one may cost one further warm-up and no request after it.
    void wrongHintsHaveLimitedEffect()
    {
        const auto run = [](UpstreamHint hint, std::vector<Millis> coldAt, Millis countFrom) {
            const auto report = [hint](Millis, std::uint32_t) { return hint; };
            return runLoad(steadyRun({ .coldAt = std::move(coldAt), .hint = report }, 0.7, 45000, countFrom));
        };
        const LoadResult optimistic = run({ .healthy = true, .busy = 0, .age = 0 }, { 0 }, 0);
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), optimistic.upstreams[0].overloadedAt.size());
        const LoadResult pessimistic = run({ .healthy = false, .busy = 9, .age = 0 }, {}, 22000);
        const Outcomes& outcomes = pessimistic.outcomes.at(WorkClass::Short);
        CPPUNIT_ASSERT(outcomes.share(outcomes.servedInTime) >= 0.99);
        CPPUNIT_ASSERT_EQUAL(5U, currentLimit(pessimistic.upstreams[0].state));
    }

    // Guards against a limit that is raised and cut again and again. An upstream can serve three or four of its five slots;
    // its sheds or its lower throughput must settle the limit there. The limit stays at five if the upstream is equally slow
    // at every level.
    void limitSettlesAtPeakThroughput()
    {
        const LoadResult shed = runLoad(steadyRun({ .maxConcurrency = 4, .overload = Overload::Sheds }, 0.7, 145000, 45000));
        CPPUNIT_ASSERT(shed.upstreams[0].overloadedAt.size() <= 4);
        CPPUNIT_ASSERT(shed.outcomes.at(WorkClass::Short).servedInTime >= 0.94 * 0.7 * capacity * 100);

        LoadRun slows = steadyRun({ .maxConcurrency = 3 }, 2, 60000, 20000);
        const LoadResult peak = runLoad(slows);
        CPPUNIT_ASSERT_EQUAL(3U, currentLimit(peak.upstreams[0].state));
        CPPUNIT_ASSERT(peak.upstreams[0].servedInTime >= 0.9 * 150 * 40);
        slows.options.coldStartGuard = false;
        CPPUNIT_ASSERT(runLoad(slows).upstreams[0].servedInTime < 0.7 * 150 * 40);

        // From 20 s on the host is shared; the limit is five by then.
        const LoadResult sharedHost = runLoad(steadyRun({ .changesAt = 20000, .laterMaxConcurrency = 3 }, 2, 60000, 30000));
        CPPUNIT_ASSERT_EQUAL(3U, currentLimit(sharedHost.upstreams[0].state));
        CPPUNIT_ASSERT(sharedHost.upstreams[0].servedInTime >= 0.9 * 116 * 30);

        // A peak found by chance among 50 slots, or during a warm-up, is not held for long.
        LoadRun wide = steadyRun({ .maxConcurrency = 50 }, 20, 50000, 20000);
        wide.options = { .slots = 50, .queueLimit = 64 };
        CPPUNIT_ASSERT(runLoad(wide).upstreams[0].servedInTime >= 0.9 * 10 * capacity * 30);
        const Outcomes slowWarmUp = runLoad(steadyRun({ .warmTime = 20000, .coldAt = { 0 } }, 0.8, 140000, 40000)).outcomes.at(WorkClass::Short);
        CPPUNIT_ASSERT(slowWarmUp.share(slowWarmUp.servedInTime) >= 0.99);

        const LoadResult evenlySlow = runLoad(steadyRun({ .shortTime = 80 }, 1, 60000));
        CPPUNIT_ASSERT_EQUAL(5U, currentLimit(evenlySlow.upstreams[0].state));
    }

    // Guards against overload by requests that the agent does not know: it was restarted, and older requests still run at
    // the upstream.
    void hintsReduceSlotsDuringWarmUp()
    {
        const AdmissionOptions options { .slots = 4, .warmUp = 100 };
        AdmissionState state;
        Millis now = 0;
        for (; currentLimit(state) < 3; now += 10) {
            while (admit(state, options, makeItem(1, now), now).decision == AdmitDecision::Run) { }
            removeExpired(state, options, now + 1000);
            while (busy(state) > 0)
                finishWork(state, options, WorkClass::Short, WorkOutcome::Succeeded, 10, now + 10);
        }
        applyHint(state, options, { .healthy = false, .busy = 2, .age = 60000 }, now);
        for (std::uint64_t id = 1; id <= 3; ++id)
            CPPUNIT_ASSERT(admit(state, options, makeItem(id, now), now).decision == AdmitDecision::Run);
        applyHint(state, options, { .healthy = false, .busy = 3, .age = 0 }, now);
        const double held = state.limit.limit;
        for (int ended = 0; ended < 3; ++ended)
            finishWork(state, options, WorkClass::Short, WorkOutcome::Succeeded, 10, now + 50);
        CPPUNIT_ASSERT_EQUAL(held, state.limit.limit);
        applyHint(state, options, { .healthy = true, .busy = 2, .age = 0 }, now);
        CPPUNIT_ASSERT(admit(state, options, makeItem(4, now), now).decision == AdmitDecision::Run);
        CPPUNIT_ASSERT(admit(state, options, makeItem(5, now), now).decision == AdmitDecision::Queue);
        applyHint(state, options, { .healthy = true, .busy = 1, .age = 0 }, now);
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), dequeueRunnable(state, options, now).size());
    }

    // Queued requests that are cancelled, drained or too late have not run and are refused as such.
    void queuedWorkIsRefusedAsNotRun()
    {
        const AdmissionOptions options { .slots = 1, .queueLimit = 4 };
        AdmissionState state;
        CPPUNIT_ASSERT(admit(state, options, makeItem(1, 0, 0), 0).refusal.reason == RefusalReason::DeadlinePassed);
        CPPUNIT_ASSERT(admit(state, options, makeItem(2, 0), 0).decision == AdmitDecision::Run);
        for (std::uint64_t id = 3; id < 6; ++id)
            CPPUNIT_ASSERT(admit(state, options, makeItem(id, 0, 500 + static_cast<Millis>(id)), 0).decision == AdmitDecision::Queue);
        CPPUNIT_ASSERT(admit(state, options, makeItem(6, 0), 0).refusal.reason == RefusalReason::QueueFull);
        const AdmissionOptions shortWaitLimit { .slots = 1, .queueLimit = 9, .maxShortWait = 150 };
        CPPUNIT_ASSERT(admit(state, shortWaitLimit, makeItem(6, 0, 60000), 0).refusal.reason == RefusalReason::ExpectedWaitTooLong);
        CPPUNIT_ASSERT(cancelQueued(state, 4) && !cancelQueued(state, 4));
        CPPUNIT_ASSERT_EQUAL(Millis(503), *nextWakeTime(state, 0));
        const auto expired = removeExpired(state, options, 503);
        CPPUNIT_ASSERT(expired.size() == 2 && expired[0].refusal.reason == RefusalReason::DeadlinePassed);
        CPPUNIT_ASSERT(expired[1].refusal.reason == RefusalReason::ExpectedWaitTooLong && expired[1].refusal.ran == Ran::No);
        CPPUNIT_ASSERT(admit(state, options, makeItem(7, 503), 503).decision == AdmitDecision::Queue);
        const auto refused = refuseQueue(state, RefusalReason::UpstreamDraining, 503);
        CPPUNIT_ASSERT(refused.size() == 1 && refused[0].refusal.ran == Ran::No && refused[0].refusal.retryAfter >= 50);
        CPPUNIT_ASSERT(!nextWakeTime(state, 503) && busy(state) == 1 && queued(state) == 0);
    }

    // Guards against a queue that is used up on an upstream that is down and refuses every connection. Starts pause for a
    // time that doubles up to a second.
    void startsPauseAfterFailures()
    {
        const AdmissionOptions options { .slots = 5 };
        AdmissionState state;
        for (int failure = 0; failure < 5; ++failure)
            recordCompletion(state.limit, { .slots = 5 }, { .outcome = WorkOutcome::Failed, .busy = 5 }, 0);
        CPPUNIT_ASSERT_EQUAL(Millis(50), state.limit.pausedUntil);
        state = {};
        std::uint32_t starts = 0;
        for (Millis now = 0; now < 10000; ++now) {
            removeExpired(state, options, now);
            std::size_t started = admit(state, options, makeItem(1, now, 3000), now).decision == AdmitDecision::Run ? 1 : 0;
            started += dequeueRunnable(state, options, now).size();
            for (std::size_t count = 0; count < started; ++count)
                finishWork(state, options, WorkClass::Short, WorkOutcome::Failed, 0, now);
            starts += started;
        }
        CPPUNIT_ASSERT(starts >= 9 && starts < 20);
        restartWarmUp(state, 10000);
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), dequeueRunnable(state, options, 10000).size());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(TestAdmission);
