#include "libruntime/settings.h"

#include <cppunit/extensions/HelperMacros.h>
#include <nlohmann/json.hpp>

using namespace kingcuptrail;
using nlohmann::json;

namespace {

struct FaultCase {
    const char* patch;
    std::vector<std::pair<FaultKind, const char*>> faults;
};

}

class TestSettings : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(TestSettings);
    CPPUNIT_TEST(validSettingsAreParsed);
    CPPUNIT_TEST(everyFaultIsListed);
    CPPUNIT_TEST(endpointsNeedAddressAndPort);
    CPPUNIT_TEST(packetRolesRequireTheirFields);
    CPPUNIT_TEST(reportsMustBeBridged);
    CPPUNIT_TEST_SUITE_END();

    static json balancer()
    {
        return json::parse(R"({"role":"balancer","name":"b1","dataCentre":"north","listen":"127.0.0.1:7001",
            "admin":"127.0.0.1:0","platform":"127.0.0.1:7000","heartbeatMs":400})");
    }

    static json agent()
    {
        json document = balancer();
        document["role"] = "agent";
        document["agent"] = json::parse(R"({"upstreamName":"board-1","service":"board","upstream":"127.0.0.1:9001","leaseMs":9000,"announce":"10.1.2.3:80"})");
        return document;
    }

    void validSettingsAreParsed()
    {
        std::vector<Fault> faults;
        const auto settings = parseSettings(agent().dump(), faults);
        CPPUNIT_ASSERT(settings && faults.empty());
        CPPUNIT_ASSERT(settings->role == DaemonRole::Agent);
        CPPUNIT_ASSERT_EQUAL(Millis { 400 }, settings->heartbeat);
        CPPUNIT_ASSERT_EQUAL(Millis { 2500 }, settings->linkSilence);
        CPPUNIT_ASSERT_EQUAL(Millis { 9000 }, settings->agent.lease);
        CPPUNIT_ASSERT_EQUAL(std::uint16_t { 9001 }, settings->agent.upstream.port());
        CPPUNIT_ASSERT_EQUAL(std::string("10.1.2.3"), settings->agent.announce->address().to_string());
        CPPUNIT_ASSERT(parseSettings(balancer().dump(), faults));
    }

    void everyFaultIsListed()
    {
        using enum FaultKind;
        const std::vector<FaultCase> cases {
            { R"({"name":null,"dataCentre":null})", { { MissingField, "/name" }, { MissingField, "/dataCentre" } } },
            { R"({"colour":"red","agent":{"size":1},"x":2})", { { UnknownField, "/colour" }, { UnknownField, "/agent/size" }, { UnknownField, "/x" } } },
            { R"({"heartbeatMs":"500","listen":7001})", { { WrongType, "/heartbeatMs" }, { WrongType, "/listen" } } },
            { R"({"heartbeatMs":1.5})", { { WrongType, "/heartbeatMs" } } },
            { R"({"heartbeatMs":5,"logLevel":"loud","role":"proxy"})", { { OutOfRange, "/heartbeatMs" }, { OutOfRange, "/logLevel" }, { OutOfRange, "/role" } } },
            { R"({"agent":{"leaseMs":0,"healthPath":"health","upstreamName":"a b"}})", { { OutOfRange, "/agent/leaseMs" }, { OutOfRange, "/agent/healthPath" }, { OutOfRange, "/agent/upstreamName" } } },
            { R"({"listen":"host:1","platform":"127.0.0.1:0","agent":{"upstream":"127.0.0.1:70000"}})", { { BadAddress, "/listen" }, { BadAddress, "/platform" }, { BadAddress, "/agent/upstream" } } },
            { R"({"admin":"127.0.0.1:7001"})", { { OverlappingAddress, "/admin" } } },
            { R"({"agent":{"upstream":"127.0.0.1:7001"}})", { { OverlappingAddress, "/agent/upstream" } } },
            { R"({"agent":{"announce":"127.0.0.1:0"}})", { { BadAddress, "/agent/announce" } } },
            { R"({"agent":{"announce":"127.0.0.1:9001"}})", { { OverlappingAddress, "/agent/announce" } } },
            { R"({"agent":null})", { { MissingField, "/agent" } } },
            { R"({"role":"balancer"})", { { Inconsistent, "/agent" } } },
            { R"({"heartbeatMs":500,"linkSilenceMs":1000})", { { Inconsistent, "/linkSilenceMs" } } },
            { R"({"agent":{"drainIdleMs":2000,"drainLimitMs":1000}})", { { Inconsistent, "/agent/drainIdleMs" } } },
        };
        for (const FaultCase& oneCase : cases) {
            json document = agent();
            document.merge_patch(json::parse(oneCase.patch));
            expectFaults(document.dump(), oneCase.patch, oneCase.faults);
        }
        expectFaults("{\"role\":", "truncated", { { NotJson, "" } });
        expectFaults(R"({"role":"agent",)" + balancer().dump().substr(1), "twice", { { DuplicateName, "/role" } });
        expectFaults("[]", "array", { { WrongType, "" } });
        expectFaults(std::string(70000, ' ') + balancer().dump(), "large", { { OutOfRange, "" } });
    }

    static void expectFaults(const std::string& text, const std::string& name, const std::vector<std::pair<FaultKind, const char*>>& expected)
    {
        std::vector<Fault> faults;
        CPPUNIT_ASSERT_MESSAGE(name, !parseSettings(text, faults));
        std::string listed = name + " gave";
        for (const Fault& fault : faults)
            listed.append(" ").append(nameOf(fault.kind)).append(" ").append(fault.place);
        CPPUNIT_ASSERT_EQUAL_MESSAGE(listed, expected.size(), faults.size());
        for (const auto& one : expected) {
            const auto matches = [&](const Fault& fault) { return fault.kind == one.first && fault.place == one.second; };
            CPPUNIT_ASSERT_MESSAGE(listed, std::ranges::any_of(faults, matches));
        }
    }

    void endpointsNeedAddressAndPort()
    {
        for (const char* text : { "127.0.0.1:80", "[::1]:80", "10.0.0.1:0" })
            CPPUNIT_ASSERT_MESSAGE(text, parseEndpoint(text));
        for (const char* text : { "", ":", "127.0.0.1", "127.0.0.1:", "127.0.0.1:-1", "127.0.0.1:80x", "127.0.0.1:65536", "::1:80", "[127.0.0.1]:80", "localhost:80" })
            CPPUNIT_ASSERT_MESSAGE(text, !parseEndpoint(text));
    }

    void packetRolesRequireTheirFields()
    {
        const std::string common = R"("name":"b","dataCentre":"north","listen":"10.0.0.1:7720","admin":"10.0.0.1:9464","platform":"10.0.0.2:80")";
        const std::string balancer = R"({"role":"packetBalancer",)" + common + R"(,"packets":{"ingress":"10.0.0.1:8172","ready":"10.0.0.1:8167","seeds":["10.0.0.3:1"],"addressReuseSeconds":2.5,"linkMegabits":10,"toleratedDataCentreLosses":2}})";
        std::vector<Fault> faults;
        const auto settings = parseSettings(balancer, faults);
        CPPUNIT_ASSERT(settings && settings->packets.addressReuse == 2500 && settings->packets.leave == 6000 && settings->packets.linkMegabits == 10 && settings->packets.seeds.size() == 1);
        CPPUNIT_ASSERT_EQUAL(std::size_t { 2 }, settings->packets.toleratedDataCentreLosses);
        for (const char* losses : { "17", "-1", "0.5", "\"1\"" }) {
            std::string bad = balancer;
            bad.replace(bad.rfind("2}}"), 1, losses);
            CPPUNIT_ASSERT_MESSAGE(losses, !parseSettings(bad, faults));
            CPPUNIT_ASSERT_EQUAL(std::string("/packets/toleratedDataCentreLosses"), faults.back().place);
        }
        faults.clear();
        std::string unset = balancer;
        const std::string field = R"(,"toleratedDataCentreLosses":2)";
        unset.erase(unset.find(field), field.size());
        for (const auto& [variable, expected] : { std::pair { "1", 1 }, std::pair { "17", -1 }, std::pair { "x", -1 } }) {
            setenv("KINGCUPTRAIL_TOLERATED_LOSSES", variable, 1);
            const auto byEnvironment = parseSettings(unset, faults);
            CPPUNIT_ASSERT_EQUAL_MESSAGE(variable, expected, byEnvironment ? static_cast<int>(byEnvironment->packets.toleratedDataCentreLosses) : -1);
            CPPUNIT_ASSERT(parseSettings(balancer, faults)->packets.toleratedDataCentreLosses == 2);
        }
        unsetenv("KINGCUPTRAIL_TOLERATED_LOSSES");
        faults.clear();
        std::string agent = balancer;
        agent.replace(agent.find("packetBalancer"), 14, "packetAgent");
        CPPUNIT_ASSERT(!parseSettings(agent, faults));
        CPPUNIT_ASSERT_EQUAL(std::size_t { 3 }, faults.size());
        faults.clear();
        CPPUNIT_ASSERT(!parseSettings(R"({"role":"packetAgent",)" + common + "}", faults));
        CPPUNIT_ASSERT(faults.front().kind == FaultKind::MissingField);
        faults.clear();
        std::string badSeed = balancer;
        badSeed.replace(badSeed.find("10.0.0.3:1"), 10, "nobody:123");
        CPPUNIT_ASSERT(!parseSettings(badSeed, faults));
        CPPUNIT_ASSERT_EQUAL(std::string("/packets/seeds/0"), faults.front().place);
    }

    // Guards against an agent that could not keep its upstream in service between two reports.
    void reportsMustBeBridged()
    {
        const auto settingsWith = [](const std::string& reuseSeconds, const std::string& interval) {
            return R"({"role":"packetAgent","name":"a","dataCentre":"north","listen":"10.0.0.1:7720","admin":"10.0.0.1:9464","platform":"10.0.0.2:80","packets":{"ingress":"10.0.0.1:8172","ready":"10.0.0.1:8167","upstream":"10.0.0.1:80","outbound":"10.0.0.1:81","control":"10.0.0.1:82","addressReuseSeconds":)" + reuseSeconds + interval + "}}";
        };
        std::vector<Fault> faults;
        const auto settings = parseSettings(settingsWith("2", R"(,"reportIntervalMs":3000)"), faults);
        CPPUNIT_ASSERT(settings && settings->packets.reportInterval == 3000);
        CPPUNIT_ASSERT(!parseSettings(settingsWith("0.5", R"(,"reportIntervalMs":3000)"), faults));
        CPPUNIT_ASSERT(faults.back().kind == FaultKind::Inconsistent && faults.back().place == "/packets/addressReuseSeconds");
        for (const auto& [variable, expected] : { std::pair { "770", 770 }, std::pair { "9", -1 }, std::pair { "x", -1 }, std::pair { "", 1000 } }) {
            setenv("KINGCUPTRAIL_REPORT_INTERVAL_MS", variable, 1);
            const auto byEnvironment = parseSettings(settingsWith("2", ""), faults);
            CPPUNIT_ASSERT_EQUAL_MESSAGE(variable, expected, byEnvironment ? static_cast<int>(byEnvironment->packets.reportInterval) : -1);
        }
        unsetenv("KINGCUPTRAIL_REPORT_INTERVAL_MS");
        for (const auto& [variable, expected] : { std::pair { "60", 60000 }, std::pair { "0.5", 500 }, std::pair { "-1", -1 }, std::pair { "nan", -1 }, std::pair { "", 0 } }) {
            setenv("KINGCUPTRAIL_FLOW_LIFETIME_S", variable, 1);
            const auto byEnvironment = parseSettings(settingsWith("2", ""), faults);
            CPPUNIT_ASSERT_EQUAL_MESSAGE(variable, expected, byEnvironment ? static_cast<int>(byEnvironment->packets.flowLifetime) : -1);
        }
        unsetenv("KINGCUPTRAIL_FLOW_LIFETIME_S");
        CPPUNIT_ASSERT_EQUAL(Millis { 60000 }, parseSettings(settingsWith("2", R"(,"flowLifetimeSeconds":60)"), faults)->packets.flowLifetime);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(TestSettings);
