#pragma once

#include "ids.h"

#include <string>

namespace kingcuptrail {

/// One end of a flow: IPv4 address and port, both in host byte order.
struct PacketEndpoint {
    std::uint32_t address = 0;
    std::uint16_t port = 0;

    bool operator==(const PacketEndpoint&) const = default;
};

/// The endpoint as one number, which orders endpoints.
inline ServiceAddress toServiceAddress(const PacketEndpoint& endpoint)
{
    constexpr unsigned portBits = 16;
    return ServiceAddress { endpoint.address } << portBits | endpoint.port;
}

/// Names a flow of datagrams by its two ends. Nobody else's flow can have the same ends while it is open.
struct FlowKey {
    PacketEndpoint caller;
    PacketEndpoint service;

    bool operator==(const FlowKey&) const = default;
};

/// "10.0.0.1".
std::string addressText(std::uint32_t address);
/// "10.0.0.1:80".
std::string toString(const PacketEndpoint& endpoint);
/// "10.0.0.1:80>10.0.0.2:443", caller first; the id of a flow in logs.
std::string toString(const FlowKey& flow);

/// A number that differs for different flows, the same in every process. Ranks choices for a flow.
std::uint64_t flowHash(const FlowKey& flow);

struct PacketFlags {
    /// Opens a flow, or answers that it may be opened when `acknowledges` is set too.
    bool opens = false;
    bool acknowledges = false;
    /// The sender's last packet with data.
    bool ends = false;
    bool resets = false;
    /// An upstream handed the packet back: it does not hold the flow or cannot take it.
    bool isReturned = false;

    bool operator==(const PacketFlags&) const = default;
};

/// What the system reads of a packet. The data is the two ends' own.
struct PacketHead {
    PacketEndpoint source;
    PacketEndpoint destination;
    PacketFlags flags;
    /// Position of the packet's first byte in its sender's stream.
    std::uint32_t sequence = 0;
    /// Next byte that the sender expects from the other end; of a caller's opening packet, the number of its copy.
    std::uint32_t acknowledged = 0;
    std::uint16_t dataLength = 0;
    /// Ours to write while the packet is in our hands; an upstream that hands a packet back leaves it as it was.
    std::uint32_t mark = 0;
};

/// The flow of a packet that a caller sent.
inline FlowKey flowFromCaller(const PacketHead& head)
{
    return { .caller = head.source, .service = head.destination };
}

/// The flow of a packet that an upstream sent.
inline FlowKey flowFromUpstream(const PacketHead& head)
{
    return { .caller = head.destination, .service = head.source };
}

/// Whether a caller's packet asks for a new flow.
inline bool isOpening(const PacketHead& head)
{
    return head.flags.opens && !head.flags.acknowledges;
}

}

template <>
struct std::hash<kingcuptrail::FlowKey> {
    std::size_t operator()(const kingcuptrail::FlowKey& flow) const noexcept { return static_cast<std::size_t>(kingcuptrail::flowHash(flow)); }
};
