#include "libdecision/upstreamhealth.h"
#include "packetfixtures.h"

#include <algorithm>
#include <array>
#include <cppunit/extensions/HelperMacros.h>

using namespace kingcuptrail;

class TestUpstreamHealth : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(TestUpstreamHealth);
    CPPUNIT_TEST(resettingUpstreamGetsFewRequests);
    CPPUNIT_TEST(onlyUnansweredRequestsCount);
    CPPUNIT_TEST(occasionalResetsAreNoFailure);
    CPPUNIT_TEST(trialsBackOffAndAnAnswerEndsThem);
    CPPUNIT_TEST(failureDuringProbationIsDetectedAtOnce);
    CPPUNIT_TEST(checkDoesNotConsumeATrial);
    CPPUNIT_TEST(hangingUpstreamGetsFewRequests);
    CPPUNIT_TEST(slowUpstreamThatAnswersIsNotFailing);
    CPPUNIT_TEST(newProcessClearsUnansweredRequests);
    CPPUNIT_TEST_SUITE_END();

    /// Sends an opening if the upstream may get one; returns whether it was sent.
    static bool open(UpstreamHealth& health, Millis now)
    {
        const bool may = acceptsOpening(health, now);
        if (may)
            recordOpening(health, now);
        return may;
    }

    // Eight upstreams serve a hundred new requests a second, and one of them resets each flow at its first request for two
    // seconds while it reports that it is ready. It always has the least work, so by load alone it would get the next
    // opening every time and nearly all callers would fail. With its agent's refusals it costs the three requests that
    // reveal it and an occasional trial.
    void resettingUpstreamGetsFewRequests()
    {
        constexpr Millis workTime = 60;
        constexpr Millis between = 10;
        constexpr std::size_t broken = 0;
        std::array<UpstreamHealth, 8> agents {};
        std::array<std::vector<Millis>, 8> busyUntil {};
        unsigned cut = 0;
        unsigned served = 0;
        for (Millis now = 0; now < 2000; now += between) {
            const auto workOf = [&](std::size_t agent) { return std::ranges::count_if(busyUntil[agent], [now](Millis until) { return until > now; }); };
            std::array<std::size_t, 8> order { 0, 1, 2, 3, 4, 5, 6, 7 };
            std::ranges::stable_sort(order, {}, workOf);
            const auto taker = std::ranges::find_if(order, [&](std::size_t agent) { return open(agents[agent], now); });
            CPPUNIT_ASSERT(taker != order.end());
            if (*taker == broken) {
                recordAborted(agents[broken], now + 1);
                ++cut;
                continue;
            }
            recordAnswered(agents[*taker]);
            busyUntil[*taker].push_back(now + workTime);
            ++served;
        }
        // Three requests reveal it; trials follow after 100, 200, 400 and 800 ms.
        CPPUNIT_ASSERT(cut <= 3 + 4);
        CPPUNIT_ASSERT_EQUAL(200U, cut + served);
    }

    // A reset counts as an aborted request only after an unanswered request: not on an idle flow, after the answer, or on a
    // flow that never opened.
    void onlyUnansweredRequestsCount()
    {
        AgentFlows table;
        PacketHeader reset { .flags = { .resets = true }, .sequence = 501 };
        openFlow(table, flowOf(1), 1000);
        CPPUNIT_ASSERT(!trackUpstreamPacket(table, flowOf(1), reset, 1010).isRequestAborted);

        openFlow(table, flowOf(2), 1000);
        trackCallerPacket(table, flowOf(2), callerPacket(501, 100), 1001);
        CPPUNIT_ASSERT(trackUpstreamPacket(table, flowOf(2), upstreamData(100), 1050).isRequestAnswered);
        CPPUNIT_ASSERT(!trackUpstreamPacket(table, flowOf(2), reset, 1051).isRequestAborted);

        openFlow(table, flowOf(3), 1000);
        trackCallerPacket(table, flowOf(3), callerPacket(501, 100), 1001);
        CPPUNIT_ASSERT(trackUpstreamPacket(table, flowOf(3), reset, 1002).isRequestAborted);
    }

    // An upstream closes idle flows, and now and then a request crosses the close and is reset. All other requests are
    // served.
    void occasionalResetsAreNoFailure()
    {
        UpstreamHealth health;
        for (Millis now = 1000; now < 5000; now += 10) {
            CPPUNIT_ASSERT(!recordAborted(health, now));
            CPPUNIT_ASSERT(!recordAborted(health, now + 1));
            recordAnswered(health);
            CPPUNIT_ASSERT(open(health, now + 2));
        }
    }

    void trialsBackOffAndAnAnswerEndsThem()
    {
        UpstreamHealth health;
        CPPUNIT_ASSERT(!recordAborted(health, 1000));
        CPPUNIT_ASSERT(!recordAborted(health, 1000));
        CPPUNIT_ASSERT(recordAborted(health, 1000));
        std::vector<Millis> trials;
        for (Millis now = 1000; now <= 4500; now += 10) {
            if (open(health, now)) {
                trials.push_back(now);
                recordAborted(health, now + 1);
            }
        }
        CPPUNIT_ASSERT((trials == std::vector<Millis> { 1100, 1300, 1700, 2500, 3300, 4100 }));
        recordAnswered(health);
        CPPUNIT_ASSERT(open(health, 4501));
        CPPUNIT_ASSERT(open(health, 4501));
    }

    // An upstream fails and recovers every two seconds and answers in between. Guards against three failed requests each
    // time before the failure is detected.
    void failureDuringProbationIsDetectedAtOnce()
    {
        UpstreamHealth health;
        for (unsigned request = 0; request < 3; ++request)
            recordAborted(health, 1000);
        recordAnswered(health);
        CPPUNIT_ASSERT(recordAborted(health, 3000));
        CPPUNIT_ASSERT(!open(health, 3001));
        recordAnswered(health);
        CPPUNIT_ASSERT(!recordAborted(health, 3000 + health.options.probation));
    }

    // Openings wait at the agent of a failing upstream. The agent checks whether the first may be sent, selects the most
    // urgent one and checks again. Guards against the first check using up the trial: the opening was then refused and the
    // upstream never tried.
    void checkDoesNotConsumeATrial()
    {
        UpstreamHealth health;
        for (unsigned request = 0; request < 3; ++request)
            recordAborted(health, 1000);
        CPPUNIT_ASSERT(acceptsOpening(health, 1100));
        CPPUNIT_ASSERT(acceptsOpening(health, 1100));
        recordOpening(health, 1100);
        CPPUNIT_ASSERT(!acceptsOpening(health, 1100));
        CPPUNIT_ASSERT(acceptsOpening(health, 1300));
    }

    // Guards against sending callers to an upstream that accepts requests and never answers while it reports that it is
    // ready.
    void hangingUpstreamGetsFewRequests()
    {
        constexpr Millis target = 250;
        constexpr Millis deadline = 1500;
        constexpr Millis hangsFor = 6800;
        constexpr unsigned mostAtWork = 4;
        UpstreamHealth health;
        std::vector<Millis> heldUntil;
        unsigned held = 0;
        for (Millis now = 0; now < hangsFor; now += 10) {
            std::erase_if(heldUntil, [now](Millis until) { return until <= now; });
            detectHang(health, target, now);
            if (heldUntil.size() >= mostAtWork || !open(health, now))
                continue;
            recordRequest(health, now);
            heldUntil.push_back(now + deadline);
            ++held;
        }
        CPPUNIT_ASSERT(health.isFailing);
        // The requests that reveal it, and one trial for each slot that a deadline frees.
        CPPUNIT_ASSERT(held <= mostAtWork + hangsFor / health.options.maxTrialInterval);
        recordAnswered(health);
        CPPUNIT_ASSERT(acceptsOpening(health, hangsFor));
    }

    // Guards against treating a slow or cold upstream as failing although it answers.
    void slowUpstreamThatAnswersIsNotFailing()
    {
        constexpr Millis target = 250;
        constexpr Millis answerInterval = 200;
        UpstreamHealth health;
        for (Millis now = 0; now < 5000; now += 20) {
            recordRequest(health, now);
            if (now % answerInterval == 0)
                recordAnswered(health);
            CPPUNIT_ASSERT(!detectHang(health, target, now));
        }
        UpstreamHealth quiet;
        recordRequest(quiet, 0);
        recordRequest(quiet, 10);
        CPPUNIT_ASSERT(!detectHang(quiet, target, 4000));
    }

    // Guards against treating a new upstream as hanging because the previous process ended with unanswered requests.
    void newProcessClearsUnansweredRequests()
    {
        UpstreamHealth health;
        for (unsigned request = 0; request < health.options.hangThreshold; ++request)
            recordRequest(health, 0);
        clearUnanswered(health);
        CPPUNIT_ASSERT(!detectHang(health, 250, 1000));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(TestUpstreamHealth);
