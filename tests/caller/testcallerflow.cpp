#include "libcaller/callerflow.h"

#include <cppunit/extensions/HelperMacros.h>

using namespace kingcuptrail;
using wire::PacketKind;

namespace {

constexpr OwnerToken owner { .upstream = 7, .incarnation = 2 };
constexpr OwnerToken other { .upstream = 9, .incarnation = 1 };
constexpr FlowId flowId = 42;

/// The other end of a flow, in memory: decodes the frames that the flow sends and answers like an agent.
struct Peer {
    CallerFlow flow { { .flow = flowId, .service = 1, .source = 5 }, 0 };

    std::vector<std::unique_ptr<wire::PacketT>> take(Millis now)
    {
        std::vector<std::unique_ptr<wire::PacketT>> packets;
        for (const Bytes& frame : flow.collectOutgoing(now)) {
            FrameReader reader;
            reader.append(frame);
            packets.emplace_back(reader.next()->frame->body_as_Packet()->UnPack());
        }
        return packets;
    }

    std::vector<PacketKind> kinds(Millis now)
    {
        std::vector<PacketKind> kinds;
        for (const auto& packet : take(now))
            kinds.push_back(packet->kind);
        return kinds;
    }

    void deliver(PacketKind kind, Millis now, const OwnerToken& token = owner, wire::PacketT packet = {})
    {
        packet.kind = kind;
        packet.flow = flowId;
        packet.owner_upstream = token.upstream;
        packet.owner_incarnation = token.incarnation;
        FrameReader reader;
        reader.append(encodeFrameOf(std::move(packet)));
        flow.receive(*reader.next()->frame->body_as_Packet(), now);
    }

    void deliverSegment(std::uint32_t sequence, std::uint8_t byte, Millis now, const OwnerToken& token = owner)
    {
        wire::PacketT packet;
        packet.sequence = sequence;
        packet.payload = { byte };
        deliver(PacketKind::Segment, now, token, std::move(packet));
    }

    void reset(RefusalReason reason, Millis now, const OwnerToken& token = owner)
    {
        wire::PacketT packet;
        packet.reason = static_cast<std::uint8_t>(reason);
        packet.retry_after = 30;
        deliver(PacketKind::Reset, now, token, std::move(packet));
    }

    void open()
    {
        take(0);
        deliver(PacketKind::Opened, 1);
    }
};

using Kinds = std::vector<PacketKind>;

}

class TestCallerFlow : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(TestCallerFlow);
    CPPUNIT_TEST(openIsRepeatedWithBackOffUntilAnswered);
    CPPUNIT_TEST(unansweredOpenIsGivenUp);
    CPPUNIT_TEST(secondOwnerIsSentAClose);
    CPPUNIT_TEST(segmentsCarryTheOwnerAndAreAcknowledged);
    CPPUNIT_TEST(silentFlowIsGivenUp);
    CPPUNIT_TEST(probedFlowStaysWhileAnswered);
    CPPUNIT_TEST(lostProbesAreRepeatedSoon);
    CPPUNIT_TEST(resetsEndAFlowByTheirReason);
    CPPUNIT_TEST(packetsOfOtherOwnersAreIgnored);
    CPPUNIT_TEST(closeIsSentToTheOwner);
    CPPUNIT_TEST_SUITE_END();

    void openIsRepeatedWithBackOffUntilAnswered()
    {
        Peer peer;
        std::vector<Millis> sent;
        for (Millis now = 0; now <= 2000; now += 10) {
            for (const auto& packet : peer.take(now)) {
                CPPUNIT_ASSERT(packet->kind == PacketKind::Open);
                CPPUNIT_ASSERT_EQUAL(std::uint64_t { 0 }, packet->owner_upstream);
                sent.push_back(now);
            }
        }
        CPPUNIT_ASSERT((sent == std::vector<Millis> { 0, 150, 450, 1050 }));
        peer.deliver(PacketKind::Opened, 2000);
        CPPUNIT_ASSERT(peer.flow.owner() == owner);
        CPPUNIT_ASSERT(peer.take(2400).empty());
    }

    void unansweredOpenIsGivenUp()
    {
        Peer peer;
        peer.take(0);
        peer.take(6000);
        CPPUNIT_ASSERT(peer.flow.end() == CallerFlowEnd::Unanswered);
        CPPUNIT_ASSERT(!isUnexpectedLoss(peer.flow.end()));
        CPPUNIT_ASSERT(!peer.flow.nextDueTime());
    }

    // Two balancers with different rankings pass copies of an open packet to two agents, and both answer. If the second
    // answer changed the owner, segments would go to an agent that never got the request; if it were ignored, that agent
    // would hold an unused flow.
    void secondOwnerIsSentAClose()
    {
        Peer peer;
        peer.open();
        peer.deliver(PacketKind::Opened, 2, other);
        peer.deliver(PacketKind::Opened, 2);
        CPPUNIT_ASSERT(peer.flow.owner() == owner);
        const auto packets = peer.take(3);
        CPPUNIT_ASSERT_EQUAL(std::size_t { 1 }, packets.size());
        CPPUNIT_ASSERT(packets[0]->kind == PacketKind::Close);
        CPPUNIT_ASSERT_EQUAL(other.upstream, packets[0]->owner_upstream);
        CPPUNIT_ASSERT(peer.flow.state() == FlowState::Open);
    }

    void segmentsCarryTheOwnerAndAreAcknowledged()
    {
        Peer peer;
        CPPUNIT_ASSERT(peer.flow.send({ 1 }));
        CPPUNIT_ASSERT(peer.kinds(0) == Kinds { PacketKind::Open });
        peer.deliver(PacketKind::Opened, 1);
        const auto packets = peer.take(1);
        CPPUNIT_ASSERT_EQUAL(std::size_t { 1 }, packets.size());
        CPPUNIT_ASSERT_EQUAL(owner.upstream, packets[0]->owner_upstream);
        CPPUNIT_ASSERT_EQUAL(std::uint32_t { 1 }, packets[0]->sequence);
        peer.deliverSegment(1, 77, 2);
        CPPUNIT_ASSERT(*peer.flow.dequeuePayload() == Bytes { 77 });
        const auto acks = peer.take(2);
        CPPUNIT_ASSERT_EQUAL(std::size_t { 1 }, acks.size());
        CPPUNIT_ASSERT_EQUAL(std::uint32_t { 1 }, acks[0]->acknowledged);
    }

    // All packets of an idle flow are lost without a reset. The caller would wait for ever, so the flow must send probes and
    // end when none is answered within the silence limit.
    void silentFlowIsGivenUp()
    {
        Peer peer;
        peer.open();
        Millis probes = 0;
        Millis now = 1;
        for (; peer.flow.state() == FlowState::Open && now < 20000; now += 10)
            probes += static_cast<Millis>(peer.take(now).size());
        CPPUNIT_ASSERT(peer.flow.end() == CallerFlowEnd::Silent);
        CPPUNIT_ASSERT(isUnexpectedLoss(peer.flow.end()));
        CPPUNIT_ASSERT(now >= 8000 && now < 8100);
        CPPUNIT_ASSERT(probes >= 3);
    }

    void probedFlowStaysWhileAnswered()
    {
        Peer peer;
        peer.open();
        std::size_t probes = 0;
        for (Millis now = 1; now < 60000; now += 10) {
            for (const auto& packet : peer.take(now)) {
                CPPUNIT_ASSERT(packet->kind == PacketKind::Ack);
                peer.deliver(PacketKind::Ack, now + 2);
                ++probes;
            }
        }
        CPPUNIT_ASSERT(peer.flow.state() == FlowState::Open);
        CPPUNIT_ASSERT(probes >= 28 && probes <= 30);
    }

    // The first two probes of an idle flow are lost, one at a frozen balancer and one on a dead link, while a third balancer
    // works. Probes must be repeated soon enough to reach it within the silence limit.
    void lostProbesAreRepeatedSoon()
    {
        Peer peer;
        peer.open();
        std::vector<Millis> probedAt;
        for (Millis now = 1; now < 20000 && probedAt.size() < 3; now += 10) {
            if (!peer.take(now).empty())
                probedAt.push_back(now);
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t { 3 }, probedAt.size());
        CPPUNIT_ASSERT(probedAt[2] - probedAt[0] < 1000);
        peer.deliver(PacketKind::Ack, probedAt[2]);
        CPPUNIT_ASSERT(peer.take(probedAt[2] + 1900).empty());
        CPPUNIT_ASSERT_EQUAL(std::size_t { 1 }, peer.take(probedAt[2] + 2010).size());
    }

    void resetsEndAFlowByTheirReason()
    {
        struct Row {
            RefusalReason reason;
            bool opened;
            CallerFlowEnd end;
        };
        constexpr Row rows[] {
            { RefusalReason::DataCentreOut, true, CallerFlowEnd::GivenUp },
            { RefusalReason::UpstreamDraining, true, CallerFlowEnd::Drained },
            { RefusalReason::FlowUnknown, true, CallerFlowEnd::Broken },
            { RefusalReason::OwnerGone, true, CallerFlowEnd::Broken },
            { RefusalReason::NoUpstream, false, CallerFlowEnd::Refused },
            { RefusalReason::DataCentreOut, false, CallerFlowEnd::Refused },
        };
        for (const Row& row : rows) {
            Peer peer;
            if (row.opened)
                peer.open();
            peer.reset(row.reason, 5, row.opened ? owner : OwnerToken {});
            CPPUNIT_ASSERT(peer.flow.end() == row.end);
            CPPUNIT_ASSERT(peer.flow.lastReason() == row.reason);
            CPPUNIT_ASSERT_EQUAL(Millis { 30 }, peer.flow.retryAfter());
            CPPUNIT_ASSERT(!peer.flow.send({ 1 }));
        }
    }

    // One copy of an open packet is reset by a balancer that knows no upstream yet, while another copy opens the flow. The
    // late reset, and packets of an agent that does not own the flow, must be ignored: a segment of that agent would be
    // delivered as part of the owner's answer.
    void packetsOfOtherOwnersAreIgnored()
    {
        Peer peer;
        peer.open();
        peer.reset(RefusalReason::NoUpstream, 5, {});
        peer.reset(RefusalReason::FlowUnknown, 5, other);
        peer.deliverSegment(1, 66, 5, other);
        CPPUNIT_ASSERT(peer.flow.state() == FlowState::Open);
        CPPUNIT_ASSERT(!peer.flow.dequeuePayload());
        peer.deliverSegment(1, 77, 6);
        CPPUNIT_ASSERT(*peer.flow.dequeuePayload() == Bytes { 77 });
    }

    void closeIsSentToTheOwner()
    {
        Peer peer;
        peer.open();
        peer.flow.close();
        CPPUNIT_ASSERT(peer.kinds(2) == Kinds { PacketKind::Close });
        CPPUNIT_ASSERT(peer.flow.end() == CallerFlowEnd::ClosedHere);
        peer.deliver(PacketKind::Opened, 3, other);
        CPPUNIT_ASSERT(peer.kinds(3) == Kinds { PacketKind::Close });
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(TestCallerFlow);
