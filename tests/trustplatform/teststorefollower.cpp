#include "kingcuptraild/packets/storefollower.h"
#include "platform/platformfixture.h"
#include "platform/trustadapter.h"

#include <asio/ip/udp.hpp>

using namespace kingcuptrail;

class TestStoreFollower : public PlatformFixture {
    CPPUNIT_TEST_SUITE(TestStoreFollower);
    CPPUNIT_TEST(detectsUnresponsiveStore);
    CPPUNIT_TEST(appliesChangeAfterStoreRecovers);
    CPPUNIT_TEST(foreignObjectsDoNotStopAFollower);
    CPPUNIT_TEST(followerStartsBesideForeignObjects);
    CPPUNIT_TEST(foreignNamesDoNotStopGossip);
    CPPUNIT_TEST(listContinuesAfterTheLastReadableName);
    CPPUNIT_TEST(listEndsWhereNoNameCanBeRead);
    CPPUNIT_TEST(unreadableAnswerOfAWatchLeadsToAList);
    CPPUNIT_TEST(missedOutagesAreFound);
    CPPUNIT_TEST(missedRoutesAreFound);
    CPPUNIT_TEST(missedChangesInASeriesAreFound);
    CPPUNIT_TEST(successorFindsMissedChanges);
    CPPUNIT_TEST(verificationCostsNoCallsWithoutChanges);
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
            m_options = options;
            settings.packets.seeds = { { asio::ip::make_address("127.83.2.2"), settings.listen.port() } };
            follow(context);
        }

        /// Begins to follow the store, as the first or the next of the processes that do.
        void follow(asio::io_context& context)
        {
            follower = std::make_unique<StoreFollower>(context, m_options, trustAdapter(), network);
            runUntil(context, [this] { return follower->isCurrent(); });
        }

        static std::uint16_t freePort()
        {
            asio::io_context context;
            return asio::ip::udp::socket(context, { asio::ip::make_address("127.83.2.1"), 0 }).local_endpoint().port();
        }
        std::uint16_t port() const { return settings.listen.port(); }

        Settings settings { .name = "front-1", .dataCentre = "north", .listen = { asio::ip::make_address("127.83.2.1"), freePort() } };
        Clock clock;
        PeerNetwork network;
        std::unique_ptr<StoreFollower> follower;

    private:
        PlatformOptions m_options;
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

    /// Waits until the condition holds, and expects that within the time that leaves a second for the other processes.
    static void runSoon(asio::io_context& context, const Reader& reader, const std::function<bool()>& condition)
    {
        const Millis begunAt = reader.clock.now();
        runUntil(context, condition);
        CPPUNIT_ASSERT(reader.clock.now() - begunAt < 2000);
    }

    /// Waits until the store holds the follower's watches of routes and outages.
    void awaitWatches()
    {
        runUntil(m_context, [this] { return m_server->calls().waitingWatches == 2; });
    }

    /// Writes a configuration without an answer to the waiting watches, as when the store's answers to them are lost.
    void writeRoutesUnseen(ConfigVersion version)
    {
        const auto known = m_server->store().get("config", "main");
        m_server->store().put("config", "main", R"({"version":)" + std::to_string(version) + R"(,"routes":[],"services":[]})", known ? known->version : 0);
    }

    // Guards against a follower that takes a watch without an answer for a store without changes: an evacuation, or its end, was
    // followed only when the watch had run out.
    void missedOutagesAreFound()
    {
        Reader reader(m_context, m_options);
        awaitWatches();
        const StoreResult written = m_server->store().put("evacuations", "south", "{}", 0);
        runSoon(m_context, reader, [&reader] { return isDataCentreOut(reader.network.outages(), "south"); });
        awaitWatches();
        m_server->store().remove("evacuations", "south", written.version);
        runSoon(m_context, reader, [&reader] { return !isDataCentreOut(reader.network.outages(), "south"); });
    }

    // Guards against the same for the routes.
    void missedRoutesAreFound()
    {
        Reader reader(m_context, m_options);
        awaitWatches();
        writeRoutesUnseen(7);
        runSoon(m_context, reader, [&reader] { return reader.network.routes().version == 7; });
    }

    // Guards against a follower that finds only the first loss, or only one that comes alone.
    void missedChangesInASeriesAreFound()
    {
        Reader reader(m_context, m_options);
        for (ConfigVersion version = 7; version < 12; ++version) {
            const std::string name = "south-" + std::to_string(version);
            awaitWatches();
            m_server->store().put("evacuations", name, "{}", 0);
            writeRoutesUnseen(version);
            runSoon(m_context, reader, [&] { return reader.network.routes().version == version && isDataCentreOut(reader.network.outages(), name); });
        }
        m_server->store().put("evacuations", "west", "{}", 0);
        m_server->wakeWatches("evacuations");
        runSoon(m_context, reader, [&reader] { return isDataCentreOut(reader.network.outages(), "west"); });
    }

    // Guards against a process that begins to follow the store between the losses and trusts its first watch.
    void successorFindsMissedChanges()
    {
        Reader reader(m_context, m_options);
        writeRoutesUnseen(7);
        reader.follow(m_context);
        awaitWatches();
        writeRoutesUnseen(8);
        m_server->store().put("evacuations", "south", "{}", 0);
        runSoon(m_context, reader, [&reader] { return reader.network.routes().version == 8 && isDataCentreOut(reader.network.outages(), "south"); });
    }

    // Guards against calls that every follower makes all the time, or for changes that its watches have reported.
    void verificationCostsNoCallsWithoutChanges()
    {
        Reader reader(m_context, m_options);
        const auto runFor = [&](Millis time) {
            const Millis until = reader.clock.now() + time;
            runUntil(m_context, [&] { return reader.clock.now() >= until; });
        };
        runFor(1200);
        const std::uint64_t callsBefore = reader.follower->callsMade();
        for (ConfigVersion version = 7; version < 9; ++version) {
            writeRoutesUnseen(version);
            m_server->wakeWatches("config");
            runFor(1500);
        }
        // Six liveness checks, and two watches that follow those answered; a list of the agents may fall into this time.
        CPPUNIT_ASSERT(reader.follower->callsMade() - callsBefore <= 10);
    }

    /// Writes objects of another program: text and numbers that the JSON library refuses, and nesting that ends a process which copies
    /// it.
    void writeForeignObjects()
    {
        constexpr std::size_t levels = 500000;
        for (const char* kind : { "config", "evacuations", "agent" }) {
            m_server->store().put(kind, "cellar-1", R"({"note":"\udcff\udcfe"})", 0);
            m_server->store().put(kind, "cellar-2", R"({"until":1e400})", 0);
            m_server->store().put(kind, "cellar-3", "\"\xff\xfe\"", 0);
            m_server->store().put(kind, "cellar-4", R"({"note":)" + std::string(levels, '[') + std::string(levels, ']') + "}", 0);
            m_server->store().put(kind, "cellar-5", "7", 0);
            m_server->wakeWatches(kind);
        }
    }

    void expectChangesInForce(const Reader& reader)
    {
        const PeerEntry agent { .name = "agent-1", .address = 0x0a000001, .dataCentre = "north", .service = "board", .slots = 5, .epoch = 9 };
        m_server->store().put("agent", agent.name, toJson(agent), 0);
        m_server->store().put("config", "main", R"({"version":7,"routes":[],"services":[]})", 0);
        m_server->store().put("evacuations", "south", "{}", 0);
        m_server->wakeWatches("config");
        m_server->wakeWatches("evacuations");
        runUntil(m_context, [&reader] { return reader.network.routes().version == 7 && isDataCentreOut(reader.network.outages(), "south"); });
        runUntil(m_context, [&reader] { return reader.network.directory().entries.contains("agent-1"); });
        CPPUNIT_ASSERT(reader.follower->isCurrent());
    }

    // Guards against an object of another program that stops a process from following the store, or ends it.
    void foreignObjectsDoNotStopAFollower()
    {
        Reader reader(m_context, m_options);
        writeForeignObjects();
        expectChangesInForce(reader);
    }

    // Guards against a process that cannot start while such an object is in the store.
    void followerStartsBesideForeignObjects()
    {
        writeForeignObjects();
        Reader reader(m_context, m_options);
        expectChangesInForce(reader);
    }

    // Guards against names of another program that make every gossip message too long for a datagram: no change reached any process
    // that does not read the store itself.
    void foreignNamesDoNotStopGossip()
    {
        Reader reader(m_context, m_options);
        const Settings settings { .name = "front-2", .dataCentre = "south", .listen = { asio::ip::make_address("127.83.2.2"), reader.port() } };
        PeerNetwork peer(m_context, settings, reader.clock);
        CPPUNIT_ASSERT(peer.start({ .onFlowMessage = [](const PeerMessage&, std::uint32_t) {}, .onOutages = [](const std::vector<std::string>&) {} }));
        peer.announce({ .name = "front-2", .role = PeerRole::Balancer, .address = 0x7f530202, .dataCentre = "south" });
        reader.network.updateEntry(peer.self());
        m_server->store().put("evacuations", std::string(3000, 'x'), "{}", 0);
        for (int number = 0; number < 300; ++number)
            m_server->store().put("evacuations", "cellar-" + std::to_string(number), "{}", 0);
        m_server->store().put("evacuations", "south", "{}", 0);
        m_server->wakeWatches("evacuations");
        runUntil(m_context, [&peer] { return isDataCentreOut(peer.outages(), "south"); });
    }

    /// A store that answers its calls with these bodies in turn, and with the last one from then on.
    struct ScriptedStore {
        ScriptedStore(asio::io_context& context, std::vector<std::string> answers)
            : bodies(std::move(answers))
        {
            asio::error_code error;
            server = HttpServer::listen(
                context, { asio::ip::make_address("127.0.0.1"), 0 }, {}, [this](const HttpRequest& request, const std::shared_ptr<HttpResponder>& responder) {
                    responder->respond({ .headers = { { "Content-Type", "application/json" } }, .body = bodies[std::min(targets.size(), bodies.size() - 1)] });
                    targets.push_back(request.target); },
                error);
            CPPUNIT_ASSERT(server);
        }

        PlatformOptions options() const { return { .server = server->localEndpoint(), .dialect = trustAdapter().store, .minRetryDelay = 5, .maxRetryDelay = 5 }; }

        std::vector<std::string> bodies;
        std::vector<std::string> targets;
        std::unique_ptr<HttpServer> server;
    };

    ObjectList listFrom(ScriptedStore& store)
    {
        PlatformClient client(m_context, store.options());
        std::optional<ObjectList> listed;
        client.list("agent", [&listed](std::optional<ObjectList> objects, PlatformError) { listed = std::move(objects); });
        runUntil(m_context, [&listed] { return listed.has_value(); });
        return *listed;
    }

    static constexpr const char* unnamedObject = R"({"meta":{"name":"\udcff","revision":2},"spec":{}})";
    static constexpr const char* firstObject = R"({"meta":{"name":"a","revision":3},"spec":{}})";
    static constexpr const char* secondObject = R"({"meta":{"name":"b","revision":4},"spec":{}})";

    static std::string pageOf(const std::string& items, bool hasMore)
    {
        return R"({"items":[)" + items + R"(],"has-more":)" + (hasMore ? "true" : "false") + R"(,"as-of":8})";
    }

    // Guards against reading the first page again and again after one that ends with an object whose name cannot be read.
    void listContinuesAfterTheLastReadableName()
    {
        ScriptedStore store(m_context, { pageOf(std::string(firstObject) + "," + unnamedObject, true), pageOf(std::string(unnamedObject) + "," + secondObject, false) });
        const ObjectList listed = listFrom(store);
        CPPUNIT_ASSERT(listed.objects.size() == 4 && listed.objects.back().name == "b");
        CPPUNIT_ASSERT(store.targets == (std::vector<std::string> { "/objects/agent", "/objects/agent?after=a" }));
    }

    // Guards against a list that never ends because no object on its page has a readable name.
    void listEndsWhereNoNameCanBeRead()
    {
        ScriptedStore store(m_context, { pageOf(firstObject, true), pageOf(unnamedObject, true) });
        CPPUNIT_ASSERT_EQUAL(std::size_t { 2 }, listFrom(store).objects.size());
        CPPUNIT_ASSERT_EQUAL(std::size_t { 2 }, store.targets.size());
    }

    // Guards against a watch that is repeated for ever although each of its answers is unreadable.
    void unreadableAnswerOfAWatchLeadsToAList()
    {
        ScriptedStore store(m_context, { pageOf(firstObject, false), R"({"events":)", pageOf(secondObject, false) });
        std::vector<std::string> names;
        KindWatcher watcher(m_context, store.options(), "agent", { .onList = [&names](const ObjectList& list) { names.push_back(list.objects.back().name); }, .onChanges = [](const ObjectList&) {}, .onError = {} });
        runUntil(m_context, [&names] { return names.size() >= 2; });
        CPPUNIT_ASSERT(names[1] == "b" && store.targets[2] == "/objects/agent");
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(TestStoreFollower);
