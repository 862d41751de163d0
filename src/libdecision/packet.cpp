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
    constexpr unsigned portBits = 16;
    const std::array<std::uint64_t, 2> ends {
        std::uint64_t { flow.caller.address } << portBits | flow.caller.port,
        std::uint64_t { flow.service.address } << portBits | flow.service.port,
    };
    return XXH3_64bits(ends.data(), sizeof(ends));
}

}
