#include "libhistory/history.h"

#include <cppunit/extensions/HelperMacros.h>
#include <cstdio>
#include <fstream>
#include <unistd.h>

using namespace kingcuptrail;

class TestHistory : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(TestHistory);
    CPPUNIT_TEST(everyFieldIsReadBack);
    CPPUNIT_TEST(invalidLinesAreClassified);
    CPPUNIT_TEST(filesAreMergedByTime);
    CPPUNIT_TEST_SUITE_END();

    void everyFieldIsReadBack()
    {
        const HistoryEvent event {
            .at = 5, .who = "u", .kind = HistoryKind::UpstreamWorkBegan, .process = "p", .role = ProcessRole::Agent, .key = "k", .call = 2, .flow = ~FlowId { 0 }, .service = "board", .upstream = "board-1", .upstreamId = 7, .dataCentre = "north", .idempotent = false, .bodyHash = 9, .version = 3, .concurrent = 4, .bearable = 5, .sequence = 6, .reason = RefusalReason::QueueFull, .detail = "\xff\"\n"
        };
        HistoryError error = HistoryError::None;
        const std::string line = toJsonLine(event);
        const auto read = parseJsonLine(line, error);
        CPPUNIT_ASSERT(read);
        CPPUNIT_ASSERT_EQUAL(line, toJsonLine(*read));
        CPPUNIT_ASSERT(line.find("\"flow\":18446744073709551615") != std::string::npos);
        CPPUNIT_ASSERT_EQUAL(std::string(R"({"event":"requestSent","t":1,"who":"c"})"), toJsonLine({ .at = 1, .who = "c" }));
    }

    void invalidLinesAreClassified()
    {
        const std::vector<std::pair<const char*, HistoryError>> cases {
            { "{", HistoryError::NotJson },
            { "[]", HistoryError::NotJson },
            { R"({"t":1})", HistoryError::UnknownEvent },
            { R"({"t":1,"event":"danced"})", HistoryError::UnknownEvent },
            { R"({"event":"flowOpened"})", HistoryError::BadField },
            { R"({"t":"1","event":"flowOpened"})", HistoryError::BadField },
            { R"({"t":1,"event":"flowOpened","colour":1})", HistoryError::BadField },
            { R"({"t":1,"event":"flowOpened","reason":"bored"})", HistoryError::BadField },
        };
        for (const auto& [line, expected] : cases) {
            HistoryError error = HistoryError::None;
            CPPUNIT_ASSERT_MESSAGE(line, !parseJsonLine(line, error));
            CPPUNIT_ASSERT_MESSAGE(line, error == expected);
        }
    }

    // An upstream may be killed while it writes its history. Its complete lines must be read and an incomplete last line
    // ignored; an incomplete line in the middle of a file is an error.
    void filesAreMergedByTime()
    {
        const std::string folder = "/tmp/kingcuptrail-history-" + std::to_string(getpid());
        const std::string one = folder + "-1";
        const std::string two = folder + "-2";
        HistoryWriter::open(one, "c1")->append({ .at = 20, .key = "late" });
        HistoryWriter::open(two, "c2")->append({ .at = 10, .key = "early" });
        std::ofstream(two, std::ios::app) << R"({"event":"flowOp)";
        HistoryFault fault;
        const auto events = readHistory({ one, two }, fault);
        std::ofstream(two, std::ios::app) << "\n";
        const auto broken = readHistory({ one, two }, fault);
        const auto missing = HistoryWriter::open("/nowhere/at/all", "c");
        std::remove(one.c_str());
        std::remove(two.c_str());
        CPPUNIT_ASSERT(events && events->size() == 2);
        CPPUNIT_ASSERT_EQUAL(std::string("early"), (*events)[0].key);
        CPPUNIT_ASSERT_EQUAL(std::string("c2"), (*events)[0].who);
        CPPUNIT_ASSERT(!broken && fault.error == HistoryError::NotJson && fault.file == two && fault.line == 2);
        CPPUNIT_ASSERT(!missing && !readHistory({ one }, fault) && fault.error == HistoryError::CannotOpen);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(TestHistory);
