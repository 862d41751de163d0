#include "libplatform/peerentryjson.h"
#include "libprotocol/viewcodec.h"
#include "packetfixtures.h"

#include <cppunit/extensions/HelperMacros.h>
#include <random>

using namespace kingcuptrail;

class TestPeerMessage : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(TestPeerMessage);
    CPPUNIT_TEST(flowMessageRoundTrips);
    CPPUNIT_TEST(gossipRoundTrips);
    CPPUNIT_TEST(nearAnswerAndDigestsRoundTrip);
    CPPUNIT_TEST(pendingRequestsRoundTrip);
    CPPUNIT_TEST(malformedMessagesAreRejected);
    CPPUNIT_TEST(viewRoundTrips);
    CPPUNIT_TEST_SUITE_END();

    static PeerEntry entry()
    {
        return { .name = "agent-1", .role = PeerRole::Agent, .address = 0x0a000007, .dataCentre = "north", .service = "board", .state = PeerState::Draining, .slots = 5, .epoch = 9 };
    }

    void flowMessageRoundTrips()
    {
        PeerMessageEncoder encoder;
        const AgentLoad load { .atWork = 3, .slots = 5, .usual = 0.5F, .isCold = true };
        const std::vector<std::uint8_t> packet { 1, 2, 3 };
        const auto bytes = encoder.encode(FlowMessage { .kind = wire::PeerKind::Refused, .flow = flowOf(4), .refusal = OpeningRefusal::Cold, .configVersion = 12, .acknowledged = 77, .load = &load, .packet = packet });
        FrameError error = FrameError::None;
        const auto message = decodePeerMessage(bytes, error);
        CPPUNIT_ASSERT(message && message->kind == wire::PeerKind::Refused && message->flow == flowOf(4));
        CPPUNIT_ASSERT(message->refusal == OpeningRefusal::Cold && message->configVersion == 12 && message->acknowledged == 77);
        CPPUNIT_ASSERT(message->load.atWork == 3 && message->load.slots == 5 && message->load.usual == 0.5F && message->load.isCold);
        CPPUNIT_ASSERT(std::ranges::equal(message->packet, packet));
    }

    void gossipRoundTrips()
    {
        PeerMessageEncoder encoder;
        const OutageView outages { .revision = 8, .out = { "south" } };
        const auto bytes = encoder.encode(GossipMessage { .configVersion = 3, .digest = 5, .outages = &outages, .entries = { entry() }, .wantsAnswer = true });
        FrameError error = FrameError::None;
        const auto message = decodePeerMessage(bytes, error);
        CPPUNIT_ASSERT(message && message->kind == wire::PeerKind::News && message->table->wants_answer());
        CPPUNIT_ASSERT(outagesOf(*message) == outages);
        CPPUNIT_ASSERT(entriesOf(*message) == std::vector { entry() });
    }

    void nearAnswerAndDigestsRoundTrip()
    {
        PeerMessageEncoder encoder;
        const std::vector<std::uint32_t> open { 4 };
        const std::vector<std::uint32_t> denied { 1, 2, 3 };
        FrameError error = FrameError::None;
        const auto answerBytes = encoder.encode(FlowMessage { .kind = wire::PeerKind::UnsureNear, .flow = flowOf(4), .excluded = open, .denied = denied });
        const auto answer = decodePeerMessage(answerBytes, error);
        CPPUNIT_ASSERT(answer && answer->excluded == open && answer->denied == denied);
        const auto digestBytes = encoder.encode(DigestsMessage { .configVersion = 3, .digests = denied, .wantsAnswer = true, .differsMuch = true });
        const auto digests = decodePeerMessage(digestBytes, error);
        CPPUNIT_ASSERT(digests && digests->kind == wire::PeerKind::DirectoryDigests && digests->configVersion == 3);
        CPPUNIT_ASSERT(digests->table->wants_answer() && digests->table->differs_much() && digestsOf(*digests) == denied);
    }

    // Guards against reports that exceed one datagram, and against fields that are exchanged.
    void pendingRequestsRoundTrip()
    {
        PeerMessageEncoder encoder;
        std::vector<PendingRequest> requests;
        for (std::uint16_t caller = 1; caller <= maxPendingRequestsPerMessage + 10; ++caller)
            requests.push_back({ .flow = flowOf(caller), .balancer = 0x0a010002, .acknowledged = 500U + caller });
        const auto bytes = encoder.encode(FlowMessage { .kind = wire::PeerKind::PendingRequests, .configVersion = 12, .pending = requests });
        CPPUNIT_ASSERT(bytes.size() <= 1300);
        FrameError error = FrameError::None;
        const auto message = decodePeerMessage(bytes, error);
        CPPUNIT_ASSERT(message && message->kind == wire::PeerKind::PendingRequests && message->configVersion == 12);
        requests.resize(maxPendingRequestsPerMessage);
        CPPUNIT_ASSERT(pendingRequestsOf(*message) == requests);
    }

    void malformedMessagesAreRejected()
    {
        PeerMessageEncoder encoder;
        const auto sent = encoder.encode(FlowMessage { .kind = wire::PeerKind::Open, .flow = flowOf(4), .service = "board", .packet = std::vector<std::uint8_t>(36) });
        const std::vector<std::uint8_t> good(sent.begin(), sent.end());
        std::minstd_rand random(20261203);
        FrameError error = FrameError::None;
        for (int round = 0; round < 20000; ++round) {
            std::vector<std::uint8_t> bytes = good;
            for (int change = 0; change < 3; ++change)
                bytes[random() % bytes.size()] = static_cast<std::uint8_t>(random());
            bytes.resize(bytes.size() - random() % 8);
            if (const auto message = decodePeerMessage(bytes, error))
                CPPUNIT_ASSERT(message->packet.size() <= bytes.size() && message->service.size() <= bytes.size());
        }
        CPPUNIT_ASSERT_EQUAL(std::string("board"), std::string(decodePeerMessage(good, error)->service));
        CPPUNIT_ASSERT(!decodePeerMessage({}, error));
        CPPUNIT_ASSERT(error == FrameError::Malformed);
    }

    void viewRoundTrips()
    {
        DeploymentView view { .routes = routesTo("board", 4), .outages = { .revision = 2, .out = { "south" } }, .entries = { entry() } };
        view.routes.routes[0].timeout = 1500;
        view.formerIdleLimits = { { .limit = 30000, .age = 1200 } };
        FrameError error = FrameError::None;
        const std::string bytes = encodeView(view);
        CPPUNIT_ASSERT(decodeView(bytes, error) == view);
        // Guards against a duration that wraps around to a short one on its way to another process.
        DeploymentView longLimits = view;
        longLimits.routes.idleLimit = (Millis { 1 } << 32) + 1000;
        CPPUNIT_ASSERT_EQUAL((Millis { 1 } << 32) - 1, decodeView(encodeView(longLimits), error)->routes.idleLimit);
        const auto entriesOnly = decodeView(encodeView(view, { .routes = false }), error);
        CPPUNIT_ASSERT(entriesOnly && entriesOnly->routes.version == 0 && entriesOnly->entries == view.entries);
        CPPUNIT_ASSERT(!decodeView("{", error) && error == FrameError::Malformed);
        std::minstd_rand random(20261203);
        for (int round = 0; round < 5000; ++round) {
            std::string damaged = bytes;
            for (int change = 0; change < 3; ++change)
                damaged[random() % damaged.size()] = static_cast<char>(random());
            decodeView(damaged, error);
        }
        CPPUNIT_ASSERT(parsePeerEntry(toJson(entry())) == entry());
        CPPUNIT_ASSERT(!parsePeerEntry(R"({"name":"x","role":"nobody"})"));
        // Guards against undefined conversions of numbers that another program wrote to the store.
        for (const std::string address : { "7e128", "-1", "4294967296", "4294967296.0", "\"1\"", "0", "3758096384", "4294967295" })
            CPPUNIT_ASSERT(!parsePeerEntry(R"({"name":"x","role":"agent","address":)" + address + R"(,"dataCentre":"n","service":"s","state":"ready","slots":1,"epoch":1})"));
        // Guards against an epoch above which an agent cannot announce itself any more.
        for (const auto& [epoch, isValid] : { std::pair { "18446744073709551615", false }, std::pair { "9223372036854775807", false }, std::pair { "1796563551064", true } })
            CPPUNIT_ASSERT_EQUAL_MESSAGE(epoch, isValid, parsePeerEntry(R"({"name":"x","role":"agent","address":167772161,"dataCentre":"n","service":"s","state":"ready","slots":1,"epoch":)" + std::string(epoch) + "}").has_value());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(TestPeerMessage);
