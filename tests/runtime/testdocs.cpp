#include "libruntime/events.h"
#include "libruntime/settingsschema.h"

#include <cppunit/extensions/HelperMacros.h>
#include <fstream>
#include <nlohmann/json.hpp>
#include <sstream>
#include <vector>

using namespace kingcuptrail;

class TestDocs : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(TestDocs);
    CPPUNIT_TEST(eventsAgree);
    CPPUNIT_TEST(settingsAgree);
    CPPUNIT_TEST_SUITE_END();

    static std::string strip(const std::string& cell)
    {
        const auto begin = cell.find_first_not_of(" `");
        const auto end = cell.find_last_not_of(" `");
        return begin == std::string::npos ? "" : cell.substr(begin, end - begin + 1);
    }

    /// The cells of each table row on a page, if the row begins with `mark`.
    static std::vector<std::vector<std::string>> rows(const std::string& page, const std::string& mark)
    {
        std::ifstream file(std::string(DOCS_FOLDER "/") + page);
        std::vector<std::vector<std::string>> result;
        for (std::string line; std::getline(file, line);) {
            if (!line.starts_with(mark))
                continue;
            std::istringstream cells(line.substr(1));
            result.emplace_back();
            for (std::string cell; std::getline(cells, cell, '|');)
                result.back().push_back(strip(cell));
        }
        return result;
    }

    void eventsAgree()
    {
        constexpr std::array<const char*, 3> levels { "info", "warning", "error" };
        std::vector<std::vector<std::string>> documented;
        for (auto& row : rows("EVENTS.md", "| ")) {
            if (!row[0].empty() && std::isdigit(static_cast<unsigned char>(row[0][0])))
                documented.push_back(std::move(row));
        }
        const auto table = eventTable();
        CPPUNIT_ASSERT_EQUAL(table.size(), documented.size());
        for (std::size_t index = 0; index < table.size(); ++index) {
            const EventInfo& info = table[index];
            const auto& row = documented[index];
            CPPUNIT_ASSERT_EQUAL(std::size_t { 5 }, row.size());
            CPPUNIT_ASSERT_EQUAL(std::to_string(static_cast<unsigned>(info.event)), row[0]);
            CPPUNIT_ASSERT_EQUAL(std::string(info.name), row[1]);
            CPPUNIT_ASSERT_EQUAL(std::string(levels.at(static_cast<std::size_t>(info.level))), row[2]);
            CPPUNIT_ASSERT_EQUAL(std::string(info.meaning), row[3]);
            CPPUNIT_ASSERT(!row[4].empty());
            CPPUNIT_ASSERT(index == 0 || table[index - 1].event < info.event);
        }
    }

    static void appendFields(const nlohmann::json& schema, const std::string& prefix, std::vector<std::string>& fields)
    {
        for (const auto& [name, property] : schema["properties"].items()) {
            fields.push_back(prefix + name);
            if (property.contains("properties"))
                appendFields(property, prefix + name + ".", fields);
        }
    }

    void settingsAgree()
    {
        std::vector<std::string> fields;
        appendFields(nlohmann::json::parse(settingsSchema()), "", fields);
        std::vector<std::string> documented;
        for (const auto& row : rows("SETTINGS.md", "| `")) {
            if (row.size() == 5)
                documented.push_back(row[0]);
        }
        std::ranges::sort(fields);
        std::ranges::sort(documented);
        CPPUNIT_ASSERT(fields == documented);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(TestDocs);
