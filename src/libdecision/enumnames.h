#pragma once

#include <array>
#include <cstddef>
#include <optional>
#include <string_view>

namespace kingcuptrail {

/// The names of an enumeration's values. Each enumeration specialises this template next to its definition: `names` holds
/// one name for each enumerator, in order, starting at 0.
template <typename Enum>
struct EnumNames;

/// The name of a value, or "unknown" for a number outside the table, which a peer of another version may send.
template <typename Enum>
constexpr std::string_view nameOf(Enum value)
{
    const auto index = static_cast<std::size_t>(value);
    return index < EnumNames<Enum>::names.size() ? EnumNames<Enum>::names[index] : std::string_view("unknown");
}

/// The value with this name, or nothing.
template <typename Enum>
constexpr std::optional<Enum> fromName(std::string_view name)
{
    for (std::size_t index = 0; index < EnumNames<Enum>::names.size(); ++index) {
        if (EnumNames<Enum>::names[index] == name)
            return static_cast<Enum>(index);
    }
    return std::nullopt;
}

/// The value with this number, or nothing if it is outside the table.
template <typename Enum>
constexpr std::optional<Enum> fromNumber(std::size_t number)
{
    if (number >= EnumNames<Enum>::names.size())
        return std::nullopt;
    return static_cast<Enum>(number);
}

}
