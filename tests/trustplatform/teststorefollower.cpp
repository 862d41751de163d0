#include "kingcuptraild/packets/storefollower.h"
#include "platform/platformfixture.h"
#include "platform/trustadapter.h"

using namespace kingcuptrail;

class TestStoreFollower : public PlatformFixture {
    CPPUNIT_TEST_SUITE(TestStoreFollower);
    CPPUNIT_TEST(silenceOfTheStoreIsNoticed);
    CPPUNIT_TEST(changeDuringTheSilenceIsTakenAfterIt);
    CPPUNIT_TEST_SUITE_END();

    /// A process that follows the store as a deployment does: it waits long for changes.
    struct Reader {
        Reader(asio::io_context& context, PlatformOptions options)
            : network(context, settings, clock)
        {
            CPPUNIT_ASSERT(network.start({ .onFlowMessage = [](const PeerMessage&, std::uint32_t) {}, .onOutages = [](const std::vector<std::string>&) {} }));
            options.client = "front-1";
            options.watchWait = 30000;
            options.callTimeout = 2000;
            follower = std::make_unique<StoreFollower>(context, options, trustAdapter(), network);
            runUntil(context, [this] { return follower->isCurrent(); });
        }

        Settings settings { .name = "front-1", .dataCentre = "north", .listen = { asio::ip::make_address("127.83.2.1"), 0 } };
        Clock clock;
        PeerNetwork network;
        std::unique_ptr<StoreFollower> follower;
    };

    /// Leaves the reader's calls without an answer, those that wait already too.
    void turnAway() { m_server->setFaults({ .down = true, .hang = true, .downFor = "front-1" }); }

    // The store turns the hosts of all processes that follow it away, without a word: connections stay, calls are not
    // answered. A configuration was accepted meanwhile, and nobody in the deployment heard of it for nine seconds, since
    // those who wait for changes cannot tell silence from quiet and went on telling that they follow the store.
    void silenceOfTheStoreIsNoticed()
    {
        Reader reader(m_context, m_options);
        turnAway();
        const Millis silentAt = reader.clock.now();
        runUntil(m_context, [&reader] { return !reader.follower->isCurrent(); });
        // Leaves a second of the three within which a change has to be in force for others to take over.
        CPPUNIT_ASSERT(reader.clock.now() - silentAt < 2000);
    }

    // The silence ends, but what was waited for before it never answers.
    void changeDuringTheSilenceIsTakenAfterIt()
    {
        Reader reader(m_context, m_options);
        turnAway();
        runUntil(m_context, [&reader] { return !reader.follower->isCurrent(); });
        m_server->store().put("config", "main", R"({"version":7,"routes":[],"services":[]})", 0);
        m_server->setFaults({});
        runUntil(m_context, [&reader] { return reader.follower->isCurrent(); });
        runUntil(m_context, [&reader] { return reader.network.routes().version == 7; });
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(TestStoreFollower);
