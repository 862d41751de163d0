#pragma once

#include "libdecision/directoryagreement.h"
#include "libdecision/directorydifference.h"
#include "libdecision/relaybudget.h"
#include "libdecision/viewfetchlimiter.h"
#include "libhttp/httpclient.h"
#include "libhttp/httpserver.h"
#include "libplatform/delay.h"
#include "libprotocol/viewcodec.h"
#include "libruntime/clock.h"
#include "libruntime/datagramsocket.h"
#include "libruntime/metrics.h"
#include "libruntime/settings.h"
#include "pausemeter.h"
#include "peertraffic.h"

#include <random>

namespace kingcuptrail {

/// Why a message or view of a peer was not applied.
enum class PeerMessageError : std::uint8_t {
    Malformed,
    ViewFetchFailed,
    ViewMalformed,
};

template <>
struct EnumNames<PeerMessageError> {
    static constexpr std::array<std::string_view, 3> names { "malformed", "viewFetchFailed", "viewMalformed" };
};

/// A process's view of the whole deployment (configuration, outages and the directory of processes) and the gossip protocol
/// that spreads it. Each process regularly sends the versions of its view to a few random peers in a gossip message (wire
/// kind News); a peer that is behind fetches the view over TCP. Changes in the store thus reach processes that cannot reach
/// the store, at a cost for each process that does not grow with the number of processes. directorycomparison.cpp implements the
/// comparison of directories, viewexchange.cpp the transfer of views, peernetwork.cpp the rest.
class PeerNetwork {
public:
    struct Handlers {
        /// Called for a message about a flow, from the host with this address.
        std::function<void(const PeerMessage&, std::uint32_t sender)> onFlowMessage;
        /// Called before any valid message from another process is handled, with its address. May be empty.
        std::function<void(std::uint32_t sender)> onHeard;
        /// Called when the outages change; `returned` names the data centres that were out and no longer are.
        std::function<void(const std::vector<std::string>& returned)> onOutages;
    };

    PeerNetwork(asio::io_context& context, const Settings& settings, const Clock& clock);
    ~PeerNetwork();
    PeerNetwork(const PeerNetwork&) = delete;
    PeerNetwork& operator=(const PeerNetwork&) = delete;

    /// Binds the sockets and starts to send gossip; false when an address cannot be bound.
    bool start(Handlers handlers);

    const RouteTable& routes() const { return m_view.routes; }
    const OutageView& outages() const { return m_view.outages; }
    const Directory& directory() const { return m_directory; }
    DeploymentView view() const;
    /// How long flows without packets have to be kept.
    const IdleLimits& idleLimits() const { return m_idleLimits; }

    /// Apply state from the store or a peer, unless it is older than what is known.
    void updateRoutes(RouteTable routes);
    void updateOutages(OutageView outages);
    void updateEntry(const PeerEntry& entry);
    /// Applies a whole list of entries, as the store or a peer's view holds it.
    void updateEntries(const std::vector<PeerEntry>& entries);

    /// Sends a gossip message that asks for an answer; the receivers are `count` random peers.
    void requestGossip(std::size_t count) { gossipToRandomPeers(count, {}); }

    /// Announces this process to its peers. Sets the epoch above that of every known announcement under its name or for its address,
    /// since only this process knows that it is the one there.
    const PeerEntry& announce(PeerEntry self);
    const PeerEntry& self() const { return m_self; }
    std::uint32_t ownAddress() const { return m_ownAddress; }

    /// The processes that follow the store, as known from gossip, and whether this process is one of them.
    StoreReaders& readers() { return m_readers; }
    void setFollowingStore(bool isFollowing);

    void send(std::uint32_t address, const FlowMessage& message);
    /// Sends the same message to several processes; it is encoded only once.
    void sendToAll(std::span<const std::uint32_t> addresses, const FlowMessage& message);
    /// Sends a packet as it is, to a caller or an upstream.
    void sendPacket(std::span<const std::uint8_t> packet, const asio::ip::udp::endpoint& receiver);

    /// Whether a fetch of a peer's view is in progress.
    bool isFetchingView() const { return m_fetch != nullptr; }
    /// Whether this process was paused and has received no gossip since. Also detects a pause that has just ended, and asks
    /// peers for their gossip then.
    bool mayBeStale();
    /// Whether the last peer that sent gossip knows exactly the agents that this process knows.
    bool isDirectoryConfirmed() const;
    /// Exchanges missing entries with a peer whose directory is known to differ.
    void compareDirectory(std::uint32_t address);
    Millis lastGossipAt() const { return m_lastGossipAt; }

    void exposeMetrics(std::string& out) const;

private:
    enum class GossipPurpose : std::uint8_t {
        /// One of the regular rounds, or a request; the receiver answers.
        Question,
        Answer,
        /// Tells of changed entries only.
        Announcement,
    };

    void transmit(std::span<const std::uint8_t> message, wire::PeerKind kind, std::uint32_t address);
    void logTraffic();
    bool mergeEntry(const PeerEntry& entry);
    void handleDatagram(std::span<const std::uint8_t> datagram, std::uint32_t sender);
    void handleGossip(const PeerMessage& message, std::uint32_t sender);
    void gossipPeriodically();
    void gossipNearAndFar();
    void announceToBalancer(const PeerEntry& entry);
    void gossipToRandomPeers(std::size_t count, const std::vector<PeerEntry>& changed);
    void announceChange();
    void relay(const PeerEntry& entry);
    void sendGossip(std::uint32_t address, const std::vector<PeerEntry>& changed, GossipPurpose purpose);
    std::vector<std::uint32_t> randomPeers(std::size_t count);
    std::vector<std::uint32_t> startPeers() const;
    void sendDigests(std::uint32_t address, bool wantsAnswer, bool differsMuch);
    void handleDigests(const PeerMessage& message, std::uint32_t sender);
    void answerWithDifference(const PeerMessage& message, std::uint32_t sender);
    void handleEntryDigests(const PeerMessage& message, std::uint32_t sender);
    void sendEntries(std::uint32_t address, std::span<const PeerEntry> entries);
    std::uint32_t maxEntries() const;
    bool isFar(std::uint32_t address) const;
    void fetchDirectory(std::uint32_t address);
    void fetchRoutes(std::uint32_t address, ConfigVersion offered);
    void fetchView(std::uint32_t address, const ViewParts& parts);
    void abandonFetch();
    void updateView(const DeploymentView& view);
    void serveView(const HttpRequest& request, const std::shared_ptr<HttpResponder>& responder);
    asio::ip::udp::endpoint peerEndpoint(std::uint32_t address) const;

    asio::io_context& m_context;
    const Settings& m_settings;
    const Clock& m_clock;
    Handlers m_handlers;
    std::unique_ptr<DatagramSocket> m_socket;
    std::unique_ptr<HttpServer> m_viewServer;
    std::shared_ptr<HttpCall> m_fetch;
    Delay m_fetchIdleTimer;
    Delay m_gossipTimer;
    Delay m_comparisonTimer;
    PeerMessageEncoder m_encoder;
    std::minstd_rand m_random;

    std::uint32_t m_ownAddress;
    PeerEntry m_self;
    DeploymentView m_view;
    IdleLimits m_idleLimits;
    Directory m_directory;
    StoreReaders m_readers;
    bool m_isFollowingStore = false;
    PauseMeter m_pauseMeter;
    Millis m_lastGossipAt = 0;
    Millis m_startedAt;
    Millis m_trafficLoggedAt;
    PeerTraffic m_traffic;
    ViewFetchLimiter m_fetchLimiter;
    /// The peer that named a newer configuration while a fetch was in progress, and its version.
    std::uint32_t m_newerVersionPeer = 0;
    ConfigVersion m_newerVersion = 0;
    DirectoryComparisons m_comparisons;
    RelayBudget m_relayBudget;
    std::uint64_t m_notRelayed = 0;
    /// Whether peers know the same agents.
    DirectoryAgreement m_agentsAgreement;
    EnumCounters<PeerMessageError> m_messageErrors;
};

}
