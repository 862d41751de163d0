#pragma once

#include "enumnames.h"

#include <cstdint>

namespace kingcuptrail {

/// The outcome of an attempt to connect to the upstream.
enum class ConnectionOutcome : std::uint8_t {
    Accepted,
    Refused,
    Unclear,
};

template <>
struct EnumNames<ConnectionOutcome> {
    static constexpr std::array<std::string_view, 3> names { "accepted", "refused", "unclear" };
};

}
