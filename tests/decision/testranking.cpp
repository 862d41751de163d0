#include "libdecision/placing.h"
#include "libdecision/ranking.h"

#include <cppunit/extensions/HelperMacros.h>

using namespace kingcuptrail;

class TestRanking : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(TestRanking);
    CPPUNIT_TEST(leavingMemberMovesOnlyItsOwnFlows);
    CPPUNIT_TEST(drainingMemberGetsNoNewFlow);
    CPPUNIT_TEST(lessLoadedSecondChoiceIsTaken);
    CPPUNIT_TEST_SUITE_END();

    static std::vector<Member> makeMembers(std::size_t count)
    {
        std::vector<Member> members;
        for (std::size_t index = 1; index <= count; ++index)
            members.push_back({ .token = { index, 1 }, .state = MemberState::Serving, .linked = true, .load = 0 });
        return members;
    }

    void leavingMemberMovesOnlyItsOwnFlows()
    {
        const auto before = makeMembers(7);
        auto after = before;
        after.erase(after.begin() + 3);
        for (FlowId flow = 1; flow < 1000; ++flow) {
            const UpstreamId old = before[rankMembers(flow, before)[0]].token.upstream;
            const UpstreamId now = after[rankMembers(flow, after)[0]].token.upstream;
            if (old != before[3].token.upstream)
                CPPUNIT_ASSERT_EQUAL(old, now);
        }
    }

    void drainingMemberGetsNoNewFlow()
    {
        auto members = makeMembers(3);
        members[1].state = MemberState::Draining;
        for (FlowId flow = 1; flow < 200; ++flow)
            CPPUNIT_ASSERT(placeFlow(flow, members, {})->member != 1);
    }

    void lessLoadedSecondChoiceIsTaken()
    {
        auto members = makeMembers(2);
        const std::size_t first = rankMembers(77, members)[0];
        members[first].load = 100;
        const auto placement = placeFlow(77, members, {});
        CPPUNIT_ASSERT(placement->member != first);
        CPPUNIT_ASSERT_EQUAL(first, *placement->passedOver);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(TestRanking);
