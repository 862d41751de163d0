#include "libplatform/peerentryjson.h"
#include "platform/trustadapter.h"

#include <cppunit/extensions/HelperMacros.h>
#include <random>

using namespace kingcuptrail;

class TestTrustPlatform : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(TestTrustPlatform);
    CPPUNIT_TEST(decodesDocumentedPacket);
    CPPUNIT_TEST(clearMarksRestoresPacket);
    CPPUNIT_TEST(encodesDocumentedReset);
    CPPUNIT_TEST(rejectsPacketsOfWrongLength);
    CPPUNIT_TEST(parsesReports);
    CPPUNIT_TEST(rejectsMalformedReports);
    CPPUNIT_TEST(parsesConfiguration);
    CPPUNIT_TEST(rejectsMalformedConfigurations);
    CPPUNIT_TEST(encodesAndDecodesStoreCalls);
    CPPUNIT_TEST(malformedObjectDoesNotHideOthers);
    CPPUNIT_TEST(unreadableObjectDoesNotHideOthers);
    CPPUNIT_TEST(rejectsOutOfRangeTimes);
    CPPUNIT_TEST(rejectsReportsWithTooLargeNumbers);
    CPPUNIT_TEST(largeNumbersOfTheConfigurationAreCapped);
    CPPUNIT_TEST(rejectsNamesThatFitIntoNoMessage);
    CPPUNIT_TEST(randomBytesNeverCrash);
    CPPUNIT_TEST_SUITE_END();

    const DeploymentAdapter& m_adapter = trustAdapter();

    static std::vector<std::uint8_t> openingPacket()
    {
        return {
            0x00, 0x00, 0xd5, 0xc3, 0xb2, 0xa1, 0x00, 0x00, 0x00, 0x00, 0x01, 0x00, 0x00, 0x00, 0x00, 0x00, 0x44, 0x33, 0x22, 0x11, 0x00, 0x00, 0x00, 0x00,
            0x07, 0x00, 0x40, 0x64, 0x41, 0x9c, 0xbb, 0x01, 0x01, 0x00, 0x12, 0xc6
        };
    }

    void decodesDocumentedPacket()
    {
        DecodeError error = DecodeError::None;
        const auto header = m_adapter.decodePacket(openingPacket(), error);
        CPPUNIT_ASSERT(header && isOpening(*header));
        CPPUNIT_ASSERT_EQUAL(std::string("100.64.0.7:40001>198.18.0.1:443"), toString(flowFromCaller(*header)));
        CPPUNIT_ASSERT_EQUAL(0x11223344U, header->sequence);
        CPPUNIT_ASSERT_EQUAL(std::uint16_t { 0 }, header->dataLength);
    }

    void clearMarksRestoresPacket()
    {
        std::vector<std::uint8_t> packet = openingPacket();
        m_adapter.setMark(packet, 0xdeadbeef);
        DecodeError error = DecodeError::None;
        CPPUNIT_ASSERT_EQUAL(0xdeadbeefU, m_adapter.decodePacket(packet, error)->mark);
        packet[10] |= 4;
        CPPUNIT_ASSERT(m_adapter.decodePacket(packet, error)->flags.isReturned);
        m_adapter.clearMarks(packet);
        CPPUNIT_ASSERT(packet == openingPacket());
    }

    void encodesDocumentedReset()
    {
        DecodeError error = DecodeError::None;
        const FlowKey flow = flowFromCaller(*m_adapter.decodePacket(openingPacket(), error));
        const std::array<std::uint8_t, packetHeaderBytes> expected {
            0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0x80, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0x01, 0x00, 0x12, 0xc6, 0xbb, 0x01, 0x41, 0x9c, 0x07, 0x00, 0x40, 0x64
        };
        CPPUNIT_ASSERT(m_adapter.encodeReset(flow, 0) == expected);
    }

    void rejectsPacketsOfWrongLength()
    {
        DecodeError error = DecodeError::None;
        std::vector<std::uint8_t> packet = openingPacket();
        packet.push_back(0);
        CPPUNIT_ASSERT(!m_adapter.decodePacket(packet, error) && error == DecodeError::WrongLength);
        packet.resize(35);
        CPPUNIT_ASSERT(!m_adapter.decodePacket(packet, error) && error == DecodeError::TooShort);
    }

    UpstreamRequest put(const std::string& body)
    {
        return m_adapter.decodeUpstreamRequest({ .method = "PUT", .target = "/targets/i-7f", .body = body });
    }

    void parsesReports()
    {
        const UpstreamRequest call = put(R"({"service":"huvo","address":"10.1.0.9:8080","zone":"lj-a","version":"v1","slots":6,"state":"draining","warmup-left-ms":120.5,"sequence":4,"born":1790000000000,"new":1})");
        CPPUNIT_ASSERT(call.kind == UpstreamRequest::Kind::Report && call.report);
        CPPUNIT_ASSERT_EQUAL(std::string("i-7f"), call.report->id);
        CPPUNIT_ASSERT(call.report->isDraining && call.report->slots == 6 && call.report->coldLeft == 120 && call.report->born == 1790000000000);
        CPPUNIT_ASSERT(m_adapter.decodeUpstreamRequest({ .method = "DELETE", .target = "/targets/i-7f" }).kind == UpstreamRequest::Kind::ShutdownNotice);
        CPPUNIT_ASSERT(m_adapter.decodeUpstreamRequest({ .method = "PUT", .target = "/targets/" }).kind == UpstreamRequest::Kind::Unknown);
        CPPUNIT_ASSERT(m_adapter.decodeUpstreamRequest({ .method = "GET", .target = "/targets/i-7f" }).kind == UpstreamRequest::Kind::Unknown);
    }

    void rejectsMalformedReports()
    {
        CPPUNIT_ASSERT(put("\xff{").error == DecodeError::BadText);
        CPPUNIT_ASSERT(put(R"({"service":"huvo"})").error == DecodeError::MissingField);
        CPPUNIT_ASSERT(put(R"({"service":7,"zone":"a","slots":1,"state":"ready","warmup-left-ms":0,"sequence":1})").error == DecodeError::WrongType);
        CPPUNIT_ASSERT(put(R"({"service":"s","zone":"a","slots":1,"state":"resting","warmup-left-ms":0,"sequence":1})").error == DecodeError::OutOfRange);
        CPPUNIT_ASSERT(put(R"({"service":"s","zone":"a","slots":-1,"state":"ready","warmup-left-ms":0,"sequence":1})").error == DecodeError::OutOfRange);
        CPPUNIT_ASSERT(!put("[]").report);
    }

    static std::string configText()
    {
        return R"({"version":7,"routes":[{"name":"r-a","host":"198.18.0.1","path-prefix":"/8443/","kind":"idempotent","timeout-ms":1000,"aim-ms":150,"priority":2,
            "backends":[{"service":"huvo","weight":90},{"service":"wuno","weight":10}],"attempts":2},
            {"name":"r-i","host":"198.18.0.2","path-prefix":"/80/","kind":"upload","timeout-ms":3000,"aim-ms":500,"priority":2,"service":"wuno"}],
            "services":[{"name":"huvo","health-path":"/health","max-conns":2000,"warmup-s":2.0,"warmup-per-s":3.5}],
            "limits":{"idle-timeout-ms":15000}})";
    }

    std::optional<RouteTable> decodeRoutes(const std::string& text, DecodeError& error)
    {
        return m_adapter.decodeRoutes({ .name = "main", .version = 12, .value = text }, error);
    }

    void parsesConfiguration()
    {
        DecodeError error = DecodeError::None;
        const auto table = decodeRoutes(configText(), error);
        CPPUNIT_ASSERT(table && table->version == 7 && table->routes.size() == 2 && table->idleLimit == 15000);
        CPPUNIT_ASSERT_EQUAL(std::string("198.18.0.1:8443"), toString(table->routes[0].address));
        CPPUNIT_ASSERT(table->routes[0].shares.size() == 2 && table->routes[0].latencyTarget == 150 && table->routes[0].priority == 2);
        CPPUNIT_ASSERT_EQUAL(std::string("wuno"), table->routes[1].shares[0].service);
        CPPUNIT_ASSERT(table->routes[0].timeout == 1000 && table->routes[1].timeout == 3000);
        CPPUNIT_ASSERT(table->services[0].flowLimit == 2000 && table->services[0].warmUp == 2000 && table->services[0].coldRate == 3.5);
    }

    void rejectsMalformedConfigurations()
    {
        DecodeError error = DecodeError::None;
        CPPUNIT_ASSERT(!decodeRoutes("{", error) && error == DecodeError::BadText);
        CPPUNIT_ASSERT(!decodeRoutes(R"({"version":7})", error) && error == DecodeError::MissingField);
        std::string text = configText();
        text.replace(text.find("/8443/"), 6, "/x443/");
        CPPUNIT_ASSERT(!decodeRoutes(text, error) && error == DecodeError::OutOfRange);
        CPPUNIT_ASSERT(!m_adapter.decodeRoutes({ .name = "other", .value = configText() }, error) && error == DecodeError::None);
    }

    void encodesAndDecodesStoreCalls()
    {
        const StoreDialect& store = *m_adapter.store;
        CPPUNIT_ASSERT_EQUAL(std::string("POST"), store.put("agent", "a b", "{}", 0).method);
        CPPUNIT_ASSERT_EQUAL(std::string("/objects/agent/a%20b"), store.put("agent", "a b", "{}", 9).target);
        CPPUNIT_ASSERT_EQUAL(std::string("/objects/agent/a?revision=9"), store.remove("agent", "a", 9).target);
        CPPUNIT_ASSERT_EQUAL(std::string("/objects/agent?watch=5&wait-ms=30000"), store.watch("agent", 5, 30000, ReadFreshness::Current).target);
        CPPUNIT_ASSERT_EQUAL(std::string("/objects/agent?allow-stale=1&watch=5&wait-ms=1"), store.watch("agent", 5, 1, ReadFreshness::MayBeStale).target);
        const auto page = store.decodePage(R"({"items":[{"meta":{"name":"a","revision":3},"spec":{"x":1}}],"has-more":true,"as-of":8})");
        CPPUNIT_ASSERT(page && page->hasMore && page->list.version == 8 && page->list.objects[0].value == R"({"x":1})");
        const auto changes = store.decodeChanges(R"({"events":[{"deleted":true,"object":{"meta":{"name":"a","revision":9},"spec":{}}}],"as-of":9})");
        CPPUNIT_ASSERT(changes && !changes->objects[0].value && changes->version == 9);
        CPPUNIT_ASSERT(!store.decodePage("junk") && !store.decodeObject(R"({"meta":{}})"));
        CPPUNIT_ASSERT(store.errorFromStatus(201) == PlatformError::None && store.errorFromStatus(503) == PlatformError::Refused);
        CPPUNIT_ASSERT(store.errorFromStatus(409) == PlatformError::Conflict && store.errorFromStatus(410) == PlatformError::Gone);
    }

    // Guards against a malformed object of another writer (without a spec, without a name, or no object at all) that makes the
    // whole listing unreadable: a process that got no gossip then never learnt of any agent and refused every caller.
    void malformedObjectDoesNotHideOthers()
    {
        const StoreDialect& store = *m_adapter.store;
        const auto page = store.decodePage(R"({"items":[{"meta":{"name":"a","revision":3}},{"meta":{"revision":"x"},"spec":{}},7,{"meta":{"name":"b","revision":4},"spec":{"x":1}}],"as-of":8})");
        CPPUNIT_ASSERT(page.has_value());
        CPPUNIT_ASSERT_EQUAL(std::size_t { 4 }, page->list.objects.size());
        CPPUNIT_ASSERT_EQUAL(std::string("a"), page->list.objects[0].name);
        CPPUNIT_ASSERT_EQUAL(std::string("null"), *page->list.objects[0].value);
        CPPUNIT_ASSERT(page->list.objects[1].name.empty() && page->list.objects[2].name.empty());
        CPPUNIT_ASSERT_EQUAL(std::string(R"({"x":1})"), *page->list.objects[3].value);
        const auto changes = store.decodeChanges(R"({"events":[7,{"object":{"meta":{"name":"b","revision":9},"spec":{"x":1}}}],"as-of":9})");
        CPPUNIT_ASSERT(changes && changes->objects.size() == 2 && changes->objects[1].name == "b");
    }

    /// What another program may have written as a spec, or as a part of it, and the JSON library refuses or cannot copy.
    static std::vector<std::string> unreadableValues()
    {
        constexpr std::size_t levels = 500000;
        return { R"({"note":"\udcff\udcfe"})", R"({"until":1e400})", "\"\xff\xfe\"", std::string(levels, '[') + std::string(levels, ']') };
    }

    static std::string joined(std::initializer_list<std::string_view> parts)
    {
        std::string text;
        for (const std::string_view part : parts)
            text += part;
        return text;
    }

    // Guards against an object of another writer that the JSON library refuses, or that ends the process when it is copied: it
    // made the whole answer unreadable, and no process that started then became ready.
    void unreadableObjectDoesNotHideOthers()
    {
        const StoreDialect& store = *m_adapter.store;
        const std::string good = R"({"meta":{"name":"b","revision":4},"spec":{"x":1}})";
        for (const std::string& value : unreadableValues()) {
            const std::string odd = joined({ R"({"meta":{"name":"odd","revision":3,"finalizers":[)", value, R"(]},"spec":)", value, "}" });
            const auto page = store.decodePage(joined({ R"({"items":[)", odd, ",", good, R"(],"as-of":8,"has-more":false})" }));
            CPPUNIT_ASSERT(page && page->list.objects.size() == 2);
            CPPUNIT_ASSERT_EQUAL(std::string("odd"), page->list.objects[0].name);
            CPPUNIT_ASSERT_EQUAL(std::string(R"({"x":1})"), *page->list.objects[1].value);
            const auto changes = store.decodeChanges(joined({ R"({"events":[{"object":)", odd, R"(,"deleted":false},{"deleted":true,"object":)", odd, R"(},{"object":)", good, R"(}],"as-of":9})" }));
            CPPUNIT_ASSERT(changes && changes->objects.size() == 3 && changes->version == 9);
            CPPUNIT_ASSERT(changes->objects[0].value && !changes->objects[1].value && changes->objects[2].name == "b");
            CPPUNIT_ASSERT(store.decodeObject(odd) && store.decodeVersion(odd) == ObjectVersion { 3 });
            const auto unnamed = store.decodePage(joined({ R"({"items":[{"meta":{"name":)", value, R"(,"revision":3}},)", good, R"(],"as-of":8})" }));
            CPPUNIT_ASSERT(unnamed && unnamed->list.objects[0].name.empty() && unnamed->list.objects[1].name == "b");
            DecodeError error = DecodeError::None;
            CPPUNIT_ASSERT(!decodeRoutes(value, error) && error != DecodeError::None);
            CPPUNIT_ASSERT(!put(value).report);
        }
    }

    // Guards against a report whose remaining warm-up time does not fit into an integer of milliseconds. Converting it
    // without a check is undefined behaviour: the upstream counted as cold for ever or not at all. A negative time counts as
    // zero.
    void rejectsOutOfRangeTimes()
    {
        const auto putCold = [this](const std::string& time) {
            return put(R"({"service":"s","address":"10.0.0.1:1","zone":"z","slots":1,"state":"ready","sequence":1,"warmup-left-ms":)" + time + "}");
        };
        CPPUNIT_ASSERT(!putCold("1e300").report);
        CPPUNIT_ASSERT(putCold("1e300").error == DecodeError::OutOfRange);
        CPPUNIT_ASSERT_EQUAL(Millis { 0 }, putCold("-1e300").report->coldLeft);
    }

    // Guards against numbers that wrap around to small ones, and against a start time after which no report of the upstream counts.
    void rejectsReportsWithTooLargeNumbers()
    {
        const auto putNumbers = [this](const std::string& slots, const std::string& sequence, const std::string& born) {
            return put(R"({"service":"s","address":"10.0.0.1:1","zone":"z","state":"ready","warmup-left-ms":0,"slots":)" + slots + R"(,"sequence":)" + sequence + R"(,"born":)" + born + "}");
        };
        CPPUNIT_ASSERT(putNumbers("4294967295", "9007199254740991", "1790000000000").report);
        CPPUNIT_ASSERT(putNumbers("4294967296", "1", "1").error == DecodeError::OutOfRange);
        CPPUNIT_ASSERT(putNumbers("1", "18446744073709551615", "1").error == DecodeError::OutOfRange);
        CPPUNIT_ASSERT(putNumbers("1", "1", "9223372036854775807").error == DecodeError::OutOfRange);
        CPPUNIT_ASSERT(!putNumbers("1e400", "1", "1").report);
    }

    // Guards against limits that wrap around to small ones, and against refusing a configuration because of a large one.
    void largeNumbersOfTheConfigurationAreCapped()
    {
        const auto withNumber = [this](const std::string& from, const std::string& to) {
            std::string text = configText();
            text.replace(text.find(from), from.size(), to);
            DecodeError error = DecodeError::None;
            return decodeRoutes(text, error);
        };
        constexpr std::uint32_t largest = 0xffffffff;
        CPPUNIT_ASSERT_EQUAL(Millis { largest }, withNumber("\"idle-timeout-ms\":15000", "\"idle-timeout-ms\":1e18")->idleLimit);
        CPPUNIT_ASSERT_EQUAL(Millis { largest }, withNumber("\"idle-timeout-ms\":15000", "\"idle-timeout-ms\":4294968296")->idleLimit);
        CPPUNIT_ASSERT_EQUAL(Millis { 15000 }, withNumber("\"idle-timeout-ms\":15000", "\"other\":1")->idleLimit);
        CPPUNIT_ASSERT_EQUAL(largest, withNumber("\"max-conns\":2000", "\"max-conns\":4294967296")->services[0].flowLimit);
        CPPUNIT_ASSERT_EQUAL(largest, withNumber("\"weight\":90", "\"weight\":4294967296")->routes[0].shares[0].weight);
        CPPUNIT_ASSERT_EQUAL(largest, withNumber("\"priority\":2", "\"priority\":4294967298")->routes[0].priority);
        CPPUNIT_ASSERT_EQUAL(Millis { largest }, withNumber("\"timeout-ms\":1000", "\"timeout-ms\":1e300")->routes[0].timeout);
        CPPUNIT_ASSERT(!withNumber("\"priority\":2", "\"priority\":-1"));
    }

    // Guards against a report or an entry whose names make the messages about it too long to be sent.
    void rejectsNamesThatFitIntoNoMessage()
    {
        const auto putService = [this](std::size_t length) {
            return put(R"({"address":"10.0.0.1:1","zone":"z","slots":1,"state":"ready","sequence":1,"warmup-left-ms":0,"service":")" + std::string(length, 's') + "\"}");
        };
        CPPUNIT_ASSERT(putService(128).report && putService(129).error == DecodeError::OutOfRange);
        for (const char* field : { "name", "dataCentre", "service" }) {
            std::string entry = R"({"name":"x","role":"agent","address":167772161,"dataCentre":"x","service":"x","state":"ready","slots":1,"epoch":1})";
            CPPUNIT_ASSERT(parsePeerEntry(entry));
            const std::string place = std::string("\"").append(field).append("\":\"");
            entry.insert(entry.find(place) + place.size(), 128, 'x');
            CPPUNIT_ASSERT(!parsePeerEntry(entry));
        }
    }

    void randomBytesNeverCrash()
    {
        std::minstd_rand random(7);
        DecodeError error = DecodeError::None;
        const std::string config = configText();
        for (int round = 0; round < 3000; ++round) {
            std::string text = config;
            for (int change = 0; change < 4; ++change)
                text[random() % text.size()] = static_cast<char>(random());
            decodeRoutes(text, error);
            put(text);
            m_adapter.store->decodePage(text);
            std::vector<std::uint8_t> packet(random() % 80);
            for (auto& byte : packet)
                byte = static_cast<std::uint8_t>(random());
            m_adapter.decodePacket(packet, error);
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(TestTrustPlatform);
