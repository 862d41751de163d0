#include "kingcuptraild/packets/storefollower.h"
#include "platform/platformfixture.h"
#include "platform/trustadapter.h"

using namespace kingcuptrail;

class TestStoreFollower : public PlatformFixture {
    CPPUNIT_TEST_SUITE(TestStoreFollower);
    CPPUNIT_TEST(detectsUnresponsiveStore);
    CPPUNIT_TEST(appliesChangeAfterStoreRecovers);
    CPPUNIT_TEST_SUITE_END();

    /// A process that follows the store with the long watch times of a real deployment.
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

    /// Makes the store leave the reader's calls unanswered, including pending watches.
    void stopAnswering() { m_server->setFaults({ .down = true, .hang = true, .downFor = "front-1" }); }

    // Guards against a store that stops answering the processes that follow it while connections stay open. A pending watch
    // cannot tell this from a store without changes, so the followers kept reporting that they follow the store, no other
    // process took over, and a new configuration was unknown to the deployment for 9 s.
    void detectsUnresponsiveStore()
    {
        Reader reader(m_context, m_options);
        stopAnswering();
        const Millis silentAt = reader.clock.now();
        runUntil(m_context, [&reader] { return !reader.follower->isCurrent(); });
        // Leaves 1 s for other processes to take over, since a change has to be in force within 3 s.
        CPPUNIT_ASSERT(reader.clock.now() - silentAt < 2000);
    }

    // Guards against a follower that keeps waiting for watches from before an unresponsive phase of the store: the store never
    // answers them.
    void appliesChangeAfterStoreRecovers()
    {
        Reader reader(m_context, m_options);
        stopAnswering();
        runUntil(m_context, [&reader] { return !reader.follower->isCurrent(); });
        m_server->store().put("config", "main", R"({"version":7,"routes":[],"services":[]})", 0);
        m_server->setFaults({});
        runUntil(m_context, [&reader] { return reader.follower->isCurrent(); });
        runUntil(m_context, [&reader] { return reader.network.routes().version == 7; });
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(TestStoreFollower);
