#include "libplatform/configwatcher.h"
#include "libplatform/manifest.h"
#include "platformfixture.h"

using namespace kingcuptrail;

class TestConfigApply : public PlatformFixture {
    CPPUNIT_TEST_SUITE(TestConfigApply);
    CPPUNIT_TEST(unchangedConfigIsNotWritten);
    CPPUNIT_TEST(lostResponseIsResolvedByReadingBack);
    CPPUNIT_TEST(lostResponseIsResolvedAfterAnotherApply);
    CPPUNIT_TEST(conflictingApplyReportsAcceptedVersion);
    CPPUNIT_TEST(takeOutIsMergedWithConcurrentChange);
    CPPUNIT_TEST(sameTakeOutTwiceIsOneChange);
    CPPUNIT_TEST(applyKeepsUnspecifiedDataCentreState);
    CPPUNIT_TEST(failedChangesReportTheirError);
    CPPUNIT_TEST(outageEndsAsUnreachableOrUnknown);
    CPPUNIT_TEST(oldServiceObjectsAreRemoved);
    CPPUNIT_TEST(removalKeepsObjectsReferencedAgain);
    CPPUNIT_TEST(watcherResumesAfterOutage);
    CPPUNIT_TEST(watcherNeverReportsOlder);
    CPPUNIT_TEST(watcherFetchesOnlyWhatChanged);
    CPPUNIT_TEST(manyServicesAreListedInOneCall);
    CPPUNIT_TEST(watchTooFarBehindListsAgain);
    CPPUNIT_TEST_SUITE_END();

    void assertAccepted(const ApplyReport& report, ConfigVersion version, bool changed = true)
    {
        CPPUNIT_ASSERT_EQUAL(std::string("none"), std::string(nameOf(report.error)));
        CPPUNIT_ASSERT_EQUAL(version, report.version);
        CPPUNIT_ASSERT_EQUAL(changed, report.changed);
    }

    void unchangedConfigIsNotWritten()
    {
        assertAccepted(apply(makeConfig()), 1);
        const auto writes = m_server->calls().writes;
        assertAccepted(apply(makeConfig()), 1, false);
        assertAccepted(setDataCentreOut("north", false), 1, false);
        CPPUNIT_ASSERT_EQUAL(writes, m_server->calls().writes);
        CPPUNIT_ASSERT(fetch()->services == makeConfig().services);
    }

    // The platform accepts every write of an apply, but the responses are lost. Without reading back, the operator would get a
    // conflict with their own change.
    void lostResponseIsResolvedByReadingBack()
    {
        m_server->setFaults({ .loseAnswers = 2 });
        const ApplyReport report = apply(makeConfig());
        assertAccepted(report, 1);
        CPPUNIT_ASSERT(report.platformError == PlatformError::NoAnswer);
        CPPUNIT_ASSERT_EQUAL(ConfigVersion { 1 }, fetch()->version);
    }

    // The response to a change is lost, and another operator's change is accepted before the manifest is read back. The first
    // change must still be reported as accepted, with its own version.
    void lostResponseIsResolvedAfterAnotherApply()
    {
        assertAccepted(apply(makeConfig()), 1);
        ConfigApply change(m_context, m_options);
        m_server->setFaults({ .loseAnswers = 1 });
        std::optional<ApplyReport> report;
        change.setDataCentreOut("north", true, [&report](const ApplyReport& done) { report = done; });
        runUntil(m_context, [this] { return m_server->calls().writes == 3; });
        const auto object = m_server->store().get(manifestKind, manifestName);
        Manifest later = *parseManifest(*object->value);
        later.version += 1;
        m_server->store().put(manifestKind, manifestName, toJson(later), object->version);
        runUntil(m_context, [&report] { return report.has_value(); });
        assertAccepted(*report, 2);
    }

    // Two operators apply different files concurrently. One is accepted. The other was based on a configuration that is no longer
    // in force and must fail with the accepted version instead of overwriting it unnoticed.
    void conflictingApplyReportsAcceptedVersion()
    {
        assertAccepted(apply(makeConfig()), 1);
        ConfigApply first(m_context, m_options);
        ConfigApply second(m_context, m_options);
        std::vector<ApplyReport> reports;
        first.apply(makeConfig(6), [&reports](const ApplyReport& done) { reports.push_back(done); });
        second.apply(makeConfig(7), [&reports](const ApplyReport& done) { reports.push_back(done); });
        runUntil(m_context, [&reports] { return reports.size() == 2; });
        std::sort(reports.begin(), reports.end(), [](const ApplyReport& a, const ApplyReport& b) { return a.error < b.error; });
        assertAccepted(reports[0], 2);
        CPPUNIT_ASSERT(reports[1].error == ApplyError::Conflict);
        CPPUNIT_ASSERT_EQUAL(ConfigVersion { 2 }, reports[1].version);
    }

    // A data centre is taken out of service while another operator's change is in progress. Taking it out changes one state only:
    // it must neither fail because of the other change nor undo it.
    void takeOutIsMergedWithConcurrentChange()
    {
        assertAccepted(apply(makeConfig()), 1);
        ConfigApply takeOut(m_context, m_options);
        ConfigApply other(m_context, m_options);
        std::vector<ApplyReport> reports;
        takeOut.setDataCentreOut("south", true, [&reports](const ApplyReport& done) { reports.push_back(done); });
        other.setDataCentreOut("north", true, [&reports](const ApplyReport& done) { reports.push_back(done); });
        runUntil(m_context, [&reports] { return reports.size() == 2; });
        // Both together would take every data centre out of service, which the later change detects.
        CPPUNIT_ASSERT(reports[0].error == ApplyError::None && reports[1].error == ApplyError::AllOut);
        ConfigApply bringBack(m_context, m_options);
        ConfigApply slots(m_context, m_options);
        reports.clear();
        slots.apply(makeConfig(9), [&reports](const ApplyReport& done) { reports.push_back(done); });
        bringBack.setDataCentreOut(fetch()->isOut("south") ? "south" : "north", false, [&reports](const ApplyReport& done) { reports.push_back(done); });
        runUntil(m_context, [&reports] { return reports.size() == 2; });
        const auto config = fetch();
        CPPUNIT_ASSERT_EQUAL(9U, config->services.front().slots);
        CPPUNIT_ASSERT(!config->isOut("south") && !config->isOut("north"));
    }

    // Two operators concurrently take the same data centre out of service. Both must succeed, with one write of the manifest.
    void sameTakeOutTwiceIsOneChange()
    {
        assertAccepted(apply(makeConfig()), 1);
        ConfigApply first(m_context, m_options);
        ConfigApply second(m_context, m_options);
        std::vector<ApplyReport> reports;
        first.setDataCentreOut("south", true, [&reports](const ApplyReport& done) { reports.push_back(done); });
        second.setDataCentreOut("south", true, [&reports](const ApplyReport& done) { reports.push_back(done); });
        runUntil(m_context, [&reports] { return reports.size() == 2; });
        assertAccepted(reports[0], 2, true);
        assertAccepted(reports[1], 2, false);
    }

    // An operator takes a data centre out of service; another applies an older file, which does not state whether it is out. The
    // unrelated change must not bring the data centre back.
    void applyKeepsUnspecifiedDataCentreState()
    {
        assertAccepted(apply(makeConfig()), 1);
        assertAccepted(setDataCentreOut("south", true), 2);
        Config file = makeConfig(6);
        for (DataCentreConfig& dataCentre : file.dataCentres)
            dataCentre.isOutSpecified = false;
        assertAccepted(apply(file), 3);
        CPPUNIT_ASSERT(fetch()->isOut("south"));
        file.dataCentres.back().isOutSpecified = true;
        assertAccepted(apply(file), 4);
        CPPUNIT_ASSERT(!fetch()->isOut("south"));
    }

    void failedChangesReportTheirError()
    {
        CPPUNIT_ASSERT(setDataCentreOut("south", true).error == ApplyError::NoConfig);
        assertAccepted(apply(makeConfig()), 1);
        CPPUNIT_ASSERT(setDataCentreOut("east", true).error == ApplyError::UnknownDataCentre);
        assertAccepted(setDataCentreOut("south", true), 2);
        CPPUNIT_ASSERT(setDataCentreOut("north", true).error == ApplyError::AllOut);
        Config huge = makeConfig();
        huge.dataCentres.push_back({ .name = std::string(std::size_t { 1100 } * 1024, 'x') });
        CPPUNIT_ASSERT(apply(huge).error == ApplyError::Refused);
        const auto object = m_server->store().get(manifestKind, manifestName);
        m_server->store().put(manifestKind, manifestName, "{}", object->version);
        CPPUNIT_ASSERT(apply(makeConfig(6)).error == ApplyError::BadManifest);
    }

    void outageEndsAsUnreachableOrUnknown()
    {
        assertAccepted(apply(makeConfig()), 1);
        m_server->setFaults({ .down = true, .hang = true });
        CPPUNIT_ASSERT(apply(makeConfig(6), { .limit = 100 }).error == ApplyError::PlatformUnreachable);
        m_server->setFaults({ .loseAnswers = 1 });
        ConfigApply change(m_context, m_options, { .limit = 2000 });
        std::optional<ApplyReport> report;
        change.setDataCentreOut("south", true, [&report](const ApplyReport& done) { report = done; });
        runUntil(m_context, [this] { return countCalls("PUT", "manifest") == 2; });
        m_server->setFaults({ .down = true });
        runUntil(m_context, [&report] { return report.has_value(); });
        CPPUNIT_ASSERT(report->error == ApplyError::OutcomeUnknown);
    }

    std::size_t serviceObjects() { return m_server->store().list(serviceObjectKind).objects.size(); }

    // Thousands of changes a day leave as many old objects. Without their removal, the list of objects that a starting daemon
    // reads would grow until it is too large.
    void oldServiceObjectsAreRemoved()
    {
        for (std::uint32_t slots = 1; slots <= 30; ++slots) {
            assertAccepted(apply(makeConfig(slots)), slots);
            CPPUNIT_ASSERT(serviceObjects() <= objectRetentionVersions + 1);
        }
        CPPUNIT_ASSERT_EQUAL(30U, fetch()->services.front().slots);
    }

    // One apply is about to remove an old object when another writes the same content again. If the object were removed, no
    // daemon could read the accepted configuration.
    void removalKeepsObjectsReferencedAgain()
    {
        for (std::uint32_t slots = 1; slots <= objectRetentionVersions + 1; ++slots)
            apply(makeConfig(slots));
        const std::string object = "/objects/serviceconfig/" + serviceObjectName(makeConfig(1).services.front());
        PlatformOptions options = m_options;
        options.client = "slow";
        options.callTimeout = 5000;
        ConfigApply slow(m_context, options);
        std::optional<ApplyReport> report;
        const auto manifests = countCalls("PUT", "manifest");
        slow.apply(makeConfig(objectRetentionVersions + 2), [&report](const ApplyReport& done) { report = done; });
        runUntil(m_context, [&] { return countCalls("PUT", "manifest") > manifests; });
        m_server->setFaults({ .delay = 1000, .slowFor = "slow" });
        assertAccepted(apply(makeConfig(1)), objectRetentionVersions + 3);
        CPPUNIT_ASSERT_EQUAL(std::size_t { 0 }, countCalls("DELETE", object));
        runUntil(m_context, [&report] { return report.has_value(); });
        CPPUNIT_ASSERT_EQUAL(std::size_t { 1 }, countCalls("DELETE", object));
        const auto config = fetch();
        CPPUNIT_ASSERT_MESSAGE("the accepted configuration cannot be read", config.has_value());
        CPPUNIT_ASSERT_EQUAL(1U, config->services.front().slots);
    }

    struct Watched {
        std::vector<Config> seen;
        ConfigWatcher watcher;

        Watched(asio::io_context& context, const PlatformOptions& options, bool once = false)
            : watcher(
                context, options, [this](const Config& config) { seen.push_back(config); }, once)
        {
        }
    };

    // The platform is unavailable when a daemon starts, then available, then unavailable during a watch, and then available with a
    // newer configuration. The daemon must keep the last configuration during the outage and then report the newer one.
    void watcherResumesAfterOutage()
    {
        m_server->setFaults({ .down = true });
        Watched watched(m_context, m_options);
        runUntil(m_context, [&] { return watched.watcher.lastError() == PlatformError::NoAnswer; });
        m_server->setFaults({});
        assertAccepted(apply(makeConfig()), 1);
        runUntil(m_context, [&] { return watched.seen.size() == 1; });
        CPPUNIT_ASSERT(watched.seen.back().services == makeConfig().services);
        runUntil(m_context, [this] { return m_server->calls().waitingWatches == 1; });
        m_server->setFaults({ .down = true, .hang = true });
        runUntil(m_context, [&] { return watched.watcher.lastError() == PlatformError::NoAnswer; });
        m_server->setFaults({});
        assertAccepted(setDataCentreOut("south", true), 2);
        runUntil(m_context, [&] { return watched.seen.size() == 2; });
        CPPUNIT_ASSERT(watched.seen.back().isOut("south"));
    }

    // The store is restored from a backup, and the watch returns a manifest older than the one in force.
    void watcherNeverReportsOlder()
    {
        assertAccepted(apply(makeConfig()), 1);
        const std::string old = *m_server->store().get(manifestKind, manifestName)->value;
        assertAccepted(apply(makeConfig(6)), 2);
        Watched watched(m_context, m_options);
        runUntil(m_context, [&] { return watched.seen.size() == 1; });
        const auto write = [this](const std::string& value) {
            m_server->store().put(manifestKind, manifestName, value, m_server->store().get(manifestKind, manifestName)->version);
            m_server->wakeWatches(manifestKind);
        };
        const auto reads = countCalls("GET", "/watch/manifest");
        write(old);
        runUntil(m_context, [&] { return countCalls("GET", "/watch/manifest") > reads || m_server->calls().waitingWatches == 1; });
        Manifest newer = *parseManifest(old);
        newer.version = 3;
        write(toJson(newer));
        runUntil(m_context, [&] { return watched.seen.size() == 2; });
        CPPUNIT_ASSERT_EQUAL(ConfigVersion { 3 }, watched.seen.back().version);
    }

    void watcherFetchesOnlyWhatChanged()
    {
        Config config = makeConfig();
        config.services.push_back({ .name = "filing", .address = *parseServiceAddress("10.0.0.2:443"), .dataCentres = { "north" } });
        assertAccepted(apply(config), 1);
        Watched watched(m_context, m_options);
        Watched onceOnly(m_context, m_options, true);
        runUntil(m_context, [&] { return watched.seen.size() == 1 && onceOnly.seen.size() == 1; });
        const auto before = countCalls("GET", "/objects/serviceconfig/");
        CPPUNIT_ASSERT_EQUAL(std::size_t { 4 }, before);
        config.services.back().slots = 2;
        assertAccepted(apply(config), 2);
        runUntil(m_context, [&] { return watched.seen.size() == 2; });
        CPPUNIT_ASSERT_EQUAL(before + 1, countCalls("GET", "/objects/serviceconfig/"));
        CPPUNIT_ASSERT_EQUAL(std::size_t { 1 }, onceOnly.seen.size());
        CPPUNIT_ASSERT(watched.seen.back().services == normalised(config).services);
    }

    void manyServicesAreListedInOneCall()
    {
        Config config = makeConfig();
        for (int index = 0; index < 40; ++index)
            config.services.push_back({ .name = std::string("s").append(std::to_string(index)), .address = *parseServiceAddress("10.0.1.1:" + std::to_string(index + 1)), .dataCentres = { "north" } });
        assertAccepted(apply(config), 1);
        const auto readsBefore = m_server->calls().reads;
        CPPUNIT_ASSERT_EQUAL(std::size_t { 41 }, fetch()->services.size());
        CPPUNIT_ASSERT_EQUAL(readsBefore + 2, m_server->calls().reads);
    }

    // A daemon was paused for so long that the platform no longer has the history since its version. The watch fails with Gone,
    // and the objects must be listed again.
    void watchTooFarBehindListsAgain()
    {
        m_server->store() = ObjectStore(2);
        assertAccepted(apply(makeConfig()), 1);
        Watched watched(m_context, m_options);
        runUntil(m_context, [&] { return watched.seen.size() == 1; });
        m_server->setFaults({ .down = true });
        runUntil(m_context, [&] { return watched.watcher.lastError() != PlatformError::None; });
        Manifest manifest = *parseManifest(*m_server->store().get(manifestKind, manifestName)->value);
        for (int index = 0; index < 4; ++index) {
            ++manifest.version;
            m_server->store().put(manifestKind, manifestName, toJson(manifest), m_server->store().get(manifestKind, manifestName)->version);
        }
        m_server->setFaults({});
        runUntil(m_context, [&] { return watched.seen.size() == 2; });
        CPPUNIT_ASSERT_EQUAL(ConfigVersion { 5 }, watched.seen.back().version);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(TestConfigApply);
