#include "leaserecord.h"

#include <nlohmann/json.hpp>

namespace kingcuptrail {

using nlohmann::json;

std::optional<LeaseRecord> parseLease(std::string_view text)
{
    const json document = json::parse(text, nullptr, false);
    if (document.is_discarded())
        return std::nullopt;
    try {
        return LeaseRecord {
            .incarnation = document.at("incarnation").get<Incarnation>(),
            .renewals = document.at("renewals").get<std::uint64_t>(),
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
