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

    // An agent is killed. Its callers' packets went nowhere until each flow was given up as silent, six seconds and
    // more later, and queries missed their deadlines meanwhile. The agent's host refuses connections at once, which
    // proves that the process is gone, so the balancer may say so.
    void flowsOfAnEndedProcessAreResetAtOnce()
    {
        MemberTable table = makeTable();
        table.setGone(board);
        CPPUNIT_ASSERT(route(table).action == RouteAction::ResetFlow);
        CPPUNIT_ASSERT(route(table).reason == RefusalReason::OwnerGone);
    }

    // A link is lost while its agent lives, as when the path between them has lost track of it. The flow must not be
    // reset on that alone: another balancer may still reach the owner.
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
