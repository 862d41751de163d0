#include "kingcuptraild/balancer/membertable.h"

#include <cppunit/extensions/HelperMacros.h>

using namespace kingcuptrail;

class TestMemberTable : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(TestMemberTable);
    CPPUNIT_TEST(flowsOfAnEndedProcessAreResetAtOnce);
    CPPUNIT_TEST(flowsOfAnUnlinkedOwnerAreNotReset);
    CPPUNIT_TEST(dataCentreOutIsAnsweredWithReset);
    CPPUNIT_TEST_SUITE_END();

    static constexpr OwnerToken board { 7, 1 };

    static MemberTable makeTable(bool isOut = false)
    {
        MemberTable table;
        table.setConfig({ .version = 1, .services = { { .name = "board", .address = 99, .dataCentres = { "north" } } }, .dataCentres = { { .name = "north", .out = isOut } } });
        table.setPresences({ { .upstream = "board-1", .token = board, .service = "board", .dataCentre = "north" } });
        return table;
    }

    static RouteResult route(const MemberTable& table)
    {
        return routeByToken(table.index(), table.allMembers(), board, 0);
    }

    // Guards against callers that wait six seconds or more, until each flow counts as silent, after an agent was killed, while
    // their queries miss deadlines. The agent's host refuses connections at once, which proves that the process has ended, so
    // the balancer can reset its flows.
    void flowsOfAnEndedProcessAreResetAtOnce()
    {
        MemberTable table = makeTable();
        table.setProcessEnded(board);
        CPPUNIT_ASSERT(route(table).action == RouteAction::ResetFlow);
        CPPUNIT_ASSERT(route(table).reason == RefusalReason::OwnerGone);
    }

    // Guards against resets of flows whose owner is alive. A lost link alone does not prove that the agent has ended, since
    // another balancer may still reach it.
    void flowsOfAnUnlinkedOwnerAreNotReset()
    {
        CPPUNIT_ASSERT(route(makeTable()).action == RouteAction::AnyAgent);
    }

    void dataCentreOutIsAnsweredWithReset()
    {
        const MemberTable table = makeTable(true);
        CPPUNIT_ASSERT(route(table).reason == RefusalReason::DataCentreOut);
        CPPUNIT_ASSERT(table.members(99)[0].state == MemberState::Out);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(TestMemberTable);
