#pragma once

#include "enumnames.h"

#include <cstdint>

namespace kingcuptrail {

/// Why a balancer reset a caller's flow. Each value has its own counter.
enum class ResetReason : std::uint8_t {
    NoRoute,
    NoAgent,
    RefusedByAll,
    HeldByNobody,
    /// The balancer's link had no room for one more large upload.
    LinkFull,
    DataCentreLost,
};

template <>
struct EnumNames<ResetReason> {
    static constexpr std::array<std::string_view, 6> names { "noRoute", "noAgent", "refusedByAll", "heldByNobody", "linkFull", "dataCentreLost" };
};

}
