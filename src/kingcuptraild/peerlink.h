#pragma once

#include "libdecision/member.h"
#include "libprotocol/link.h"
#include "libruntime/clock.h"

#include <asio/steady_timer.hpp>
#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace kingcuptrail {

class ActiveConfig;

/// Identity of a peer, as given in its hello.
struct PeerIdentity {
    wire::Role role = wire::Role::Caller;
    std::string name;
    std::string service;
    std::string dataCentre;
    OwnerToken token;
};

/// Load and state of a process, sent to its peers in every heartbeat.
struct LoadReport {
    std::uint32_t openFlows = 0;
    std::uint32_t busy = 0;
    std::uint32_t queued = 0;
    std::uint32_t limit = 0;
    /// Number of balancers that an agent has links to.
    std::uint32_t links = 0;
    MemberState state = MemberState::Serving;
};

/// A link between two processes of the system. Exchanges hellos, then heartbeats in both directions, brings the
/// configuration of the peer that is behind up to date, and passes packets to the owner of the link.
class PeerLink : public std::enable_shared_from_this<PeerLink> {
public:
    struct Handlers {
        /// Decides whether the peer is accepted; a reason refuses it.
        std::function<std::optional<wire::GoodbyeReason>(const PeerIdentity&)> onHello;
        /// Called when the peer's hello was accepted.
        std::function<void(PeerLink&)> onUp;
        std::function<void(PeerLink&, const wire::Packet&, std::span<const std::uint8_t> raw)> onPacket;
        std::function<void(PeerLink&, const LoadReport&)> onLoadReport;
        /// The peer sent a goodbye and must get no more work. The link stays open until one side closes it.
        std::function<void(PeerLink&, wire::GoodbyeReason)> onGoodbye;
        /// Called for frames of all other kinds.
        std::function<void(PeerLink&, const wire::Frame&, std::span<const std::uint8_t> raw)> onOtherFrame;
        std::function<void(PeerLink&, LinkError)> onClosed;
        /// Provide the load for the next heartbeat, and the interval until the one after it, in milliseconds.
        std::function<LoadReport()> reportLoad;
        std::function<Millis()> heartbeatInterval;
    };

    PeerLink(asio::io_context& context, std::shared_ptr<Link> link, wire::HelloT hello, ActiveConfig& config, Handlers handlers);

    void start();

    bool sendPacket(Bytes frame) { return m_link->sendDroppable(std::move(frame)); }
    void send(Bytes frame) { m_link->send(std::move(frame)); }

    /// Sends a heartbeat at once, so that the peer learns of a change of state or configuration before the next regular one.
    void sendHeartbeat();

    /// Sends a goodbye: this process is shutting down, or it refuses the peer. `closeAfter` also closes the link.
    void goodbye(wire::GoodbyeReason reason, bool closeAfter);

    void close(bool flush = false);

    bool isOpen() const { return m_link->isOpen(); }
    bool isUp() const { return m_isUp && m_link->isOpen(); }
    bool hasReceivedGoodbye() const { return m_hasReceivedGoodbye; }
    /// Whether packets may be sent to the peer.
    bool isUsable() const { return isUp() && !m_hasReceivedGoodbye; }
    const PeerIdentity& peer() const { return m_peer; }
    ConfigVersion peerConfigVersion() const { return m_peerConfigVersion; }
    const Link& link() const { return *m_link; }

private:
    void handleFrame(const wire::Frame& frame, std::span<const std::uint8_t> raw);
    void handleHello(const wire::Hello& hello);
    void handleHeartbeat(const wire::Heartbeat& heartbeat);
    void handleGoodbye(const wire::Goodbye& goodbye);
    void handleConfigFrame(const wire::Frame& frame);
    void fetchConfigIfBehind();
    void scheduleHeartbeat();
    Millis negotiatedInterval() const;
    void refuse(wire::GoodbyeReason reason);

    std::shared_ptr<Link> m_link;
    asio::steady_timer m_timer;
    wire::HelloT m_hello;
    ActiveConfig& m_config;
    Handlers m_handlers;
    PeerIdentity m_peer;
    ConfigVersion m_peerConfigVersion = 0;
    Clock m_clock;
    Millis m_ownSilenceLimit = 0;
    Millis m_peerInterval = 0;
    bool m_isUp = false;
    bool m_hasReceivedGoodbye = false;
};

}
