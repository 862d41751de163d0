#pragma once

#include "libhttp/httpclient.h"
#include "libplatform/delay.h"
#include "libruntime/datagramsocket.h"
#include "promisechecker.h"
#include "soakpackets.h"

#include <asio/ip/tcp.hpp>
#include <map>
#include <random>

namespace kingcuptrail {

struct UpstreamOptions {
    std::string host;
    std::string service;
    std::string dataCentre;
    asio::ip::address_v4 address;
    std::uint16_t appPort = 0;
    std::uint16_t outboundPort = 0;
    std::uint16_t controlPort = 0;
};

/// The upstream of an agent: accepts flows, answers each request with the request's text, returns packets of flows that it
/// does not hold, and reports to its agent. Accepts connections, by which its agent checks that it is running. Reports to the promise checker which openings reached it.
class SoakUpstream {
public:
    SoakUpstream(asio::io_context& context, UpstreamOptions options, PromiseChecker& promises, std::uint32_t seed);

    /// Simulates the end of the process and the immediate start of a new one, which holds no flows.
    void restart();
    /// As restart(), but the new process accepts flows for some time before its first report arrives.
    void restartWithLateReport(Millis reportDelay);
    /// Ends the process: nothing is bound to its port until the next process starts.
    void end(Millis downTime);
    /// Ends the process. After `downTime` one of the given service starts at its address, and `onStarted` is called. Its first
    /// report comes `reportDelay` later. With `isSilent` the ends of its connections do not arrive.
    void replace(Millis downTime, const std::string& host, const std::string& service, Millis reportDelay, bool isSilent, std::function<void()> onStarted);
    /// Stops the process and continues it: it keeps its flows, and packets wait in its socket.
    void pause(Millis time);
    /// Sends a report of the process before this one.
    void sendLateReport();
    void startDraining();
    /// Accepts no more connections, as some programs do while they drain.
    void closeListener() { m_acceptor.close(); }
    const UpstreamOptions& options() const { return m_options; }
    /// Whether the process has ended and one of another host or service has not started yet.
    bool isReplaced() const { return m_isReplaced; }

private:
    struct Flow {
        std::uint32_t sequence = 0;
        std::uint32_t received = 0;
    };

    void stopProcess();
    void openSockets();
    void startProcess();
    void acceptConnections();
    void handlePacket(std::span<std::uint8_t> packet);
    void answerData(const FlowKey& flow, Flow& state, const PacketHeader& header, const std::string& data);
    void returnPacket(std::span<std::uint8_t> packet);
    void send(const PacketFields& fields);
    void sendReport();
    std::string body(std::uint64_t startedAt, std::uint64_t sequence) const;

    asio::io_context& m_context;
    UpstreamOptions m_options;
    PromiseChecker& m_promises;
    std::unique_ptr<DatagramSocket> m_socket;
    asio::ip::tcp::acceptor m_acceptor;
    std::vector<asio::ip::tcp::socket> m_connections;
    /// Connections of processes that have ended. Their ends do not arrive.
    std::vector<asio::ip::tcp::socket> m_silentConnections;
    Delay m_reportTimer;
    std::shared_ptr<HttpCall> m_call;
    std::map<std::string, Flow> m_flows;
    std::minstd_rand m_random;
    std::uint64_t m_startedAt = 0;
    std::uint64_t m_sequence = 0;
    std::uint32_t m_processNumber = 0;
    bool m_isDraining = false;
    bool m_isPaused = false;
    bool m_isReplaced = false;
    std::vector<std::vector<std::uint8_t>> m_unread;
    Delay m_changeTimer;
    std::uint64_t m_previousStart = 0;
    std::uint64_t m_previousSequence = 0;
    std::shared_ptr<HttpCall> m_lateCall;
};

}
