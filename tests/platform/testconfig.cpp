#include "libplatform/config.h"
#include "libplatform/configdiff.h"
#include "libplatform/manifest.h"

#include <algorithm>
#include <cppunit/extensions/HelperMacros.h>

using namespace kingcuptrail;

class TestConfig : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(TestConfig);
    CPPUNIT_TEST(configFileIsParsed);
    CPPUNIT_TEST(everyFaultIsListedWithItsPlace);
    CPPUNIT_TEST(allFaultsAreListedAtOnce);
    CPPUNIT_TEST(configJsonRoundTrips);
    CPPUNIT_TEST(serviceObjectIsNamedByItsContent);
    CPPUNIT_TEST(diffReportsChanges);
    CPPUNIT_TEST(manifestListsRecentApplies);
    CPPUNIT_TEST_SUITE_END();

    static std::string service(const std::string& fields)
    {
        return R"({"services":[{)" + fields + R"(}],"dataCentres":[{"name":"north"}]})";
    }

    static std::string describe(const std::vector<Fault>& faults)
    {
        std::string text;
        for (const Fault& fault : faults)
            text.append(nameOf(fault.kind)).append(" ").append(fault.place).append("; ");
        return text;
    }

    void configFileIsParsed()
    {
        std::vector<Fault> faults;
        const auto config = parseConfig(R"({"services":[{"name":"board","address":"10.0.0.1:443","dataCentres":["north","south"],)"
                                        R"("slots":5,"queueLimit":9,"flowLimit":20,"warmUpMs":0}],"dataCentres":[{"name":"north"},{"name":"south","out":true}]})",
            faults);
        CPPUNIT_ASSERT_EQUAL(std::string(), describe(faults));
        const ServiceConfig expected { .name = "board", .address = 0x0a0000010000 + 443, .dataCentres = { "north", "south" }, .slots = 5, .queueLimit = 9, .flowLimit = 20, .warmUp = 0 };
        CPPUNIT_ASSERT(config->services.front() == expected);
        CPPUNIT_ASSERT(config->findService("board") == config->findAddress(expected.address));
        CPPUNIT_ASSERT(config->isOut("south") && !config->isOut("north") && !config->isOut("east"));
        CPPUNIT_ASSERT(!config->dataCentres[0].isOutSpecified && config->dataCentres[1].isOutSpecified);
    }

    void everyFaultIsListedWithItsPlace()
    {
        const std::string good = R"("name":"a","address":"10.0.0.1:443","dataCentres":["north"],"slots":5)";
        const auto with = [&good](const std::string& from, const std::string& to) {
            std::string fields = good;
            return service(fields.replace(fields.find(from), from.size(), to));
        };
        const auto two = [&good](const std::string& address) {
            return R"({"services":[{)" + good + R"(},{"name":"b","address":")" + address + R"(","dataCentres":["north"],"slots":1}],"dataCentres":[{"name":"north"}]})";
        };
        const std::vector<std::pair<std::string, std::string>> cases {
            { service(good), "" },
            { "{", "notJson ; " },
            { "[]", "wrongType ; " },
            { R"({"services":[]})", "missingField /dataCentres; " },
            { with(R"(,"slots":5)", ""), "missingField /services/0/slots; " },
            { with(R"("slots")", R"("sluts/~")"), "unknownField /services/0/sluts~1~0; missingField /services/0/slots; " },
            { service(good + R"(,"x":1,"y":2)"), "unknownField /services/0/x; unknownField /services/0/y; " },
            { with("5", R"("5")"), "wrongType /services/0/slots; " },
            { with("5", "1.5"), "wrongType /services/0/slots; " },
            { with("5", "0"), "outOfRange /services/0/slots; " },
            { with("5", "18446744073709551615"), "outOfRange /services/0/slots; " },
            { service(good + R"(,"warmUpMs":3600001)"), "outOfRange /services/0/warmUpMs; " },
            { service(good + R"(,"warmUpMs":-1)"), "outOfRange /services/0/warmUpMs; " },
            { service(good + R"(,"flowLimit":0)"), "outOfRange /services/0/flowLimit; " },
            { with(R"("a")", R"("../a")"), "outOfRange /services/0/name; " },
            { with(R"("a")", "\"" + std::string(64, 'a') + "\""), "outOfRange /services/0/name; " },
            { with("10.0.0.1:443", "10.0.0.1"), "badAddress /services/0/address; " },
            { with("10.0.0.1:443", "10.0.0.1:0"), "badAddress /services/0/address; " },
            { with("10.0.0.1:443", "host.example:443"), "badAddress /services/0/address; " },
            { with("10.0.0.1:443", "10.0.0.1:65536"), "badAddress /services/0/address; " },
            { two("10.0.0.1:443"), "overlappingAddress /services/1/address; " },
            { two("0.0.0.0:443"), "overlappingAddress /services/1/address; " },
            { two("10.0.0.1:444"), "" },
            { with(R"(["north"])", R"(["north","north"])"), "duplicateName /services/0/dataCentres/1; " },
            { with(R"(["north"])", R"(["east"])"), "unknownDataCentre /services/0/dataCentres/0; " },
            { with(R"(["north"])", "[]"), "outOfRange /services/0/dataCentres; " },
            { service(good + R"(,"slots":6)"), "duplicateName /services/0/slots; " },
            { R"({"services":[],"dataCentres":[{"name":"n"},{"name":"n"}]})", "duplicateName /dataCentres/1/name; " },
            { R"({"services":[],"dataCentres":[{"name":"n","out":true}]})", "inconsistent /dataCentres; " },
            { R"({"services":[],"dataCentres":[{"name":"n","out":1}]})", "wrongType /dataCentres/0/out; " },
        };
        for (const auto& [json, expected] : cases) {
            std::vector<Fault> faults;
            const auto config = parseConfig(json, faults);
            CPPUNIT_ASSERT_EQUAL_MESSAGE(json, expected, describe(faults));
            CPPUNIT_ASSERT_EQUAL_MESSAGE(json, expected.empty(), config.has_value());
        }
    }

    void allFaultsAreListedAtOnce()
    {
        std::vector<Fault> faults;
        parseConfig(R"({"services":[{"name":"a","address":1,"dataCentres":[],"slots":0},{"x":1}],"dataCentres":[{"name":"","out":"no"}]})", faults);
        for (const char* place : { "/services/0/address", "/services/0/dataCentres", "/services/0/slots", "/services/1/x", "/services/1/name", "/dataCentres/0/name", "/dataCentres/0/out" })
            CPPUNIT_ASSERT_MESSAGE(place, std::any_of(faults.begin(), faults.end(), [place](const Fault& fault) { return fault.place == place; }));
        CPPUNIT_ASSERT_EQUAL(std::size_t { 10 }, faults.size());
    }

    static Config twoServices()
    {
        Config config;
        config.version = 7;
        config.services = { { .name = "b", .address = 1 << 16 | 5, .dataCentres = { "y", "x" } }, { .name = "a", .address = 2 << 16 | 5, .dataCentres = { "x" }, .slots = 3 } };
        config.dataCentres = { { .name = "y", .out = true }, { .name = "x" } };
        return config;
    }

    void configJsonRoundTrips()
    {
        std::vector<Fault> faults;
        const auto read = parseConfig(toJson(twoServices()), faults);
        CPPUNIT_ASSERT(read && *read == twoServices());
        CPPUNIT_ASSERT(toJson(normalised(twoServices())) == toJson(normalised(normalised(twoServices()))));
        CPPUNIT_ASSERT(upstreamIdOf("a") != upstreamIdOf("b") && upstreamIdOf("") != 0);
    }

    void serviceObjectIsNamedByItsContent()
    {
        const ServiceConfig service = twoServices().services.front();
        ServiceConfig other = service;
        other.slots += 1;
        CPPUNIT_ASSERT(serviceObjectName(service) != serviceObjectName(other));
        CPPUNIT_ASSERT(parseServiceObject(serviceObjectName(service), toJson(service)) == service);
        CPPUNIT_ASSERT(!parseServiceObject(serviceObjectName(service), toJson(other)));
        CPPUNIT_ASSERT(!parseServiceObject("x", "{}"));
    }

    void diffReportsChanges()
    {
        const Config from = twoServices();
        Config to = twoServices();
        std::swap(to.services[0], to.services[1]);
        std::swap(to.services[1].dataCentres[0], to.services[1].dataCentres[1]);
        CPPUNIT_ASSERT(diffConfigs(from, to).empty());
        to.services[0].slots = 4;
        to.services[1].name = "c";
        to.dataCentres[0].out = false;
        to.dataCentres.push_back({ .name = "z" });
        const std::vector<ConfigChange> expected {
            { ChangeKind::ServiceChanged, "a", "slots 3 -> 4" },
            { ChangeKind::ServiceRemoved, "b", "" },
            { ChangeKind::ServiceAdded, "c", "0.0.0.1:5" },
            { ChangeKind::DataCentreBroughtBack, "y", "" },
            { ChangeKind::DataCentreAdded, "z", "" },
        };
        CPPUNIT_ASSERT(diffConfigs(from, to) == expected);
    }

    void manifestListsRecentApplies()
    {
        Manifest manifest;
        for (unsigned index = 1; index <= maxRecentApplies + 1; ++index)
            manifest = nextManifest(manifest, normalised(twoServices()), "id" + std::to_string(index));
        const auto read = parseManifest(toJson(manifest));
        CPPUNIT_ASSERT(read && read->services == manifest.services && read->dataCentres == manifest.dataCentres);
        CPPUNIT_ASSERT(read->versionOf("id2") == ConfigVersion { 2 });
        CPPUNIT_ASSERT(!read->versionOf("id1"));
        CPPUNIT_ASSERT(!parseManifest("{}") && !parseManifest("x"));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(TestConfig);
