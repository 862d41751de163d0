#include "libdecision/bulkadmission.h"
#include "packetfixtures.h"

#include <cppunit/extensions/HelperMacros.h>

using namespace kingcuptrail;

/// Uploads of 40,000 bytes and small requests share a balancer's link of 10 Mbit/s. The shortest latency target is 250 ms, so
/// that three bulk flows may be active; uploads have a target of 800 ms and wait up to 200 ms.
class TestBulkAdmission : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(TestBulkAdmission);
    CPPUNIT_TEST(uploadsAtThreeTimesTheUsualRateLeaveRoom);
    CPPUNIT_TEST(headOfTheQueueTimesOut);
    CPPUNIT_TEST(unlikelyAdmissionIsRefusedAtOnce);
    CPPUNIT_TEST(saturatedLinkAdmitsNoUpload);
    CPPUNIT_TEST(routeThatChangesIsJudgedAnew);
    CPPUNIT_TEST(flowsFromAnotherBalancerCount);
    CPPUNIT_TEST(callerThatLeavesSilentlyGivesUpItsPlace);
    CPPUNIT_TEST(flowWithManySmallRequestsIsNotBulk);
    CPPUNIT_TEST(longFlowGivesUpItsPlace);
    CPPUNIT_TEST(routeWithoutTargetIsNotLimited);
    CPPUNIT_TEST(nothingIsLimitedWithoutASmallLink);
    CPPUNIT_TEST(stateIsBounded);
    CPPUNIT_TEST_SUITE_END();

    static constexpr std::uint16_t uploadPort = 443;
    static constexpr std::uint16_t feedPort = 444;
    static constexpr std::uint16_t fullPacket = 1200;
    static constexpr std::size_t headerBytes = 36;

    BulkAdmission m_admission { .options = { .linkMegabits = 10 } };
    RouteTable m_routes { .version = 1, .routes = { routeTo(uploadPort, 800), routeTo(feedPort, 250) } };
    Millis m_now = 1000;
    std::uint16_t m_nextCaller = 1024;

    static FlowKey flowTo(std::uint16_t port, std::uint16_t caller)
    {
        FlowKey flow = flowOf(caller);
        flow.service.port = port;
        return flow;
    }

    static FlowRoute routeTo(std::uint16_t port, Millis target) { return { .address = flowTo(port, 1).service, .shares = {}, .latencyTarget = target }; }

    FlowKey newFlow(std::uint16_t port) { return flowTo(port, m_nextCaller++); }

    void send(const FlowKey& flow, std::uint16_t dataLength, bool isLast = false)
    {
        PacketHeader header = callerPacket(1, dataLength);
        header.flags.ends = isLast;
        recordCallerPacket(m_admission, flow, header, headerBytes + dataLength, m_now);
    }

    void upload(const FlowKey& flow)
    {
        for (int packet = 1; packet <= 34; ++packet)
            send(flow, fullPacket, packet == 34);
    }

    BulkDecision open(const FlowKey& flow)
    {
        recordCallerPacket(m_admission, flow, opening(), headerBytes, m_now);
        return decideBulkOpening(m_admission, m_routes, flow, m_now);
    }

    /// Lets the balancer learn that the route carries uploads.
    void learnUploads()
    {
        for (int count = 0; count < 5; ++count) {
            upload(newFlow(uploadPort));
            m_now += 500;
        }
        CPPUNIT_ASSERT(isBulkRoute(m_admission, flowTo(uploadPort, 1).service));
    }

    /// Admits as many uploads as may be active, and returns them.
    std::vector<FlowKey> fillPlaces()
    {
        std::vector<FlowKey> flows;
        for (int count = 0; count < 3; ++count) {
            flows.push_back(newFlow(uploadPort));
            CPPUNIT_ASSERT(open(flows.back()) == BulkDecision::Admit);
        }
        return flows;
    }

    // Guards against uploads that are refused on an idle link, because a flow that once carried much goes on with small requests.
    void longFlowGivesUpItsPlace()
    {
        learnUploads();
        const FlowKey flow = newFlow(feedPort);
        for (int packet = 0; packet < 20; ++packet)
            send(flow, fullPacket);
        CPPUNIT_ASSERT(isBulkFlow(m_admission, flow) && m_admission.active.size() == 1);
        for (int request = 0; request < 10; ++request) {
            m_now += 200;
            send(flow, 200);
        }
        CPPUNIT_ASSERT(!isBulkFlow(m_admission, flow) && m_admission.active.empty());
    }

    // Guards against uploads that may not wait at all, and against a wrong reason for an address without a route.
    void routeWithoutTargetIsNotLimited()
    {
        learnUploads();
        fillPlaces();
        m_routes.routes[0].latencyTarget = 0;
        CPPUNIT_ASSERT(open(newFlow(uploadPort)) == BulkDecision::Admit);
        m_routes.routes.erase(m_routes.routes.begin());
        CPPUNIT_ASSERT(open(newFlow(uploadPort)) == BulkDecision::Admit);
    }

    // Guards against windows of uploads that fill the link together, at three times the usual rate (15 a second): at most
    // three are active, all others are admitted or refused within 200 ms, and feed requests pass untouched.
    void uploadsAtThreeTimesTheUsualRateLeaveRoom()
    {
        learnUploads();
        constexpr Millis uploadTime = 150;
        std::vector<std::pair<Millis, FlowKey>> running;
        int admitted = 0;
        int refused = 0;
        for (int step = 0; step < 500; ++step, m_now += 20) {
            for (const auto& [since, flow] : running) {
                for (int packet = 1; packet <= 4; ++packet)
                    send(flow, fullPacket, packet == 4 && m_now - since >= uploadTime);
            }
            std::erase_if(running, [&](const auto& item) { return m_now - item.first >= uploadTime; });
            updateActivity(m_admission, m_now);
            refused += static_cast<int>(takeExpired(m_admission, m_now).size());
            for (const FlowKey& flow : takeAdmitted(m_admission, m_routes, m_now))
                running.emplace_back(m_now, flow);
            // Four uploads within 20 ms, then none for 240 ms.
            for (int count = 0; step % 13 == 0 && count < 4; ++count) {
                const FlowKey flow = newFlow(uploadPort);
                const BulkDecision decision = open(flow);
                refused += decision == BulkDecision::Refuse ? 1 : 0;
                if (decision == BulkDecision::Admit)
                    running.emplace_back(m_now, flow);
                admitted += decision == BulkDecision::Refuse ? 0 : 1;
            }
            const FlowKey feed = newFlow(feedPort);
            CPPUNIT_ASSERT(open(feed) == BulkDecision::Admit);
            send(feed, 300, true);
            CPPUNIT_ASSERT(running.size() <= 3 && m_admission.active.size() <= 3);
            for (const WaitingBulkOpening& waiting : m_admission.waiting)
                CPPUNIT_ASSERT(m_now - waiting.since < 200);
        }
        // Three places for 150 ms each serve 20 uploads a second; 15 come.
        CPPUNIT_ASSERT_EQUAL(156, admitted + refused);
        CPPUNIT_ASSERT(admitted > 140);
    }

    // Guards against openings that wait behind a head whose time is over, against a head that is never refused, against
    // copies that make the queue longer, and against a place for a copy that crosses the reset.
    void headOfTheQueueTimesOut()
    {
        learnUploads();
        const std::vector<FlowKey> active = fillPlaces();
        const FlowKey head = newFlow(uploadPort);
        for (int copy = 0; copy < 3; ++copy)
            CPPUNIT_ASSERT(open(head) == BulkDecision::Wait && m_admission.waiting.size() == 1);
        CPPUNIT_ASSERT(open(active.front()) == BulkDecision::Admit && m_admission.active.size() == 3);
        m_now += 150;
        const FlowKey next = newFlow(uploadPort);
        CPPUNIT_ASSERT(open(next) == BulkDecision::Wait);
        const FlowKey openElsewhere = newFlow(uploadPort);
        CPPUNIT_ASSERT(open(openElsewhere) == BulkDecision::Wait && removeWaiting(m_admission, openElsewhere));
        for (const FlowKey& flow : active)
            send(flow, fullPacket);
        m_now += 49;
        CPPUNIT_ASSERT(takeExpired(m_admission, m_now).empty());
        m_now += 1;
        CPPUNIT_ASSERT(takeExpired(m_admission, m_now) == std::vector { head });
        CPPUNIT_ASSERT(open(head) == BulkDecision::Refuse);
        CPPUNIT_ASSERT(takeAdmitted(m_admission, m_routes, m_now).empty());
        send(active.front(), 0, true);
        CPPUNIT_ASSERT(takeAdmitted(m_admission, m_routes, m_now) == std::vector { next });
    }

    // Guards against callers that wait for a place which they cannot get in time, when uploads take 900 ms each.
    void unlikelyAdmissionIsRefusedAtOnce()
    {
        learnUploads();
        m_admission.placeTime = { .mean = 900, .samples = 8 };
        const auto active = fillPlaces();
        CPPUNIT_ASSERT(open(newFlow(uploadPort)) == BulkDecision::Refuse);
        CPPUNIT_ASSERT(m_admission.lastInputs.active == 3 && m_admission.lastInputs.limit == 3 && m_admission.lastInputs.maxWait == 200);
        // The agents refused one of the flows.
        recordFlowReset(m_admission, active.front(), m_now);
        CPPUNIT_ASSERT(open(newFlow(uploadPort)) == BulkDecision::Admit);
    }

    // Guards against one more upload on a link that small packets fill without any bulk flow.
    void saturatedLinkAdmitsNoUpload()
    {
        learnUploads();
        for (Millis end = m_now + 1000; m_now < end; ++m_now)
            send(newFlow(feedPort), fullPacket, true);
        CPPUNIT_ASSERT(linkUse(m_admission, m_now) > 0.9);
        CPPUNIT_ASSERT(open(newFlow(uploadPort)) == BulkDecision::Wait);
        CPPUNIT_ASSERT(open(newFlow(feedPort)) == BulkDecision::Admit);
        m_now += 40;
        CPPUNIT_ASSERT_EQUAL(std::size_t { 1 }, takeAdmitted(m_admission, m_routes, m_now).size());
    }

    // Guards against a route that is judged forever by what it carried once, and against openings that stay held after it
    // has changed to small requests.
    void routeThatChangesIsJudgedAnew()
    {
        learnUploads();
        fillPlaces();
        const FlowKey held = newFlow(uploadPort);
        CPPUNIT_ASSERT(open(held) == BulkDecision::Wait);
        for (int count = 0; count < 20; ++count, m_now += 200)
            send(newFlow(uploadPort), 300, true);
        CPPUNIT_ASSERT(takeAdmitted(m_admission, m_routes, m_now) == std::vector { held });
        CPPUNIT_ASSERT(!isBulkRoute(m_admission, held.service));
        for (int count = 0; count < 20; ++count, m_now += 200)
            upload(newFlow(uploadPort));
        CPPUNIT_ASSERT(isBulkRoute(m_admission, held.service));
    }

    // Guards against a link that is filled by uploads which the router moved here after another balancer admitted them.
    void flowsFromAnotherBalancerCount()
    {
        learnUploads();
        std::vector<FlowKey> moved;
        for (int count = 0; count < 3; ++count) {
            moved.push_back(newFlow(uploadPort));
            for (int packet = 0; packet < 16; ++packet)
                send(moved.back(), fullPacket);
            CPPUNIT_ASSERT(!isBulkFlow(m_admission, moved.back()));
            send(moved.back(), fullPacket);
            CPPUNIT_ASSERT(isBulkFlow(m_admission, moved.back()));
        }
        CPPUNIT_ASSERT(open(newFlow(uploadPort)) != BulkDecision::Admit);
    }

    // Guards against places that callers without a sign of life keep, before their first data and in the middle of it, and
    // against an admitted upload that is not counted when its agent lets it wait before its data.
    void callerThatLeavesSilentlyGivesUpItsPlace()
    {
        learnUploads();
        const auto active = fillPlaces();
        for (int packet = 0; packet < 20; ++packet)
            send(active.front(), fullPacket);
        const FlowKey held = newFlow(uploadPort);
        m_now += 100;
        CPPUNIT_ASSERT(open(held) == BulkDecision::Wait);
        m_now += 161;
        CPPUNIT_ASSERT(takeAdmitted(m_admission, m_routes, m_now) == std::vector { held });
        CPPUNIT_ASSERT_EQUAL(std::size_t { 1 }, m_admission.active.size());
        CPPUNIT_ASSERT(!isBulkFlow(m_admission, active.front()));
        send(active.back(), fullPacket);
        CPPUNIT_ASSERT_EQUAL(std::size_t { 2 }, m_admission.active.size());
    }

    // Guards against long-lived flows that lose their place among small packets: 15,000 bytes a second for a minute.
    void flowWithManySmallRequestsIsNotBulk()
    {
        const FlowKey flow = newFlow(feedPort);
        for (int request = 0; request < 3000; ++request, m_now += 20) {
            send(flow, 264);
            updateActivity(m_admission, m_now);
            CPPUNIT_ASSERT(!isBulkFlow(m_admission, flow));
        }
        CPPUNIT_ASSERT(m_admission.active.empty() && !isBulkRoute(m_admission, flow.service));
    }

    // Guards against limits that nobody asked for: a large link, an unknown one, no configuration, no latency target.
    void nothingIsLimitedWithoutASmallLink()
    {
        for (const double megabits : { 0.0, 100.0, 1000.0 }) {
            m_admission = { .options = { .linkMegabits = megabits } };
            for (int count = 0; count < 20; ++count) {
                CPPUNIT_ASSERT(open(newFlow(uploadPort)) == BulkDecision::Admit);
                upload(newFlow(uploadPort));
            }
            CPPUNIT_ASSERT(m_admission.flows.empty() && m_admission.routes.empty());
        }
        m_admission = { .options = { .linkMegabits = 10 } };
        learnUploads();
        fillPlaces();
        m_routes.routes[0].latencyTarget = m_routes.routes[1].latencyTarget = 0;
        CPPUNIT_ASSERT(open(newFlow(uploadPort)) == BulkDecision::Admit);
        m_routes = {};
        CPPUNIT_ASSERT(open(newFlow(uploadPort)) == BulkDecision::Admit);
    }

    // Guards against memory that grows with callers, forged addresses and openings.
    void stateIsBounded()
    {
        for (std::uint16_t caller = 1; caller < 10000; ++caller) {
            send(flowTo(feedPort, caller), 300);
            send(flowTo(caller, caller), 300, true);
        }
        CPPUNIT_ASSERT_EQUAL(m_admission.options.maxFlows, m_admission.flows.size());
        CPPUNIT_ASSERT_EQUAL(m_admission.options.maxRoutes, m_admission.routes.size());
        m_now += 2000;
        updateActivity(m_admission, m_now);
        CPPUNIT_ASSERT(m_admission.flows.empty());
        learnUploads();
        m_admission.placeTime = { .mean = 1, .samples = 8 };
        m_routes.routes[0].latencyTarget = 5000;
        fillPlaces();
        for (int count = 0; count < 200; ++count)
            open(newFlow(uploadPort));
        CPPUNIT_ASSERT_EQUAL(m_admission.options.maxWaiting, m_admission.waiting.size());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(TestBulkAdmission);
