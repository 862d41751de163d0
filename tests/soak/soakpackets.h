#pragma once

#include "libdecision/packet.h"

#include <cstdint>
#include <span>
#include <string>
#include <vector>

namespace kingcuptrail {

/// The fields of a packet that an end of a flow sets.
struct PacketFields {
    PacketEndpoint source;
    PacketEndpoint destination;
    PacketFlags flags;
    std::uint32_t sequence = 0;
    std::uint32_t acknowledged = 0;
    std::string data;
};

/// Encodes a packet as its sender does, with the keyed checksum that only the ends of a flow can compute.
std::vector<std::uint8_t> encodePacket(const PacketFields&);

/// Whether the packet is as its sender wrote it, apart from the marks that the system may set.
bool hasValidChecksum(std::span<const std::uint8_t> packet);

/// The data that follows the packet's header.
std::string payloadOf(std::span<const std::uint8_t> packet);

}
