#include "libdecision/forwarding.h"
#include "libdecision/routing.h"

#include <cppunit/extensions/HelperMacros.h>
#include <cstdlib>
#include <new>

using namespace kingcuptrail;

namespace {

std::size_t allocations = 0;

/// Calls `check` for every consistent combination of facts.
template <typename Check>
void forEachPacketContext(Check check)
{
    for (unsigned bits = 0; bits < 1U << 9; ++bits) {
        const auto bit = [bits](unsigned index) { return (bits >> index & 1U) != 0; };
        PacketFacts facts {
            .isOpen = bit(0),
            .hasToken = bit(1),
            .tokenIsOwn = bit(2),
            .tokenIsPredecessor = bit(3),
            .holdsFlow = bit(4),
            .redirectFound = bit(5),
            .serviceMatches = bit(6),
            .draining = bit(7),
            .dataCentreOut = bit(8),
        };
        const bool impossible = (!facts.hasToken && (facts.tokenIsOwn || facts.tokenIsPredecessor)) || (facts.tokenIsOwn && facts.tokenIsPredecessor);
        if (impossible)
            continue;
        for (const std::uint8_t hops : { std::uint8_t { 0 }, std::uint8_t(maxHops - 1), maxHops, std::uint8_t { 255 } }) {
            facts.hops = hops;
            check(facts, decidePacket(facts));
        }
    }
}

bool forwards(const PacketVerdict& verdict)
{
    return verdict.action == PacketAction::ForwardToOwner || verdict.action == PacketAction::NextInRanking;
}

bool servesPacket(const PacketVerdict& verdict)
{
    return verdict.action == PacketAction::Deliver || verdict.action == PacketAction::Open;
}

std::string describe(const RouteResult& result)
{
    const std::string member = result.action == RouteAction::ToMember ? std::to_string(result.member) : std::string(nameOf(result.reason));
    return std::string(nameOf(result.action)) + " " + member;
}

/// Upstream 1 is serving, 2 draining, 3 not linked, 4 out, 5 replaced, 6 lapsed, 7 replaced and still linked.
std::vector<Member> makeMembers()
{
    return {
        { .token = { 1, 10 }, .state = MemberState::Serving, .linked = true },
        { .token = { 2, 10 }, .state = MemberState::Draining, .linked = true },
        { .token = { 3, 10 }, .state = MemberState::Serving, .linked = false },
        { .token = { 4, 10 }, .state = MemberState::Out, .linked = true },
        { .token = { 5, 10 }, .state = MemberState::Serving, .linked = false },
        { .token = { 5, 11 }, .state = MemberState::Serving, .linked = true },
        { .token = { 6, 10 }, .state = MemberState::Lapsed, .linked = true },
        { .token = { 7, 10 }, .state = MemberState::Lapsed, .linked = true },
        { .token = { 7, 11 }, .state = MemberState::Serving, .linked = true },
    };
}

}

// Counts allocations, since routing decisions must not allocate.
void* operator new(std::size_t size)
{
    ++allocations;
    if (void* memory = std::malloc(size))
        return memory;
    throw std::bad_alloc();
}

void operator delete(void* memory) noexcept
{
    std::free(memory);
}

void operator delete(void* memory, std::size_t) noexcept
{
    std::free(memory);
}

class TestPackets : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(TestPackets);
    CPPUNIT_TEST(agentServesOnlyItsOwnService);
    CPPUNIT_TEST(agentDoesNotResetFlowsOfOtherAgents);
    CPPUNIT_TEST(agentForwardsWhatItMayNotAccept);
    CPPUNIT_TEST(balancerRoutesByToken);
    CPPUNIT_TEST(staleViewResetsNoFlow);
    CPPUNIT_TEST(unownedPacketsFollowTheRanking);
    CPPUNIT_TEST(routingAllocatesNothing);
    CPPUNIT_TEST_SUITE_END();

    // Guards against uploads that reach another service after an address has moved and one balancer has an old
    // configuration.
    void agentServesOnlyItsOwnService()
    {
        std::size_t misdelivered = 0;
        forEachPacketContext([&](const PacketFacts& facts, const PacketVerdict& verdict) {
            CPPUNIT_ASSERT(!servesPacket(verdict) || facts.serviceMatches);
            if (verdict.reason == RefusalReason::WrongService)
                CPPUNIT_ASSERT(!facts.serviceMatches && verdict.action == (facts.holdsFlow ? PacketAction::Drop : PacketAction::ReplyReset));
            if (servesPacket(decidePacket(facts, { .serviceGuard = false })) && !facts.serviceMatches)
                ++misdelivered;
        });
        CPPUNIT_ASSERT(misdelivered > 0);
    }

    // Guards against a reset of an open flow by an agent that does not hold it, which would cut a feed because of one stale
    // view.
    void agentDoesNotResetFlowsOfOtherAgents()
    {
        forEachPacketContext([](const PacketFacts& facts, const PacketVerdict& verdict) {
            const bool belongsToOther = facts.hasToken && !facts.tokenIsOwn && !facts.tokenIsPredecessor;
            const bool unowned = !facts.hasToken && !facts.holdsFlow && !facts.isOpen;
            CPPUNIT_ASSERT(!(belongsToOther || unowned) || forwards(verdict) || verdict.action == PacketAction::Drop);
            if (verdict.reason == RefusalReason::FlowUnknown && verdict.action == PacketAction::ReplyReset)
                CPPUNIT_ASSERT(facts.tokenIsOwn && !facts.holdsFlow);
            const bool held = facts.holdsFlow && facts.serviceMatches && !facts.dataCentreOut && (facts.tokenIsOwn || !facts.hasToken);
            if (held)
                CPPUNIT_ASSERT(verdict.action == PacketAction::Deliver);
        });
    }

    void agentForwardsWhatItMayNotAccept()
    {
        forEachPacketContext([](const PacketFacts& facts, const PacketVerdict& verdict) {
            CPPUNIT_ASSERT(!facts.dataCentreOut || !servesPacket(verdict));
            const bool isNew = facts.isOpen && !facts.holdsFlow && !facts.hasToken && !facts.redirectFound;
            CPPUNIT_ASSERT(verdict.action != PacketAction::Open || (isNew && !facts.draining));
            if (isNew && facts.draining && verdict.action == PacketAction::ReplyReset)
                CPPUNIT_ASSERT(facts.hops >= maxHops || !facts.serviceMatches);
            CPPUNIT_ASSERT(!forwards(verdict) || facts.hops < maxHops);
            // A misdirected packet for another service must not end the flow held under its id.
            const bool isMisdirected = facts.holdsFlow && verdict.reason == RefusalReason::WrongService;
            CPPUNIT_ASSERT(verdict.action != PacketAction::Drop || facts.hops >= maxHops || isMisdirected);
            const bool hasReason = verdict.reason != RefusalReason::None;
            CPPUNIT_ASSERT_EQUAL(verdict.action == PacketAction::ReplyReset || verdict.action == PacketAction::Drop, hasReason);
        });
    }

    void balancerRoutesByToken()
    {
        const auto members = makeMembers();
        const MemberIndex index = buildMemberIndex(members);
        const struct {
            OwnerToken token;
            std::uint8_t hops;
            const char* expected;
        } rows[] = {
            { { 1, 10 }, 0, "toMember 0" },
            { { 1, 10 }, maxHops, "toMember 0" },
            { { 2, 10 }, 0, "toMember 1" },
            { { 6, 10 }, 0, "toMember 6" },
            { { 7, 10 }, 0, "toMember 7" },
            { { 3, 10 }, 0, "anyAgent none" },
            { { 3, 10 }, maxHops, "drop upstreamLost" },
            { { 4, 10 }, 0, "resetFlow dataCentreOut" },
            { { 4, 9 }, 0, "resetFlow dataCentreOut" },
            { { 5, 10 }, 0, "resetFlow ownerGone" },
            { { 1, 9 }, maxHops, "resetFlow ownerGone" },
            { { 1, 11 }, 0, "anyAgent none" },
            { { 9, 1 }, 0, "anyAgent none" },
            { { 9, 1 }, maxHops, "drop ownerGone" },
        };
        for (const auto& row : rows)
            CPPUNIT_ASSERT_EQUAL(std::string(row.expected), describe(routeByToken(index, members, row.token, row.hops)));
        CPPUNIT_ASSERT(routeByToken({}, {}, { 1, 1 }, 0).action == RouteAction::AnyAgent);
    }

    // Guards against resets by stale views. Each balancer knows some of the members, some of them from before a restart. It
    // must not reset a flow whose owner is the newest of its upstream and not taken out.
    void staleViewResetsNoFlow()
    {
        for (unsigned known = 0; known < 1U << 8; ++known) {
            std::vector<Member> view;
            for (UpstreamId upstream = 1; upstream <= 4; ++upstream) {
                const unsigned knowledge = known >> (2 * (upstream - 1)) & 3U;
                if (knowledge == 0)
                    continue;
                view.push_back({ .token = { upstream, knowledge }, .state = MemberState::Lapsed, .linked = (known & 1U) != 0 });
            }
            const MemberIndex index = buildMemberIndex(view);
            for (UpstreamId upstream = 1; upstream <= 4; ++upstream) {
                const RouteResult result = routeByToken(index, view, { upstream, 3 }, static_cast<std::uint8_t>(known % 8));
                CPPUNIT_ASSERT(result.action != RouteAction::ResetFlow);
            }
        }
    }

    void unownedPacketsFollowTheRanking()
    {
        const auto members = makeMembers();
        const std::vector<UpstreamId> all { 1, 2, 3, 4, 5, 6, 7 };
        for (FlowId flow = 1; flow < 200; ++flow) {
            const RouteResult opened = routeUnowned(members, { .flow = flow, .isOpen = true }, {});
            CPPUNIT_ASSERT(members[opened.member].state == MemberState::Serving && members[opened.member].linked);
            const std::vector<UpstreamId> visited { members[opened.member].token.upstream };
            const RouteResult forwarded = routeUnowned(members, { .flow = flow, .hops = 1, .visited = visited }, {});
            CPPUNIT_ASSERT(forwarded.action == RouteAction::ToMember && members[forwarded.member].token.upstream != visited[0]);
            CPPUNIT_ASSERT(members[forwarded.member].state != MemberState::Out);
            CPPUNIT_ASSERT_EQUAL(std::string("drop flowUnknown"), describe(routeUnowned(members, { .flow = flow, .visited = all }, {})));
            CPPUNIT_ASSERT(routeUnowned(members, { .flow = flow, .isOpen = true, .visited = all }, {}).action == RouteAction::ResetFlow);
        }
        CPPUNIT_ASSERT_EQUAL(std::string("resetFlow noUpstream"), describe(routeUnowned({}, { .flow = 1, .isOpen = true }, {})));
    }

    void routingAllocatesNothing()
    {
        const auto members = makeMembers();
        const MemberIndex index = buildMemberIndex(members);
        const std::vector<UpstreamId> visited { 1 };
        const std::size_t before = allocations;
        for (FlowId flow = 1; flow < 1000; ++flow) {
            routeByToken(index, members, { flow % 9, 10 }, 0);
            routeUnowned(members, { .flow = flow, .isOpen = true }, {});
            routeUnowned(members, { .flow = flow, .visited = visited }, {});
        }
        const std::size_t after = allocations;
        CPPUNIT_ASSERT_EQUAL(before, after);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(TestPackets);
