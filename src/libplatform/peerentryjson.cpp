#include "peerentryjson.h"

#include <cmath>
#include <limits>
#include <nlohmann/json.hpp>

namespace kingcuptrail {

using nlohmann::json;

namespace {

    json entryToJson(const PeerEntry& entry)
    {
        return {
            { "name", entry.name },
            { "role", nameOf(entry.role) },
            { "address", entry.address },
            { "dataCentre", entry.dataCentre },
            { "service", entry.service },
            { "state", nameOf(entry.state) },
            { "slots", entry.slots },
            { "epoch", entry.epoch },
        };
    }

    /// A field that holds a number of this type. The library's own conversion of a number outside the type's range is undefined
    /// or wraps around.
    template <typename Number>
    Number numberField(const json& document, const char* name)
    {
        using Limits = std::numeric_limits<Number>;
        const json& value = document.at(name);
        const bool isInRange = value.is_number_unsigned()
            ? value.get<std::uint64_t>() <= Limits::max()
            : value.is_number() && value.get<double>() >= 0 && value.get<double>() < std::ldexp(1.0, Limits::digits);
        if (!isInRange)
            throw json::other_error::create(0, "not a number in range", nullptr);
        return value.get<Number>();
    }

    /// Epochs begin at the wall-clock time in milliseconds and grow by one. A far larger one is not of this system, and one that is
    /// near the end of its type could not be superseded.
    std::uint64_t epochField(const json& document)
    {
        constexpr std::uint64_t maxEpoch = std::uint64_t { 1 } << 62;
        const auto epoch = numberField<std::uint64_t>(document, "epoch");
        if (epoch > maxEpoch)
            throw json::other_error::create(0, "epoch out of range", nullptr);
        return epoch;
    }

    PeerEntry entryFromJson(const json& document)
    {
        const auto role = fromName<PeerRole>(document.at("role").get<std::string>());
        const auto state = fromName<PeerState>(document.at("state").get<std::string>());
        if (!role || !state)
            throw json::other_error::create(0, "unknown role or state", nullptr);
        return {
            .name = document.at("name").get<std::string>(),
            .role = *role,
            .address = numberField<std::uint32_t>(document, "address"),
            .dataCentre = document.at("dataCentre").get<std::string>(),
            .service = document.at("service").get<std::string>(),
            .state = *state,
            .slots = numberField<std::uint32_t>(document, "slots"),
            .epoch = epochField(document),
        };
    }

}

std::string toJson(const PeerEntry& entry)
{
    return entryToJson(entry).dump();
}

std::optional<PeerEntry> parsePeerEntry(std::string_view text)
{
    const json document = json::parse(text, nullptr, false);
    if (document.is_discarded())
        return std::nullopt;
    try {
        return entryFromJson(document);
    } catch (const json::exception&) {
        return std::nullopt;
    }
}

}
