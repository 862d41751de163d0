#include "platform/trustadapter.h"

#include <cstdlib>

#include <cstddef>
#include <cstdint>

using namespace kingcuptrail;

/// Datagrams of callers and upstreams. Setting a mark on a decoded packet and clearing it must restore the packet's bytes.
extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size)
{
    std::vector<std::uint8_t> packet(data, data + size);
    DecodeError error = DecodeError::None;
    const auto header = trustAdapter().decodePacket(packet, error);
    if (header.has_value() != (error == DecodeError::None))
        std::abort();
    if (!header)
        return 0;
    trustAdapter().clearMarks(packet);
    const std::vector<std::uint8_t> unmarked = packet;
    constexpr std::uint32_t mark = 77;
    trustAdapter().setMark(packet, mark);
    if (trustAdapter().decodePacket(packet, error)->mark != mark)
        std::abort();
    trustAdapter().clearMarks(packet);
    if (packet != unmarked)
        std::abort();
    return 0;
}
