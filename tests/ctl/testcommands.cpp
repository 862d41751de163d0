#include "kingcuptrailctl/commands.h"
#include "libplatform/manifest.h"
#include "standins/platform/platformserver.h"

#include <asio/executor_work_guard.hpp>
#include <asio/post.hpp>
#include <cppunit/extensions/HelperMacros.h>
#include <fstream>
#include <future>
#include <nlohmann/json.hpp>
#include <thread>
#include <unistd.h>

using namespace kingcuptrail;
using nlohmann::json;

namespace {

const asio::ip::tcp::endpoint anyPort(asio::ip::make_address("127.0.0.1"), 0);

std::string textOf(const asio::ip::tcp::endpoint& endpoint)
{
    return endpoint.address().to_string() + ":" + std::to_string(endpoint.port());
}

/// The platform and daemons that the tool connects to. They run in a separate thread, since the tool's commands block.
class TestEnvironment {
public:
    TestEnvironment()
        : m_work(m_context.get_executor())
        , m_platform(PlatformServer::listen(m_context, anyPort))
        , m_thread([this] { m_context.run(); })
    {
    }

    ~TestEnvironment()
    {
        m_context.stop();
        m_thread.join();
    }

    TestEnvironment(const TestEnvironment&) = delete;
    TestEnvironment& operator=(const TestEnvironment&) = delete;

    /// Runs an action in that thread and waits for it.
    template <typename Action>
    void at(Action action)
    {
        std::promise<void> done;
        asio::post(m_context, [&] {
            action(*m_platform);
            done.set_value();
        });
        done.get_future().wait();
    }

    /// Adds a daemon that reports this version in force, or by default the version stored in the platform.
    asio::ip::tcp::endpoint addDaemon(const std::string& name, std::optional<ConfigVersion> version)
    {
        asio::ip::tcp::endpoint admin;
        at([&](PlatformServer& platform) {
            asio::error_code error;
            m_daemons.push_back(HttpServer::listen(
                m_context, anyPort, {}, [&platform, name, version](const HttpRequest& request, const std::shared_ptr<HttpResponder>& responder) {
                    const auto manifest = platform.store().get(manifestKind, manifestName);
                    const ConfigVersion inForce = version.value_or(manifest ? parseManifest(*manifest->value)->version : 0);
                    const json status { { "name", name }, { "configVersion", inForce }, { "children", { { { "path", "root/links" }, { "running", true }, { "restarts", 2 }, { "lastReason", "linkLost" } } } } };
                    responder->respond({ .body = request.target == "/metrics" ? "# HELP x\nkct_refusals{reason=\"queueFull\"} 3\nkct_refusals{reason=\"noUpstream\"} 1\n" : status.dump() });
                },
                error));
            admin = m_daemons.back()->localEndpoint();
            const json entry { { "name", name }, { "role", "agent" }, { "dataCentre", "north" }, { "admin", textOf(admin) } };
            platform.store().put("daemon", name, entry.dump(), 0);
        });
        return admin;
    }

    void dropDaemons()
    {
        at([this](PlatformServer&) { m_daemons.clear(); });
    }

    asio::ip::tcp::endpoint platform() const { return m_platform->endpoint(); }

private:
    asio::io_context m_context;
    asio::executor_work_guard<asio::io_context::executor_type> m_work;
    std::unique_ptr<PlatformServer> m_platform;
    std::vector<std::unique_ptr<HttpServer>> m_daemons;
    std::thread m_thread;
};

}

class TestCommands : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(TestCommands);
    CPPUNIT_TEST(wrongCommandLinesAreRefused);
    CPPUNIT_TEST(faultsOfAFileAreListed);
    CPPUNIT_TEST(changesAreAcceptedOnceAndShown);
    CPPUNIT_TEST(everyFailureHasItsExitCode);
    CPPUNIT_TEST(waitNamesTheDaemonsThatLag);
    CPPUNIT_TEST(waitEndsWhenInForceEverywhere);
    CPPUNIT_TEST(explainQueriesADaemon);
    CPPUNIT_TEST(removedDaemonIsNotQueried);
    CPPUNIT_TEST(traceOrdersLinesOfOneFlow);
    CPPUNIT_TEST(openingsAreCountedBySpan);
    CPPUNIT_TEST(spreadCountsEachProcessOnce);
    CPPUNIT_TEST_SUITE_END();

    std::unique_ptr<TestEnvironment> m_environment;
    CtlOptions m_options;
    std::string m_path;

    static constexpr const char* goodFile = R"({"services":[{"name":"board","address":"10.0.0.1:443","dataCentres":["north","south"],"slots":5}],"dataCentres":[{"name":"north"},{"name":"south"}]})";

    json run(ExitCode expected, const std::vector<std::string>& words)
    {
        const CommandResult result = runCommand(words, m_options);
        CPPUNIT_ASSERT_EQUAL_MESSAGE(result.text + result.problem, std::string(nameOf(expected)), std::string(nameOf(result.code)));
        json document = json::parse(result.json);
        CPPUNIT_ASSERT_EQUAL(std::string(nameOf(expected)), document.at("result").get<std::string>());
        CPPUNIT_ASSERT_EQUAL(expected == ExitCode::Success, result.problem.empty());
        return document;
    }

    void writeFile(const std::string& text) const { std::ofstream(m_path) << text; }

public:
    void setUp() override
    {
        m_environment = std::make_unique<TestEnvironment>();
        m_options = { .platform = m_environment->platform(), .timeout = 3000 };
        std::string path = "/tmp/kingcuptrailctl-test-XXXXXX";
        close(mkstemp(path.data()));
        m_path = path;
        writeFile(goodFile);
    }

    void tearDown() override
    {
        unlink(m_path.c_str());
        m_environment.reset();
    }

private:
    void wrongCommandLinesAreRefused()
    {
        for (const std::vector<std::string>& words : std::vector<std::vector<std::string>> { {}, { "zip" }, { "apply" }, { "status", "x" }, { "take-out", "a", "b" } })
            run(ExitCode::Usage, words);
        m_options.platform.reset();
        run(ExitCode::Usage, { "status" });
        run(ExitCode::Success, { "check", m_path });
    }

    void faultsOfAFileAreListed()
    {
        writeFile(R"({"services":[{"name":"board"}],"dataCentres":[{"name":"north","x":1}]})");
        for (const char* command : { "check", "diff", "apply" })
            CPPUNIT_ASSERT_EQUAL(std::size_t { 4 }, run(ExitCode::FileFaults, { command, m_path }).at("faults").size());
        run(ExitCode::FileUnreadable, { "apply", m_path + ".none" });
        run(ExitCode::NoConfig, { "status" });
    }

    void changesAreAcceptedOnceAndShown()
    {
        CPPUNIT_ASSERT_EQUAL(std::size_t { 3 }, run(ExitCode::Success, { "diff", m_path }).at("changes").size());
        CPPUNIT_ASSERT(run(ExitCode::Success, { "apply", m_path }).at("changed").get<bool>());
        CPPUNIT_ASSERT(!run(ExitCode::Success, { "apply", m_path }).at("changed").get<bool>());
        CPPUNIT_ASSERT_EQUAL(2U, run(ExitCode::Success, { "take-out", "south" }).at("version").get<unsigned>());
        CPPUNIT_ASSERT(run(ExitCode::Success, { "diff", m_path }).at("changes").empty());
        const json status = run(ExitCode::Success, { "status" });
        CPPUNIT_ASSERT_EQUAL(2U, status.at("configVersion").get<unsigned>());
        CPPUNIT_ASSERT(status.at("config").at("dataCentres").at(1).at("out").get<bool>());
        CPPUNIT_ASSERT(run(ExitCode::Success, { "bring-back", "south" }).at("changed").get<bool>());
    }

    void everyFailureHasItsExitCode()
    {
        run(ExitCode::NoConfig, { "take-out", "south" });
        run(ExitCode::Success, { "apply", m_path });
        run(ExitCode::UnknownDataCentre, { "take-out", "east" });
        run(ExitCode::Success, { "take-out", "south" });
        run(ExitCode::AllOut, { "take-out", "north" });
        run(ExitCode::NotExplained, { "explain", "zip" });
        run(ExitCode::UnknownDaemon, { "forget", "zip" });
        m_environment->at([](PlatformServer& platform) { platform.store().put(manifestKind, manifestName, "{}", platform.store().get(manifestKind, manifestName)->version); });
        run(ExitCode::BadManifest, { "apply", m_path });
        run(ExitCode::BadManifest, { "diff", m_path });
        m_environment->at([](PlatformServer& platform) { platform.setFaults({ .down = true }); });
        m_options.timeout = 100;
        run(ExitCode::PlatformUnreachable, { "apply", m_path });
        run(ExitCode::PlatformUnreachable, { "status" });
    }

    // One daemon does not get the change and another was killed. The result of a wait must list both, and still report the
    // change as accepted.
    void waitNamesTheDaemonsThatLag()
    {
        m_environment->addDaemon("quick", std::nullopt);
        m_environment->addDaemon("stuck", 0);
        const auto gone = m_environment->addDaemon("gone", std::nullopt);
        m_environment->at([&gone](PlatformServer& platform) {
            const json entry { { "name", "gone" }, { "admin", textOf(gone).substr(0, textOf(gone).find(':')) + ":1" } };
            platform.store().put("daemon", "gone", entry.dump(), platform.store().get("daemon", "gone")->version);
        });
        m_options.wait = true;
        m_options.timeout = 1500;
        const json result = run(ExitCode::DaemonsLag, { "apply", m_path });
        CPPUNIT_ASSERT_EQUAL(1U, result.at("version").get<unsigned>());
        CPPUNIT_ASSERT_EQUAL(std::size_t { 2 }, result.at("lagging").size());
        CPPUNIT_ASSERT_EQUAL(std::string("gone"), result.at("lagging").at(0).at("name").get<std::string>());
        CPPUNIT_ASSERT_EQUAL(std::string("connectFailed"), result.at("lagging").at(0).at("error").get<std::string>());
        CPPUNIT_ASSERT_EQUAL(std::string("stuck"), result.at("lagging").at(1).at("name").get<std::string>());
        run(ExitCode::DaemonsLag, { "status" });
    }

    void waitEndsWhenInForceEverywhere()
    {
        for (int index = 0; index < 100; ++index)
            m_environment->addDaemon(std::string("d").append(std::to_string(index)), std::nullopt);
        m_options.wait = true;
        const json result = run(ExitCode::Success, { "apply", m_path });
        CPPUNIT_ASSERT_EQUAL(100U, result.at("daemons").get<unsigned>());
        CPPUNIT_ASSERT_EQUAL(std::size_t { 100 }, run(ExitCode::Success, { "status" }).at("daemons").size());
    }

    void explainQueriesADaemon()
    {
        m_options.daemon = m_environment->addDaemon("a", std::nullopt);
        const json result = run(ExitCode::Success, { "explain", "queueFull" });
        CPPUNIT_ASSERT_EQUAL(3U, result.at("counts").at("kct_refusals").get<unsigned>());
        CPPUNIT_ASSERT_EQUAL(std::string("linkLost"), result.at("lastReasons").at(0).at("lastReason").get<std::string>());
        m_environment->dropDaemons();
        run(ExitCode::DaemonUnreachable, { "explain", "queueFull" });
    }

    void removedDaemonIsNotQueried()
    {
        m_environment->addDaemon("old", 0);
        run(ExitCode::Success, { "apply", m_path });
        run(ExitCode::DaemonsLag, { "status" });
        run(ExitCode::Success, { "forget", "old" });
        CPPUNIT_ASSERT(run(ExitCode::Success, { "status" }).at("daemons").empty());
    }

    // Log files may contain lines of several processes and flows, other text and truncated lines. Only complete lines of the
    // given flow may be listed, in order of time.
    void traceOrdersLinesOfOneFlow()
    {
        const std::string path = "trace-" + std::to_string(getpid()) + ".log";
        std::ofstream(path) << R"(12.5 a1 {"time":20,"process":"a1","name":"openingRefused","flow":"1.1.1.1:5>2.2.2.2:80","reason":"busy"})"
                            << "\n"
                            << "not a line\n"
                            << R"({"time":15,"process":"b1","name":"flowOffered","flow":"1.1.1.1:5>2.2.2.2:80","try":1})"
                            << "\n"
                            << R"({"time":16,"process":"b1","name":"flowOffered","flow":"1.1.1.1:55>2.2.2.2:80"})"
                            << "\n"
                            << R"({"time":17,"process":"b1","name":"flowOffered","flow":"1.1.1.1:5>2.2.2.2:80")"
                            << "\n";
        const CommandResult found = traceFlow("1.1.1.1:5>2.2.2.2:80", { .logs = { path } });
        const CommandResult missing = traceFlow("9.9.9.9:5>2.2.2.2:80", { .logs = { path } });
        const CommandResult unreadable = traceFlow("1.1.1.1:5>2.2.2.2:80", { .logs = { path + ".not-there" } });
        unlink(path.c_str());
        CPPUNIT_ASSERT(found.code == ExitCode::Success);
        const json lines = json::parse(found.json).at("lines");
        CPPUNIT_ASSERT_EQUAL(std::size_t { 2 }, lines.size());
        CPPUNIT_ASSERT_EQUAL(std::string("flowOffered"), lines[0].at("name").get<std::string>());
        CPPUNIT_ASSERT(found.text.find("reason busy") != std::string::npos);
        CPPUNIT_ASSERT(missing.code == ExitCode::NotExplained);
        CPPUNIT_ASSERT(unreadable.code == ExitCode::FileUnreadable);
    }

    // Guards against wrong counts because of truncated lines or fields of another type.
    void openingsAreCountedBySpan()
    {
        const std::string path = "openings-" + std::to_string(getpid()) + ".log";
        std::ofstream(path) << R"({"time":1000,"name":"flowOffered"})"
                            << "\n"
                            << R"({"time":1010,"name":"openingRefused","reason":"busy"})"
                            << "\n"
                            << R"({"time":1020,"name":"flowAdmitted","waited":30})"
                            << "\n"
                            << R"({"time":1099,"name":"flowAdmitted","waited":"long"})"
                            << "\n"
                            << R"({"time":1100,"name":"flowLost","milliseconds":7})"
                            << "\n"
                            << R"({"time":1199,"name":"linesLeftOut","lines":12})"
                            << "\n"
                            << R"({"time":1150,"name":"flowOffered)"
                            << "\n[1]\n"
                            << R"({"time":"soon","name":7})"
                            << "\n";
        const CommandResult found = showOpenings("100", { .logs = { path } });
        const CommandResult noSpan = showOpenings("100ms", { .logs = { path } });
        const CommandResult unreadable = showOpenings("100", { .logs = { path + ".not-there" } });
        unlink(path.c_str());
        const json spans = json::parse(found.json).at("spans");
        CPPUNIT_ASSERT_EQUAL(std::size_t { 2 }, spans.size());
        CPPUNIT_ASSERT_EQUAL(1, spans[0].at("offers").get<int>());
        CPPUNIT_ASSERT_EQUAL(1, spans[0].at("refusals").at("busy").get<int>());
        CPPUNIT_ASSERT_EQUAL(2, spans[0].at("admitted").get<int>());
        CPPUNIT_ASSERT_EQUAL(30, spans[0].at("waited90").get<int>());
        CPPUNIT_ASSERT_EQUAL(7, spans[1].at("lostAfterMedian").get<int>());
        CPPUNIT_ASSERT_EQUAL(12, spans[1].at("linesLeftOut").get<int>());
        CPPUNIT_ASSERT(noSpan.code == ExitCode::Usage);
        CPPUNIT_ASSERT(unreadable.code == ExitCode::FileUnreadable);
    }

    // Guards against a restarted process that counts as one which learnt of a change late, and against wrong figures because
    // of lines of another form.
    void spreadCountsEachProcessOnce()
    {
        const std::string path = "spread-" + std::to_string(getpid()) + ".log";
        {
            std::ofstream log(path);
            for (int process = 0; process < 10; ++process)
                log << R"({"time":)" << 1000 + 10 * process << R"(,"process":"front-)" << process << R"(","name":"routesInForce","version":5})"
                    << "\n";
            log << R"({"time":9000,"process":"front-0","name":"routesInForce","version":5})"
                << "\n"
                << R"({"time":2000,"process":"front-1","name":"peerChanged","peer":"agent-1","state":"gone","epoch":3})"
                << "\n"
                << R"({"time":"soon","process":"front-2","name":"routesInForce","version":5})"
                << "\n"
                << R"({"time":2500,"process":7,"name":"peerChan)"
                << "\n";
        }
        const CommandResult found = showSpread("", { .logs = { path } });
        unlink(path.c_str());
        const json changes = json::parse(found.json).at("changes");
        CPPUNIT_ASSERT_EQUAL(std::size_t { 2 }, changes.size());
        CPPUNIT_ASSERT_EQUAL(std::string("routes 5"), changes[0].at("change").get<std::string>());
        CPPUNIT_ASSERT_EQUAL(10, changes[0].at("processes").get<int>());
        CPPUNIT_ASSERT_EQUAL(50, changes[0].at("half").get<int>());
        CPPUNIT_ASSERT_EQUAL(90, changes[0].at("all").get<int>());
        CPPUNIT_ASSERT_EQUAL(std::string("peer agent-1 gone 3"), changes[1].at("change").get<std::string>());
        CPPUNIT_ASSERT(found.text.find("NINE TENTHS") != std::string::npos);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(TestCommands);
