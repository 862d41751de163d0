#include "libdecision/pendingrequests.h"
#include "packetfixtures.h"

#include <algorithm>
#include <cppunit/extensions/HelperMacros.h>

using namespace kingcuptrail;

namespace {

constexpr std::uint32_t northAgent = 0x0a010001;
constexpr std::uint32_t northBalancer = 0x0a010002;
constexpr std::uint32_t southAgent = 0x0a020001;

/// A directory with processes in the data centres north and south.
Directory directory()
{
    Directory known;
    applyEntry(known, { .name = "agent-north", .role = PeerRole::Agent, .address = northAgent, .dataCentre = "north", .epoch = 1 });
    applyEntry(known, { .name = "front-north", .role = PeerRole::Balancer, .address = northBalancer, .dataCentre = "north", .epoch = 1 });
    applyEntry(known, { .name = "agent-south", .role = PeerRole::Agent, .address = southAgent, .dataCentre = "south", .epoch = 1 });
    return known;
}

/// The agent beside one upstream, with the requests of its callers.
struct ReportingAgent {
    void beginRequest(std::uint16_t caller, Millis now)
    {
        openFlow(flows, flowOf(caller), now);
        trackCallerPacket(flows, flowOf(caller), callerPacket(501, 20), now, northBalancer);
        recordRequestBegan(reports, flowOf(caller), now);
    }

    AgentFlows flows;
    PendingReports reports;
};

}

class TestPendingRequests : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(TestPendingRequests);
    CPPUNIT_TEST(requestIsReportedOnce);
    CPPUNIT_TEST(answeredRequestsAreNotReported);
    CPPUNIT_TEST(budgetKeepsOldest);
    CPPUNIT_TEST(bytesDoNotGrowWithFleet);
    CPPUNIT_TEST(lossOfPowerResetsSilentCallers);
    CPPUNIT_TEST(fullTableDropsOldest);
    CPPUNIT_TEST(recordsEndWithTimeout);
    CPPUNIT_TEST(callersMovedBeforeTheSilenceAreKnown);
    CPPUNIT_TEST(foreignReportsAreRefused);
    CPPUNIT_TEST(staleReportAfterLossIsRefused);
    CPPUNIT_TEST(returningDataCentreKeepsItsFlows);
    CPPUNIT_TEST_SUITE_END();

    const Directory m_directory = directory();
    RouteTable m_routes = routesTo("board", 1);

    std::vector<PendingReportOutcome> receive(PendingRequestTable& table, std::uint32_t sender, std::vector<PendingRequest> requests, Millis now, bool isLost = false)
    {
        const ReceivedReport report { .sender = findByAddress(m_directory, sender), .isFromLostDataCentre = isLost, .requests = requests };
        return recordReport(table, report, { .dataCentre = "south", .directory = m_directory, .routes = m_routes }, now);
    }

    static PendingRequest requestOf(std::uint16_t caller)
    {
        return { .flow = flowOf(caller), .balancer = northBalancer, .acknowledged = 1000U + caller };
    }

    // Guards against a report with every packet of a request, which would multiply the bytes, and against one that lacks the
    // acknowledgement, without which the caller ignores its reset.
    void requestIsReportedOnce()
    {
        ReportingAgent agent;
        agent.beginRequest(1, 100);
        CPPUNIT_ASSERT(takeReport(agent.reports, agent.flows, 119).empty());
        const PendingRequest expected { .flow = flowOf(1), .balancer = northBalancer, .acknowledged = 501 };
        CPPUNIT_ASSERT(takeReport(agent.reports, agent.flows, 120) == std::vector { expected });
        trackCallerPacket(agent.flows, flowOf(1), callerPacket(501), 130, northBalancer);
        CPPUNIT_ASSERT(takeReport(agent.reports, agent.flows, 140).empty() && agent.reports.waiting.empty());
    }

    // Guards against reports of requests that were answered, reset or lost with their upstream within 20 ms: most short
    // requests, which would use up the limit.
    void answeredRequestsAreNotReported()
    {
        ReportingAgent agent;
        for (std::uint16_t caller = 1; caller <= 4; ++caller)
            agent.beginRequest(caller, 100);
        trackUpstreamPacket(agent.flows, flowOf(1), upstreamData(900), 110);
        trackUpstreamPacket(agent.flows, flowOf(2), { .flags = { .resets = true } }, 111);
        forgetFlow(agent.flows, flowOf(3));
        const auto report = takeReport(agent.reports, agent.flows, 120);
        CPPUNIT_ASSERT(report.size() == 1 && report[0].flow == flowOf(4));
        // The next request of an open flow is a new one and waits its own 20 ms.
        agent.beginRequest(5, 120);
        trackUpstreamPacket(agent.flows, flowOf(5), upstreamData(900), 125);
        recordRequestBegan(agent.reports, flowOf(5), 130);
        agent.flows.flows.at(flowOf(5)).hasRequest = true;
        CPPUNIT_ASSERT(takeReport(agent.reports, agent.flows, 141).empty());
        CPPUNIT_ASSERT_EQUAL(std::size_t { 1 }, takeReport(agent.reports, agent.flows, 161).size());
    }

    // An upstream hangs while 1,000 requests a second arrive for two seconds. Guards against reports that fill a small link,
    // and against newer requests that take the place of those whose callers have waited longest.
    void budgetKeepsOldest()
    {
        ReportingAgent agent;
        std::vector<std::pair<Millis, std::uint16_t>> reported;
        for (Millis now = 1; now <= 2000; ++now) {
            agent.beginRequest(static_cast<std::uint16_t>(now), now);
            const auto report = takeReport(agent.reports, agent.flows, now);
            CPPUNIT_ASSERT(report.empty() || reported.empty() || now - reported.back().first >= 20);
            for (const PendingRequest& request : report)
                reported.emplace_back(now, request.flow.caller.port);
        }
        CPPUNIT_ASSERT(std::ranges::is_sorted(reported, {}, &std::pair<Millis, std::uint16_t>::second));
        for (std::uint16_t oldest = 1; oldest <= 50; ++oldest)
            CPPUNIT_ASSERT_EQUAL(oldest, reported[oldest - 1U].second);
        constexpr double limit = 4000;
        for (Millis start = 0; start <= 1000; ++start) {
            const auto inWindow = std::ranges::count_if(reported, [start](const auto& item) { return item.first > start && item.first <= start + 1000; });
            CPPUNIT_ASSERT(static_cast<double>(inWindow) * agent.reports.options.requestBytes <= limit);
        }
        CPPUNIT_ASSERT_EQUAL(std::uint64_t { 2000 } - reported.size() - agent.reports.waiting.size(), agent.reports.leftOut);
    }

    /// The bytes of requests that the busiest balancer receives and the busiest agent sends in ten seconds, while each agent
    /// has 20 long requests a second.
    static std::pair<std::size_t, std::size_t> busiest(std::size_t agentCount, std::size_t balancerCount)
    {
        std::vector<std::uint32_t> balancers(balancerCount);
        std::ranges::generate(balancers, [next = 0U]() mutable { return next++; });
        std::vector<std::size_t> received(balancerCount);
        std::size_t mostSent = 0;
        for (std::size_t index = 0; index < agentCount; ++index) {
            ReportingAgent agent;
            agent.reports.receivers = index * 7;
            std::size_t sent = 0;
            for (Millis now = 0; now < 10000; now += 10) {
                if (now % 50 == 0)
                    agent.beginRequest(static_cast<std::uint16_t>(now / 50), now);
                const auto report = takeReport(agent.reports, agent.flows, now);
                sent += report.size() * 20;
                if (!report.empty())
                    received[*nextReceiver(agent.reports, balancers)] += report.size() * 20;
            }
            mostSent = std::max(mostSent, sent);
        }
        return { std::ranges::max(received), mostSent };
    }

    // Guards against reports whose bytes grow with the deployment: 300 processes instead of 79, with as many agents for each
    // balancer.
    void bytesDoNotGrowWithFleet()
    {
        const auto [received, sent] = busiest(57, 15);
        const auto [receivedByLarge, sentByLarge] = busiest(216, 57);
        CPPUNIT_ASSERT(sent <= 4000 && sentByLarge == sent);
        CPPUNIT_ASSERT(static_cast<double>(receivedByLarge) <= 1.1 * static_cast<double>(received));
    }

    // A data centre loses power while callers wait in silence for their answers. Guards against callers that wait for their
    // deadlines, also behind idle flows, against resets that bring all callers back at once, and against a reset for each source
    // that knows a flow.
    void lossOfPowerResetsSilentCallers()
    {
        PendingRequestTable table;
        for (std::uint16_t caller = 1; caller <= 40; ++caller)
            receive(table, northAgent, { requestOf(caller) }, 100 + caller);
        const std::vector<CachedFlow> cached { { .reset = { .flow = flowOf(41), .acknowledged = 8 }, .usedAt = 550 }, { .reset = { .flow = flowOf(40), .acknowledged = 7 }, .usedAt = 500 } };
        const LossExtent extent = beginResets(table, "north", cached, 600);
        CPPUNIT_ASSERT(extent.records == 40 && extent.cachedFlows == 2 && extent.resets == 41);
        CPPUNIT_ASSERT_EQUAL(std::size_t { 0 }, beginResets(table, "north", cached, 600).resets);
        std::vector<FlowReset> sent;
        for (const std::size_t expected : { std::size_t { 16 }, std::size_t { 16 }, std::size_t { 9 }, std::size_t { 0 } }) {
            const auto resets = takeResets(table, 620);
            CPPUNIT_ASSERT_EQUAL(expected, resets.size());
            sent.insert(sent.end(), resets.begin(), resets.end());
        }
        CPPUNIT_ASSERT((sent[0] == FlowReset { .flow = flowOf(40), .acknowledged = 7 }));
        CPPUNIT_ASSERT((sent[1] == FlowReset { .flow = flowOf(39), .acknowledged = 1039 }));
        CPPUNIT_ASSERT(sent[39].flow == flowOf(1));
        CPPUNIT_ASSERT(sent[40].flow == flowOf(41));
    }

    // Guards against memory that grows with the reports, and against new requests that are lost instead of old ones.
    void fullTableDropsOldest()
    {
        PendingRequestTable table;
        for (std::size_t caller = 0; caller <= maxPendingRecords; ++caller)
            receive(table, northAgent, { requestOf(static_cast<std::uint16_t>(caller)) }, 100);
        CPPUNIT_ASSERT(table.records.size() == maxPendingRecords && table.dropped == 1);
        CPPUNIT_ASSERT(!table.records.find(flowOf(0)) && table.records.find(flowOf(maxPendingRecords)));
    }

    // Guards against resets of callers that have given up, against records that are kept for ever, and against callers that
    // count as rerouted long after they were served elsewhere.
    void recordsEndWithTimeout()
    {
        PendingRequestTable table;
        m_routes.routes[0].timeout = 1500;
        receive(table, northAgent, { requestOf(1) }, 100);
        m_routes.routes[0].timeout = 0;
        receive(table, northAgent, { requestOf(2) }, 100);
        expirePendingRequests(table, 1599);
        CPPUNIT_ASSERT_EQUAL(std::size_t { 2 }, table.records.size());
        expirePendingRequests(table, 1600);
        CPPUNIT_ASSERT(table.records.size() == 1 && table.records.find(flowOf(2)));
        CPPUNIT_ASSERT_EQUAL(std::size_t { 0 }, beginResets(table, "north", {}, 4100).resets);
        CPPUNIT_ASSERT(servedBy(table, flowOf(1).caller.address, 10100) == "north" && !servedBy(table, flowOf(1).caller.address, 10101));
        expirePendingRequests(table, 10101);
        CPPUNIT_ASSERT_EQUAL(std::size_t { 0 }, table.callers.size());
    }

    // The balancers of a data centre were restarted, and its callers were moved here for a while. Guards against taking them for
    // evidence of a loss when the link to that data centre is cut later.
    void callersMovedBeforeTheSilenceAreKnown()
    {
        PendingRequestTable table;
        receive(table, northAgent, { requestOf(1) }, 100);
        const std::uint32_t caller = flowOf(1).caller.address;
        CPPUNIT_ASSERT(!recordSeenHere(table, caller + 1, 200));
        CPPUNIT_ASSERT(recordSeenHere(table, caller, 200) == 200);
        receive(table, northAgent, { requestOf(1) }, 5000);
        CPPUNIT_ASSERT(recordSeenHere(table, caller, 9000) == 200);
        CPPUNIT_ASSERT(recordSeenHere(table, caller, 19001) == 19001);
    }

    // Guards against hosts that have callers reset by a forged report, and against records that no loss could ever use.
    void foreignReportsAreRefused()
    {
        PendingRequestTable table;
        PendingRequest unknown = requestOf(1);
        unknown.flow.service.port = 1;
        using enum PendingReportOutcome;
        CPPUNIT_ASSERT(receive(table, 0x01020304, { requestOf(1), requestOf(2) }, 100) == std::vector({ ForeignSender, ForeignSender }));
        CPPUNIT_ASSERT(receive(table, northBalancer, { requestOf(1) }, 100) == std::vector { ForeignSender });
        CPPUNIT_ASSERT(receive(table, southAgent, { requestOf(1) }, 100) == std::vector { OwnDataCentre });
        CPPUNIT_ASSERT(table.records.size() == 0 && !servedBy(table, flowOf(1).caller.address, 100));
        CPPUNIT_ASSERT(receive(table, northAgent, { unknown, requestOf(2) }, 100) == std::vector({ UnknownAddress, Recorded }));
        CPPUNIT_ASSERT_EQUAL(std::size_t { 1 }, table.records.size());
    }

    // A report was delayed on its way and arrives after its data centre was found lost. Guards against a record that outlives
    // the loss.
    void staleReportAfterLossIsRefused()
    {
        PendingRequestTable table;
        beginResets(table, "north", {}, 100);
        CPPUNIT_ASSERT(receive(table, northAgent, { requestOf(1) }, 130, true) == std::vector { PendingReportOutcome::LostDataCentre });
        CPPUNIT_ASSERT(table.records.size() == 0 && takeResets(table, 140).empty());
    }

    // A data centre is heard again while resets wait. Guards against resets of flows that it still serves, and against records
    // from before the loss that a second loss would use.
    void returningDataCentreKeepsItsFlows()
    {
        PendingRequestTable table;
        for (std::uint16_t caller = 1; caller <= 20; ++caller)
            receive(table, northAgent, { requestOf(caller) }, 100);
        beginResets(table, "north", {}, 500);
        CPPUNIT_ASSERT_EQUAL(std::size_t { 16 }, takeResets(table, 520).size());
        endResets(table, "north");
        CPPUNIT_ASSERT(takeResets(table, 540).empty());
        CPPUNIT_ASSERT_EQUAL(std::size_t { 0 }, beginResets(table, "north", {}, 600).resets);
        CPPUNIT_ASSERT(receive(table, northAgent, { requestOf(1) }, 700) == std::vector { PendingReportOutcome::Recorded });
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(TestPendingRequests);
