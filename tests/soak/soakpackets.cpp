#include "soakpackets.h"

#include "platform/trustadapter.h"

#include <algorithm>
#include <cstring>
#include <xxhash.h>

namespace kingcuptrail {

namespace {

    constexpr std::size_t sumAt = 2;
    constexpr std::uint64_t checksumKey = 0x5eed;

    template <typename Number>
    void put(std::vector<std::uint8_t>& packet, std::size_t at, Number value)
    {
        std::memcpy(packet.data() + at, &value, sizeof(value));
    }

    std::uint32_t checksumOf(std::span<const std::uint8_t> packet)
    {
        std::vector<std::uint8_t> plain(packet.begin(), packet.end());
        trustAdapter().clearMarks(plain);
        put<std::uint32_t>(plain, sumAt, 0);
        return static_cast<std::uint32_t>(XXH3_64bits_withSeed(plain.data(), plain.size(), checksumKey));
    }

    std::uint8_t bitsOf(const PacketFlags& flags)
    {
        return static_cast<std::uint8_t>((flags.opens ? 1 : 0) | (flags.acknowledges ? 16 : 0) | (flags.ends ? 2 : 0) | (flags.resets ? 128 : 0));
    }

}

// The offsets are those of the platform's packet format, little-endian; platform/packetcodec.cpp gives their meaning.
std::vector<std::uint8_t> encodePacket(const PacketDraft& draft)
{
    std::vector<std::uint8_t> packet(packetHeaderBytes + draft.data.size());
    put(packet, 0, static_cast<std::uint16_t>(draft.data.size()));
    put(packet, 10, bitsOf(draft.flags));
    put(packet, 16, draft.sequence);
    put(packet, 20, draft.acknowledged);
    put(packet, 24, draft.source.address);
    put(packet, 28, draft.source.port);
    put(packet, 30, draft.destination.port);
    put(packet, 32, draft.destination.address);
    std::ranges::copy(draft.data, packet.begin() + packetHeaderBytes);
    put(packet, sumAt, checksumOf(packet));
    return packet;
}

bool isUntouched(std::span<const std::uint8_t> packet)
{
    std::uint32_t sum = 0;
    std::memcpy(&sum, packet.data() + sumAt, sizeof(sum));
    return sum == checksumOf(packet);
}

std::string dataOf(std::span<const std::uint8_t> packet)
{
    return { packet.begin() + packetHeaderBytes, packet.end() };
}

}
