#include "kingcuptraild/activeconfig.h"

#include <algorithm>
#include <cppunit/extensions/HelperMacros.h>
#include <random>

using namespace kingcuptrail;

class TestActiveConfig : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(TestActiveConfig);
    CPPUNIT_TEST(olderConfigurationIsIgnored);
    CPPUNIT_TEST(deltasBringEveryPeerToTheSameConfiguration);
    CPPUNIT_TEST(snapshotHoldsOnlyChanges);
    CPPUNIT_TEST(fetchesAreRateLimited);
    CPPUNIT_TEST_SUITE_END();

    static ServiceConfig service(std::size_t number, std::uint32_t slots)
    {
        return {
            .name = "service-" + std::to_string(number),
            .address = *parseServiceAddress("10.0." + std::to_string(number / 250) + "." + std::to_string(number % 250 + 1) + ":443"),
            .dataCentres = { "north" },
            .slots = slots,
        };
    }

    static Config config(ConfigVersion version, std::size_t services)
    {
        Config made { .version = version, .services = {}, .dataCentres = { { .name = "north" }, { .name = "south" } } };
        for (std::size_t number = 0; number < services; ++number)
            made.services.push_back(service(number, 5));
        return made;
    }

    static void sendSnapshot(const ActiveConfig& from, ActiveConfig& to)
    {
        std::vector<Bytes> frames = from.snapshotFor(to.version());
        std::reverse(frames.begin(), frames.end());
        for (const Bytes& bytes : frames) {
            FrameReader reader;
            reader.append(bytes);
            const auto view = reader.next();
            CPPUNIT_ASSERT(view);
            to.receiveSnapshotPart(*view->frame->body_as_ConfigSnapshot());
        }
    }

    static Config sorted(Config config)
    {
        std::sort(config.services.begin(), config.services.end(), [](const auto& left, const auto& right) { return left.name < right.name; });
        return config;
    }

    // Guards against a data centre that returns to service by itself: an operator takes it out, and a slow watch then delivers
    // the previous version.
    void olderConfigurationIsIgnored()
    {
        ActiveConfig activeConfig;
        Config out = config(8, 2);
        out.dataCentres[1].out = true;
        CPPUNIT_ASSERT(activeConfig.applyIfNewer(out));
        CPPUNIT_ASSERT(!activeConfig.applyIfNewer(config(7, 2)));
        CPPUNIT_ASSERT(!activeConfig.applyIfNewer(config(8, 2)));
        CPPUNIT_ASSERT(activeConfig.current().isOut("south"));
        CPPUNIT_ASSERT_EQUAL(std::uint64_t { 1 }, activeConfig.olderIgnored());
    }

    // Guards against processes that diverge. The first process follows the platform, the second gets every change from the
    // first, and the third now and then gets a delta over several changes from either of them. Parts arrive in reverse order.
    // All must hold the same configuration.
    void deltasBringEveryPeerToTheSameConfiguration()
    {
        std::mt19937 random(11);
        ActiveConfig source;
        ActiveConfig near;
        ActiveConfig far;
        Config current = config(1, 450);
        for (ConfigVersion version = 1; version < 60; ++version) {
            current.version = version;
            const std::size_t place = random() % current.services.size();
            if (random() % 4 == 0)
                current.services.erase(current.services.begin() + static_cast<std::ptrdiff_t>(place));
            else if (random() % 3 == 0)
                current.services.push_back(service(1000 + version, 3));
            else
                current.services[place].slots = static_cast<std::uint32_t>(random() % 20 + 1);
            current.dataCentres[1].out = random() % 2;
            source.applyIfNewer(current);
            sendSnapshot(source, near);
            CPPUNIT_ASSERT(sorted(near.current()) == sorted(current));
            if (random() % 7 == 0) {
                sendSnapshot(random() % 2 ? source : near, far);
                CPPUNIT_ASSERT(sorted(far.current()) == sorted(current));
            }
        }
    }

    void snapshotHoldsOnlyChanges()
    {
        ActiveConfig source;
        Config current = config(1, 1900);
        source.applyIfNewer(current);
        const auto whole = source.snapshotFor(0);
        CPPUNIT_ASSERT(whole.size() > 1);
        for (const Bytes& part : whole)
            CPPUNIT_ASSERT(part.size() < maxFrameBytes);
        current.version = 2;
        current.services[7].slots = 9;
        source.applyIfNewer(current);
        const auto change = source.snapshotFor(1);
        CPPUNIT_ASSERT_EQUAL(std::size_t { 1 }, change.size());
        CPPUNIT_ASSERT(change[0].size() < 1024);
        CPPUNIT_ASSERT(source.snapshotFor(2).empty());
    }

    void fetchesAreRateLimited()
    {
        ActiveConfig activeConfig;
        CPPUNIT_ASSERT(activeConfig.tryStartFetch(1000));
        CPPUNIT_ASSERT(!activeConfig.tryStartFetch(1200));
        CPPUNIT_ASSERT(activeConfig.tryStartFetch(1600));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(TestActiveConfig);
