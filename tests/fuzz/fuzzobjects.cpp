#include "libplatform/peerentryjson.h"
#include "platform/trustadapter.h"

#include <cstdlib>

#include <cstddef>
#include <cstdint>

using namespace kingcuptrail;

namespace {

/// Builds a JSON value whose structure is valid and whose strings and numbers may be anything: bytes that are no UTF-8, halves of
/// surrogate pairs, numbers beyond every range, any nesting.
class ValueBuilder {
public:
    std::string build(std::span<const std::uint8_t> instructions)
    {
        open('[', ']');
        for (std::size_t index = 0; index < instructions.size(); ++index)
            add(instructions[index], instructions.subspan(index + 1));
        while (!m_closing.empty())
            close();
        return m_text;
    }

private:
    void open(char opening, char closing)
    {
        separate();
        m_text += opening;
        m_closing += closing;
        m_isFirst = true;
    }

    void close()
    {
        m_text += m_closing.back();
        m_closing.pop_back();
        m_isFirst = false;
    }

    void separate()
    {
        if (!m_isFirst)
            m_text += ',';
        m_isFirst = false;
        if (!m_closing.empty() && m_closing.back() == '}')
            m_text += R"("k":)";
    }

    void addString(std::span<const std::uint8_t> bytes)
    {
        m_text += '"';
        for (const std::uint8_t byte : bytes)
            m_text += byte == '"' || byte == '\\' ? '?' : static_cast<char>(byte);
        m_text += '"';
    }

    void add(std::uint8_t instruction, std::span<const std::uint8_t> following)
    {
        constexpr std::size_t longest = 12;
        const std::uint8_t argument = instruction / 8;
        switch (instruction % 8) {
        case 0:
            open('[', ']');
            break;
        case 1:
            open('{', '}');
            break;
        case 2:
            if (m_closing.size() > 1)
                close();
            break;
        case 3:
            separate();
            m_text += (argument % 2 != 0 ? "-" : "") + std::to_string(argument) + "e" + std::to_string(argument * argument);
            break;
        case 4:
            separate();
            m_text += R"("\ud)" + std::to_string(800 + argument) + R"(")";
            break;
        case 5:
            for (unsigned level = 0; level < 100; ++level)
                open('[', ']');
            break;
        default:
            separate();
            addString(following.first(std::min(following.size(), longest)));
            break;
        }
    }

    std::string m_text;
    std::string m_closing;
    bool m_isFirst = true;
};

void expectGoodObjects(const ObjectList& list, const std::string& entry)
{
    std::size_t good = 0;
    for (const PlatformObject& object : list.objects) {
        const bool isGood = object.name == "agent-1" || object.name == "agent-2";
        good += isGood ? 1 : 0;
        if (isGood && (object.value != entry || !parsePeerEntry(entry)))
            std::abort();
        parseStoredEntry(object);
    }
    if (good != 2 || list.objects.size() != 4 || list.version != 8)
        std::abort();
}

}

/// Objects of another program among those of this system, in every answer of the store. The others must come through.
extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size)
{
    const std::string odd = ValueBuilder().build({ data, size });
    const std::string entry = R"({"name":"agent-1","role":"agent","address":167772161,"dataCentre":"n","service":"s","state":"ready","slots":5,"epoch":9})";
    const auto object = [](const std::string& name, const std::string& spec) { return R"({"meta":{"name":)" + name + R"(,"revision":3},"spec":)" + spec + "}"; };
    const std::vector<std::string> objects { object(R"("agent-1")", entry), object(R"("odd")", odd), object(odd, entry), object(R"("agent-2")", entry) };
    std::string items;
    std::string events;
    for (const std::string& text : objects) {
        items += (items.empty() ? "" : ",") + text;
        events += (events.empty() ? R"({"object":)" : R"(,{"object":)") + text + R"(,"deleted":false})";
    }
    const StoreDialect& store = *trustAdapter().store;
    const auto page = store.decodePage(R"({"items":[)" + items + R"(],"has-more":false,"as-of":8})");
    const auto changes = store.decodeChanges(R"({"events":[)" + events + R"(],"as-of":8})");
    if (!page || !changes)
        std::abort();
    expectGoodObjects(page->list, entry);
    expectGoodObjects(*changes, entry);
    if (!store.decodeObject(objects[1]))
        std::abort();
    DecodeError error = DecodeError::None;
    if (trustAdapter().decodeRoutes({ .name = "main", .version = 1, .value = odd }, error) || error == DecodeError::None)
        std::abort();
    if (trustAdapter().decodeUpstreamRequest({ .method = "PUT", .target = "/targets/i-1", .body = odd }).report)
        std::abort();
    return 0;
}
