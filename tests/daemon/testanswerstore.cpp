#include "kingcuptraild/agent/answerstore.h"

#include <cppunit/extensions/HelperMacros.h>

using namespace kingcuptrail;

class TestAnswerStore : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(TestAnswerStore);
    CPPUNIT_TEST(emptyAnswersAreEvicted);
    CPPUNIT_TEST_SUITE_END();

    // Guards against memory that grows with each non-idempotent request whose answer has no body, such as a 204.
    void emptyAnswersAreEvicted()
    {
        constexpr std::size_t maxHeldBytes = std::size_t { 8 } * 1024 * 1024;
        constexpr int count = 100000;
        AnswerStore answers;
        for (int number = 0; number < count; ++number)
            answers.add("key-" + std::to_string(number), { .status = 204, .body = {} });
        CPPUNIT_ASSERT(!answers.find("key-0"));
        CPPUNIT_ASSERT(answers.find("key-" + std::to_string(count - 1)));
        CPPUNIT_ASSERT(answers.heldBytes() > maxHeldBytes / 2 && answers.heldBytes() <= maxHeldBytes);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(TestAnswerStore);
