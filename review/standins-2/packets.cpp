#include "packets.h"

#include <algorithm>
#include <cstring>

namespace review {

namespace {

    constexpr std::size_t headBytes = 36;
    constexpr std::size_t sumOffset = 2;
    constexpr std::size_t echoOffset = 6;
    constexpr std::size_t flagsOffset = 10;
    constexpr std::size_t padOffset = 11;
    constexpr std::size_t sequenceOffset = 16;

    template <typename Number>
    void put(std::span<std::uint8_t> bytes, std::size_t at, Number value)
    {
        for (std::size_t index = 0; index < sizeof(Number); ++index)
            bytes[at + index] = static_cast<std::uint8_t>(value >> (8 * index));
    }

    template <typename Number>
    Number get(std::span<const std::uint8_t> bytes, std::size_t at)
    {
        Number value = 0;
        for (std::size_t index = 0; index < sizeof(Number); ++index)
            value = static_cast<Number>(value | static_cast<Number>(Number { bytes[at + index] } << (8 * index)));
        return value;
    }

    /// A keyed hash (FNV-1a) over all fields except `sum`, `echo`, `pad` and BOUNCED.
    std::uint32_t sumOf(std::span<const std::uint8_t> bytes)
    {
        std::uint32_t hash = 0x5eed1234;
        const auto add = [&hash](std::uint8_t byte) { hash = (hash ^ byte) * 16777619U; };
        add(bytes[0]);
        add(bytes[1]);
        add(static_cast<std::uint8_t>(bytes[flagsOffset] & ~bouncedFlag));
        for (const std::uint8_t byte : bytes.subspan(sequenceOffset))
            add(byte);
        return hash == 0 ? 1 : hash;
    }

}

std::vector<std::uint8_t> encode(const Packet& packet)
{
    std::vector<std::uint8_t> bytes(headBytes + packet.data.size());
    put(bytes, 0, static_cast<std::uint16_t>(packet.data.size()));
    bytes[flagsOffset] = packet.flags;
    put(bytes, sequenceOffset, packet.sequence);
    put(bytes, 20, packet.acknowledged);
    put(bytes, 24, packet.source.address);
    put(bytes, 28, packet.source.port);
    put(bytes, 30, packet.destination.port);
    put(bytes, 32, packet.destination.address);
    std::ranges::copy(packet.data, bytes.begin() + headBytes);
    put(bytes, sumOffset, sumOf(bytes));
    return bytes;
}

std::optional<Packet> decode(std::span<const std::uint8_t> bytes)
{
    if (bytes.size() < headBytes || bytes.size() != headBytes + get<std::uint16_t>(bytes, 0))
        return std::nullopt;
    return Packet {
        .source = { .address = get<std::uint32_t>(bytes, 24), .port = get<std::uint16_t>(bytes, 28) },
        .destination = { .address = get<std::uint32_t>(bytes, 32), .port = get<std::uint16_t>(bytes, 30) },
        .flags = bytes[flagsOffset],
        .sequence = get<std::uint32_t>(bytes, sequenceOffset),
        .acknowledged = get<std::uint32_t>(bytes, 20),
        .data = { bytes.begin() + headBytes, bytes.end() },
    };
}

bool hasSendersSum(std::span<const std::uint8_t> bytes)
{
    return get<std::uint32_t>(bytes, sumOffset) == sumOf(bytes);
}

bool isSystemReset(std::span<const std::uint8_t> bytes)
{
    return bytes.size() == headBytes && (bytes[flagsOffset] & rstFlag) != 0 && get<std::uint32_t>(bytes, sumOffset) == 0;
}

void markBounced(std::span<std::uint8_t> bytes)
{
    bytes[flagsOffset] |= bouncedFlag;
    std::ranges::fill(bytes.subspan(padOffset, sequenceOffset - padOffset), std::uint8_t { 0 });
    static_assert(echoOffset < flagsOffset);
}

std::string toText(const End& end)
{
    std::string text;
    for (int shift = 24; shift >= 0; shift -= 8)
        text += std::to_string((end.address >> shift) & 0xff) + (shift > 0 ? "." : "");
    return text + ":" + std::to_string(end.port);
}

std::string toText(const Flow& flow)
{
    return toText(flow.requester) + ">" + toText(flow.route);
}

}
