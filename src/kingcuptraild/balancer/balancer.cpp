#include "balancer.h"

#include "agentconnection.h"
#include "kingcuptraild/hello.h"
#include "kingcuptraild/listener.h"
#include "kingcuptraild/resetpacket.h"
#include "libdecision/pacing.h"
#include "libruntime/events.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <unordered_set>

namespace kingcuptrail {

namespace {

    /// How long a balancer that shuts down still forwards packets that were already on their way to it, in milliseconds:
    /// several round trips across the fabric, and longer than one redial of the fabric.
    constexpr Millis shutdownGrace = 1000;

    /// Suggested retry delay when no upstream is available, in milliseconds: about the time in which a member re-establishes
    /// a lost link.
    constexpr Millis noUpstreamRetryAfter = 500;

    /// Interval at which the balancer records that its process runs, in milliseconds; a fraction of the gap that counts as a
    /// pause.
    constexpr Millis periodicCheckInterval = 200;

    /// Number of balancers that push a change of configuration to one agent.
    constexpr std::uint32_t configPushCopies = 3;

    OwnerToken tokenOf(const wire::Packet& packet)
    {
        return { packet.owner_upstream(), packet.owner_incarnation() };
    }

    Bytes copyOf(std::span<const std::uint8_t> raw)
    {
        return Bytes(raw.begin(), raw.end());
    }

    std::string childName(const OwnerToken& token)
    {
        return std::to_string(token.upstream) + "." + std::to_string(token.incarnation);
    }

}

Balancer::Balancer(const RoleContext& role)
    : m_role(role)
    , m_id(upstreamIdOf(role.settings.name))
    , m_shutdownTimer(role.context)
    , m_periodicTimer(role.context)
{
    m_role.config.addListener([this](const Config& current, const Config& previous) { handleConfig(current, previous); });
    m_role.root.add({ .name = "links", .make = [this](const FailureHandler& onFailure) {
                         auto links = std::make_unique<Supervisor>(m_role.context, "links", onFailure);
                         m_linkSupervisor = links.get();
                         return links;
                     } });
    m_role.root.add({ .name = "config", .make = [this](const FailureHandler&) {
                         return std::make_unique<SupervisedConfigWatcher>(m_role, SupervisedConfigWatcher::Mode::Follow);
                     } });
    m_role.root.add({ .name = "presence", .make = [this](const FailureHandler&) {
                         auto watcher = std::make_unique<SupervisedPresenceWatcher>(
                             m_role, [this](const std::vector<Presence>& presences) { handlePresence(presences); }, [this](const Presence& presence) { return needsLeaseCheck(presence); });
                         m_presenceWatcher = watcher.get();
                         return watcher;
                     } });
    m_role.root.add({ .name = "fabric", .make = [this](const FailureHandler& onFailure) {
                         return std::make_unique<Listener>(
                             m_role.context, m_role.settings.listen, LinkOptions { .silenceLimit = m_role.settings.linkSilence },
                             [this](std::shared_ptr<Link> link) { acceptFabricLink(std::move(link)); }, onFailure);
                     } });
    runPeriodicCheck();
}

void Balancer::handleConfig(const Config& current, const Config& previous)
{
    for (const DataCentreConfig& dataCentre : current.dataCentres) {
        if (dataCentre.out != previous.isOut(dataCentre.name))
            logEvent(dataCentre.out ? Event::DataCentreOut : Event::DataCentreBack, { { "dataCentre", dataCentre.name } });
    }
    m_members.setConfig(current);
    if (isOwnDataCentreOut())
        sendFabricGoodbye(wire::GoodbyeReason::DataCentreOut);
    pushConfigChange();
}

// Agents do not watch the platform for configuration. Without a push they would learn of a change with the next regular
// heartbeat, too late for a data centre that was taken out. A push from every balancer to every agent, with 700 balancers
// and 4,500 links each, would cost each balancer 4,500 heartbeats per change. Each agent therefore gets the push from about
// three of its balancers, of which two may fail at that moment.
void Balancer::pushConfigChange()
{
    for (const OwnerToken& token : m_members.tokens()) {
        const MemberTable::Entry* entry = m_members.find(token);
        if (entry->link && isSelectedToPush(m_id, token.upstream, entry->report.links, configPushCopies))
            entry->link->sendHeartbeat();
    }
}

void Balancer::handlePresence(const std::vector<Presence>& presences)
{
    m_hasPresences = true;
    logMemberChanges(presences);
    m_members.setPresences(presences);
    reconcileConnections();
}

// An agent with a live link is known to be alive, so its lease matters only while it has no link.
bool Balancer::needsLeaseCheck(const Presence& presence) const
{
    const auto* entry = m_members.find(presence.token);
    return !entry || !entry->link;
}

void Balancer::logMemberChanges(const std::vector<Presence>& presences) const
{
    std::unordered_set<OwnerToken> listed;
    for (const Presence& presence : presences) {
        listed.insert(presence.token);
        const auto* known = m_members.find(presence.token);
        if (!known)
            logEvent(Event::MemberJoined, { { "upstream", presence.upstream }, { "incarnation", presence.token.incarnation }, { "service", presence.service } });
        else if (known->presence.state != presence.state)
            logEvent(Event::MemberChanged, { { "upstream", presence.upstream }, { "state", nameOf(presence.state) } });
    }
    for (const OwnerToken& token : m_members.tokens()) {
        const auto* known = m_members.find(token);
        if (known->isAnnounced && !listed.contains(token))
            logEvent(Event::MemberLeft, { { "upstream", known->presence.upstream }, { "incarnation", token.incarnation } });
    }
}

void Balancer::reconcileConnections()
{
    if (!m_linkSupervisor)
        return;
    for (const OwnerToken& token : m_members.tokens()) {
        const MemberTable::Entry* entry = m_members.find(token);
        if (entry->isAnnounced && !m_linkSupervisor->contains(childName(token)))
            m_linkSupervisor->add(connectionSpec(entry->presence));
    }
}

ChildSpec Balancer::connectionSpec(const Presence& presence)
{
    return {
        .name = childName(presence.token),
        .make = [this, presence](FailureHandler onFailure) {
            return std::make_unique<AgentConnection>(
                m_role, presence, agentHandlers(presence.token), [this, presence] { m_members.setProcessEnded(presence.token); }, std::move(onFailure));
        },
    };
}

PeerLink::Handlers Balancer::agentHandlers(const OwnerToken& token)
{
    return {
        .onUp = [this, token](PeerLink& link) { m_members.addLink(token, link.shared_from_this()); },
        .onPacket = [this](PeerLink&, const wire::Packet& packet, std::span<const std::uint8_t> raw) { handleAgentPacket(packet, raw); },
        .onLoadReport = [this, token](PeerLink&, const LoadReport& report) { m_members.setReport(token, report); },
        .onGoodbye = [this, token](PeerLink&, wire::GoodbyeReason) { m_members.handleLinkGoodbye(token); },
        .onOtherFrame = [this](PeerLink&, const wire::Frame& frame, std::span<const std::uint8_t> raw) { handleAgentFrame(frame, raw); },
        .onClosed = [this, token](PeerLink&, LinkError reason) {
            m_closedLinks.increment(reason);
            m_members.removeLink(token);
            if (!m_members.find(token) && m_linkSupervisor)
                m_linkSupervisor->remove(childName(token)); },
        .heartbeatInterval = [this] { return currentHeartbeatInterval(); },
    };
}

void Balancer::acceptFabricLink(std::shared_ptr<Link> link)
{
    PeerLink::Handlers handlers {
        .onHello = [this](const PeerIdentity& peer) -> std::optional<wire::GoodbyeReason> {
            if (peer.role != wire::Role::Fabric)
                return wire::GoodbyeReason::NotExpected;
            if (m_isShuttingDown)
                return wire::GoodbyeReason::ShuttingDown;
            if (isOwnDataCentreOut())
                return wire::GoodbyeReason::DataCentreOut;
            if (!canRoute())
                return wire::GoodbyeReason::NotExpected;
            return std::nullopt;
        },
        .onUp = [this](PeerLink& peer) {
            logEvent(Event::LinkUp, { { "peer", peer.peer().name }, { "role", "fabric" } });
            m_fabricLinks.push_back(peer.shared_from_this()); },
        .onPacket = [this](PeerLink&, const wire::Packet& packet, std::span<const std::uint8_t> raw) { handleFabricPacket(packet, raw); },
        .onClosed = [this](PeerLink& peer, LinkError reason) {
            m_closedLinks.increment(reason);
            logEvent(Event::LinkLost, { { "peer", peer.peer().name }, { "reason", nameOf(reason) } });
            std::erase_if(m_fabricLinks, [&](const auto& fabric) { return fabric.get() == &peer; }); },
        .heartbeatInterval = [this] { return currentHeartbeatInterval(); },
    };
    auto peer = std::make_shared<PeerLink>(m_role.context, std::move(link), makeHello(m_role.settings, wire::Role::Balancer), m_role.config, std::move(handlers));
    peer->start();
}

void Balancer::handleFabricPacket(const wire::Packet& packet, std::span<const std::uint8_t> raw)
{
    if (mustDropPackets()) {
        m_routes.increment(PacketRoute::Dropped);
        return;
    }
    const OwnerToken token = tokenOf(packet);
    if (token.isSet())
        routeOwned(packet, raw, token);
    else if (packet.kind() == wire::PacketKind::Open && packet.hops() == 0)
        placeNewFlow(packet, raw);
    else
        routeByRanking(packet, raw);
}

void Balancer::routeOwned(const wire::Packet& packet, std::span<const std::uint8_t> raw, const OwnerToken& token)
{
    const RouteResult result = routeByToken(m_members.index(), m_members.allMembers(), token, packet.hops());
    if (result.action == RouteAction::ToMember)
        sendToMember(m_members.allMembers()[result.member].token, copyOf(raw), PacketRoute::ByToken);
    else if (result.action == RouteAction::AnyAgent)
        relayToAnyAgent(packet);
    else
        refusePacket(packet, result);
}

void Balancer::placeNewFlow(const wire::Packet& packet, std::span<const std::uint8_t> raw)
{
    const auto members = m_members.members(packet.service());
    m_placeOptions.loadReportInterval = currentHeartbeatInterval();
    const auto placement = placeFlow(packet.flow(), members, m_placeOptions);
    if (!placement) {
        const bool isKnown = m_role.config.current().findAddress(packet.service());
        sendReset(packet, isKnown ? RefusalReason::NoUpstream : RefusalReason::UnknownService);
        return;
    }
    const OwnerToken chosen = members[placement->member].token;
    sendToMember(chosen, copyOf(raw), placement->passedOver ? PacketRoute::PlacedSecondChoice : PacketRoute::Placed);
    m_members.countPlacedFlow(chosen);
}

void Balancer::routeByRanking(const wire::Packet& packet, std::span<const std::uint8_t> raw)
{
    const auto members = m_members.members(packet.service());
    std::vector<UpstreamId> visited;
    if (packet.visited())
        visited.assign(packet.visited()->begin(), packet.visited()->end());
    const UnownedPacket unowned {
        .flow = packet.flow(),
        .isOpen = packet.kind() == wire::PacketKind::Open,
        .hops = packet.hops(),
        .visited = visited,
    };
    const RouteResult result = routeUnowned(members, unowned, m_placeOptions);
    if (result.action == RouteAction::ToMember)
        sendToMember(members[result.member].token, copyOf(raw), PacketRoute::Walked);
    else
        refusePacket(packet, result);
}

void Balancer::refusePacket(const wire::Packet& packet, const RouteResult& result)
{
    if (result.action == RouteAction::ResetFlow)
        sendReset(packet, result.reason);
    else
        m_routes.increment(PacketRoute::Dropped);
}

// An owner that this balancer does not know yet may have links to other balancers. Any agent can pass the packet on to one
// of them; dropping it here would break the flow until this balancer's member list is up to date.
void Balancer::relayToAnyAgent(const wire::Packet& packet)
{
    const auto link = m_members.anyLink(packet.flow() + packet.hops());
    if (!link) {
        m_routes.increment(PacketRoute::Dropped);
        return;
    }
    std::unique_ptr<wire::PacketT> relayed(packet.UnPack());
    ++relayed->hops;
    relayed->bounced = false;
    if (link->sendPacket(encodeFrameOf(std::move(*relayed))))
        m_routes.increment(PacketRoute::Relayed);
    else
        m_routes.increment(PacketRoute::Dropped);
}

void Balancer::handleAgentPacket(const wire::Packet& packet, std::span<const std::uint8_t> raw)
{
    if (packet.bounced())
        handleFabricPacket(packet, raw);
    else
        sendToCaller(copyOf(raw), PacketRoute::ToCaller);
}

void Balancer::handleAgentFrame(const wire::Frame& frame, std::span<const std::uint8_t> raw)
{
    if (const auto* query = frame.body_as_LedgerQuery()) {
        const auto* holder = m_members.find({ query->holder_upstream(), query->holder_incarnation() });
        if (holder && holder->link && !m_role.config.current().isOut(holder->presence.dataCentre))
            holder->link->send(copyOf(raw));
    } else if (const auto* answer = frame.body_as_LedgerAnswer()) {
        const auto* asker = m_members.find({ answer->asker_upstream(), answer->asker_incarnation() });
        if (asker && asker->link)
            asker->link->send(copyOf(raw));
    }
}

void Balancer::sendToMember(const OwnerToken& token, Bytes frame, PacketRoute route)
{
    const auto* entry = m_members.find(token);
    const bool isSent = entry && entry->link && entry->link->sendPacket(std::move(frame));
    m_routes.increment(isSent ? route : PacketRoute::Dropped);
}

void Balancer::sendToCaller(Bytes frame, PacketRoute route)
{
    const auto fabric = std::find_if(m_fabricLinks.begin(), m_fabricLinks.end(), [](const auto& link) { return link->isUsable(); });
    const bool isSent = fabric != m_fabricLinks.end() && (*fabric)->sendPacket(std::move(frame));
    m_routes.increment(isSent ? route : PacketRoute::Dropped);
}

void Balancer::sendReset(const wire::Packet& packet, RefusalReason reason)
{
    if (!isResettable(packet))
        return;
    m_resets.increment(reason);
    sendToCaller(encodeFrameOf(makeReset(packet, reason, noUpstreamRetryAfter)), PacketRoute::ResetSent);
}

// If only packets were recorded as a sign that the process runs, the first packet after an idle second would look like the
// end of a pause.
void Balancer::runPeriodicCheck()
{
    recordRun(m_pauseDetector, {}, m_role.clock.now());
    if (m_presenceWatcher)
        m_outageLog.update(m_presenceWatcher->lastError());
    m_periodicTimer.expires_after(std::chrono::milliseconds(periodicCheckInterval));
    m_periodicTimer.async_wait([this](asio::error_code error) {
        if (!error)
            runPeriodicCheck();
    });
}

bool Balancer::mustDropPackets()
{
    const Millis now = m_role.clock.now();
    recordRun(m_pauseDetector, {}, now);
    return isDroppingPackets(m_pauseDetector, now);
}

bool Balancer::isOwnDataCentreOut() const
{
    return m_role.config.current().isOut(m_role.settings.dataCentre);
}

void Balancer::sendFabricGoodbye(wire::GoodbyeReason reason)
{
    for (const auto& fabric : m_fabricLinks)
        fabric->goodbye(reason, false);
}

void Balancer::shutDown(std::function<void()> done)
{
    m_isShuttingDown = true;
    sendFabricGoodbye(wire::GoodbyeReason::ShuttingDown);
    m_shutdownTimer.expires_after(std::chrono::milliseconds(shutdownGrace));
    m_shutdownTimer.async_wait([this, done = std::move(done)](asio::error_code error) {
        if (!error)
            finishShutdown(done);
    });
}

void Balancer::finishShutdown(std::function<void()> done)
{
    for (const OwnerToken& token : m_members.tokens()) {
        if (const auto link = m_members.find(token)->link)
            link->goodbye(wire::GoodbyeReason::ShuttingDown, false);
    }
    m_shutdownTimer.expires_after(std::chrono::milliseconds(shutdownGrace / 2));
    m_shutdownTimer.async_wait([done = std::move(done)](asio::error_code error) {
        if (!error)
            done();
    });
}

// A balancer that starts while the platform is down knows no service and no agent. If it joined, the fabric would send it a
// share of all packets, which would be lost, and flows would be reset for an unknown service. The fabric retries soon, and
// the other balancers handle all packets until then.
bool Balancer::canRoute() const
{
    return m_role.config.version() != 0 && m_hasPresences;
}

Millis Balancer::currentHeartbeatInterval() const
{
    return heartbeatInterval(m_members.linkedCount() + m_fabricLinks.size(), { .baseInterval = m_role.settings.heartbeat });
}

std::string Balancer::statusFields() const
{
    nlohmann::json members = nlohmann::json::array();
    for (const OwnerToken& token : m_members.tokens()) {
        const auto* entry = m_members.find(token);
        members.push_back({
            { "upstream", entry->presence.upstream },
            { "incarnation", token.incarnation },
            { "service", entry->presence.service },
            { "dataCentre", entry->presence.dataCentre },
            { "announced", entry->isAnnounced },
            { "linked", entry->link != nullptr },
            { "state", nameOf(entry->report.state) },
            { "openFlows", entry->report.openFlows },
            { "busy", entry->report.busy },
            { "limit", entry->report.limit },
        });
    }
    nlohmann::json status {
        { "members", members },
        { "fabrics", m_fabricLinks.size() },
        { "leaving", m_isShuttingDown },
        { "platformTrouble", nameOf(m_outageLog.current()) },
        { "dataCentreOut", isOwnDataCentreOut() },
    };
    const std::string text = status.dump();
    return text.substr(1, text.size() - 2);
}

void Balancer::exposeMetrics(std::string& out) const
{
    exposeCounters(out, "kingcuptrail_packets_routed_total", "Packets by the way they were routed.", m_routes);
    exposeCounters(out, "kingcuptrail_flow_resets_total", "Flows reset by this balancer, by reason.", m_resets);
    exposeCounters(out, "kingcuptrail_links_closed_total", "Links that ended, by reason.", m_closedLinks);
    exposeGauge(out, "kingcuptrail_members_linked", "Upstreams whose link is up.", static_cast<double>(m_members.linkedCount()));
}

}
