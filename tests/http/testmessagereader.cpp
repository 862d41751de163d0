#include "libhttp/http.h"
#include "libhttp/httpmessagereader.h"

#include <cppunit/extensions/HelperMacros.h>
#include <random>

using namespace kingcuptrail;

class TestMessageReader : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(TestMessageReader);
    CPPUNIT_TEST(partialMessageIsNotComplete);
    CPPUNIT_TEST(corruptedMessagesStayWithinLimit);
    CPPUNIT_TEST(targetsAndHeadersAreRead);
    CPPUNIT_TEST_SUITE_END();

    static constexpr std::size_t maxBody = 64;

    static std::vector<std::string> messages()
    {
        return {
            "HTTP/1.1 200 OK\r\nContent-Length: 11\r\nX-A: b\r\n\r\nwhole\r\nbody",
            "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nwhole\r\n6\r\n\r\nbody\r\n0\r\nX-Trailer: t\r\n\r\n",
            "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 11\r\n\r\nwhole\r\nbody",
        };
    }

    // A message is split at every position. The first part alone must not count as complete, and both parts together must
    // give the same message as the whole.
    void partialMessageIsNotComplete()
    {
        for (const std::string& message : messages()) {
            for (std::size_t cut = 0; cut <= message.size(); ++cut) {
                HttpMessageReader reader(HttpMessageReader::Kind::Response, maxBody);
                CPPUNIT_ASSERT(reader.feed(message.substr(0, cut)) == HttpError::None);
                CPPUNIT_ASSERT_EQUAL(cut == message.size(), reader.isComplete());
                CPPUNIT_ASSERT(reader.feed(message.substr(cut)) == HttpError::None);
                CPPUNIT_ASSERT(reader.isComplete() && !reader.hasLeftover());
                CPPUNIT_ASSERT_EQUAL(std::string("whole\r\nbody"), reader.body());
                CPPUNIT_ASSERT(reader.feed("x") == HttpError::None && reader.hasLeftover());
            }
        }
    }

    void corruptedMessagesStayWithinLimit()
    {
        std::mt19937 random(11);
        for (unsigned round = 0; round < 20000; ++round) {
            std::string message = messages()[round % messages().size()];
            for (unsigned damage = 0; damage <= random() % 4; ++damage)
                message[random() % message.size()] = static_cast<char>(random());
            HttpMessageReader reader(HttpMessageReader::Kind::Response, maxBody);
            HttpError error = HttpError::None;
            for (std::size_t at = 0; at < message.size() && error == HttpError::None; at += 7)
                error = reader.feed(message.substr(at, 7));
            CPPUNIT_ASSERT(reader.body().size() <= maxBody);
            CPPUNIT_ASSERT(error == HttpError::None || !reader.isComplete());
        }
    }

    void targetsAndHeadersAreRead()
    {
        CPPUNIT_ASSERT(pathOf("/a/b?c=d") == "/a/b" && pathOf("/a") == "/a");
        CPPUNIT_ASSERT_EQUAL(std::string("d e&f"), queryValue("/a?x=1&c=d%20e%26f&y", "c"));
        CPPUNIT_ASSERT(queryValue("/a?x=1&y", "y").empty() && queryValue("/a", "x").empty() && queryValue("/a?%zz=%4", "x").empty());
        for (const std::string text : { "", "plain-._~09AZaz", "a b/c?d&e=f%", "\xc3\xa9\x01" })
            CPPUNIT_ASSERT_EQUAL(text, percentDecode(percentEncode(text)));
        CPPUNIT_ASSERT(headerValue({ { "Content-Type", "a" }, { "X", "b" } }, "content-TYPE") == "a");
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(TestMessageReader);
