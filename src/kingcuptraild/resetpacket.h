#pragma once

#include "libdecision/refusal.h"
#include "libprotocol/framing.h"

namespace kingcuptrail {

/// Whether a packet may be answered with a reset. A reset that answers a reset or a close would travel for ever.
bool isResettable(const wire::Packet& packet);

/// The reset that answers a packet: the flow ends for this reason, and `retryAfter` milliseconds are a good time to
/// open another.
wire::PacketT makeReset(const wire::Packet& packet, RefusalReason reason, Millis retryAfter);

}
