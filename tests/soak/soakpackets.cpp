#include "soakpackets.h"

#include "platform/trustadapter.h"

#include <algorithm>
#include <cstring>
#include <xxhash.h>

namespace kingcuptrail {

namespace {

    constexpr std::size_t checksumOffset = 2;
    constexpr std::uint64_t checksumKey = 0x5eed;

    template <typename Number>
    void writeAt(std::vector<std::uint8_t>& packet, std::size_t at, Number value)
    {
        std::memcpy(packet.data() + at, &value, sizeof(value));
    }

    std::uint32_t checksumOf(std::span<const std::uint8_t> packet)
    {
        std::vector<std::uint8_t> plain(packet.begin(), packet.end());
        trustAdapter().clearMarks(plain);
        writeAt<std::uint32_t>(plain, checksumOffset, 0);
        return static_cast<std::uint32_t>(XXH3_64bits_withSeed(plain.data(), plain.size(), checksumKey));
    }

    std::uint8_t flagBits(const PacketFlags& flags)
    {
        return static_cast<std::uint8_t>((flags.opens ? 1 : 0) | (flags.acknowledges ? 16 : 0) | (flags.ends ? 2 : 0) | (flags.resets ? 128 : 0));
    }

}

// The offsets are those of the platform's packet format, little-endian; platform/packetcodec.cpp gives their meaning.
std::vector<std::uint8_t> encodePacket(const PacketFields& fields)
{
    std::vector<std::uint8_t> packet(packetHeaderBytes + fields.data.size());
    writeAt(packet, 0, static_cast<std::uint16_t>(fields.data.size()));
    writeAt(packet, 10, flagBits(fields.flags));
    writeAt(packet, 16, fields.sequence);
    writeAt(packet, 20, fields.acknowledged);
    writeAt(packet, 24, fields.source.address);
    writeAt(packet, 28, fields.source.port);
    writeAt(packet, 30, fields.destination.port);
    writeAt(packet, 32, fields.destination.address);
    std::ranges::copy(fields.data, packet.begin() + packetHeaderBytes);
    writeAt(packet, checksumOffset, checksumOf(packet));
    return packet;
}

bool hasValidChecksum(std::span<const std::uint8_t> packet)
{
    std::uint32_t sum = 0;
    std::memcpy(&sum, packet.data() + checksumOffset, sizeof(sum));
    return sum == checksumOf(packet);
}

std::string payloadOf(std::span<const std::uint8_t> packet)
{
    return { packet.begin() + packetHeaderBytes, packet.end() };
}

}
