#include "libdecision/unansweredopenings.h"
#include "libdecision/upstreamend.h"
#include "packetfixtures.h"

#include <cppunit/extensions/HelperMacros.h>

using namespace kingcuptrail;

class TestUpstreamEnd : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(TestUpstreamEnd);
    CPPUNIT_TEST(crashWithRequestsAtWorkIsFoundSoon);
    CPPUNIT_TEST(frozenUpstreamKeepsItsFlows);
    CPPUNIT_TEST(flappingUpstreamIsFoundEachTimeItEnds);
    CPPUNIT_TEST(slowUpstreamIsNotProbed);
    CPPUNIT_TEST(lostAcknowledgementIsNoSign);
    CPPUNIT_TEST(restartBetweenAttemptsIsNoEnd);
    CPPUNIT_TEST(pausedAgentDoesNotProbe);
    CPPUNIT_TEST(unansweredOpeningsAreHandedBack);
    CPPUNIT_TEST_SUITE_END();

    unsigned m_attempts = 0;

    /// Runs the regular checks until `until`; each attempt has the given outcome. Returns when the end was found.
    std::optional<Millis> checkUntil(UpstreamEndDetection& detection, Millis from, Millis until, ConnectionOutcome outcome)
    {
        beginChecks(detection, from);
        for (Millis now = from; now <= until; now += 20) {
            if (!shouldTryConnection(detection, now))
                continue;
            ++m_attempts;
            recordAttempt(detection, now);
            if (recordAttemptOutcome(detection, outcome))
                return now;
        }
        return std::nullopt;
    }

    static UpstreamEndDetection withTwoUnanswered(Millis now)
    {
        UpstreamEndDetection detection;
        recordDelivery(detection, now);
        recordDelivery(detection, now);
        return detection;
    }

    // An upstream crashes with requests at work. Guards against callers that wait for their deadlines.
    void crashWithRequestsAtWorkIsFoundSoon()
    {
        UpstreamEndDetection detection = withTwoUnanswered(1000);
        const auto endedAt = checkUntil(detection, 1000, 2000, ConnectionOutcome::Refused);
        CPPUNIT_ASSERT(endedAt && *endedAt >= 1160 && *endedAt <= 1300);
        CPPUNIT_ASSERT_EQUAL(2U, m_attempts);
    }

    // Guards against giving up the flows of an upstream that is stopped or hangs: its host still accepts connections.
    void frozenUpstreamKeepsItsFlows()
    {
        for (const ConnectionOutcome outcome : { ConnectionOutcome::Accepted, ConnectionOutcome::Unclear }) {
            UpstreamEndDetection detection = withTwoUnanswered(1000);
            m_attempts = 0;
            checkUntil(detection, 1000, 1500, outcome);
            recordDelivery(detection, 1500);
            recordUpstreamReport(detection);
            CPPUNIT_ASSERT(!checkUntil(detection, 1500, 9000, ConnectionOutcome::Refused));
            CPPUNIT_ASSERT_EQUAL(1U, m_attempts);
        }
    }

    // An upstream ends and comes back several times. Guards against refusals of one end that count towards the next, and
    // against an end that is not found because an earlier attempt was accepted.
    void flappingUpstreamIsFoundEachTimeItEnds()
    {
        UpstreamEndDetection detection = withTwoUnanswered(1000);
        for (Millis start = 1000; start < 20000; start += 4000) {
            CPPUNIT_ASSERT(!checkUntil(detection, start, start + 100, ConnectionOutcome::Refused));
            CPPUNIT_ASSERT(!checkUntil(detection, start + 120, start + 300, ConnectionOutcome::Accepted));
            recordUpstreamPacket(detection, start + 1000);
            recordDelivery(detection, start + 2000);
            recordDelivery(detection, start + 2000);
            const auto endedAt = checkUntil(detection, start + 2000, start + 3000, ConnectionOutcome::Refused);
            CPPUNIT_ASSERT(endedAt && *endedAt >= start + 2160);
            forgetProcess(detection);
            recordDelivery(detection, start + 4000);
            recordDelivery(detection, start + 4000);
        }
    }

    // Requests take seconds, but the upstream acknowledges their packets. Each attempt would cost a slow upstream work.
    void slowUpstreamIsNotProbed()
    {
        UpstreamEndDetection detection;
        for (Millis now = 1000; now < 11000; now += 50) {
            for (int packet = 0; packet < 16; ++packet)
                recordDelivery(detection, now);
            checkUntil(detection, now, now + 40, ConnectionOutcome::Accepted);
            recordUpstreamPacket(detection, now + 45);
        }
        checkUntil(detection, 11000, 20000, ConnectionOutcome::Accepted);
        CPPUNIT_ASSERT_EQUAL(0U, m_attempts);
    }

    // One packet or its acknowledgement is lost. Its caller resends it after 200 ms.
    void lostAcknowledgementIsNoSign()
    {
        UpstreamEndDetection detection;
        recordDelivery(detection, 1000);
        checkUntil(detection, 1000, 1200, ConnectionOutcome::Refused);
        recordDelivery(detection, 1200);
        checkUntil(detection, 1200, 1240, ConnectionOutcome::Refused);
        recordUpstreamPacket(detection, 1250);
        checkUntil(detection, 1260, 2000, ConnectionOutcome::Refused);
        CPPUNIT_ASSERT_EQUAL(0U, m_attempts);
    }

    // A new process starts at the address after the first refusal, or while the second attempt is in progress. Guards against
    // giving up the new process's flows.
    void restartBetweenAttemptsIsNoEnd()
    {
        UpstreamEndDetection detection = withTwoUnanswered(1000);
        CPPUNIT_ASSERT(!checkUntil(detection, 1000, 1100, ConnectionOutcome::Refused));
        recordUpstreamReport(detection);
        CPPUNIT_ASSERT(!checkUntil(detection, 1100, 1200, ConnectionOutcome::Refused));
        recordAttempt(detection, 1300);
        recordUpstreamReport(detection);
        CPPUNIT_ASSERT(!recordAttemptOutcome(detection, ConnectionOutcome::Refused));
        forgetProcess(detection);
        CPPUNIT_ASSERT(!checkUntil(detection, 1400, 3000, ConnectionOutcome::Refused));
    }

    // The agent's process is paused. Guards against an attempt while the upstream's answers are unread in its socket.
    void pausedAgentDoesNotProbe()
    {
        UpstreamEndDetection detection = withTwoUnanswered(1000);
        beginChecks(detection, 1000);
        CPPUNIT_ASSERT(!shouldTryConnection(detection, 3000));
        CPPUNIT_ASSERT(!shouldTryConnection(detection, 3040));
        CPPUNIT_ASSERT(shouldTryConnection(detection, 3060));
    }

    // Guards against openings that stay at an ended upstream until their callers' second copy, against unbounded memory, and
    // against openings for callers that have given up.
    void unansweredOpeningsAreHandedBack()
    {
        UnansweredOpenings kept;
        for (std::uint16_t caller = 1; caller <= 1000; ++caller)
            keepOpening(kept, { .flow = flowOf(caller), .deliveredAt = caller == 1 ? 0 : 500, .balancer = 8, .packet = { 1, 2 } });
        CPPUNIT_ASSERT_EQUAL(kept.options.limit, kept.openings.size());
        keepOpening(kept, { .flow = flowOf(2), .deliveredAt = 700, .balancer = 9, .packet = { 1, 2 } });
        for (std::uint16_t caller = 3; caller <= 1000; ++caller)
            discardOpening(kept, flowOf(caller));
        const auto taken = takeUnanswered(kept, kept.options.ageLimit + 100);
        CPPUNIT_ASSERT_EQUAL(std::size_t { 1 }, taken.size());
        CPPUNIT_ASSERT(taken.front().flow == flowOf(2) && taken.front().balancer == 9 && taken.front().packet.size() == 2);
        CPPUNIT_ASSERT(kept.openings.empty());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(TestUpstreamEnd);
