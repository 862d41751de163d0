#include "kingcuptraild/activeconfig.h"
#include "kingcuptraild/agent/flowtable.h"
#include "kingcuptraild/listener.h"
#include "kingcuptraild/peerlink.h"

#include <asio/connect.hpp>
#include <asio/write.hpp>
#include <cppunit/extensions/HelperMacros.h>
#include <random>

using namespace kingcuptrail;

namespace {

constexpr Millis testLimit = 8000;

/// The listening port of a daemon, with one raw client. Reports why the daemon closed the link.
class DaemonPort {
public:
    explicit DaemonPort(const LinkOptions& options)
        : m_listener(
            m_context, { asio::ip::address_v4::loopback(), 0 }, options, [this](std::shared_ptr<Link> link) { accept(std::move(link)); }, [](ChildFailure) {})
        , m_client(m_context)
    {
        m_client.connect({ asio::ip::address_v4::loopback(), m_listener.localPort() });
    }

    void write(const Bytes& bytes)
    {
        asio::error_code ignored;
        asio::write(m_client, asio::buffer(bytes), ignored);
    }

    void closeClient() { m_client.close(); }

    LinkError closeReason()
    {
        const Clock clock;
        const Millis end = clock.now() + testLimit;
        while (m_reason == LinkError::None && clock.now() < end) {
            m_context.run_one_for(std::chrono::milliseconds(testLimit));
            m_context.restart();
        }
        return m_reason;
    }

private:
    void accept(std::shared_ptr<Link> link)
    {
        m_peer = std::make_shared<PeerLink>(m_context, std::move(link), wire::HelloT(), m_config,
            PeerLink::Handlers {
                .onHello = [](const PeerIdentity& peer) { return peer.role == wire::Role::Balancer ? std::nullopt : std::optional(wire::GoodbyeReason::NotExpected); },
                .onPacket = [](PeerLink&, const wire::Packet&, std::span<const std::uint8_t>) {},
                .onClosed = [this](PeerLink&, LinkError reason) { m_reason = reason; },
                .heartbeatInterval = [] { return Millis { 1000 }; },
            });
        m_peer->start();
    }

    asio::io_context m_context;
    ActiveConfig m_config;
    std::shared_ptr<PeerLink> m_peer;
    Listener m_listener;
    asio::ip::tcp::socket m_client;
    LinkError m_reason = LinkError::None;
};

Bytes hello(wire::Role role, std::uint32_t version = protocolVersion)
{
    wire::HelloT body;
    body.protocol = version;
    body.role = role;
    return encodeFrameOf(body);
}

Bytes truncated(Bytes bytes, std::size_t length)
{
    bytes.resize(length);
    return bytes;
}

Bytes concatenated(Bytes first, const Bytes& second)
{
    first.insert(first.end(), second.begin(), second.end());
    return first;
}

}

class TestBadInput : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(TestBadInput);
    CPPUNIT_TEST(invalidPeersAreClosedForTheRightReason);
    CPPUNIT_TEST(closedConnectionIsDetected);
    CPPUNIT_TEST(mutatedFramesAreSafeToRead);
    CPPUNIT_TEST(randomPacketsOpenNoForeignFlow);
    CPPUNIT_TEST_SUITE_END();

    // Guards against links that stay open without a valid peer, such as a port scanner, a wrong program or a peer that hangs
    // in the middle of a frame. The daemon must close each link within its limits and report the right reason.
    void invalidPeersAreClosedForTheRightReason()
    {
        const LinkOptions limits { .handshakeTimeout = 300, .silenceLimit = 700, .frameTimeout = 300 };
        const Bytes good = hello(wire::Role::Balancer);
        const struct {
            const char* name;
            Bytes sent;
            LinkError reason;
        } cases[] {
            { "nothing", {}, LinkError::HandshakeTimeout },
            { "another protocol", { 'G', 'E', 'T', ' ', '/', ' ', 'H', 'T', 'T', 'P' }, LinkError::FrameTooLarge },
            { "garbage in a frame", concatenated({ 16, 0, 0, 0 }, Bytes(16, 0xab)), LinkError::BadFrame },
            { "empty frame", { 0, 0, 0, 0 }, LinkError::BadFrame },
            { "oversized frame", { 0, 0, 0, 1 }, LinkError::FrameTooLarge },
            { "half a hello", truncated(good, good.size() / 2), LinkError::HandshakeTimeout },
            { "half a frame after the hello", concatenated(good, truncated(good, good.size() / 2)), LinkError::SlowFrame },
            { "silence after the hello", good, LinkError::Silent },
            { "a role that is not expected", hello(wire::Role::Fabric), LinkError::NotExpected },
            { "a role that does not exist", hello(static_cast<wire::Role>(77)), LinkError::NotExpected },
            { "another protocol version", hello(wire::Role::Balancer, protocolVersion + 1), LinkError::NotExpected },
            { "a frame before the hello", encodeFrameOf(wire::HeartbeatT()), LinkError::NotExpected },
            { "a second hello", concatenated(good, good), LinkError::NotExpected },
        };
        for (const auto& badPeer : cases) {
            DaemonPort port(limits);
            port.write(badPeer.sent);
            CPPUNIT_ASSERT_EQUAL_MESSAGE(badPeer.name, std::string(nameOf(badPeer.reason)), std::string(nameOf(port.closeReason())));
        }
    }

    void closedConnectionIsDetected()
    {
        DaemonPort port({});
        port.write(hello(wire::Role::Balancer));
        port.closeClient();
        CPPUNIT_ASSERT_EQUAL(std::string("peerClosed"), std::string(nameOf(port.closeReason())));
    }

    /// Checks that a list or string, if there is one, lies within the bytes that were received.
    template <typename Item>
    static void assertWithin(std::span<const std::uint8_t> received, const flatbuffers::Vector<Item>* list)
    {
        if (!list)
            return;
        const auto begin = reinterpret_cast<std::uintptr_t>(received.data());
        const auto listBegin = reinterpret_cast<std::uintptr_t>(list->Data());
        CPPUNIT_ASSERT(listBegin >= begin && listBegin - begin <= received.size());
        CPPUNIT_ASSERT(list->size() <= (received.size() - (listBegin - begin)) / sizeof(Item));
    }

    // Guards against unsafe reads of corrupted frames, or of frames from a different build. Every field of a frame that passes
    // the verifier must be safe to read.
    void mutatedFramesAreSafeToRead()
    {
        std::mt19937 random(20261202);
        wire::RequestHeadT head;
        head.key = "order-17";
        head.method = "PUT";
        head.target = "/orders/17";
        wire::PacketT packet;
        packet.flow = 7;
        packet.visited = { 1, 2, 3 };
        packet.payload = encodeMessageOf(head);
        const Bytes whole = encodeFrameOf(packet);
        std::size_t read = 0;
        std::size_t rejected = 0;
        for (int round = 0; round < 20000; ++round) {
            Bytes bytes = whole;
            for (std::uint32_t flips = 1 + random() % 6; flips > 0; --flips)
                bytes[random() % bytes.size()] = static_cast<std::uint8_t>(random());
            FrameReader reader;
            reader.append(bytes);
            const auto view = reader.next();
            if (!view) {
                // Without an error the frame counts as incomplete, which is right only if its length was changed.
                const bool hasSameLength = std::equal(whole.begin(), whole.begin() + framePrefixBytes, bytes.begin());
                CPPUNIT_ASSERT(reader.lastError() != FrameError::None || !hasSameLength);
                rejected += reader.lastError() != FrameError::None ? 1 : 0;
                continue;
            }
            const auto* taken = view->frame->body_as_Packet();
            if (!taken)
                continue;
            assertWithin(view->raw, taken->visited());
            assertWithin(view->raw, taken->payload());
            const std::unique_ptr<wire::FrameT> unpacked(view->frame->UnPack());
            const Bytes& payload = unpacked->body.AsPacket()->payload;
            const wire::Message* message = decodeMessage(payload);
            if (!message)
                continue;
            ++read;
            if (const auto* request = message->body_as_RequestHead()) {
                assertWithin(payload, request->key());
                assertWithin(payload, request->method());
                assertWithin(payload, request->target());
            }
            const std::unique_ptr<wire::MessageT> unpackedMessage(message->UnPack());
        }
        CPPUNIT_ASSERT(read > 0 && rejected > 0);
    }

    // Guards against a hostile caller that sends packets with random fields. No packet may open a flow for an address of
    // another service, and the number of flows must stay within its limit.
    void randomPacketsOpenNoForeignFlow()
    {
        std::mt19937_64 random(7);
        const Clock clock;
        std::size_t messages = 0;
        FlowTable flowTable(clock, { .flowLimit = 50 },
            { .onMessage = [&](FlowId, const wire::Message&) { return ++messages > 0; },
                .onWritable = [](FlowId) {},
                .onEnded = [](FlowId) {},
                .mustDropPackets = [] { return false; },
                .hasRequests = [](FlowId) { return false; } });
        flowTable.setOwnToken({ 5, 2 });
        flowTable.setService(99);
        const auto send = [&](ServiceAddress service) {
            wire::PacketT packet;
            packet.kind = static_cast<wire::PacketKind>(random() % 8);
            packet.service = service;
            packet.flow = random() % 200;
            packet.owner_upstream = random() % 7;
            packet.owner_incarnation = random() % 4;
            packet.sequence = static_cast<std::uint32_t>(random());
            packet.acknowledged = static_cast<std::uint32_t>(random());
            packet.hops = static_cast<std::uint8_t>(random());
            packet.payload.assign(random() % 64, static_cast<std::uint8_t>(random()));
            const Bytes bytes = encodeFrameOf(std::move(packet));
            FrameReader reader;
            reader.append(bytes);
            flowTable.handlePacket(nullptr, *reader.next()->frame->body_as_Packet());
        };
        for (int round = 0; round < 5000; ++round)
            send(random() % 98);
        CPPUNIT_ASSERT_EQUAL(std::size_t { 0 }, flowTable.flowCount());
        for (int round = 0; round < 5000; ++round)
            send(99);
        CPPUNIT_ASSERT(flowTable.flowCount() > 0 && flowTable.flowCount() <= 50);
        CPPUNIT_ASSERT_EQUAL(std::size_t { 0 }, messages);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(TestBadInput);
