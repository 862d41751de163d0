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

/// What a watcher knows of one lease. Neither clocks of other hosts nor times written by them are compared.
struct LeaseView {
    /// Version of the lease object when last seen; nothing before the first look.
    std::optional<std::uint64_t> version;
    /// How long it has been the same while the platform answered, in milliseconds.
    Millis unchanged = 0;
};

/// Notes what a look at the leases showed, `passed` milliseconds after the look before; 0 when that one failed.
void noteLease(LeaseView& view, std::uint64_t version, Millis passed);

/// Notes that the platform did not answer. Failure guarded against: after an outage every lease looks old, all
/// upstreams lapse at once and no flow can be placed. The count stops, and falls back to half a lease, so that each
/// holder has time for a renewal after the outage.
void noteOutage(LeaseView& view, Millis lease);

bool hasLapsed(const LeaseView& view, Millis lease);

}
