#include "datagramsocket.h"

#include <array>
#include <asio/post.hpp>
#include <cstring>
#include <sys/socket.h>
#include <vector>

namespace kingcuptrail {

namespace {

    /// Maximum number of datagrams received or sent by one system call. Large enough to amortise the call; small enough that
    /// the first datagram of a batch waits at most about 320 us for the last (32 x 10 us).
    constexpr std::size_t batchSize = 32;
    /// Maximum datagram size: a full packet of 1,236 bytes with the fields of its message, or a gossip message with several
    /// directory entries.
    constexpr std::size_t maxDatagramBytes = 2048;
    /// Socket receive buffer in bytes. Holds datagrams while this process is not scheduled: more than a tenth of a second at
    /// 10 Mbit/s.
    constexpr int receiveBufferBytes = 1024 * 1024;

    struct Slot {
        std::array<std::uint8_t, maxDatagramBytes> bytes;
        sockaddr_in address;
        iovec vector;
    };

    struct Batch {
        Batch()
        {
            for (std::size_t index = 0; index < batchSize; ++index) {
                Slot& slot = slots[index];
                slot.vector = { .iov_base = slot.bytes.data(), .iov_len = maxDatagramBytes };
                messages[index].msg_hdr = {};
                messages[index].msg_hdr.msg_name = &slot.address;
                messages[index].msg_hdr.msg_iov = &slot.vector;
                messages[index].msg_hdr.msg_iovlen = 1;
            }
        }

        std::vector<Slot> slots = std::vector<Slot>(batchSize);
        std::array<mmsghdr, batchSize> messages {};
        std::size_t used = 0;
    };

    asio::ip::udp::endpoint toEndpoint(const sockaddr_in& address)
    {
        return { asio::ip::address_v4(ntohl(address.sin_addr.s_addr)), ntohs(address.sin_port) };
    }

    class BatchedSocket : public DatagramSocket {
    public:
        BatchedSocket(asio::io_context& context, Handler handler)
            : m_context(context)
            , m_socket(context)
            , m_handler(std::move(handler))
        {
        }

        ~BatchedSocket() override { *m_isAlive = false; }

        bool bind(const asio::ip::udp::endpoint& endpoint)
        {
            asio::error_code error;
            m_socket.open(asio::ip::udp::v4(), error);
            if (!error)
                m_socket.bind(endpoint, error);
            if (!error)
                m_socket.non_blocking(true, error);
            if (error)
                return false;
            // A failure is ignored: with a smaller buffer only more datagrams are lost while this process is not scheduled.
            asio::error_code ignored;
            m_socket.set_option(asio::socket_base::receive_buffer_size(receiveBufferBytes), ignored);
            waitForData();
            return true;
        }

        void send(std::span<const std::uint8_t> datagram, const asio::ip::udp::endpoint& receiver) override
        {
            if (datagram.size() > maxDatagramBytes) {
                ++m_counts.sendFailed;
                return;
            }
            if (m_outputBatch.used == batchSize)
                flush();
            Slot& slot = m_outputBatch.slots[m_outputBatch.used++];
            std::memcpy(slot.bytes.data(), datagram.data(), datagram.size());
            slot.vector.iov_len = datagram.size();
            std::memcpy(&slot.address, receiver.data(), sizeof(slot.address));
            if (!m_isHandlingBatch)
                scheduleFlush();
        }

        asio::ip::udp::endpoint localEndpoint() const override
        {
            asio::error_code error;
            return m_socket.local_endpoint(error);
        }

        const DatagramCounts& counts() const override { return m_counts; }

    private:
        void waitForData()
        {
            m_socket.async_wait(asio::socket_base::wait_read, [this, isAlive = m_isAlive](asio::error_code error) {
                if (!*isAlive || error == asio::error::operation_aborted)
                    return;
                readBatch();
                if (*isAlive)
                    waitForData();
            });
        }

        void readBatch()
        {
            for (auto& message : m_inputBatch.messages)
                message.msg_hdr.msg_namelen = sizeof(sockaddr_in);
            // An error such as ECONNREFUSED reports that an earlier datagram was not accepted by its receiver; reading
            // continues.
            const int count = recvmmsg(m_socket.native_handle(), m_inputBatch.messages.data(), batchSize, MSG_DONTWAIT, nullptr);
            if (count <= 0)
                return;
            m_counts.received += static_cast<std::uint64_t>(count);
            m_isHandlingBatch = true;
            const auto isAlive = m_isAlive;
            for (int index = 0; index < count && *isAlive; ++index) {
                const auto position = static_cast<std::size_t>(index);
                m_handler({ m_inputBatch.slots[position].bytes.data(), m_inputBatch.messages[position].msg_len }, toEndpoint(m_inputBatch.slots[position].address));
            }
            if (!*isAlive)
                return;
            m_isHandlingBatch = false;
            flush();
        }

        void scheduleFlush()
        {
            if (m_isFlushScheduled)
                return;
            m_isFlushScheduled = true;
            asio::post(m_context, [this, isAlive = m_isAlive] {
                if (!*isAlive)
                    return;
                m_isFlushScheduled = false;
                flush();
            });
        }

        void flush()
        {
            std::size_t done = 0;
            while (done < m_outputBatch.used) {
                for (std::size_t index = done; index < m_outputBatch.used; ++index)
                    m_outputBatch.messages[index].msg_hdr.msg_namelen = sizeof(sockaddr_in);
                const int count = sendmmsg(m_socket.native_handle(), m_outputBatch.messages.data() + done, static_cast<unsigned>(m_outputBatch.used - done), MSG_DONTWAIT);
                if (count <= 0) {
                    // The first remaining datagram could not be sent; the others may have different receivers.
                    ++m_counts.sendFailed;
                    ++done;
                    continue;
                }
                m_counts.sent += static_cast<std::uint64_t>(count);
                done += static_cast<std::size_t>(count);
            }
            m_outputBatch.used = 0;
        }

        asio::io_context& m_context;
        asio::ip::udp::socket m_socket;
        Handler m_handler;
        std::shared_ptr<bool> m_isAlive = std::make_shared<bool>(true);
        Batch m_inputBatch;
        Batch m_outputBatch;
        DatagramCounts m_counts;
        bool m_isHandlingBatch = false;
        bool m_isFlushScheduled = false;
    };

}

std::unique_ptr<DatagramSocket> DatagramSocket::open(asio::io_context& context, const asio::ip::udp::endpoint& endpoint, Handler handler, DatagramError& error)
{
    auto socket = std::make_unique<BatchedSocket>(context, std::move(handler));
    if (!socket->bind(endpoint)) {
        error = DatagramError::BindFailed;
        return nullptr;
    }
    error = DatagramError::None;
    return socket;
}

}
