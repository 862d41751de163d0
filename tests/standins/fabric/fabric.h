#pragma once

#include "libprotocol/link.h"
#include "packetfaults.h"

#include <map>

namespace kingcuptrail {

struct FabricOptions {
    asio::ip::tcp::endpoint listen;
    std::vector<asio::ip::tcp::endpoint> balancers;
    std::uint64_t seed = 1;
    Millis heartbeat = 500;
    Millis linkSilence = 2500;
    Millis redialAfter = 200;
};

struct FabricCounts {
    std::uint64_t toBalancers = 0;
    std::uint64_t toCallers = 0;
    std::uint64_t lost = 0;
    std::uint64_t noBalancer = 0;
    std::uint64_t noCaller = 0;
};

/// Stands in for the fabric: sends each packet of a caller to a random balancer whose link is up, and forwards packets of
/// balancers to the caller that their source names.
class Fabric {
public:
    Fabric(asio::io_context& context, const FabricOptions& options);

    std::uint16_t port() const { return m_acceptor.local_endpoint().port(); }
    void apply(const FaultOptions& faults) { m_faults.apply(faults); }
    const FabricCounts& counts() const { return m_counts; }
    /// For each balancer, whether its link is up and it is sent packets.
    std::vector<bool> balancersUp() const;

private:
    struct Balancer {
        Balancer(asio::io_context& context, const asio::ip::tcp::endpoint& address, const LinkOptions& options)
            : address(address)
            , dialer(context, options)
        {
        }

        asio::ip::tcp::endpoint address;
        LinkDialer dialer;
        std::shared_ptr<Link> link;
        bool dialing = false;
        bool ready = false;
        Millis redialAt = 0;
    };

    struct CallerLink {
        std::shared_ptr<Link> link;
        std::uint64_t source = 0;
    };

    using FrameBytes = std::span<const std::uint8_t>;

    void accept();
    void tick();
    void dial(std::size_t index);
    void handleBalancerFrame(std::size_t index, const wire::Frame& frame, FrameBytes raw);
    void handleCallerFrame(Link& link, const wire::Frame& frame, FrameBytes raw);
    void handleBalancerLost(std::size_t index);
    void send(FlowId flow, FrameBytes raw, const std::function<void(Bytes)>& deliver);
    void sendToBalancer(Bytes frame);
    void sendToCaller(std::uint64_t source, Bytes frame);

    asio::io_context& m_context;
    FabricOptions m_options;
    LinkOptions m_linkOptions;
    PacketFaults m_faults;
    asio::ip::tcp::acceptor m_acceptor;
    asio::steady_timer m_timer;
    std::vector<std::unique_ptr<Balancer>> m_balancers;
    std::map<Link*, CallerLink> m_callers;
    std::map<std::uint64_t, Link*> m_bySource;
    FabricCounts m_counts;
    Millis m_now = 0;
    Millis m_nextHeartbeatAt = 0;
};

}
