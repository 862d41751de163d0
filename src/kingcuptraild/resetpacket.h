#pragma once

#include "libdecision/refusal.h"
#include "libprotocol/framing.h"

namespace kingcuptrail {

/// Whether a packet may be answered with a reset. Resets and closes may not, since two processes could then answer each
/// other's resets without end.
bool isResettable(const wire::Packet& packet);

/// Builds the reset that answers a packet: why its flow ends, and the suggested wait before the caller opens another one,
/// in milliseconds.
wire::PacketT makeReset(const wire::Packet& packet, RefusalReason reason, Millis retryAfter);

}
