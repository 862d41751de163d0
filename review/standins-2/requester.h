#pragma once

#include "libplatform/delay.h"
#include "libruntime/datagramsocket.h"
#include "packets.h"
#include "record.h"

#include <functional>
#include <map>
#include <random>

namespace review {

struct RequesterCounts {
    std::size_t flows = 0;
    std::size_t answered = 0;
    /// Openings that were reset or that nobody answered.
    std::size_t refused = 0;
    std::size_t openingsUnanswered = 0;
    /// Open flows that the system reset, and those that the target reset.
    std::size_t resetBySystem = 0;
    std::size_t resetByTarget = 0;
    std::size_t gaveUp = 0;
};

struct RequesterEvents {
    /// Sends a packet to the system, as the routers do.
    std::function<void(const Flow& flow, std::span<const std::uint8_t> bytes)> route;
    /// The system has reset an open flow.
    std::function<void(const Flow& flow)> onSystemReset;
};

/// A requester at one address: opens flows and sends requests on them, one after the other.
class Requester {
public:
    Requester(asio::io_context& context, const asio::ip::address_v4& address, std::uint16_t port, RequesterEvents events, Record& record, std::uint32_t seed);

    bool isListening() const { return m_socket != nullptr; }

    /// Opens a flow from a new port, sends `requests` requests with `pause` between them, and closes it. `deadline` is that of
    /// each request.
    Flow open(const End& route, int requests, Millis pause, Millis deadline);
    /// Sends `count` openings at equal distances over `time`, each with one request.
    void openEvery(const End& route, Millis interval, Millis deadline);
    void stop() { m_timer.cancel(); }

    /// When the first packet of a flow was sent.
    Millis sentAt(const Flow& flow) const;
    const RequesterCounts& counts() const { return m_counts; }
    std::size_t openFlows() const;

private:
    struct OwnFlow {
        Flow flow;
        Millis pause = 0;
        Millis deadline = 0;
        int requestsLeft = 0;
        std::uint32_t sequence = 0;
        std::uint32_t acknowledged = 0;
        bool isOpen = false;
        bool isClosing = false;
        bool hasEnded = false;
        std::string request;
        Millis requestSince = 0;
        int copies = 0;
        std::unique_ptr<kingcuptrail::Delay> timer;
    };

    void sendOpening(OwnFlow& own);
    void beginRequest(OwnFlow& own);
    void sendRequest(OwnFlow& own);
    void close(OwnFlow& own);
    void sendFin(OwnFlow& own);
    void end(OwnFlow& own);
    void handle(std::span<const std::uint8_t> bytes);
    void handleAnswer(OwnFlow& own, const Packet& packet);
    void transmit(const OwnFlow& own, std::uint8_t flags, std::uint32_t acknowledged, const std::string& data = {});

    asio::io_context& m_context;
    asio::ip::address_v4 m_address;
    RequesterEvents m_events;
    Record& m_record;
    std::unique_ptr<kingcuptrail::DatagramSocket> m_socket;
    kingcuptrail::Delay m_timer;
    std::minstd_rand m_random;
    std::map<Flow, OwnFlow> m_flows;
    std::map<Flow, Millis> m_sentAt;
    RequesterCounts m_counts;
    std::uint16_t m_lastPort = 1024;
    std::uint32_t m_lastAttempt = 0;
};

}
