#pragma once

#include "libdecision/packet.h"

#include <cstdint>
#include <span>
#include <string>
#include <vector>

namespace kingcuptrail {

/// What an end of a flow puts into a packet.
struct PacketDraft {
    PacketEndpoint source;
    PacketEndpoint destination;
    PacketFlags flags;
    std::uint32_t sequence = 0;
    std::uint32_t acknowledged = 0;
    std::string data;
};

/// A packet as its sender writes it, with the keyed checksum that only the ends can make.
std::vector<std::uint8_t> encodePacket(const PacketDraft&);

/// Whether the packet is as its sender wrote it: nothing changed but what is the system's to write.
bool isUntouched(std::span<const std::uint8_t> packet);

/// The packet's data.
std::string dataOf(std::span<const std::uint8_t> packet);

}
