#include "peernetwork.h"

#include "libdecision/gossipsize.h"
#include "libdecision/peerchoice.h"
#include "libruntime/events.h"

#include <algorithm>

namespace kingcuptrail {

namespace {

    /// Time between two rounds of gossip, in milliseconds, and the receivers in each. A process that missed a change
    /// learns of it within about a second. Each process sends and receives 8 datagrams of about 150 bytes a second, however
    /// many processes there are.
    constexpr Millis gossipInterval = 250;
    constexpr std::size_t gossipFanout = 2;
    /// Peers to which a change of the configuration or of the outages is sent at once. With eight each, 5,000 processes know it
    /// after five rounds.
    constexpr std::size_t changeFanout = 8;
    /// Peers in each data centre to which a process announces itself. More than one, since a datagram may be lost.
    constexpr std::size_t announcementFanout = 2;
    /// Peers of the own data centre to which a received announcement is passed on. With two each it reaches nearly all
    /// processes there, and the periodic rounds reach the rest.
    constexpr std::size_t relayFanout = 2;
    /// Time between two rounds while a process has no configuration or has received no gossip, in milliseconds. A round costs
    /// three datagrams, and the process can serve only after an answer.
    constexpr Millis startGossipInterval = 50;
    /// How often the process checks for a pause, in milliseconds.
    constexpr Millis pauseCheckInterval = 100;
    constexpr Millis trafficLogInterval = 10000;

}

PeerNetwork::PeerNetwork(asio::io_context& context, const Settings& settings, const Clock& clock)
    : m_context(context)
    , m_settings(settings)
    , m_clock(clock)
    , m_fetchIdleTimer(context)
    , m_gossipTimer(context)
    , m_comparisonTimer(context)
    , m_random(std::random_device {}())
    , m_ownAddress(settings.listen.address().to_v4().to_uint())
    , m_idleLimits { .current = {}, .former = {}, .lifetime = settings.packets.flowLifetime }
    , m_startedAt(clock.now())
    , m_trafficLoggedAt(m_startedAt)
    , m_fetchLimiter { .startedAt = clock.now() }
{
}

PeerNetwork::~PeerNetwork()
{
    if (m_fetch)
        m_fetch->cancel();
    if (m_socket)
        logPeerTraffic(m_traffic, m_clock.now() - m_startedAt);
}

bool PeerNetwork::start(Handlers handlers)
{
    m_handlers = std::move(handlers);
    DatagramError datagramError = DatagramError::None;
    m_socket = DatagramSocket::open(
        m_context, { m_settings.listen.address(), m_settings.listen.port() },
        [this](std::span<std::uint8_t> datagram, const asio::ip::udp::endpoint& sender) { handleDatagram(datagram, sender.address().to_v4().to_uint()); }, datagramError);
    asio::error_code error;
    m_viewServer = HttpServer::listen(
        m_context, m_settings.listen, { .maxBodyBytes = 0, .requestTimeout = 2000, .maxConnections = 256 },
        [this](const HttpRequest& request, const std::shared_ptr<HttpResponder>& responder) { serveView(request, responder); }, error);
    if (!m_socket || !m_viewServer)
        return false;
    gossipPeriodically();
    return true;
}

DeploymentView PeerNetwork::view() const
{
    DeploymentView view = m_view;
    view.formerIdleLimits = formerLimitAges(m_idleLimits, m_clock.now());
    for (const auto& [name, entry] : m_directory.entries)
        view.entries.push_back(entry);
    return view;
}

void PeerNetwork::updateRoutes(RouteTable routes)
{
    const ConfigVersion previous = m_view.routes.version;
    if (!applyRoutes(m_view.routes, std::move(routes)))
        return;
    logEvent(Event::RoutesInForce, { { "version", m_view.routes.version }, { "previous", previous }, { "routes", m_view.routes.routes.size() }, { "idleLimit", static_cast<std::uint64_t>(m_view.routes.idleLimit) } });
    applyIdleLimit(m_idleLimits, m_view.routes.idleLimit, m_clock.now());
    for (const ServiceLimits& limits : m_view.routes.services)
        logEvent(Event::ServiceLimitsInForce, { { "service", limits.name }, { "flowLimit", limits.flowLimit }, { "warmUp", static_cast<std::uint64_t>(limits.warmUp) }, { "coldRate", static_cast<std::uint64_t>(limits.coldRate) } });
    gossipToRandomPeers(changeFanout, {});
}

void PeerNetwork::updateOutages(OutageView outages)
{
    const OutageView previous = m_view.outages;
    if (!applyOutages(m_view.outages, std::move(outages)))
        return;
    std::vector<std::string> returned;
    for (const std::string& name : previous.out) {
        if (!isDataCentreOut(m_view.outages, name)) {
            returned.push_back(name);
            logEvent(Event::DataCentreBack, { { "dataCentre", name }, { "revision", m_view.outages.revision } });
        }
    }
    for (const std::string& name : m_view.outages.out) {
        if (!isDataCentreOut(previous, name))
            logEvent(Event::DataCentreOut, { { "dataCentre", name }, { "revision", m_view.outages.revision } });
    }
    gossipToRandomPeers(changeFanout, {});
    m_handlers.onOutages(returned);
}

void PeerNetwork::updateEntry(const PeerEntry& entry)
{
    if (!mergeEntry(entry))
        return;
    logEvent(Event::PeerChanged, { { "peer", entry.name }, { "role", nameOf(entry.role) }, { "state", nameOf(entry.state) }, { "service", entry.service }, { "slots", entry.slots }, { "epoch", entry.epoch } });
    // An agent announces itself to every balancer, so balancers do not pass its entry on. Agents do.
    const bool isAnnouncedDirectly = entry.role == PeerRole::Agent && m_self.role == PeerRole::Balancer;
    // No answer is requested: a receiver whose digest differs compares directories anyway, and an answer to each copy would
    // only repeat what the sender knows.
    if (isAnnouncedDirectly)
        return;
    if (tryRelay(m_relayBudget, m_clock.now()))
        relay(entry);
    else
        ++m_notRelayed;
}

// An agent's announcement goes to other agents only, since it has been sent to every balancer.
void PeerNetwork::relay(const PeerEntry& entry)
{
    const DataCentreMembers& near = membersOf(m_directory, m_settings.dataCentre);
    for (const std::uint32_t peer : randomAddresses(entry.role == PeerRole::Agent ? near.allAgents : near.peers, relayFanout, m_ownAddress, m_random))
        sendGossip(peer, { entry }, GossipPurpose::Announcement);
}

// After a restart of all processes each of them learns of all others at once. Passing on and logging the entries one by one
// blocks balancers for half a second with 84 processes, so a list is neither passed on nor logged by entry. A peer that lacks
// one of the entries detects it by the digest.
void PeerNetwork::updateEntries(const std::vector<PeerEntry>& entries)
{
    std::vector<const PeerEntry*> taken;
    for (const PeerEntry& entry : entries) {
        if (mergeEntry(entry))
            taken.push_back(&entry);
    }
    if (taken.empty())
        return;
    // The list may contain balancers that this process did not know when it announced itself.
    for (const PeerEntry* entry : taken)
        announceToBalancer(*entry);
    logEvent(Event::DirectoryTaken, { { "entries", entries.size() }, { "new", taken.size() }, { "known", m_directory.entries.size() } });
}

bool PeerNetwork::mergeEntry(const PeerEntry& entry)
{
    if (entry.name == m_self.name && !m_self.name.empty()) {
        // The entry is an announcement of an earlier process with an epoch that is not lower than the current one: the wall
        // clock may have been set back.
        if (entry.epoch >= m_self.epoch && entry != m_self) {
            m_self.epoch = entry.epoch + 1;
            announce(m_self);
        }
        return false;
    }
    const auto known = m_directory.entries.find(entry.name);
    const bool isNewAtAddress = known == m_directory.entries.end() || known->second.address != entry.address;
    const PeerEntry* found = isNewAtAddress ? findByAddress(m_directory, entry.address) : nullptr;
    const std::optional<PeerEntry> other = found ? std::optional(*found) : std::nullopt;
    if (!applyEntry(m_directory, entry))
        return false;
    if (other && other->name != entry.name && entry.state != PeerState::Gone)
        logEvent(Event::AddressReused, { { "peer", entry.name }, { "state", nameOf(entry.state) }, { "service", entry.service }, { "epoch", entry.epoch }, { "other", other->name }, { "otherState", nameOf(other->state) }, { "otherService", other->service }, { "otherEpoch", other->epoch } });
    return true;
}

const PeerEntry& PeerNetwork::announce(PeerEntry self)
{
    self.epoch = std::max({ self.epoch, m_self.epoch + 1, lastEpochOf(m_directory, self) + 1 });
    if (m_self.epoch == 0)
        self.epoch = std::max(self.epoch, unixMillis());
    m_self = std::move(self);
    applyEntry(m_directory, m_self);
    announceChange();
    for (const auto& [name, entry] : m_directory.entries)
        announceToBalancer(entry);
    return m_self;
}

// Without gossip from any peer this process may know none of them, and asks its seeds.
void PeerNetwork::announceChange()
{
    if (m_lastGossipAt == 0) {
        gossipToRandomPeers(changeFanout, { m_self });
        return;
    }
    for (const std::uint32_t peer : randomInEachDataCentre(m_directory, announcementFanout, m_ownAddress, m_random))
        sendGossip(peer, { m_self }, GossipPurpose::Question);
}

// An announcement that is passed on from peer to peer misses some processes, which learn of it some tenths of a second later.
// A balancer among them would not ask a new agent for flows that other balancers have already opened there. An agent therefore
// announces itself to each balancer directly, with one datagram each.
void PeerNetwork::announceToBalancer(const PeerEntry& entry)
{
    const bool isAnnounced = m_self.role == PeerRole::Agent && !m_self.name.empty();
    if (isAnnounced && entry.role == PeerRole::Balancer && entry.state != PeerState::Gone)
        sendGossip(entry.address, { m_self }, GossipPurpose::Announcement);
}

void PeerNetwork::setFollowingStore(bool isFollowing)
{
    if (m_isFollowingStore == isFollowing)
        return;
    m_isFollowingStore = isFollowing;
    if (isFollowing)
        beat(m_readers, m_self.name, m_clock.now());
    else
        announceStop(m_readers, m_self.name, m_clock.now());
    gossipToRandomPeers(changeFanout, {});
}

void PeerNetwork::send(std::uint32_t address, const FlowMessage& message)
{
    transmit(m_encoder.encode(message), message.kind, address);
}

void PeerNetwork::sendToAll(std::span<const std::uint32_t> addresses, const FlowMessage& message)
{
    const auto bytes = m_encoder.encode(message);
    for (const std::uint32_t address : addresses)
        transmit(bytes, message.kind, address);
}

void PeerNetwork::transmit(std::span<const std::uint8_t> message, wire::PeerKind kind, std::uint32_t address)
{
    m_traffic.sentMessages.increment(kind);
    m_traffic.sentBytes.increment(kind, message.size());
    m_socket->send(message, peerEndpoint(address));
}

void PeerNetwork::sendPacket(std::span<const std::uint8_t> packet, const asio::ip::udp::endpoint& receiver)
{
    m_socket->send(packet, receiver);
}

bool PeerNetwork::mayBeStale()
{
    if (m_pauseMeter.recordRun()) {
        logEvent(Event::ProcessPaused, { { "milliseconds", static_cast<std::uint64_t>(m_pauseMeter.lastPause()) } });
        resetAgreement(m_agentsAgreement);
        gossipToRandomPeers(changeFanout, {});
    }
    return m_pauseMeter.mayBeStale();
}

bool PeerNetwork::isDirectoryConfirmed() const
{
    return isAgreed(m_agentsAgreement, m_clock.now());
}

void PeerNetwork::handleDatagram(std::span<const std::uint8_t> datagram, std::uint32_t sender)
{
    mayBeStale();
    FrameError error = FrameError::None;
    const auto message = decodePeerMessage(datagram, error);
    if (!message) {
        m_messageErrors.increment(PeerMessageError::Malformed);
        return;
    }
    m_traffic.receivedMessages.increment(message->kind);
    m_traffic.receivedBytes.increment(message->kind, datagram.size());
    if (m_handlers.onHeard)
        m_handlers.onHeard(sender);
    if (message->configVersion > m_view.routes.version)
        fetchRoutes(sender, message->configVersion);
    if (message->kind == wire::PeerKind::News)
        handleGossip(*message, sender);
    else if (message->kind == wire::PeerKind::DirectoryDigests)
        handleDigests(*message, sender);
    else if (message->kind == wire::PeerKind::EntryDigests)
        handleEntryDigests(*message, sender);
    else if (message->kind == wire::PeerKind::EntryRequest)
        sendEntries(sender, entriesWithDigests(m_directory, entryDigestsOf(*message), std::min(message->table->max_entries(), maxEntries())));
    else
        m_handlers.onFlowMessage(*message, sender);
}

void PeerNetwork::handleGossip(const PeerMessage& message, std::uint32_t sender)
{
    m_lastGossipAt = m_clock.now();
    m_pauseMeter.recordGossip();
    if (auto outages = outagesOf(message))
        updateOutages(std::move(*outages));
    const std::vector<PeerEntry> entries = entriesOf(message);
    if (entries.size() == 1)
        updateEntry(entries.front());
    else
        updateEntries(entries);
    for (const ReaderHeartbeat& reader : readerHeartbeatsOf(message))
        recordHeartbeat(m_readers, reader, m_lastGossipAt);
    recordPeerDigest(m_agentsAgreement, message.table->agents_digest() == agentsDigestOf(m_directory), m_clock.now());
    if (message.table->digest() != digestOf(m_directory))
        compareDirectory(sender);
    if (message.table->wants_answer())
        sendGossip(sender, { m_self }, GossipPurpose::Answer);
}

void PeerNetwork::gossipPeriodically()
{
    mayBeStale();
    if (m_isFollowingStore)
        beat(m_readers, m_self.name, m_clock.now());
    if (!m_self.name.empty() && m_self.state != PeerState::Gone && isSuperseded(m_directory, m_self))
        announce(m_self);
    gossipNearAndFar();
    if (m_clock.now() - m_trafficLoggedAt >= trafficLogInterval)
        logTraffic();
    const bool isStarting = m_view.routes.version == 0 || m_lastGossipAt == 0;
    m_gossipTimer.start(isStarting ? startGossipInterval : std::max(gossipInterval, pauseCheckInterval), [this] { gossipPeriodically(); });
}

void PeerNetwork::logTraffic()
{
    m_trafficLoggedAt = m_clock.now();
    logPeerTraffic(m_traffic, m_trafficLoggedAt - m_startedAt);
}

// Of the two receivers of a round, one is in the same data centre and the other is any peer: half of the bytes stay within the
// data centre, and gossip still spreads between data centres.
void PeerNetwork::gossipNearAndFar()
{
    const std::vector<PeerEntry> own = m_self.name.empty() ? std::vector<PeerEntry> {} : std::vector { m_self };
    const std::vector<std::uint32_t> near = randomAddresses(membersOf(m_directory, m_settings.dataCentre).peers, 1, m_ownAddress, m_random);
    for (const std::uint32_t peer : near)
        sendGossip(peer, own, GossipPurpose::Question);
    gossipToRandomPeers(gossipFanout - near.size(), own);
}

std::vector<std::uint32_t> PeerNetwork::randomPeers(std::size_t count)
{
    if (m_lastGossipAt != 0) {
        std::vector<std::uint32_t> peers = randomAddresses(m_directory.peers, count, m_ownAddress, m_random);
        if (!peers.empty())
            return peers;
    }
    return randomAddresses(startPeers(), count, m_ownAddress, m_random);
}

// A process that has received no gossip asks its seeds as well.
std::vector<std::uint32_t> PeerNetwork::startPeers() const
{
    std::vector<std::uint32_t> peers = m_directory.peers;
    for (const auto& seed : m_settings.packets.seeds) {
        const std::uint32_t address = seed.address().to_v4().to_uint();
        if (address != m_ownAddress && std::ranges::find(peers, address) == peers.end())
            peers.push_back(address);
    }
    return peers;
}

void PeerNetwork::gossipToRandomPeers(std::size_t count, const std::vector<PeerEntry>& changed)
{
    for (const std::uint32_t peer : randomPeers(count))
        sendGossip(peer, changed, GossipPurpose::Question);
}

void PeerNetwork::sendGossip(std::uint32_t address, const std::vector<PeerEntry>& changed, GossipPurpose purpose)
{
    GossipMessage gossip { .configVersion = m_view.routes.version, .digest = digestOf(m_directory), .agentsDigest = agentsDigestOf(m_directory), .outages = &m_view.outages, .entries = changed, .readers = {}, .wantsAnswer = purpose == GossipPurpose::Question };
    // Announcements are many, and the regular rounds carry the heartbeats.
    if (purpose != GossipPurpose::Announcement)
        gossip.readers = currentHeartbeats(m_readers, m_clock.now());
    std::erase_if(gossip.entries, [](const PeerEntry& entry) { return entry.name.empty(); });
    gossip.entries.resize(entriesThatFit(gossip.entries));
    transmit(m_encoder.encode(gossip), wire::PeerKind::News, address);
}

asio::ip::udp::endpoint PeerNetwork::peerEndpoint(std::uint32_t address) const
{
    return { asio::ip::address_v4(address), m_settings.listen.port() };
}

void PeerNetwork::exposeMetrics(std::string& out) const
{
    const DatagramCounts& counts = m_socket->counts();
    exposeCounter(out, "kingcuptrail_peer_datagrams_received_total", "Datagrams read from other processes and callers' replies.", counts.received);
    exposeCounter(out, "kingcuptrail_peer_datagrams_sent_total", "Datagrams sent to other processes, callers and the upstream.", counts.sent);
    exposeCounter(out, "kingcuptrail_peer_datagrams_unsent_total", "Datagrams that the host did not take.", counts.sendFailed);
    exposeCounters(out, "kingcuptrail_peer_trouble_total", "Messages and views that were not taken, by reason.", m_messageErrors);
    exposePeerTraffic(out, m_traffic);
    exposeCounter(out, "kingcuptrail_announcements_not_relayed_total", "Announcements that were not passed on because too many came at once; comparisons of directories spread them.", m_notRelayed);
    exposeGauge(out, "kingcuptrail_routes_version", "Configuration in force.", static_cast<double>(m_view.routes.version));
    exposeGauge(out, "kingcuptrail_directory_entries", "Processes that are known.", static_cast<double>(m_directory.entries.size()));
}

}
