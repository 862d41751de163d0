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

/// The endpoint as one number: address << 16 | port. Used to order endpoints.
inline ServiceAddress toServiceAddress(const PacketEndpoint& endpoint)
{
    constexpr unsigned portBits = 16;
    return ServiceAddress { endpoint.address } << portBits | endpoint.port;
}

/// Identifies a flow of datagrams by its two endpoints. No other flow has the same endpoints while it is open.
struct FlowKey {
    PacketEndpoint caller;
    PacketEndpoint service;

    bool operator==(const FlowKey&) const = default;
};

/// "10.0.0.1".
std::string addressText(std::uint32_t address);
/// "10.0.0.1:80".
std::string toString(const PacketEndpoint& endpoint);
/// "10.0.0.1:80>10.0.0.2:443", caller first; the id of a flow in log events.
std::string toString(const FlowKey& flow);

/// A hash of the flow that is equal in every process. Used to spread flows over agents and services.
std::uint64_t flowHash(const FlowKey& flow);

struct PacketFlags {
    /// Opens a flow; together with `acknowledges`, it is the upstream's answer to an opening packet.
    bool opens = false;
    bool acknowledges = false;
    /// The sender's last packet with data.
    bool ends = false;
    bool resets = false;
    /// An upstream returned the packet because it does not hold the flow or cannot accept it.
    bool isReturned = false;

    bool operator==(const PacketFlags&) const = default;
};

/// The header fields of a packet. Balancers and agents don't read the data.
struct PacketHeader {
    PacketEndpoint source;
    PacketEndpoint destination;
    PacketFlags flags;
    /// Sequence number of the packet's first byte in its sender's stream.
    std::uint32_t sequence = 0;
    /// Sequence number of the next byte that the sender expects from the other end; in a caller's opening packet, the
    /// number of its copy.
    std::uint32_t acknowledged = 0;
    std::uint16_t dataLength = 0;
    /// May be set by balancers and agents; an upstream that returns a packet leaves it unchanged.
    std::uint32_t mark = 0;
};

/// The flow of a packet that a caller sent.
inline FlowKey flowFromCaller(const PacketHeader& header)
{
    return { .caller = header.source, .service = header.destination };
}

/// The flow of a packet that an upstream sent.
inline FlowKey flowFromUpstream(const PacketHeader& header)
{
    return { .caller = header.destination, .service = header.source };
}

/// Whether a caller's packet opens a new flow.
inline bool isOpening(const PacketHeader& header)
{
    return header.flags.opens && !header.flags.acknowledges;
}

}

template <>
struct std::hash<kingcuptrail::FlowKey> {
    std::size_t operator()(const kingcuptrail::FlowKey& flow) const noexcept { return static_cast<std::size_t>(kingcuptrail::flowHash(flow)); }
};
