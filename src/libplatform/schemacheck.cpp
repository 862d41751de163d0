#include "schemacheck.h"

#include "jsontext.h"

#include <algorithm>
#include <array>
#include <nlohmann/json.hpp>
#include <set>
#include <valijson/adapters/nlohmann_json_adapter.hpp>
#include <valijson/schema.hpp>
#include <valijson/schema_parser.hpp>
#include <valijson/validator.hpp>

namespace kingcuptrail {

namespace {

    using Error = valijson::ValidationResults::Error;

    /// Beginnings of the validation library's messages; it has no error codes.
    constexpr std::string_view missingText = "Missing required property '";
    constexpr std::string_view typeText = "Value type not permitted";
    constexpr std::string_view unknownText = "Target should not validate against schema specified in 'not'";
    /// Beginnings of messages that only report an error in a child.
    constexpr std::array<std::string_view, 2> summaryTexts { "Failed to validate item #", "Failed to validate against" };

    std::string pointerFromContext(const std::vector<std::string>& context)
    {
        std::string place;
        for (std::size_t index = 1; index < context.size(); ++index) {
            const std::string& step = context[index];
            place = childPointer(place, std::string_view(step).substr(1, step.size() - 2));
        }
        return place;
    }

    bool isSummary(const Error& error)
    {
        return std::any_of(summaryTexts.begin(), summaryTexts.end(),
            [&error](std::string_view text) { return error.description.starts_with(text); });
    }

    Fault toFault(const Error& error)
    {
        Fault fault { .kind = FaultKind::OutOfRange, .place = pointerFromContext(error.context), .detail = error.description };
        if (error.description.starts_with(missingText)) {
            const std::size_t end = error.description.rfind('\'');
            fault.kind = FaultKind::MissingField;
            fault.place = childPointer(fault.place, error.description.substr(missingText.size(), end - missingText.size()));
        } else if (error.description.starts_with(typeText)) {
            fault.kind = FaultKind::WrongType;
        } else if (error.description.starts_with(unknownText)) {
            fault.kind = FaultKind::UnknownField;
            fault.detail = "Unknown field.";
        }
        return fault;
    }

    /// Finds names that occur twice in one object. The JSON library would silently keep the last value, and an operator would
    /// not notice that a part of the file has no effect.
    class DuplicateFinder {
    public:
        explicit DuplicateFinder(std::vector<Fault>& faults)
            : m_faults(faults)
        {
        }

        bool operator()(int, nlohmann::json::parse_event_t event, nlohmann::json& parsed)
        {
            using Event = nlohmann::json::parse_event_t;
            switch (event) {
            case Event::object_start:
            case Event::array_start:
                m_levels.push_back({ .isArray = event == Event::array_start });
                break;
            case Event::object_end:
            case Event::array_end:
                m_levels.pop_back();
                countElement();
                break;
            case Event::value:
                countElement();
                break;
            case Event::key:
                addName(parsed.get<std::string>());
                break;
            }
            return true;
        }

    private:
        struct Level {
            bool isArray = false;
            std::size_t index = 0;
            std::string name;
            std::set<std::string> names;
        };

        void countElement()
        {
            if (!m_levels.empty() && m_levels.back().isArray)
                ++m_levels.back().index;
        }

        void addName(const std::string& name)
        {
            Level& level = m_levels.back();
            level.name = name;
            if (level.names.insert(name).second)
                return;
            std::string place;
            for (const Level& outer : m_levels)
                place = outer.isArray ? childPointer(place, outer.index) : childPointer(place, outer.name);
            m_faults.push_back({ .kind = FaultKind::DuplicateName, .place = std::move(place), .detail = "The field occurs more than once in the same object." });
        }

        std::vector<Fault>& m_faults;
        std::vector<Level> m_levels;
    };

    /// The library also checks the range of a value of the wrong type; one fault for it is enough.
    void dropRangeFaultsOfWrongTypes(std::vector<Fault>& faults)
    {
        std::set<std::string> wrongTypes;
        for (const Fault& fault : faults) {
            if (fault.kind == FaultKind::WrongType)
                wrongTypes.insert(fault.place);
        }
        std::erase_if(faults, [&](const Fault& fault) { return fault.kind == FaultKind::OutOfRange && wrongTypes.contains(fault.place); });
    }

}

void checkAgainstSchema(const nlohmann::json& document, std::string_view schema, std::vector<Fault>& faults)
{
    const auto schemaDocument = nlohmann::json::parse(schema);
    valijson::Schema parsedSchema;
    valijson::SchemaParser().populateSchema(valijson::adapters::NlohmannJsonAdapter(schemaDocument), parsedSchema);
    valijson::ValidationResults results;
    valijson::Validator validator;
    validator.validate(parsedSchema, valijson::adapters::NlohmannJsonAdapter(document), &results);
    std::vector<Fault> found;
    for (const Error& error : results) {
        if (!isSummary(error))
            found.push_back(toFault(error));
    }
    dropRangeFaultsOfWrongTypes(found);
    faults.insert(faults.end(), found.begin(), found.end());
}

std::optional<nlohmann::json> parseChecked(std::string_view json, std::string_view schema, std::vector<Fault>& faults)
{
    if (!isDepthAllowed(json)) {
        faults.push_back({ .kind = FaultKind::NotJson, .place = "", .detail = "The text is nested too deeply." });
        return std::nullopt;
    }
    const std::size_t faultsBefore = faults.size();
    auto document = nlohmann::json::parse(json, DuplicateFinder(faults), false);
    if (document.is_discarded()) {
        faults.resize(faultsBefore);
        faults.push_back({ .kind = FaultKind::NotJson, .place = "", .detail = "The text is not valid JSON." });
        return std::nullopt;
    }
    checkAgainstSchema(document, schema, faults);
    if (faults.size() > faultsBefore)
        return std::nullopt;
    return document;
}

std::string childPointer(std::string_view place, std::string_view member)
{
    std::string pointer(place);
    pointer += '/';
    for (const char letter : member) {
        if (letter == '~')
            pointer += "~0";
        else if (letter == '/')
            pointer += "~1";
        else
            pointer += letter;
    }
    return pointer;
}

std::string childPointer(std::string_view place, std::size_t index)
{
    return childPointer(place, std::to_string(index));
}

}
