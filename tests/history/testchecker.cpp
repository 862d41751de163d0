#include "libhistory/checker.h"

#include <algorithm>
#include <cppunit/extensions/HelperMacros.h>
#include <sstream>

using namespace kingcuptrail;

namespace {

/// A history that breaks one promise, and its twin in which one line is different and nothing is broken.
struct Twin {
    Promise promise;
    const char* story;
    const char* common;
    const char* broken;
    const char* repaired;
};

// One event a line: time, who, event, then fields as name=value. Settle is 3000 ms, the configuration's bound 5000 ms.
constexpr auto deployment = R"(
10 board-1 upstreamStarted upstream=board-1 upstreamId=1 service=board dataCentre=north
10 board-2 upstreamStarted upstream=board-2 upstreamId=2 service=board dataCentre=south
10 filing-1 upstreamStarted upstream=filing-1 upstreamId=3 service=filing dataCentre=north
11 run processStarted process=b1 role=balancer
11 run processStarted process=a1 role=agent upstream=board-1 dataCentre=north
20 run configInForce process=b1 version=1
20 run configInForce process=a1 version=1
)";

const Twin twins[] = {
    { Promise::FlowSurvives, "A balancer is killed; a feed whose agent lives is cut.",
        "100 c1 flowOpened flow=5 service=board upstreamId=1\n200 run processKilled process=b1 role=balancer",
        "300 c1 flowBroken flow=5 reason=flowUnknown", "300 c1 flowClosed flow=5" },
    { Promise::FlowSurvives, "A feed is given up, but it is another data centre that is out.",
        "100 c1 flowOpened flow=5 service=board upstreamId=2\n300 c1 flowGivenUp flow=5 reason=dataCentreOut",
        "200 op operatorTookOut dataCentre=north", "200 op operatorTookOut dataCentre=south" },
    { Promise::FlowSurvives, "A feed is given up before the operators hear that their outage is accepted; without their asking it may not.",
        "100 c1 flowOpened flow=5 service=board upstreamId=2\n300 c1 flowGivenUp flow=5 reason=dataCentreOut\n302 op operatorTookOut dataCentre=south",
        "200 op operatorBeganTakeOut dataCentre=north", "200 op operatorBeganTakeOut dataCentre=south" },
    { Promise::FlowSurvives, "The same, but the outage that was asked for is never accepted: another one is.",
        "100 c1 flowOpened flow=5 service=board upstreamId=2\n200 op operatorBeganTakeOut dataCentre=south\n300 c1 flowGivenUp flow=5 reason=dataCentreOut",
        "302 op operatorTookOut dataCentre=north", "302 op operatorTookOut dataCentre=south" },
    { Promise::FlowSurvives, "A feed opened after its upstream had come back breaks again.",
        "50 run processKilled process=a1 upstream=board-1\n60 run processStarted process=a1 role=agent upstream=board-1",
        "100 c1 flowOpened flow=5 upstreamId=1\n300 c1 flowBroken flow=5", "55 c1 flowOpened flow=5 upstreamId=1\n300 c1 flowBroken flow=5" },
    { Promise::FlowSurvives, "A feed outlives a pause of its agent, and breaks long after.",
        "100 c1 flowOpened flow=5 upstreamId=1\n200 run processFrozen process=a1 upstream=board-1\n300 run processContinued process=a1 upstream=board-1",
        "11000 c1 flowBroken flow=5", "10000 c1 flowBroken flow=5" },
    { Promise::NoMisrouting, "A Filing is run by an upstream of the board.",
        "100 c1 requestSent key=k service=filing",
        "110 board-1 upstreamWorkBegan key=k upstream=board-1 service=board", "110 filing-1 upstreamWorkBegan key=k upstream=filing-1 service=filing" },
    { Promise::NoMisrouting, "A packet for the board reaches the filing intake.", "",
        "110 filing-1 upstreamPacket upstream=filing-1 service=board", "110 filing-1 upstreamPacket upstream=filing-1 service=filing" },
    { Promise::ColdSpared, "Three balancers each think one request is little; a cold upstream gets three.", "",
        "110 board-1 upstreamWorkBegan upstream=board-1 service=board key=k concurrent=3 bearable=1", "110 board-1 upstreamWorkBegan upstream=board-1 service=board key=k concurrent=1 bearable=1" },
    { Promise::ColdSpared, "An upstream turns cold without warning and is still flooded long after.",
        "100 run faultBegan process=board-1 upstream=board-1",
        "1200 board-1 upstreamOverloaded upstream=board-1 concurrent=9 bearable=2", "1000 board-1 upstreamOverloaded upstream=board-1 concurrent=9 bearable=2" },
    { Promise::OutSilent, "Operators took a data centre out; one balancer heard late and goes on.",
        "100 op operatorTookOut dataCentre=north",
        "3200 board-1 upstreamPacket upstream=board-1 service=board dataCentre=north", "3000 board-1 upstreamPacket upstream=board-1 service=board dataCentre=north" },
    { Promise::OutSilent, "The same, and the data centre was brought back before.",
        "100 op operatorTookOut dataCentre=north\n6000 board-1 upstreamPacket upstream=board-1 service=board dataCentre=north",
        "6500 op operatorBroughtBack dataCentre=north", "5500 op operatorBroughtBack dataCentre=north" },
    { Promise::WholeAnswers, "Two answers cross; a crew reads another's permit.",
        "100 c1 requestSent key=k service=board\n110 board-1 upstreamWorkBegan key=k upstream=board-1 service=board\n120 board-1 upstreamWorkEnded key=k upstream=board-1 bodyHash=8",
        "130 c1 answerWhole key=k bodyHash=9", "130 c1 answerWhole key=k bodyHash=8" },
    { Promise::WholeAnswers, "An answer breaks off though nothing failed.",
        "100 c1 requestSent key=k service=board\n110 board-1 upstreamWorkBegan key=k upstream=board-1 service=board\n130 c1 answerBroken key=k",
        "", "115 run processKilled process=a1 upstream=board-1" },
    { Promise::WholeAnswers, "A drawing arrives with a hole.",
        "100 c1 requestSent key=k service=filing bodyHash=4",
        "110 filing-1 upstreamWorkBegan key=k upstream=filing-1 service=filing bodyHash=5", "110 filing-1 upstreamWorkBegan key=k upstream=filing-1 service=filing bodyHash=4" },
    { Promise::WholeAnswers, "A feed loses an item while a balancer dies.",
        "100 c1 feedItem key=f flow=5 sequence=1\n101 c1 feedItem key=f flow=5 sequence=2",
        "102 c1 feedItem key=f flow=5 sequence=4", "102 c1 feedItem key=f flow=5 sequence=3" },
    { Promise::TrueRefusals, "A Filing is refused as not run; the upstream begins it later.",
        "100 c1 requestSent key=k service=filing idempotent=false\n500 filing-1 upstreamWorkBegan key=k upstream=filing-1 service=filing idempotent=false",
        "120 c1 refusedNotRun key=k reason=queueFull", "120 c1 refusedUnknown key=k reason=upstreamLost" },
    { Promise::TrueRefusals, "The first call of a key ran truly; the second is refused truly, or both claim that they did not run.",
        "100 c1 requestSent key=k call=1 service=filing idempotent=false\n110 filing-1 upstreamWorkBegan key=k upstream=filing-1 service=filing\n111 filing-1 upstreamWorkEnded key=k upstream=filing-1 bodyHash=1\n200 c1 requestSent key=k call=2 service=filing idempotent=false\n210 c1 refusedNotRun key=k call=2",
        "150 c1 refusedNotRun key=k call=1", "150 c1 answerWhole key=k call=1 bodyHash=1" },
    { Promise::AtMostOnce, "A Filing is sent again on a new flow and runs at two agents.",
        "100 c1 requestSent key=k service=filing idempotent=false\n110 filing-1 upstreamWorkBegan key=k upstream=filing-1 service=filing",
        "900 filing-1 upstreamWorkBegan key=k upstream=filing-1 service=filing", "" },
    { Promise::AtMostOnce, "The same with a status query, which may run twice.",
        "110 board-1 upstreamWorkBegan key=k upstream=board-1 service=board\n120 board-1 upstreamWorkBegan key=k upstream=board-1 service=board",
        "100 c1 requestSent key=k service=board idempotent=false", "100 c1 requestSent key=k service=board" },
    { Promise::LeaverNoNewWork, "An upstream drains; a balancer that has not heard opens a flow there.",
        "100 run drainBegan process=a1 upstream=board-1",
        "3200 c1 flowOpened flow=5 upstreamId=1", "3200 c1 flowOpened flow=5 upstreamId=2" },
    { Promise::LeaverNoNewWork, "An upstream drains; a long upload from before still begins its work there.",
        "100 run drainBegan process=a1 upstream=board-1\n3200 board-1 upstreamWorkBegan key=k upstream=board-1 service=board",
        "150 c1 requestSent key=k service=board", "50 c1 requestSent key=k service=board" },
    { Promise::ShutdownCutsNothing, "An agent shuts down in the middle of a Filing and says that its outcome is unknown.",
        "100 c1 requestSent key=k service=board idempotent=false\n110 board-1 upstreamWorkBegan key=k upstream=board-1 service=board\n400 board-1 upstreamWorkEnded key=k upstream=board-1 bodyHash=2\n200 run shutdownBegan process=a1 upstream=board-1",
        "410 c1 refusedUnknown key=k reason=upstreamLost", "410 c1 answerWhole key=k bodyHash=2" },
    { Promise::ShutdownCutsNothing, "A balancer shuts down and a query under way is lost with it.",
        "100 c1 requestSent key=k service=board\n200 run shutdownBegan process=b1",
        "300 c1 refusedUnknown key=k", "190 c1 refusedUnknown key=k" },
    { Promise::ConfigNeverReverts, "Two operators race; a balancer hears of the older version last.",
        "100 run configInForce process=b1 version=3", "200 run configInForce process=b1 version=2", "200 run configInForce process=b1 version=4" },
    { Promise::ConfigNeverReverts, "A version is accepted, and one agent never gets it.",
        "100 op operatorApplied version=2\n150 run configInForce process=b1 version=2\n9000 c1 flowClosed flow=9",
        "6000 run configInForce process=a1 version=2", "4000 run configInForce process=a1 version=2" },
    { Promise::ConfigNeverReverts, "A version is accepted while one agent is frozen, or only begins to be frozen when it was due.",
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

std::string describe(const Twin& twin, const CheckResult& result)
{
    std::string text = twin.story;
    for (const Violation& violation : result.violations)
        text.append("\n  ").append(nameOf(violation.promise)).append(": ").append(violation.text);
    return text;
}

}

class TestChecker : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(TestChecker);
    CPPUNIT_TEST(brokenPromisesAreFound);
    CPPUNIT_TEST(repairedTwinsPass);
    CPPUNIT_TEST(everyPromiseHasATwin);
    CPPUNIT_TEST(summaryCounts);
    CPPUNIT_TEST_SUITE_END();

    void brokenPromisesAreFound()
    {
        for (const Twin& twin : twins) {
            const auto result = checkHistory(historyOf(twin.common, twin.broken));
            CPPUNIT_ASSERT_MESSAGE(describe(twin, result), result.violations.size() == 1);
            CPPUNIT_ASSERT_MESSAGE(describe(twin, result), result.violations[0].promise == twin.promise);
            CPPUNIT_ASSERT_MESSAGE(describe(twin, result), !result.violations[0].events.empty());
        }
    }

    void repairedTwinsPass()
    {
        for (const Twin& twin : twins) {
            const auto result = checkHistory(historyOf(twin.common, twin.repaired));
            CPPUNIT_ASSERT_MESSAGE(describe(twin, result), result.violations.empty());
        }
    }

    void everyPromiseHasATwin()
    {
        for (std::size_t number = 0; number < EnumNames<Promise>::names.size(); ++number)
            CPPUNIT_ASSERT(std::ranges::any_of(twins, [&](const Twin& twin) { return twin.promise == static_cast<Promise>(number); }));
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
