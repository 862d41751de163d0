#include "leaserecord.h"

#include "jsontext.h"

#include <nlohmann/json.hpp>

namespace kingcuptrail {

using nlohmann::json;

std::optional<LeaseRecord> parseLease(std::string_view text)
{
    const json document = parseJson(text);
    if (document.is_discarded())
        return std::nullopt;
    try {
        return LeaseRecord {
            .incarnation = numberField<Incarnation>(document, "incarnation"),
            .renewals = numberField<std::uint64_t>(document, "renewals"),
            .announceId = document.at("announceId").get<std::string>(),
        };
    } catch (const json::exception&) {
        return std::nullopt;
    }
}

std::string toJson(const LeaseRecord& lease)
{
    return json { { "incarnation", lease.incarnation }, { "renewals", lease.renewals }, { "announceId", lease.announceId } }.dump();
}

}
