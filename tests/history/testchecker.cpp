#include "libhistory/checker.h"

#include <algorithm>
#include <cppunit/extensions/HelperMacros.h>
#include <sstream>

using namespace kingcuptrail;

namespace {

/// A history that breaks one promise, and a variant that differs in a few lines and breaks none.
struct CheckerCase {
    Promise promise;
    const char* description;
    const char* common;
    const char* invalid;
    const char* valid;
};

// One event per line: time, who, event, then fields as name=value. `settle` is 3000 ms and `configBound` 5000 ms.
constexpr auto deployment = R"(
10 board-1 upstreamStarted upstream=board-1 upstreamId=1 service=board dataCentre=north
10 board-2 upstreamStarted upstream=board-2 upstreamId=2 service=board dataCentre=south
10 filing-1 upstreamStarted upstream=filing-1 upstreamId=3 service=filing dataCentre=north
11 run processStarted process=b1 role=balancer
11 run processStarted process=a1 role=agent upstream=board-1 dataCentre=north
20 run configInForce process=b1 version=1
20 run configInForce process=a1 version=1
)";

const CheckerCase checkerCases[] = {
    { Promise::FlowSurvives, "A balancer is killed, and a flow breaks although its agent lives.",
        "100 c1 flowOpened flow=5 service=board upstreamId=1\n200 run processKilled process=b1 role=balancer",
        "300 c1 flowBroken flow=5 reason=flowUnknown", "300 c1 flowClosed flow=5" },
    { Promise::FlowSurvives, "A flow is given up, but a different data centre is out of service.",
        "100 c1 flowOpened flow=5 service=board upstreamId=2\n300 c1 flowGivenUp flow=5 reason=dataCentreOut",
        "200 op operatorTookOut dataCentre=north", "200 op operatorTookOut dataCentre=south" },
    { Promise::FlowSurvives, "A flow is given up before the operators learn that their outage was accepted; it may end only after they requested it.",
        "100 c1 flowOpened flow=5 service=board upstreamId=2\n300 c1 flowGivenUp flow=5 reason=dataCentreOut\n302 op operatorTookOut dataCentre=south",
        "200 op operatorBeganTakeOut dataCentre=north", "200 op operatorBeganTakeOut dataCentre=south" },
    { Promise::FlowSurvives, "The same, but the requested outage is never accepted, only another one.",
        "100 c1 flowOpened flow=5 service=board upstreamId=2\n200 op operatorBeganTakeOut dataCentre=south\n300 c1 flowGivenUp flow=5 reason=dataCentreOut",
        "302 op operatorTookOut dataCentre=north", "302 op operatorTookOut dataCentre=south" },
    { Promise::FlowSurvives, "A flow that was opened after its upstream had restarted breaks.",
        "50 run processKilled process=a1 upstream=board-1\n60 run processStarted process=a1 role=agent upstream=board-1",
        "100 c1 flowOpened flow=5 upstreamId=1\n300 c1 flowBroken flow=5", "55 c1 flowOpened flow=5 upstreamId=1\n300 c1 flowBroken flow=5" },
    { Promise::FlowSurvives, "A flow survives a pause of its agent and breaks long afterwards.",
        "100 c1 flowOpened flow=5 upstreamId=1\n200 run processFrozen process=a1 upstream=board-1\n300 run processContinued process=a1 upstream=board-1",
        "11000 c1 flowBroken flow=5", "10000 c1 flowBroken flow=5" },
    { Promise::NoMisrouting, "A request to the filing service runs at an upstream of the board service.",
        "100 c1 requestSent key=k service=filing",
        "110 board-1 upstreamWorkBegan key=k upstream=board-1 service=board", "110 filing-1 upstreamWorkBegan key=k upstream=filing-1 service=filing" },
    { Promise::NoMisrouting, "A packet for the board service reaches an upstream of the filing service.", "",
        "110 filing-1 upstreamPacket upstream=filing-1 service=board", "110 filing-1 upstreamPacket upstream=filing-1 service=filing" },
    { Promise::ColdSpared, "Three balancers send one request each to a cold upstream, which can process only one.", "",
        "110 board-1 upstreamWorkBegan upstream=board-1 service=board key=k concurrent=3 bearable=1", "110 board-1 upstreamWorkBegan upstream=board-1 service=board key=k concurrent=1 bearable=1" },
    { Promise::ColdSpared, "An upstream becomes cold without notice and is still overloaded after the detection time.",
        "100 run faultBegan process=board-1 upstream=board-1",
        "1200 board-1 upstreamOverloaded upstream=board-1 concurrent=9 bearable=2", "1000 board-1 upstreamOverloaded upstream=board-1 concurrent=9 bearable=2" },
    { Promise::OutSilent, "A data centre is taken out of service, and a balancer that learns of it late still sends packets there.",
        "100 op operatorTookOut dataCentre=north",
        "3200 board-1 upstreamPacket upstream=board-1 service=board dataCentre=north", "3000 board-1 upstreamPacket upstream=board-1 service=board dataCentre=north" },
    { Promise::OutSilent, "The same, but the data centre is brought back, after or before the packet.",
        "100 op operatorTookOut dataCentre=north\n6000 board-1 upstreamPacket upstream=board-1 service=board dataCentre=north",
        "6500 op operatorBroughtBack dataCentre=north", "5500 op operatorBroughtBack dataCentre=north" },
    { Promise::WholeAnswers, "Two answers are mixed up, and a caller gets the answer to another request.",
        "100 c1 requestSent key=k service=board\n110 board-1 upstreamWorkBegan key=k upstream=board-1 service=board\n120 board-1 upstreamWorkEnded key=k upstream=board-1 bodyHash=8",
        "130 c1 answerWhole key=k bodyHash=9", "130 c1 answerWhole key=k bodyHash=8" },
    { Promise::WholeAnswers, "An answer breaks off without any failure.",
        "100 c1 requestSent key=k service=board\n110 board-1 upstreamWorkBegan key=k upstream=board-1 service=board\n130 c1 answerBroken key=k",
        "", "115 run processKilled process=a1 upstream=board-1" },
    { Promise::WholeAnswers, "A request body arrives at the upstream changed.",
        "100 c1 requestSent key=k service=filing bodyHash=4",
        "110 filing-1 upstreamWorkBegan key=k upstream=filing-1 service=filing bodyHash=5", "110 filing-1 upstreamWorkBegan key=k upstream=filing-1 service=filing bodyHash=4" },
    { Promise::WholeAnswers, "A feed loses an item.",
        "100 c1 feedItem key=f flow=5 sequence=1\n101 c1 feedItem key=f flow=5 sequence=2",
        "102 c1 feedItem key=f flow=5 sequence=4", "102 c1 feedItem key=f flow=5 sequence=3" },
    { Promise::TrueRefusals, "A request is refused as not run, but the upstream begins it later.",
        "100 c1 requestSent key=k service=filing idempotent=false\n500 filing-1 upstreamWorkBegan key=k upstream=filing-1 service=filing idempotent=false",
        "120 c1 refusedNotRun key=k reason=queueFull", "120 c1 refusedUnknown key=k reason=upstreamLost" },
    { Promise::TrueRefusals, "The first call of a key ran and the second is refused as not run, which is correct; the first may not be refused as not run too.",
        "100 c1 requestSent key=k call=1 service=filing idempotent=false\n110 filing-1 upstreamWorkBegan key=k upstream=filing-1 service=filing\n111 filing-1 upstreamWorkEnded key=k upstream=filing-1 bodyHash=1\n200 c1 requestSent key=k call=2 service=filing idempotent=false\n210 c1 refusedNotRun key=k call=2",
        "150 c1 refusedNotRun key=k call=1", "150 c1 answerWhole key=k call=1 bodyHash=1" },
    { Promise::AtMostOnce, "A request that is not idempotent is retried on a new flow and runs twice.",
        "100 c1 requestSent key=k service=filing idempotent=false\n110 filing-1 upstreamWorkBegan key=k upstream=filing-1 service=filing",
        "900 filing-1 upstreamWorkBegan key=k upstream=filing-1 service=filing", "" },
    { Promise::AtMostOnce, "The same with a query, which may run twice only if it is idempotent.",
        "110 board-1 upstreamWorkBegan key=k upstream=board-1 service=board\n120 board-1 upstreamWorkBegan key=k upstream=board-1 service=board",
        "100 c1 requestSent key=k service=board idempotent=false", "100 c1 requestSent key=k service=board" },
    { Promise::LeaverNoNewWork, "An upstream drains, and a balancer with stale data opens a flow there.",
        "100 run drainBegan process=a1 upstream=board-1",
        "3200 c1 flowOpened flow=5 upstreamId=1", "3200 c1 flowOpened flow=5 upstreamId=2" },
    { Promise::LeaverNoNewWork, "An upstream drains, and work begins there for a request that was sent before the drain, or after it.",
        "100 run drainBegan process=a1 upstream=board-1\n3200 board-1 upstreamWorkBegan key=k upstream=board-1 service=board",
        "150 c1 requestSent key=k service=board", "50 c1 requestSent key=k service=board" },
    { Promise::ShutdownCutsNothing, "An agent shuts down during a request and reports its outcome as unknown.",
        "100 c1 requestSent key=k service=board idempotent=false\n110 board-1 upstreamWorkBegan key=k upstream=board-1 service=board\n400 board-1 upstreamWorkEnded key=k upstream=board-1 bodyHash=2\n200 run shutdownBegan process=a1 upstream=board-1",
        "410 c1 refusedUnknown key=k reason=upstreamLost", "410 c1 answerWhole key=k bodyHash=2" },
    { Promise::ShutdownCutsNothing, "A balancer shuts down, and a query under way is lost.",
        "100 c1 requestSent key=k service=board\n200 run shutdownBegan process=b1",
        "300 c1 refusedUnknown key=k", "190 c1 refusedUnknown key=k" },
    { Promise::ConfigNeverReverts, "Two operators apply changes at the same time, and a balancer receives the older version last.",
        "100 run configInForce process=b1 version=3", "200 run configInForce process=b1 version=2", "200 run configInForce process=b1 version=4" },
    { Promise::ConfigNeverReverts, "A version is accepted, and one agent gets it too late.",
        "100 op operatorApplied version=2\n150 run configInForce process=b1 version=2\n9000 c1 flowClosed flow=9",
        "6000 run configInForce process=a1 version=2", "4000 run configInForce process=a1 version=2" },
    { Promise::ConfigNeverReverts, "A version is accepted and an agent does not get it: it is frozen only after the version was due, or before.",
        "100 op operatorApplied version=2\n150 run configInForce process=b1 version=2\n9000 c1 flowClosed flow=9",
        "5200 run processFrozen process=a1 upstream=board-1", "200 run processFrozen process=a1 upstream=board-1" },
};

void appendEvents(const char* text, std::vector<HistoryEvent>& events)
{
    std::istringstream lines(text);
    for (std::string line; std::getline(lines, line);) {
        std::istringstream words(line);
        std::string at;
        std::string who;
        std::string kind;
        if (!(words >> at >> who >> kind))
            continue;
        std::string json = R"({"t":)";
        json.append(at).append(R"(,"who":")").append(who).append(R"(","event":")").append(kind).append("\"");
        for (std::string word; words >> word;) {
            const auto equals = word.find('=');
            const std::string name = word.substr(0, equals);
            const std::string value = word.substr(equals + 1);
            const bool isText = value.find_first_not_of("0123456789") != std::string::npos && value != "false";
            json.append(",\"").append(name).append("\":").append(isText ? "\"" + value + "\"" : value);
        }
        HistoryError error = HistoryError::None;
        const auto event = parseJsonLine(json + "}", error);
        CPPUNIT_ASSERT_MESSAGE(line, event);
        events.push_back(*event);
    }
}

std::vector<HistoryEvent> historyOf(const char* common, const char* rest)
{
    std::vector<HistoryEvent> events;
    for (const char* text : { deployment, common, rest })
        appendEvents(text, events);
    std::ranges::stable_sort(events, {}, &HistoryEvent::at);
    return events;
}

std::string describe(const CheckerCase& checkerCase, const CheckResult& result)
{
    std::string text = checkerCase.description;
    for (const Violation& violation : result.violations)
        text.append("\n  ").append(nameOf(violation.promise)).append(": ").append(violation.text);
    return text;
}

}

class TestChecker : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(TestChecker);
    CPPUNIT_TEST(violationsAreFound);
    CPPUNIT_TEST(validHistoriesPass);
    CPPUNIT_TEST(everyPromiseHasACase);
    CPPUNIT_TEST(summaryCounts);
    CPPUNIT_TEST_SUITE_END();

    void violationsAreFound()
    {
        for (const CheckerCase& checkerCase : checkerCases) {
            const auto result = checkHistory(historyOf(checkerCase.common, checkerCase.invalid));
            CPPUNIT_ASSERT_MESSAGE(describe(checkerCase, result), result.violations.size() == 1);
            CPPUNIT_ASSERT_MESSAGE(describe(checkerCase, result), result.violations[0].promise == checkerCase.promise);
            CPPUNIT_ASSERT_MESSAGE(describe(checkerCase, result), !result.violations[0].events.empty());
        }
    }

    void validHistoriesPass()
    {
        for (const CheckerCase& checkerCase : checkerCases) {
            const auto result = checkHistory(historyOf(checkerCase.common, checkerCase.valid));
            CPPUNIT_ASSERT_MESSAGE(describe(checkerCase, result), result.violations.empty());
        }
    }

    void everyPromiseHasACase()
    {
        for (std::size_t number = 0; number < EnumNames<Promise>::names.size(); ++number)
            CPPUNIT_ASSERT(std::ranges::any_of(checkerCases, [&](const CheckerCase& checkerCase) { return checkerCase.promise == static_cast<Promise>(number); }));
    }

    void summaryCounts()
    {
        const auto events = historyOf(R"(
100 c1 flowOpened flow=1 upstreamId=1
100 c1 flowOpened flow=2 upstreamId=1
100 c1 flowOpened flow=3 upstreamId=1
100 c1 flowOpened flow=4 upstreamId=2
200 c1 flowBroken flow=1
200 c1 flowGivenUp flow=2
300 c1 requestSent key=k idempotent=false service=filing
310 filing-1 upstreamWorkBegan key=k upstream=filing-1 service=filing
310 board-1 upstreamWorkBegan key=k upstream=board-1 service=board
320 c1 refusedUnknown key=k)",
            "");
        CPPUNIT_ASSERT_EQUAL(std::string(R"({"flows":4,"broken":1,"givenUp":1,"requests":1,"answeredWhole":0,"refusedNotRun":0,)"
                                         R"("outcomeUnknown":1,"doubleRuns":1,"misrouted":1,"imbalance":1.5})"),
            toJson(checkHistory(events).summary));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(TestChecker);
