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

class ConfigKeeper;

/// What a peer said of itself in its hello.
struct PeerIdentity {
    wire::Role role = wire::Role::Caller;
    std::string name;
    std::string service;
    std::string dataCentre;
    OwnerToken token;
};

/// What a process tells its peers in every heartbeat.
struct LoadReport {
    std::uint32_t openFlows = 0;
    std::uint32_t busy = 0;
    std::uint32_t queued = 0;
    std::uint32_t limit = 0;
    /// Balancers an agent is linked to.
    std::uint32_t links = 0;
    MemberState state = MemberState::Serving;
};

/// A link between two processes of the system after their hellos: heartbeats both ways, configuration spread to the
/// peer that is behind, packets for the owner of the link.
class PeerLink : public std::enable_shared_from_this<PeerLink> {
public:
    struct Handlers {
        /// Whether the peer is one that is expected here; a reason refuses it.
        std::function<std::optional<wire::GoodbyeReason>(const PeerIdentity&)> onHello;
        /// The hello was accepted.
        std::function<void(PeerLink&)> onUp;
        std::function<void(PeerLink&, const wire::Packet&, std::span<const std::uint8_t> raw)> onPacket;
        std::function<void(PeerLink&, const LoadReport&)> onLoad;
        /// The peer says goodbye: give it no more work. The link stays until one side closes it.
        std::function<void(PeerLink&, wire::GoodbyeReason)> onLeaving;
        /// Frames of other kinds.
        std::function<void(PeerLink&, const wire::Frame&, std::span<const std::uint8_t> raw)> onOther;
        std::function<void(PeerLink&, LinkError)> onClosed;
        /// What to report in the next heartbeat, and how long until the one after it.
        std::function<LoadReport()> reportLoad;
        std::function<Millis()> heartbeatInterval;
    };

    PeerLink(asio::io_context& context, std::shared_ptr<Link> link, wire::HelloT hello, ConfigKeeper& config, Handlers handlers);

    void start();

    bool sendPacket(Bytes frame) { return m_link->sendDroppable(std::move(frame)); }
    void send(Bytes frame) { m_link->send(std::move(frame)); }

    /// Sends a heartbeat now, so that a change of state or configuration is known before the next regular one.
    void heartbeatNow();

    /// Tells the peer that this process leaves or refuses it. `closeAfter` also ends the link.
    void goodbye(wire::GoodbyeReason reason, bool closeAfter);

    void close(bool flush = false);

    bool isOpen() const { return m_link->isOpen(); }
    bool isUp() const { return m_isUp && m_link->isOpen(); }
    bool isLeaving() const { return m_isLeaving; }
    /// Whether packets may be sent to the peer.
    bool isUsable() const { return isUp() && !m_isLeaving; }
    const PeerIdentity& peer() const { return m_peer; }
    ConfigVersion peerConfigVersion() const { return m_peerConfigVersion; }
    const Link& link() const { return *m_link; }

private:
    void handleFrame(const wire::Frame& frame, std::span<const std::uint8_t> raw);
    void handleHello(const wire::Hello& hello);
    void handleHeartbeat(const wire::Heartbeat& heartbeat);
    void handleGoodbye(const wire::Goodbye& goodbye);
    void handleConfigFrame(const wire::Frame& frame);
    void reconcileConfig();
    void scheduleHeartbeat();
    Millis pause() const;
    void refuse(wire::GoodbyeReason reason);

    std::shared_ptr<Link> m_link;
    asio::steady_timer m_timer;
    wire::HelloT m_hello;
    ConfigKeeper& m_config;
    Handlers m_handlers;
    PeerIdentity m_peer;
    ConfigVersion m_peerConfigVersion = 0;
    Clock m_clock;
    Millis m_ownSilenceLimit = 0;
    Millis m_peerInterval = 0;
    bool m_isUp = false;
    bool m_isLeaving = false;
};

}
