#pragma once

#include "libdecision/ids.h"

#include <optional>
#include <string>
#include <string_view>

namespace kingcuptrail {

/// Kinds of the objects that announce an upstream and renew its lease, both named by the upstream.
inline const std::string presenceKind = "presence";
inline const std::string leaseKind = "lease";

/// What a lease object holds. It stays when the announcement is withdrawn, so that its incarnation is never given out
/// again: packets of old flows still carry it.
struct LeaseRecord {
    Incarnation incarnation = 0;
    /// Grows with each renewal; what counts for watchers is that the object's version changes.
    std::uint64_t renewals = 0;
    /// Names the process that wrote it.
    std::string announceId;
};

std::optional<LeaseRecord> parseLease(std::string_view json);
std::string toJson(const LeaseRecord& lease);

}
