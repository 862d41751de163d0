#pragma once

#include "libdecision/agentflows.h"
#include "libdecision/flowadmission.h"

namespace kingcuptrail {

/// The key of a flow from caller number `caller` to the one service address that the tests use.
inline FlowKey flowOf(std::uint16_t caller)
{
    return { .caller = { .address = 0x64400007, .port = caller }, .service = { .address = 0xc6120001, .port = 443 } };
}

inline PacketHeader opening()
{
    return { .flags = { .opens = true }, .sequence = 100 };
}

/// A caller's packet with `dataLength` bytes that acknowledges `acknowledged`.
inline PacketHeader callerPacket(std::uint32_t acknowledged, std::uint16_t dataLength = 0)
{
    return { .flags = { .acknowledges = true }, .sequence = 101, .acknowledged = acknowledged, .dataLength = dataLength };
}

inline PacketHeader upstreamAnswer(std::uint32_t sequence)
{
    return { .flags = { .opens = true, .acknowledges = true }, .sequence = sequence, .acknowledged = 101 };
}

inline PacketHeader upstreamData(std::uint16_t dataLength)
{
    return { .flags = { .acknowledges = true }, .sequence = 501, .acknowledged = 200, .dataLength = dataLength };
}

/// Opens a flow between its caller and this agent's upstream.
inline void openFlow(AgentFlows& table, const FlowKey& flow, Millis now)
{
    beginFlow(table, flow, now);
    trackUpstreamPacket(table, flow, upstreamAnswer(500), now);
    trackCallerPacket(table, flow, callerPacket(501), now);
}

inline RouteTable routesTo(const std::string& service, ConfigVersion version)
{
    return {
        .version = version,
        .routes = { { .address = flowOf(1).service, .shares = { { .service = service } }, .latencyTarget = 200 } },
        .services = { { .name = service, .flowLimit = 2000, .warmUp = 2000 } },
    };
}

inline UpstreamReport reportOf(std::uint64_t born, std::uint64_t sequence)
{
    return { .id = "i-" + std::to_string(born), .service = "board", .dataCentre = "north", .born = born, .sequence = sequence, .slots = 5 };
}

}
