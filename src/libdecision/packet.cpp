#include "packet.h"

#include <array>
#include <xxhash.h>

namespace kingcuptrail {

std::string addressText(std::uint32_t address)
{
    constexpr int byteBits = 8;
    constexpr int highestByte = 24;
    constexpr unsigned byteMask = 0xff;
    std::string text;
    for (int shift = highestByte; shift >= 0; shift -= byteBits) {
        text += std::to_string((address >> shift) & byteMask);
        text += shift > 0 ? "." : "";
    }
    return text;
}

std::string toString(const PacketEndpoint& endpoint)
{
    return addressText(endpoint.address) + ":" + std::to_string(endpoint.port);
}

std::string toString(const FlowKey& flow)
{
    return toString(flow.caller) + ">" + toString(flow.service);
}

std::uint64_t flowHash(const FlowKey& flow)
{
    const std::array<ServiceAddress, 2> ends { toServiceAddress(flow.caller), toServiceAddress(flow.service) };
    return XXH3_64bits(ends.data(), sizeof(ends));
}

}
