#pragma once

#include "libplatform/delay.h"
#include "libruntime/datagramsocket.h"
#include "promisechecker.h"
#include "soakpackets.h"

#include <memory>
#include <random>
#include <unordered_map>

namespace kingcuptrail {

struct CallerCounts {
    std::uint64_t flowsTried = 0;
    std::uint64_t opened = 0;
    std::uint64_t served = 0;
    std::uint64_t resets = 0;
    /// Refusals of openings that came when the flow was open.
    std::uint64_t lateRefusals = 0;
};

/// A caller behind the routers: opens flows, sends requests on them, some after a pause, and uses a flow until it ends or is
/// reset. Sends its packets through the given route.
class SoakCaller {
public:
    /// Sends a caller's packet to a balancer, as the routers would.
    using Route = std::function<void(const FlowKey&, std::span<const std::uint8_t>)>;

    SoakCaller(asio::io_context& context, const asio::ip::address_v4& address, std::uint16_t port, std::vector<PacketEndpoint> services, Route route, PromiseChecker& promises, std::uint32_t seed, std::uint16_t portCount);

    const CallerCounts& counts() const { return m_counts; }
    void stop() { m_isStopped = true; }

private:
    struct Flow {
        FlowKey key;
        std::uint32_t answerSequence = 0;
        std::uint32_t nextSequence = 0;
        std::string request;
        int requestsLeft = 0;
        int sends = 0;
        bool isOpen = false;
        Millis openedAt = 0;
        std::unique_ptr<Delay> timer;
    };

    void beginFlow();
    void sendOpening(Flow& flow);
    void sendRequest(Flow& flow);
    void sendRequestAttempt(Flow& flow);
    void handlePacket(std::span<const std::uint8_t> packet);
    void handleAnswer(Flow& flow, const std::string& data);
    void endFlow(const std::string& name);
    void transmit(const Flow& flow, const PacketFlags& flags, std::uint32_t acknowledged, const std::string& data);

    asio::io_context& m_context;
    asio::ip::address_v4 m_address;
    std::vector<PacketEndpoint> m_services;
    Route m_route;
    PromiseChecker& m_promises;
    std::unique_ptr<DatagramSocket> m_socket;
    Delay m_nextTimer;
    std::unordered_map<std::string, Flow> m_flows;
    std::minstd_rand m_random;
    std::uint16_t m_portCount;
    std::uint16_t m_lastPort = 0;
    std::uint64_t m_nextRequest = 0;
    CallerCounts m_counts;
    bool m_isStopped = false;
};

}
