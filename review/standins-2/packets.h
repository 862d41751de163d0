#pragma once

#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <vector>

namespace review {

/// One end of a flow: an IPv4 address and a port.
struct End {
    std::uint32_t address = 0;
    std::uint16_t port = 0;

    auto operator<=>(const End&) const = default;
};

/// The two ends of a flow, as its requester names them.
struct Flow {
    End requester;
    End route;

    auto operator<=>(const Flow&) const = default;
};

constexpr std::uint8_t synFlag = 1;
constexpr std::uint8_t finFlag = 2;
constexpr std::uint8_t bouncedFlag = 4;
constexpr std::uint8_t ackFlag = 16;
constexpr std::uint8_t rstFlag = 128;

/// A packet with the header that PROTOCOL.md describes. `sum` is computed and checked here; the system does not know its key.
struct Packet {
    End source;
    End destination;
    std::uint8_t flags = 0;
    std::uint32_t sequence = 0;
    std::uint32_t acknowledged = 0;
    std::string data;

    bool has(std::uint8_t flag) const { return (flags & flag) != 0; }
};

std::vector<std::uint8_t> encode(const Packet&);

/// Nothing when the packet is malformed.
std::optional<Packet> decode(std::span<const std::uint8_t> bytes);

/// Whether the keyed sum is the sender's. A reset of the system has the sum 0 and no data.
bool hasSendersSum(std::span<const std::uint8_t> bytes);
bool isSystemReset(std::span<const std::uint8_t> bytes);

/// Sets BOUNCED and clears `pad`, as a target does with a packet that it returns. `echo` stays.
void markBounced(std::span<std::uint8_t> bytes);

std::string toText(const End&);
std::string toText(const Flow&);

}
