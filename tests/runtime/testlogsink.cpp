#include "libruntime/events.h"

#include <array>
#include <cppunit/extensions/HelperMacros.h>
#include <fcntl.h>
#include <iostream>
#include <nlohmann/json.hpp>
#include <sstream>
#include <unistd.h>

using namespace kingcuptrail;

class TestLogSink : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(TestLogSink);
    CPPUNIT_TEST(linesDroppedForASlowReaderAreCounted);
    CPPUNIT_TEST_SUITE_END();

    // Guards against lines that disappear without a trace while the reader of the log stands still.
    void linesDroppedForASlowReaderAreCounted()
    {
        std::array<int, 2> ends {};
        CPPUNIT_ASSERT_EQUAL(0, pipe2(ends.data(), O_NONBLOCK));
        fcntl(ends[1], F_SETPIPE_SZ, 4096);
        std::cout.flush();
        const int output = dup(STDOUT_FILENO);
        dup2(ends[1], STDOUT_FILENO);
        startLogging("test", "info", LogFormat::Json);
        std::string text;
        for (const std::size_t logged : { 200, 1 }) {
            for (std::size_t index = 0; index < logged; ++index)
                logEvent(Event::DaemonStarted);
            for (std::array<char, 4096> part; const auto count = read(ends[0], part.data(), part.size());) {
                if (count < 0)
                    break;
                text.append(part.data(), static_cast<std::size_t>(count));
            }
        }
        dup2(output, STDOUT_FILENO);
        startLogging("kingcuptrail", "warning");
        std::uint64_t written = 0;
        std::uint64_t counted = 0;
        std::istringstream lines(text);
        for (std::string line; std::getline(lines, line);) {
            const auto parsed = nlohmann::json::parse(line);
            written += parsed.at("name") == "daemonStarted" ? 1 : 0;
            counted += parsed.value("lines", std::uint64_t { 0 });
        }
        CPPUNIT_ASSERT(written > 20 && written < 200);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t { 201 }, written + counted);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(TestLogSink);
