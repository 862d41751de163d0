#pragma once

#include "libdecision/ids.h"

#include <optional>
#include <string>
#include <string_view>

namespace kingcuptrail {

/// Kinds of the objects that announce an upstream and renew its lease. Both objects have the upstream's name.
inline const std::string presenceKind = "presence";
inline const std::string leaseKind = "lease";

/// Content of a lease object. It remains when the announcement is withdrawn, so that its incarnation is never allocated again:
/// packets of old flows still carry it.
struct LeaseRecord {
    Incarnation incarnation = 0;
    /// Grows with each renewal. Watchers only check that the object's version changes.
    std::uint64_t renewals = 0;
    /// Identifies the process that wrote the object.
    std::string announceId;
};

std::optional<LeaseRecord> parseLease(std::string_view json);
std::string toJson(const LeaseRecord& lease);

}
