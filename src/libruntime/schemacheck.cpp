#include "schemacheck.h"

#include <array>
#include <nlohmann/json.hpp>
#include <optional>
#include <set>
#include <valijson/adapters/nlohmann_json_adapter.hpp>
#include <valijson/schema.hpp>
#include <valijson/schema_parser.hpp>
#include <valijson/validator.hpp>

namespace kingcuptrail {

namespace {

    struct FaultText {
        std::string_view beginning;
        FaultKind kind;
    };

    /// How the library words the errors that have a kind of their own; all others are about a value's range.
    constexpr auto faultTexts = std::to_array<FaultText>({
        { "Missing required property", FaultKind::MissingField },
        { "Target should not validate against schema", FaultKind::UnknownField },
        { "Value type not permitted", FaultKind::WrongType },
    });

    /// The library repeats each fault at every object around it.
    bool repeatsInnerFault(std::string_view description)
    {
        return description.starts_with("Failed to validate against schema associated with")
            || description.starts_with("Failed to validate against additional properties");
    }

    FaultKind kindOf(std::string_view description)
    {
        for (const FaultText& text : faultTexts) {
            if (description.starts_with(text.beginning))
                return text.kind;
        }
        return FaultKind::OutOfRange;
    }

    /// Makes "/agent/leaseMs" of the steps "<root>", "[agent]" and "[leaseMs]".
    std::string pointerOf(const std::vector<std::string>& steps)
    {
        std::string pointer;
        for (const std::string& step : steps) {
            if (step.size() >= 2 && step.front() == '[')
                pointer.append("/").append(step, 1, step.size() - 2);
        }
        return pointer;
    }

    std::optional<std::string> quotedName(const std::string& description)
    {
        const auto begin = description.find('\'');
        const auto end = description.rfind('\'');
        if (begin == std::string::npos || end <= begin)
            return std::nullopt;
        return description.substr(begin + 1, end - begin - 1);
    }

    Fault toFault(const valijson::ValidationResults::Error& error)
    {
        Fault fault { .kind = kindOf(error.description), .place = pointerOf(error.context), .detail = error.description };
        if (fault.kind == FaultKind::MissingField)
            fault.place.append("/").append(quotedName(error.description).value_or(""));
        if (fault.kind == FaultKind::UnknownField)
            fault.detail = "There is no field of this name.";
        return fault;
    }

    /// The library compares a number of the wrong type all the same; one fault for it is enough.
    void dropRangeOfWrongTypes(std::vector<Fault>& faults)
    {
        std::set<std::string> wrongTypes;
        for (const Fault& fault : faults) {
            if (fault.kind == FaultKind::WrongType)
                wrongTypes.insert(fault.place);
        }
        std::erase_if(faults, [&](const Fault& fault) { return fault.kind == FaultKind::OutOfRange && wrongTypes.contains(fault.place); });
    }

}

void checkAgainstSchema(const nlohmann::json& document, std::string_view schemaText, std::vector<Fault>& faults)
{
    using Adapter = valijson::adapters::NlohmannJsonAdapter;
    const auto schemaDocument = nlohmann::json::parse(schemaText);
    valijson::Schema schema;
    valijson::SchemaParser(valijson::SchemaParser::kDraft7).populateSchema(Adapter(schemaDocument), schema);
    valijson::ValidationResults results;
    valijson::Validator(valijson::Validator::kStrongTypes).validate(schema, Adapter(document), &results);
    std::vector<Fault> found;
    valijson::ValidationResults::Error error;
    while (results.popError(error)) {
        if (!repeatsInnerFault(error.description))
            found.push_back(toFault(error));
    }
    dropRangeOfWrongTypes(found);
    faults.insert(faults.end(), found.begin(), found.end());
}

}
