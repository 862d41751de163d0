#include "presence.h"

#include "jsontext.h"

#include <nlohmann/json.hpp>

namespace kingcuptrail {

using nlohmann::json;

std::optional<Presence> parsePresence(std::string_view text)
{
    const json document = parseJson(text);
    if (document.is_discarded())
        return std::nullopt;
    try {
        const auto state = fromName<MemberState>(document.at("state").get<std::string>());
        if (!state)
            return std::nullopt;
        Presence presence;
        presence.upstream = document.at("upstream").get<std::string>();
        presence.token = { numberField<UpstreamId>(document, "id"), numberField<Incarnation>(document, "incarnation") };
        presence.service = document.at("service").get<std::string>();
        presence.dataCentre = document.at("dataCentre").get<std::string>();
        presence.address = document.at("address").get<std::string>();
        presence.state = *state;
        presence.lease = numberField<Millis>(document, "leaseMs");
        return presence.token.isSet() && presence.lease > 0 ? std::optional(std::move(presence)) : std::nullopt;
    } catch (const json::exception&) {
        return std::nullopt;
    }
}

std::string toJson(const Presence& presence)
{
    return json {
        { "upstream", presence.upstream },
        { "id", presence.token.upstream },
        { "incarnation", presence.token.incarnation },
        { "service", presence.service },
        { "dataCentre", presence.dataCentre },
        { "address", presence.address },
        { "state", nameOf(presence.state) },
        { "leaseMs", presence.lease },
    }
        .dump();
}

}
