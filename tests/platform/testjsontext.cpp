#include "libplatform/jsontext.h"

#include <cppunit/extensions/HelperMacros.h>
#include <random>

using namespace kingcuptrail;

class TestJsonText : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(TestJsonText);
    CPPUNIT_TEST(objectsAndArraysAreSplit);
    CPPUNIT_TEST(incompleteTextIsRejected);
    CPPUNIT_TEST(deeplyNestedTextIsRejected);
    CPPUNIT_TEST(splitValuesAreThoseOfTheLibrary);
    CPPUNIT_TEST_SUITE_END();

    void objectsAndArraysAreSplit()
    {
        const auto fields = splitObject(R"( {"a" : [1,{"b":"]}"}] ,"c\"":"x,\\", "a":1e400 } )");
        CPPUNIT_ASSERT(fields && fields->size() == 3);
        CPPUNIT_ASSERT_EQUAL(std::string(R"([1,{"b":"]}"}])"), std::string(fields->at(0).value));
        CPPUNIT_ASSERT_EQUAL(std::string(R"(c\")"), std::string(fields->at(1).name));
        CPPUNIT_ASSERT_EQUAL(std::string(R"("x,\\")"), std::string(fields->at(1).value));
        CPPUNIT_ASSERT_EQUAL(std::string("1e400"), std::string(fieldValue(*fields, "a")));
        CPPUNIT_ASSERT(fieldValue(*fields, "none").empty());
        const auto elements = splitArray("[ 1 , \"\\udcff\",[],\"\xff\" ]");
        CPPUNIT_ASSERT(elements && elements->size() == 4 && elements->at(0) == "1" && elements->at(2) == "[]");
        CPPUNIT_ASSERT(splitArray("[]")->empty() && splitObject("{ }")->empty());
    }

    // Guards against an answer that ends early and passes for a complete one.
    void incompleteTextIsRejected()
    {
        const std::string text = R"({"a":[1,{"b":"]}"}],"c":"x"})";
        for (std::size_t length = 0; length < text.size(); ++length)
            CPPUNIT_ASSERT(!splitObject(text.substr(0, length)));
        for (const char* bad : { "", "7", "[1]", "{\"a\"}", "{\"a\":}", "{,}", "{\"a\":1,}", "{\"a\":1}x", "{a:1}" })
            CPPUNIT_ASSERT_MESSAGE(bad, !splitObject(bad));
        for (const char* bad : { "", "{}", "[", "[1", "[1,]", "[1]2", "[,1]" })
            CPPUNIT_ASSERT_MESSAGE(bad, !splitArray(bad));
    }

    // Guards against text of another program that ends the process: the JSON library copies and writes documents recursively.
    void deeplyNestedTextIsRejected()
    {
        constexpr std::size_t levels = 500000;
        for (const auto& [open, close] : { std::pair { "[", "]" }, std::pair { "{\"a\":", "}" } }) {
            std::string deep;
            for (std::size_t level = 0; level < levels; ++level)
                deep += open;
            deep += '1';
            for (std::size_t level = 0; level < levels; ++level)
                deep += close;
            CPPUNIT_ASSERT(parseJson(deep).is_discarded());
            CPPUNIT_ASSERT_EQUAL(std::size_t { 1 }, splitObject("{\"spec\":" + deep + "}")->size());
        }
        const std::string allowed = std::string(maxJsonDepth, '[') + std::string(maxJsonDepth, ']');
        CPPUNIT_ASSERT(parseJson(allowed).is_array());
        CPPUNIT_ASSERT(parseJson("[" + allowed + "]").is_discarded());
        CPPUNIT_ASSERT(parseJson(R"(["[[\"[[",")" + std::string(1000, '[') + "\"]").is_array());
    }

    static nlohmann::json randomValue(std::minstd_rand& random, int depth)
    {
        const unsigned kind = random() % (depth > 0 ? 6 : 4);
        nlohmann::json value;
        switch (kind) {
        case 0:
            return random() % 1000;
        case 1:
            return nullptr;
        case 2:
            return random() % 2 == 0;
        case 3:
            return std::string("x\"]},:[{\\").substr(random() % 10);
        case 4:
            value = nlohmann::json::array();
            for (unsigned count = random() % 4; count > 0; --count)
                value.push_back(randomValue(random, depth - 1));
            return value;
        default:
            value = nlohmann::json::object();
            for (unsigned count = random() % 4; count > 0; --count)
                value[std::string("k").append(std::to_string(random() % 9))] = randomValue(random, depth - 1);
            return value;
        }
    }

    // Guards against a splitter that finds other fields than the library does in text that the library can read.
    void splitValuesAreThoseOfTheLibrary()
    {
        std::minstd_rand random(20261206);
        for (int round = 0; round < 2000; ++round) {
            const nlohmann::json document = randomValue(random, 4);
            const std::string text = document.dump(round % 3 == 0 ? 2 : -1);
            const auto fields = splitObject(text);
            const auto elements = splitArray(text);
            CPPUNIT_ASSERT(fields.has_value() == document.is_object() && elements.has_value() == document.is_array());
            CPPUNIT_ASSERT_EQUAL(document.is_structured() ? document.size() : 0, fields ? fields->size() : (elements ? elements->size() : 0));
            for (const JsonField& field : fields.value_or(std::vector<JsonField> {}))
                CPPUNIT_ASSERT(parseJson(field.value) == document.at(std::string(field.name)));
            for (std::size_t index = 0; elements && index < elements->size(); ++index)
                CPPUNIT_ASSERT(parseJson(elements->at(index)) == document.at(index));
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(TestJsonText);
