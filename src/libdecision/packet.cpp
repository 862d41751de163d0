#include "packet.h"

#include <array>
#include <xxhash.h>

namespace kingcuptrail {

std::string toString(const PacketEndpoint& endpoint)
{
    constexpr unsigned byteBits = 8;
    constexpr unsigned byteMask = 0xff;
    std::string text;
    for (int shift = 24; shift >= 0; shift -= static_cast<int>(byteBits)) {
        text += std::to_string((endpoint.address >> shift) & byteMask);
        text += shift > 0 ? "." : ":";
    }
    return text + std::to_string(endpoint.port);
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
