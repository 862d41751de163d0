#include "kingcuptrailctl/commands.h"
#include "kingcuptrailctl/explanations.h"

#include <algorithm>
#include <cppunit/extensions/HelperMacros.h>
#include <fstream>
#include <sstream>

using namespace kingcuptrail;

class TestExplanations : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(TestExplanations);
    CPPUNIT_TEST(everyReasonIsExplained);
    CPPUNIT_TEST(everyEventIsExplainedAsInItsPage);
    CPPUNIT_TEST(codesAndNamesAreFound);
    CPPUNIT_TEST(pageListsCommandsAndExitCodes);
    CPPUNIT_TEST_SUITE_END();

    static std::string page(const std::string& name)
    {
        std::ifstream file(std::string(DOCS_DIR "/") + name);
        std::ostringstream text;
        text << file.rdbuf();
        std::string plain = text.str();
        std::erase(plain, '`');
        return plain;
    }

    template <typename Enum>
    static void assertExplained()
    {
        for (std::size_t index = 0; index < EnumNames<Enum>::names.size(); ++index) {
            const Explanation explanation = explanationOf(static_cast<Enum>(index));
            const std::string name(EnumNames<Enum>::names[index]);
            CPPUNIT_ASSERT_MESSAGE(name, !explanation.meaning.empty() && !explanation.action.empty());
            CPPUNIT_ASSERT_MESSAGE(name, !findExplanations(name).empty());
        }
    }

    void everyReasonIsExplained()
    {
        assertExplained<RefusalReason>();
        assertExplained<OpeningRefusal>();
        assertExplained<ResetReason>();
        assertExplained<LinkError>();
        assertExplained<PlatformError>();
        assertExplained<HttpError>();
        assertExplained<ApplyError>();
        assertExplained<ChildFailure>();
    }

    void everyEventIsExplainedAsInItsPage()
    {
        const std::string events = page("EVENTS.md");
        for (const EventInfo& info : eventTable()) {
            CPPUNIT_ASSERT_MESSAGE(std::string(info.name), !info.action.empty() && events.find(info.action) != std::string::npos);
        }
    }

    void codesAndNamesAreFound()
    {
        for (const char* code : { "E310", "310", "memberJoined" })
            CPPUNIT_ASSERT_EQUAL_MESSAGE(code, std::string("event 310"), findExplanations(code).at(0).subject);
        CPPUNIT_ASSERT_EQUAL(std::string("refusal"), findExplanations("queueFull").at(0).subject);
        CPPUNIT_ASSERT_EQUAL(std::size_t { 3 }, findExplanations("connectFailed").size());
        for (const char* code : { "", "E", "9999", "queuefull" })
            CPPUNIT_ASSERT_MESSAGE(code, findExplanations(code).empty());
    }

    void pageListsCommandsAndExitCodes()
    {
        const std::string text = page("CTL.md");
        for (std::size_t number = 0; number < EnumNames<ExitCode>::names.size(); ++number) {
            std::string row = "| " + std::to_string(number);
            row.append(" | ").append(EnumNames<ExitCode>::names[number]).append(" | ").append(meaningOf(static_cast<ExitCode>(number)));
            CPPUNIT_ASSERT_MESSAGE(row, text.find(row) != std::string::npos);
        }
        for (const CommandInfo& command : commandTable())
            CPPUNIT_ASSERT_MESSAGE(std::string(command.name), text.find(std::string(command.name)) != std::string::npos);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(TestExplanations);
