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
    /// Datagrams that could not be sent: too large, or refused by the operating system. They are not sent again.
    std::uint64_t sendFailed = 0;
};

/// A UDP socket that receives in batches and sends the datagrams queued while a batch is handled with one system call.
/// Sending and receiving need no allocation. Must be used from the thread that runs its io_context.
class DatagramSocket {
public:
    using Handler = std::function<void(std::span<std::uint8_t> datagram, const asio::ip::udp::endpoint& sender)>;

    /// Binds a socket and begins to receive. Returns null, with the reason in `error`, when the address cannot be bound.
    static std::unique_ptr<DatagramSocket> open(asio::io_context& context, const asio::ip::udp::endpoint& endpoint, Handler handler, DatagramError& error);
    virtual ~DatagramSocket() = default;

    /// Queues a copy of the datagram. It is sent at the end of the current batch or, outside of one, in the next turn of the
    /// event loop.
    virtual void send(std::span<const std::uint8_t> datagram, const asio::ip::udp::endpoint& receiver) = 0;

    virtual asio::ip::udp::endpoint localEndpoint() const = 0;
    virtual const DatagramCounts& counts() const = 0;
};

}
