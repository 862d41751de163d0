#include "jsontext.h"

#include "libdecision/gossipsize.h"

#include <algorithm>

namespace kingcuptrail {

namespace {

    bool isSpace(char letter)
    {
        return letter == ' ' || letter == '\t' || letter == '\n' || letter == '\r';
    }

    bool opens(char letter)
    {
        return letter == '{' || letter == '[';
    }

    bool closes(char letter)
    {
        return letter == '}' || letter == ']';
    }

    /// Reads JSON text value by value. Finds where values end, and does not check what is inside them.
    class TextReader {
    public:
        explicit TextReader(std::string_view text)
            : m_text(text)
        {
        }

        bool atEnd()
        {
            skipSpace();
            return m_position == m_text.size();
        }

        bool take(char letter)
        {
            skipSpace();
            if (m_position == m_text.size() || m_text[m_position] != letter)
                return false;
            ++m_position;
            return true;
        }

        /// Takes a string and returns what is between its quotes.
        std::optional<std::string_view> takeString()
        {
            skipSpace();
            const std::size_t begin = m_position;
            if (begin == m_text.size() || m_text[begin] != '"' || !skipString())
                return std::nullopt;
            return m_text.substr(begin + 1, m_position - begin - 2);
        }

        std::optional<std::string_view> takeValue()
        {
            skipSpace();
            const std::size_t begin = m_position;
            if (!skipValue() || m_position == begin)
                return std::nullopt;
            return m_text.substr(begin, m_position - begin);
        }

    private:
        void skipSpace()
        {
            while (m_position < m_text.size() && isSpace(m_text[m_position]))
                ++m_position;
        }

        bool skipString()
        {
            for (++m_position; m_position < m_text.size(); ++m_position) {
                if (m_text[m_position] == '\\') {
                    ++m_position;
                } else if (m_text[m_position] == '"') {
                    ++m_position;
                    return true;
                }
            }
            m_position = m_text.size();
            return false;
        }

        bool skipValue()
        {
            if (m_position < m_text.size() && m_text[m_position] == '"')
                return skipString();
            std::size_t depth = 0;
            while (m_position < m_text.size()) {
                const char letter = m_text[m_position];
                const bool isAfterScalar = depth == 0 && (letter == ',' || closes(letter) || isSpace(letter));
                if (isAfterScalar)
                    return true;
                if (letter == '"') {
                    if (!skipString())
                        return false;
                    continue;
                }
                ++m_position;
                if (opens(letter))
                    ++depth;
                else if (closes(letter) && --depth == 0)
                    return true;
            }
            return depth == 0;
        }

        std::string_view m_text;
        std::size_t m_position = 0;
    };

    /// Calls `readElement` for each element of a list up to the letter `close`. Returns false when the text is not such a list.
    template <typename ReadElement>
    bool readList(TextReader& reader, char close, ReadElement readElement)
    {
        if (reader.take(close))
            return reader.atEnd();
        while (readElement()) {
            if (reader.take(close))
                return reader.atEnd();
            if (!reader.take(','))
                return false;
        }
        return false;
    }

}

bool isDepthAllowed(std::string_view text)
{
    std::size_t depth = 0;
    bool isInString = false;
    for (std::size_t index = 0; index < text.size(); ++index) {
        const char letter = text[index];
        if (isInString && letter == '\\')
            ++index;
        else if (letter == '"')
            isInString = !isInString;
        else if (!isInString && opens(letter) && ++depth > maxJsonDepth)
            return false;
        else if (!isInString && closes(letter) && depth > 0)
            --depth;
    }
    return true;
}

nlohmann::json parseJson(std::string_view text)
{
    if (!isDepthAllowed(text))
        return nlohmann::json(nlohmann::json::value_t::discarded);
    return nlohmann::json::parse(text, nullptr, false);
}

std::optional<std::vector<JsonField>> splitObject(std::string_view text)
{
    TextReader reader(text);
    if (!reader.take('{'))
        return std::nullopt;
    std::vector<JsonField> fields;
    const auto readField = [&] {
        const auto name = reader.takeString();
        const auto value = name && reader.take(':') ? reader.takeValue() : std::nullopt;
        if (value)
            fields.push_back({ .name = *name, .value = *value });
        return value.has_value();
    };
    return readList(reader, '}', readField) ? std::optional(std::move(fields)) : std::nullopt;
}

std::optional<std::vector<std::string_view>> splitArray(std::string_view text)
{
    TextReader reader(text);
    if (!reader.take('['))
        return std::nullopt;
    std::vector<std::string_view> elements;
    const auto readElement = [&] {
        const auto value = reader.takeValue();
        if (value)
            elements.push_back(*value);
        return value.has_value();
    };
    return readList(reader, ']', readElement) ? std::optional(std::move(elements)) : std::nullopt;
}

std::string_view fieldValue(const std::vector<JsonField>& fields, std::string_view name)
{
    const auto found = std::find_if(fields.rbegin(), fields.rend(), [name](const JsonField& field) { return field.name == name; });
    return found != fields.rend() ? found->value : std::string_view();
}

std::optional<std::string> parseString(std::string_view text)
{
    const nlohmann::json value = parseJson(text);
    return value.is_string() ? std::optional(value.get<std::string>()) : std::nullopt;
}

std::string nameField(const nlohmann::json& document, const char* name)
{
    auto text = document.at(name).get<std::string>();
    if (text.size() > maxNameBytes)
        throw nlohmann::json::other_error::create(0, "name too long", nullptr);
    return text;
}

std::optional<std::uint64_t> parseUnsigned(std::string_view text)
{
    const nlohmann::json value = parseJson(text);
    return value.is_number_unsigned() ? std::optional(value.get<std::uint64_t>()) : std::nullopt;
}

}
