#include "peerentryjson.h"

#include "jsontext.h"

namespace kingcuptrail {

using nlohmann::json;

namespace {

    /// Far more than any entry needs. Parsing needs many times the memory of the text, and agents have little.
    constexpr std::size_t maxEntryBytes = std::size_t { 16 } * 1024;

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

    /// An IPv4 address to which datagrams of one host can be sent.
    std::uint32_t addressField(const json& document)
    {
        constexpr std::uint32_t firstHost = 0x01000000;
        constexpr std::uint32_t firstMulticast = 0xe0000000;
        const auto address = numberField<std::uint32_t>(document, "address");
        if (address < firstHost || address >= firstMulticast)
            throw json::other_error::create(0, "not the address of a host", nullptr);
        return address;
    }

    PeerEntry entryFromJson(const json& document)
    {
        const auto role = fromName<PeerRole>(document.at("role").get<std::string>());
        const auto state = fromName<PeerState>(document.at("state").get<std::string>());
        if (!role || !state)
            throw json::other_error::create(0, "unknown role or state", nullptr);
        return {
            .name = nameField(document, "name"),
            .role = *role,
            .address = addressField(document),
            .dataCentre = nameField(document, "dataCentre"),
            .service = nameField(document, "service"),
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

std::optional<PeerEntry> parseStoredEntry(const PlatformObject& object)
{
    const auto entry = object.value ? parsePeerEntry(*object.value) : std::nullopt;
    return entry && entry->name == object.name ? entry : std::nullopt;
}

std::optional<PeerEntry> parsePeerEntry(std::string_view text)
{
    if (text.size() > maxEntryBytes)
        return std::nullopt;
    const json document = parseJson(text);
    if (document.is_discarded())
        return std::nullopt;
    try {
        return entryFromJson(document);
    } catch (const json::exception&) {
        return std::nullopt;
    }
}

}
