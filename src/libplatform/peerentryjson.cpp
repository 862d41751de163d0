#include "peerentryjson.h"

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

    PeerEntry entryFromJson(const json& document)
    {
        const auto role = fromName<PeerRole>(document.at("role").get<std::string>());
        const auto state = fromName<PeerState>(document.at("state").get<std::string>());
        if (!role || !state)
            throw json::other_error::create(0, "unknown role or state", nullptr);
        return {
            .name = document.at("name").get<std::string>(),
            .role = *role,
            .address = document.at("address").get<std::uint32_t>(),
            .dataCentre = document.at("dataCentre").get<std::string>(),
            .service = document.at("service").get<std::string>(),
            .state = *state,
            .slots = document.at("slots").get<std::uint32_t>(),
            .epoch = document.at("epoch").get<std::uint64_t>(),
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
