#include "agent.h"

#include "kingcuptraild/hello.h"
#include "kingcuptraild/listener.h"
#include "kingcuptraild/watchers.h"
#include "libdecision/pacing.h"
#include "libruntime/events.h"
#include "upstreamprobe.h"
#include "upstreamrestartdetector.h"

#include <nlohmann/json.hpp>

namespace kingcuptrail {

namespace {

    /// Interval at which due segments are sent, in milliseconds; half of the shortest resend delay.
    constexpr Millis tickInterval = 20;
    constexpr Millis sweepInterval = 500;

    /// How long an agent that shuts down waits for the platform to remove its announcement, in milliseconds. Balancers know
    /// of the shutdown by then, so an outage of the platform need not delay the host.
    constexpr Millis withdrawTimeout = 1500;

}

/// Runs the announcer as a child of the root supervisor.
class Agent::SupervisedAnnouncer : public Supervised {
public:
    SupervisedAnnouncer(Agent& agent)
        : m_agent(agent)
        , m_announcer(agent.m_role.context, agent.m_role.platform, agent.makePresence(),
              { .onAnnounced = [&agent](const Presence& presence) { agent.handleAnnounced(presence); },
                  .onFenced = [&agent](const OwnerToken& newer) { agent.handleFenced(newer); } })
    {
        m_agent.m_announcer = this;
    }

    ~SupervisedAnnouncer() override { m_agent.m_announcer = nullptr; }

    Announcer& announcer() { return m_announcer; }

private:
    Agent& m_agent;
    Announcer m_announcer;
};

Agent::Agent(const RoleContext& role)
    : m_role(role)
    , m_flows(role.clock, { .flowSilence = role.settings.agent.flowSilence },
          { .onMessage = [this](FlowId flow, const wire::Message& message) { return m_requests.handleMessage(flow, message); },
              .onWritable = [this](FlowId flow) { m_requests.handleFlowWritable(flow); },
              .onEnded = [this](FlowId flow) { m_requests.handleFlowEnded(flow); },
              .mustDropPackets = [this] { return mustDropPackets(); },
              .hasRequests = [this](FlowId flow) { return m_requests.hasRequests(flow); } })
    , m_requests(role.context, role.clock, { .upstream = role.settings.agent.upstream, .service = role.settings.agent.service },
          { .send = [this](FlowId flow, Bytes message) { return m_flows.send(flow, std::move(message)); },
              .onConnectAttempt = [this](bool isConnected) { handleConnectAttempt(isConnected); },
              .sendLedgerQuery = [this](std::uint64_t query, const OwnerToken& holder, const std::string& key) { sendLedgerQuery(query, holder, key); } })
    , m_listenEndpoint(role.settings.listen)
    , m_tickTimer(role.context)
    , m_sweepTimer(role.context)
    , m_drainOptions { .idleBeforeClose = role.settings.agent.drainIdle, .limit = role.settings.agent.drainLimit }
{
    m_role.config.addListener([this](const Config& current, const Config& previous) { handleConfig(current, previous); });
    m_role.root.add({ .name = "config", .make = [this](const FailureHandler&) { return std::make_unique<SupervisedConfigWatcher>(m_role, SupervisedConfigWatcher::Mode::Once); } });
    m_role.root.add({ .name = "balancers", .make = [this](const FailureHandler& onFailure) {
                         auto listener = std::make_unique<Listener>(
                             m_role.context, m_listenEndpoint, LinkOptions { .silenceLimit = m_role.settings.linkSilence },
                             [this](std::shared_ptr<Link> link) { acceptBalancer(std::move(link)); }, onFailure);
                         // A restarted listener must bind the announced port again.
                         m_listenEndpoint.port(listener->port().value_or(m_listenEndpoint.port()));
                         return listener;
                     } });
    m_role.root.add({ .name = "announcer", .make = [this](const FailureHandler&) { return std::make_unique<SupervisedAnnouncer>(*this); } });
    m_role.root.add({ .name = "probe", .make = [this](const FailureHandler&) {
                         return std::make_unique<UpstreamProbe>(m_role,
                             UpstreamProbe::Handlers { .onHint = [this](const UpstreamHint& hint) { m_requests.applyHint(hint); },
                                 .onConnectAttempt = [this](bool isConnected) { handleConnectAttempt(isConnected); } });
                     } });
    m_role.root.add({ .name = "watch", .make = [this](const FailureHandler&) {
                         return std::make_unique<UpstreamRestartDetector>(m_role,
                             UpstreamRestartDetector::Handlers { .onConnectAttempt = [this](bool isConnected) { handleConnectAttempt(isConnected); },
                                 .onRestart = [this] { restartWarmUp(HttpError::ConnectionLost); } });
                     } });
    startTimers();
}

Agent::~Agent() = default;

void Agent::handleConfig(const Config& current, const Config& previous)
{
    const ServiceConfig* service = current.findService(m_role.settings.agent.service);
    m_flows.setService(service ? service->address : 0);
    if (service) {
        m_flows.setFlowLimit(service->flowLimit);
        m_requests.setAdmission({ .slots = service->slots, .queueLimit = service->queueLimit, .warmUp = service->warmUp });
    }
    const bool wasOut = previous.isOut(m_role.settings.dataCentre);
    const bool isOut = current.isOut(m_role.settings.dataCentre);
    if (wasOut != isOut)
        logEvent(isOut ? Event::DataCentreOut : Event::DataCentreBack, { { "dataCentre", m_role.settings.dataCentre } });
    if (isOut)
        m_returnVersion = 0;
    else if (wasOut)
        m_returnVersion = current.version;
    if (isOut)
        m_isOut = true;
    m_flows.setDataCentreOut(m_isOut);
    tryReturnToService();
    applyState();
    sendHeartbeats();
}

void Agent::tryReturnToService()
{
    if (m_returnVersion == 0)
        return;
    std::vector<ConfigVersion> versions;
    for (const auto& link : m_flows.links())
        versions.push_back(link->peerConfigVersion());
    if (!mayAcceptFlowsAfterReturn(m_returnVersion, versions))
        return;
    m_returnVersion = 0;
    m_isOut = false;
    m_flows.setDataCentreOut(false);
    // The upstream got no requests while the data centre was out, so its caches and connection pools are cold.
    m_requests.restartWarmUp();
    applyState();
}

// After a pause of this process, messages that it has not read yet are newer than the requests that wait for a slot: the
// data centre may have been taken out. These requests have also waited longer than a queue should make them, so they are
// refused and their callers retry elsewhere. The upstream may have been restarted during the pause without being noticed, so
// it is treated as cold.
bool Agent::mustDropPackets()
{
    const Millis now = m_role.clock.now();
    const Millis previousDropUntil = m_pauseDetector.dropUntil;
    recordRun(m_pauseDetector, {}, now);
    if (m_pauseDetector.dropUntil != previousDropUntil) {
        m_requests.refuseWaiting(RefusalReason::ExpectedWaitTooLong);
        m_requests.restartWarmUp();
    }
    return isDroppingPackets(m_pauseDetector, now);
}

void Agent::handleAnnounced(const Presence& presence)
{
    m_token = presence.token;
    m_flows.setOwnToken(m_token);
    m_requests.setOwnToken(m_token);
    logEvent(Event::Announced, { { "upstream", presence.upstream }, { "incarnation", m_token.incarnation } });
}

// A process that was paused for longer than its lease may resume while its successor runs. Both would accept new work for
// one upstream and give it twice the load that it can handle. The larger incarnation therefore wins, and this process only
// finishes the work it has.
void Agent::handleFenced(const OwnerToken& newer)
{
    logEvent(Event::Fenced, { { "incarnation", m_token.incarnation }, { "newer", newer.incarnation } });
    m_isFenced = true;
    applyState();
    sendHeartbeats();
}

void Agent::restartWarmUp(HttpError cause)
{
    m_requests.restartWarmUp();
    logEvent(Event::UpstreamCold, { { "limit", currentLimit(m_requests.admission()) }, { "outcome", nameOf(cause) } });
}

void Agent::handleConnectAttempt(bool isConnected)
{
    if (indicatesReplacement(m_reachability, isConnected))
        restartWarmUp(isConnected ? HttpError::None : HttpError::ConnectFailed);
    if (!recordConnectAttempt(m_reachability, {}, isConnected))
        return;
    logEvent(m_reachability.isReachable ? Event::UpstreamReachable : Event::UpstreamUnreachable);
    applyState();
    sendHeartbeats();
}

void Agent::applyState()
{
    m_flows.setDraining(isDrainingOrFenced());
    if (m_isOut)
        m_requests.setRefuseNew(RefusalReason::DataCentreOut);
    else if (m_isFenced || (m_isDraining && refusesNewWork(m_drainProgress, m_drainOptions, m_role.clock.now())))
        m_requests.setRefuseNew(RefusalReason::UpstreamDraining);
    else
        m_requests.setRefuseNew(m_reachability.isReachable ? RefusalReason::None : RefusalReason::UpstreamUnreachable);
}

void Agent::acceptBalancer(std::shared_ptr<Link> link)
{
    PeerLink::Handlers handlers {
        .onHello = [this](const PeerIdentity& peer) -> std::optional<wire::GoodbyeReason> {
            if (peer.role != wire::Role::Balancer || !m_token.isSet())
                return wire::GoodbyeReason::NotExpected;
            return std::nullopt;
        },
        .onUp = [this](PeerLink& peer) {
            logEvent(Event::LinkUp, { { "peer", peer.peer().name } });
            m_flows.addLink(peer.shared_from_this()); },
        .onPacket = [this](PeerLink& peer, const wire::Packet& packet, std::span<const std::uint8_t>) { m_flows.handlePacket(peer.shared_from_this(), packet); },
        .onLoadReport = [this](PeerLink&, const LoadReport&) { tryReturnToService(); },
        .onGoodbye = [](PeerLink& peer, wire::GoodbyeReason) { logEvent(Event::PeerLeaving, { { "peer", peer.peer().name } }); },
        .onOtherFrame = [this](PeerLink& peer, const wire::Frame& frame, std::span<const std::uint8_t>) { handleFrame(peer, frame); },
        .onClosed = [this](PeerLink& peer, LinkError reason) {
            m_closedLinks.increment(reason);
            logEvent(Event::LinkLost, { { "peer", peer.peer().name }, { "reason", nameOf(reason) } });
            m_flows.removeLink(peer); },
        .reportLoad = [this] { return loadReport(); },
        .heartbeatInterval = [this] { return heartbeatInterval(m_flows.linkCount(), { .baseInterval = m_role.settings.heartbeat }); },
    };
    wire::HelloT hello = makeHello(m_role.settings, wire::Role::Agent);
    hello.upstream = m_token.upstream;
    hello.incarnation = m_token.incarnation;
    hello.service = m_role.settings.agent.service;
    std::make_shared<PeerLink>(m_role.context, std::move(link), std::move(hello), m_role.config, std::move(handlers))->start();
}

void Agent::handleFrame(PeerLink& from, const wire::Frame& frame)
{
    if (const auto* query = frame.body_as_LedgerQuery())
        handleLedgerQuery(from, *query);
    else if (const auto* answer = frame.body_as_LedgerAnswer())
        m_requests.handleLedgerAnswer(answer->query(), readLedgerAnswer(*answer));
}

void Agent::handleLedgerQuery(PeerLink& from, const wire::LedgerQuery& query)
{
    const bool isHolder = query.holder_upstream() == m_token.upstream && query.holder_incarnation() == m_token.incarnation;
    if (!isHolder || !query.key())
        return;
    wire::LedgerAnswerT answer = makeLedgerAnswer(m_requests.answerLedgerQuery(query.key()->str()));
    answer.query = query.query();
    answer.asker_upstream = query.asker_upstream();
    answer.asker_incarnation = query.asker_incarnation();
    from.send(encodeFrameOf(std::move(answer)));
}

void Agent::sendLedgerQuery(std::uint64_t query, const OwnerToken& holder, const std::string& key)
{
    wire::LedgerQueryT ledgerQuery;
    ledgerQuery.query = query;
    ledgerQuery.key = key;
    ledgerQuery.asker_upstream = m_token.upstream;
    ledgerQuery.asker_incarnation = m_token.incarnation;
    ledgerQuery.holder_upstream = holder.upstream;
    ledgerQuery.holder_incarnation = holder.incarnation;
    m_flows.sendOverAnyLink(encodeFrameOf(std::move(ledgerQuery)));
}

void Agent::sendHeartbeats()
{
    for (const auto& link : m_flows.links())
        link->sendHeartbeat();
}

void Agent::startTimers()
{
    tick();
    sweep();
}

void Agent::tick()
{
    // Detects a pause of this process also while no packets arrive.
    mustDropPackets();
    m_flows.tick();
    m_requests.tick();
    m_tickTimer.expires_after(std::chrono::milliseconds(tickInterval));
    m_tickTimer.async_wait([this](asio::error_code error) {
        if (!error)
            tick();
    });
}

void Agent::sweep()
{
    m_flows.sweep();
    if (m_announcer)
        m_outageLog.update(m_announcer->announcer().lastError());
    tryReturnToService();
    if (m_isDraining)
        drain();
    m_sweepTimer.expires_after(std::chrono::milliseconds(sweepInterval));
    m_sweepTimer.async_wait([this](asio::error_code error) {
        if (!error)
            sweep();
    });
}

void Agent::shutDown(std::function<void()> done)
{
    m_onDrained = std::move(done);
    m_isDraining = true;
    m_drainProgress = { .startedAt = m_role.clock.now(), .announced = true, .announcedAt = m_role.clock.now() };
    applyState();
    // Linked balancers learn of the drain at once from a heartbeat; the state in the platform is for balancers without a link.
    sendHeartbeats();
    if (m_announcer)
        m_announcer->announcer().setState(MemberState::Draining);
}

void Agent::drain()
{
    applyState();
    const DrainStep step = m_flows.drainStep(m_drainProgress, m_drainOptions);
    if (step == DrainStep::Wait || !m_onDrained)
        return;
    if (step == DrainStep::LimitReached)
        m_flows.closeAll(RefusalReason::UpstreamDraining);
    finishDrain();
}

void Agent::finishDrain()
{
    auto done = std::move(m_onDrained);
    m_onDrained = nullptr;
    if (m_announcer)
        m_announcer->announcer().withdraw(withdrawTimeout, std::move(done));
    else
        done();
}

Presence Agent::makePresence() const
{
    const AgentSettings& agent = m_role.settings.agent;
    const asio::ip::tcp::endpoint announcedEndpoint = agent.announce.value_or(m_listenEndpoint);
    return {
        .upstream = agent.upstreamName,
        .token = { upstreamIdOf(agent.upstreamName), 0 },
        .service = agent.service,
        .dataCentre = m_role.settings.dataCentre,
        .address = announcedEndpoint.address().to_string() + ":" + std::to_string(announcedEndpoint.port()),
        .state = isDrainingOrFenced() ? MemberState::Draining : MemberState::Serving,
        .lease = agent.lease,
    };
}

LoadReport Agent::loadReport() const
{
    return {
        .openFlows = static_cast<std::uint32_t>(m_flows.flowCount()),
        .busy = busy(m_requests.admission()),
        .queued = queued(m_requests.admission()),
        .limit = currentLimit(m_requests.admission()),
        .links = static_cast<std::uint32_t>(m_flows.linkCount()),
        .state = state(),
    };
}

// Balancers place no new flows on an agent that reports Draining, so an agent whose upstream is unreachable reports it too.
MemberState Agent::state() const
{
    return isDrainingOrFenced() || !m_reachability.isReachable ? MemberState::Draining : MemberState::Serving;
}

std::string Agent::statusFields() const
{
    const LoadReport load = loadReport();
    const nlohmann::json status {
        { "upstream", m_role.settings.agent.upstreamName },
        { "incarnation", m_token.incarnation },
        { "service", m_role.settings.agent.service },
        { "state", nameOf(load.state) },
        { "fenced", m_isFenced },
        { "platformTrouble", nameOf(m_outageLog.current()) },
        { "upstreamReachable", m_reachability.isReachable },
        { "dataCentreOut", m_isOut },
        { "links", m_flows.linkCount() },
        { "openFlows", load.openFlows },
        { "busy", load.busy },
        { "queued", load.queued },
        { "limit", load.limit },
        { "cold", isCold(m_requests.admission()) },
        { "requests", m_requests.requestCount() },
        { "ledger", m_requests.ledgerSize() },
    };
    const std::string text = status.dump();
    return text.substr(1, text.size() - 2);
}

void Agent::exposeMetrics(std::string& out) const
{
    m_flows.exposeMetrics(out);
    m_requests.exposeMetrics(out);
    exposeCounters(out, "kingcuptrail_links_closed_total", "Links that ended, by reason.", m_closedLinks);
}

}
