#pragma once

#include <cmath>
#include <limits>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace kingcuptrail {

/// The deepest nesting of JSON text that is parsed. Documents of this system have less than ten levels; copying or writing a
/// document recurses once for each level and would exhaust the stack.
inline constexpr std::size_t maxJsonDepth = 64;

/// Whether no value in the text is nested deeper than `maxJsonDepth`.
bool isDepthAllowed(std::string_view text);

/// Parses JSON text of another program. The result is discarded when the text is not JSON or is nested too deeply.
nlohmann::json parseJson(std::string_view text);

/// A field of a JSON object as text. The name has no quotes, and its escapes are not decoded.
struct JsonField {
    std::string_view name;
    std::string_view value;
};

/// Splits the text of a JSON object into its fields, and that of an array into its elements, without parsing them, so that one
/// value that cannot be parsed leaves the others readable. Nothing when the text is not an object or array.
std::optional<std::vector<JsonField>> splitObject(std::string_view text);
std::optional<std::vector<std::string_view>> splitArray(std::string_view text);

/// The value of a field, empty if there is none. Of several fields with the name the last one counts.
std::string_view fieldValue(const std::vector<JsonField>& fields, std::string_view name);

/// Parse the text of a single value; nothing when it has another type or cannot be parsed.
std::optional<std::string> parseString(std::string_view text);
std::optional<std::uint64_t> parseUnsigned(std::string_view text);

/// Reads a field that holds a number of this type. The library's own conversion of a number outside the type's range is undefined
/// or wraps around. Throws a JSON exception for any other value.
template <typename Number>
Number numberField(const nlohmann::json& document, const char* name)
{
    using Limits = std::numeric_limits<Number>;
    const nlohmann::json& value = document.at(name);
    const bool isInRange = value.is_number_unsigned()
        ? value.get<std::uint64_t>() <= static_cast<std::uint64_t>(Limits::max())
        : value.is_number() && value.get<double>() >= 0 && value.get<double>() < std::ldexp(1.0, Limits::digits);
    if (!isInRange)
        throw nlohmann::json::other_error::create(0, "not a number in range", nullptr);
    return value.get<Number>();
}

/// The same as numberField() for a field that may be missing.
template <typename Number>
Number numberField(const nlohmann::json& document, const char* name, Number fallback)
{
    return document.contains(name) ? numberField<Number>(document, name) : fallback;
}

/// Reads a field that holds the name of a process, data centre or service. Throws a JSON exception for any other value and for a name
/// that is too long for the messages of this system.
std::string nameField(const nlohmann::json& document, const char* name);

}
