#include "resetpacket.h"

namespace kingcuptrail {

bool isResettable(const wire::Packet& packet)
{
    return packet.kind() != wire::PacketKind::Reset && packet.kind() != wire::PacketKind::Close;
}

wire::PacketT makeReset(const wire::Packet& packet, RefusalReason reason, Millis retryAfter)
{
    wire::PacketT reset;
    reset.kind = wire::PacketKind::Reset;
    reset.service = packet.service();
    reset.flow = packet.flow();
    reset.source = packet.source();
    reset.owner_upstream = packet.owner_upstream();
    reset.owner_incarnation = packet.owner_incarnation();
    reset.reason = static_cast<std::uint8_t>(reason);
    reset.retry_after = static_cast<std::uint32_t>(retryAfter);
    return reset;
}

}
