#pragma once

#include "libdecision/enumnames.h"
#include "libdecision/ids.h"

#include <asio/io_context.hpp>
#include <asio/ip/udp.hpp>
#include <functional>
#include <memory>
#include <span>

namespace kingcuptrail {

enum class DatagramError : std::uint8_t {
    None,
    BindFailed,
};

template <>
struct EnumNames<DatagramError> {
    static constexpr std::array<std::string_view, 2> names { "none", "bindFailed" };
};

struct DatagramCounts {
    std::uint64_t received = 0;
    std::uint64_t sent = 0;
    /// Datagrams that the host would not take; as lost as any other that the network drops.
    std::uint64_t sendFailed = 0;
};

/// A UDP socket that reads in batches, and gathers what is sent while a batch is handled into one system call. A packet
/// costs no allocation. Lives in one io_context's thread.
class DatagramSocket {
public:
    using Handler = std::function<void(std::span<std::uint8_t> datagram, const asio::ip::udp::endpoint& sender)>;

    /// Nothing, with the reason in `error`, when the address cannot be bound.
    static std::unique_ptr<DatagramSocket> open(asio::io_context& context, const asio::ip::udp::endpoint& endpoint, Handler handler, DatagramError& error);
    virtual ~DatagramSocket() = default;

    /// Queues a copy of the datagram; it leaves at the end of the batch in hand, or at once outside of one.
    virtual void send(std::span<const std::uint8_t> datagram, const asio::ip::udp::endpoint& receiver) = 0;

    virtual asio::ip::udp::endpoint localEndpoint() const = 0;
    virtual const DatagramCounts& counts() const = 0;
};

}
