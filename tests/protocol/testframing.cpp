#include "libprotocol/framing.h"

#include <cppunit/extensions/HelperMacros.h>

using namespace kingcuptrail;

class TestFraming : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(TestFraming);
    CPPUNIT_TEST(frameArrivesByteByByte);
    CPPUNIT_TEST(malformedFrameEndsReading);
    CPPUNIT_TEST(oversizedFrameIsRefusedBeforeItArrives);
    CPPUNIT_TEST_SUITE_END();

    static Bytes heartbeat()
    {
        wire::HeartbeatT body;
        body.config_version = 42;
        return encodeFrameOf(body);
    }

    void frameArrivesByteByByte()
    {
        FrameReader reader;
        const Bytes bytes = heartbeat();
        for (std::size_t index = 0; index + 1 < bytes.size(); ++index) {
            reader.append({ &bytes[index], 1 });
            CPPUNIT_ASSERT(!reader.next());
        }
        reader.append({ &bytes.back(), 1 });
        const auto view = reader.next();
        CPPUNIT_ASSERT(view);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t { 42 }, view->frame->body_as_Heartbeat()->config_version());
        CPPUNIT_ASSERT(!reader.hasPartial());
    }

    void malformedFrameEndsReading()
    {
        FrameReader reader;
        Bytes bytes = heartbeat();
        std::fill(bytes.begin() + framePrefixBytes, bytes.end(), 0xee);
        reader.append(bytes);
        CPPUNIT_ASSERT(!reader.next());
        CPPUNIT_ASSERT(reader.lastError() == FrameError::Malformed);
        reader.append(heartbeat());
        CPPUNIT_ASSERT(!reader.next());
    }

    void oversizedFrameIsRefusedBeforeItArrives()
    {
        FrameReader reader;
        const Bytes prefix { 0xff, 0xff, 0xff, 0x7f };
        reader.append(prefix);
        CPPUNIT_ASSERT(!reader.next());
        CPPUNIT_ASSERT(reader.lastError() == FrameError::TooLarge);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(TestFraming);
