#include "packetagent.h"

#include "httpendpoint.h"
#include "libruntime/events.h"

#include <algorithm>
#include <cmath>
#include <nlohmann/json.hpp>

namespace kingcuptrail {

namespace {

    constexpr Millis turnInterval = 100;
    /// Shortest time between two Load messages to balancers, in milliseconds; they are sent only when the load has changed. It
    /// is shorter while openings wait here, so that balancers soon offer openings to others with room.
    constexpr Millis loadInterval = 1000;
    constexpr Millis fullLoadInterval = 200;
    /// Weight of the newest sample in the smoothed load. One sample is taken in each tick.
    constexpr float smoothing = 0.2F;
    /// The smallest change of the smoothed load that is sent to balancers.
    constexpr float loadStep = 0.1F;
    /// Balancers that have sent nothing for longer get no Load messages, in milliseconds.
    constexpr Millis balancerIdleLimit = 2000;
    /// How long this process may receive no gossip before it follows the store itself, in milliseconds: after its start,
    /// and after the last gossip.
    constexpr Millis startPatience = 400;
    constexpr Millis newsPatience = 3000;
    /// How long an agent that shuts down keeps carrying open flows, in milliseconds.
    constexpr Millis leaveTime = 400;
    constexpr Millis leaveMargin = 1000;
    /// How long an agent that shuts down keeps checking whether it has an upstream, in milliseconds: the time of the first
    /// refused connections and a few ticks.
    constexpr Millis leaveLearningTime = 600;
    /// How long before an address may be reused by another upstream the agent stops sending to it, in milliseconds. A packet
    /// is delivered within a few milliseconds.
    constexpr Millis reuseMargin = 100;

    HttpResponse jsonReply(int status, std::string body)
    {
        return { .status = status, .headers = { { "Content-Type", "application/json" } }, .body = std::move(body) };
    }

}

PacketAgent::PacketAgent(const RoleContext& role, const DeploymentAdapter& adapter)
    : m_state(role, adapter)
    , m_admission(m_state)
    , m_neighbours(m_state)
    , m_learning(m_state)
    , m_announcement(role.context, role.platform)
    , m_former { .startedAtWall = unixMillis() }
    , m_contact(role.context)
    , m_turnTimer(role.context)
    , m_leaveTimer(role.context)
{
    m_state.gate.options.reportLimit = role.settings.packets.addressReuse - reuseMargin;
    m_state.flows.completeAt = m_state.startedAt + m_state.flows.options.idleLimit;
    const bool hasPeers = m_state.network.start({
        .onFlowMessage = [this](const PeerMessage& message, std::uint32_t sender) { handleFlowMessage(message, sender); },
        .onOutages = [this](const std::vector<std::string>& returned) { handleOutages(returned); },
    });
    const auto& outbound = role.settings.packets.outbound;
    DatagramError error = DatagramError::None;
    m_outbound = DatagramSocket::open(
        role.context, { outbound.address(), outbound.port() }, [this](std::span<std::uint8_t> packet, const asio::ip::udp::endpoint&) { handleUpstreamDatagram(packet); }, error);
    m_isStarted = hasPeers && m_outbound;
    if (!m_isStarted) {
        logEvent(Event::ChildGaveUp, { { "child", hasPeers ? "outbound" : "peers" }, { "reason", nameOf(ChildFailure::BindFailed) } });
        return;
    }
    role.root.add({ .name = "control", .make = [this](const FailureHandler& onFailure) {
                       return std::make_unique<HttpEndpoint>(
                           m_state.role.context, m_state.role.settings.packets.control, [this](const HttpRequest& request) { return handleUpstreamCall(request); }, onFailure);
                   } });
    role.root.add({ .name = "ready", .make = [this](const FailureHandler& onFailure) {
                       return std::make_unique<HttpEndpoint>(
                           m_state.role.context, m_state.role.settings.packets.ready, [this](const HttpRequest&) { return HttpResponse { .status = isServingNow() ? 200 : 503 }; }, onFailure);
                   } });
    m_announcement.setOnFound([this](const PeerEntry& found) {
        m_state.network.takeEntry(found);
        m_state.self = m_state.network.self();
    });
    turn();
}

bool PacketAgent::isServingNow() const
{
    return !m_state.gate.isLeaving && isServing(m_state.gate, m_state.role.clock.now());
}

void PacketAgent::handleFlowMessage(const PeerMessage& message, std::uint32_t sender)
{
    const bool isFromNeighbour = message.kind == wire::PeerKind::Held || message.kind == wire::PeerKind::NotHeld || message.kind == wire::PeerKind::Unsure;
    if (isFromNeighbour) {
        m_neighbours.handleAnswer(message, sender);
        return;
    }
    if (message.kind == wire::PeerKind::Find) {
        handleFind(message, sender);
        return;
    }
    // A probe may come from a neighbour, which needs no Load messages, so its sender is not recorded as a balancer.
    if (message.kind == wire::PeerKind::Probe) {
        handleForward(message, sender);
        return;
    }
    m_heardFrom[sender] = m_state.role.clock.now();
    switch (message.kind) {
    case wire::PeerKind::Open:
        m_admission.open(message, sender);
        break;
    case wire::PeerKind::Forward:
        handleForward(message, sender);
        break;
    case wire::PeerKind::FindNear:
        m_neighbours.begin(message, sender);
        break;
    case wire::PeerKind::Ping:
        reply(m_state, sender, { .kind = wire::PeerKind::Load });
        break;
    default:
        break;
    }
}

void PacketAgent::handleForward(const PeerMessage& message, std::uint32_t sender)
{
    DecodeError error = DecodeError::None;
    const auto head = m_state.adapter.decodePacket(message.packet, error);
    if (!head || flowFromCaller(*head) != message.flow) {
        m_state.fates.increment(head ? AgentPacketFate::Forged : AgentPacketFate::Malformed);
        return;
    }
    const Millis now = m_state.role.clock.now();
    const std::uint32_t index = indexOf(m_state, sender);
    const std::uint64_t requestsBefore = m_state.flows.requests;
    const CallerPacketAction action = trackCallerPacket(m_state.flows, message.flow, *head, now);
    if (m_state.flows.requests != requestsBefore)
        recordRequest(m_state.health, now);
    const bool isProbe = message.kind == wire::PeerKind::Probe;
    switch (action) {
    case CallerPacketAction::Deliver:
        m_state.fates.increment(AgentPacketFate::Delivered);
        deliver(m_state, message.packet, index);
        break;
    case CallerPacketAction::DeliverToLearn:
        m_state.fates.increment(AgentPacketFate::DeliveredToLearn);
        m_learning.ask(message.flow, { .asker = sender, .since = now, .isProbe = isProbe, .acknowledged = head->acknowledged });
        deliver(m_state, message.packet, index);
        break;
    case CallerPacketAction::NotHeld:
        m_state.fates.increment(AgentPacketFate::HandedBack);
        break;
    }
    // The sender of a Probe has kept the packet and gets only the answer; the sender of a Forward gets the packet back.
    if (const auto answer = answerToProbe(action); isProbe && answer)
        reply(m_state, sender, { .kind = peerKindOf(*answer), .flow = message.flow });
    else if (!isProbe && action == CallerPacketAction::NotHeld)
        reply(m_state, sender, { .kind = wire::PeerKind::NotHeld, .flow = message.flow, .packet = message.packet });
}

void PacketAgent::handleFind(const PeerMessage& message, std::uint32_t sender)
{
    const HolderAnswer answer = answerHolderQuery(m_state.flows, message.flow, message.acknowledged, m_state.role.clock.now());
    reply(m_state, sender, { .kind = peerKindOf(answer), .flow = message.flow });
}

void PacketAgent::handleUpstreamDatagram(std::span<std::uint8_t> packet)
{
    DecodeError error = DecodeError::None;
    const auto head = m_state.adapter.decodePacket(packet, error);
    if (!head) {
        m_state.fates.increment(AgentPacketFate::Malformed);
        return;
    }
    if (head->flags.isReturned) {
        handleReturned(flowFromCaller(*head), packet, *head);
        return;
    }
    const FlowKey flow = flowFromUpstream(*head);
    const Millis now = m_state.role.clock.now();
    const UpstreamPacketEffect news = trackUpstreamPacket(m_state.flows, flow, *head, now);
    noteHealth(news, now);
    if (const auto question = m_learning.take(flow)) {
        const bool isHeld = !head->flags.resets;
        reply(m_state, question->asker, { .kind = isHeld ? wire::PeerKind::Held : wire::PeerKind::NotHeld, .flow = flow });
    }
    if (news.isLearnt)
        logFlowEvent(Event::FlowLearnt, flow, { { "open", m_state.flows.open } });
    m_state.fates.increment(AgentPacketFate::ToCaller);
    m_state.network.sendPacket(packet, { asio::ip::address_v4(flow.caller.address), m_state.role.settings.packets.ingress.port() });
    m_admission.admitWaiting();
}

void PacketAgent::noteHealth(const UpstreamPacketEffect& news, Millis now)
{
    if (news.isRequestAnswered) {
        if (m_state.health.isFailing)
            logEvent(Event::UpstreamAnswersAgain, { { "after", static_cast<std::uint64_t>(now - m_state.health.failedAt) }, { "brokenOff", m_state.health.failures } });
        recordAnswered(m_state.health);
    } else if (news.isRequestAborted && recordAborted(m_state.health, now)) {
        logEvent(Event::UpstreamFailing, { { "reason", "brokenOff" }, { "unanswered", m_state.health.unanswered }, { "brokenOff", m_state.health.failures }, { "atWork", m_state.flows.atWork }, { "reportAge", static_cast<std::uint64_t>(now - m_state.gate.reportedAt) } });
    }
}

// Checks for requests that the upstream has left unanswered for too long.
void PacketAgent::reviewHealth(Millis now)
{
    if (!m_state.gate.upstream || m_state.health.unanswered == 0)
        return;
    const Millis target = maxLatencyTarget(m_state.network.routes(), m_state.gate.upstream->service);
    if (target > 0 && detectHang(m_state.health, target, now))
        logEvent(Event::UpstreamFailing, { { "reason", "noAnswer" }, { "unanswered", m_state.health.unanswered }, { "brokenOff", m_state.health.failures }, { "atWork", m_state.flows.atWork }, { "reportAge", static_cast<std::uint64_t>(now - m_state.gate.reportedAt) } });
}

// The upstream has returned a packet because it does not hold the flow or cannot accept it. This overrides the agent's own
// flow table.
void PacketAgent::handleReturned(const FlowKey& flow, std::span<std::uint8_t> packet, const PacketHeader& head)
{
    m_state.fates.increment(AgentPacketFate::Returned);
    forgetFlow(m_state.flows, flow);
    const auto question = m_learning.take(flow);
    const bool isProbe = question && question->isProbe;
    if (head.mark == 0 || head.mark > m_state.senders.size())
        return;
    const std::uint32_t sender = m_state.senders[head.mark - 1];
    m_state.adapter.clearMarks(packet);
    if (isOpening(head)) {
        m_state.refusals.increment(OpeningRefusal::Returned);
        logFlowEvent(Event::OpeningRefused, flow, { { "reason", nameOf(OpeningRefusal::Returned) }, { "atWork", m_state.flows.atWork }, { "open", m_state.flows.open } });
        reply(m_state, sender, { .kind = wire::PeerKind::Refused, .flow = flow, .refusal = OpeningRefusal::Returned, .packet = packet });
    } else {
        const std::span<const std::uint8_t> returned = isProbe ? std::span<const std::uint8_t>() : packet;
        reply(m_state, sender, { .kind = wire::PeerKind::NotHeld, .flow = flow, .packet = returned });
    }
}

HttpResponse PacketAgent::handleUpstreamCall(const HttpRequest& request)
{
    const UpstreamCall call = m_state.adapter.readUpstreamCall(request);
    switch (call.kind) {
    case UpstreamCall::Kind::Report:
        if (!call.report) {
            m_badCalls.increment(call.error);
            logEvent(Event::ForeignReport, { { "reason", nameOf(call.error) }, { "id", call.id } });
            return jsonReply(400, "{}");
        }
        handleReport(*call.report);
        return jsonReply(200, "{}");
    case UpstreamCall::Kind::Farewell:
        if (applyShutdownNotice(m_state.gate, call.id)) {
            logEvent(Event::UpstreamLeft, { { "upstream", call.id } });
            recordShutdown(m_former);
            m_state.flows.isComplete = knowsEveryFlow(m_former);
            announceState();
        }
        return jsonReply(200, "{}");
    case UpstreamCall::Kind::Unknown:
        break;
    }
    return jsonReply(404, "{}");
}

void PacketAgent::handleReport(const UpstreamReport& report)
{
    const Millis now = m_state.role.clock.now();
    const ReportEffect news = applyReport(m_state.gate, report, now);
    m_reports.increment(news);
    if (news == ReportEffect::Changed || news == ReportEffect::NewProcess)
        logEvent(Event::UpstreamReported, { { "upstream", report.id }, { "news", nameOf(news) }, { "service", report.service }, { "draining", report.isDraining ? "yes" : "no" }, { "born", report.born }, { "sequence", report.sequence }, { "coldLeft", static_cast<std::uint64_t>(report.coldLeft) } });
    if (news != ReportEffect::Stale)
        recordReport(m_former, report, news == ReportEffect::NewProcess);
    if (news == ReportEffect::NewProcess)
        resetLostFlows();
    m_state.flows.isComplete = knowsEveryFlow(m_former);
    announceState();
}

// Checks whether an upstream is running. Once it is known that there is none, this agent holds no flows and can deny every
// flow for certain.
void PacketAgent::lookForUpstream(Millis now)
{
    if (m_former.isGone && !m_former.hasReport)
        withdrawFormerEntry();
    if (recordListening(m_former, now)) {
        m_state.flows.isComplete = knowsEveryFlow(m_former);
        if (!m_former.hasReport)
            m_announcement.find(m_state.role.settings.name);
        logEvent(Event::UpstreamMissing, { { "refusals", m_former.refusals }, { "silence", static_cast<std::uint64_t>(m_former.silence) } });
        return;
    }
    if (!shouldConnect(m_former))
        return;
    const auto& upstream = m_state.role.settings.packets.upstream;
    m_contact.attempt({ upstream.address(), upstream.port() }, [this](ConnectionOutcome outcome) { recordConnection(m_former, outcome, m_state.role.clock.now()); });
}

// Withdraws the entry that an earlier process announced for an upstream that is not running. The host may be removed at any
// moment without notice; the entry would stay in the directory, and every search would wait for this agent. After a loss of
// power only the store has the entry, and this process may learn of it, from the store or from a peer, long after it found
// that its upstream is missing. A later report of the upstream announces it again.
void PacketAgent::withdrawFormerEntry()
{
    const PeerEntry entry = lastEntry();
    if (!entry.name.empty() && entry.state != PeerState::Gone)
        withdraw(entry, [] {});
}

// Announces to peers that the agent of this entry is gone, and removes the entry from the store.
const PeerEntry& PacketAgent::withdraw(PeerEntry entry, std::function<void()> done)
{
    entry.state = PeerState::Gone;
    m_announcement.withdraw(entry.name, std::move(done));
    return m_state.network.announce(std::move(entry));
}

// A new upstream process holds none of the flows of the previous one. Their callers get a reset at once, so that they open new
// flows instead of sending into lost ones until their deadlines.
void PacketAgent::resetLostFlows()
{
    const std::vector<LostFlow> lost = extractLostFlows(m_state.flows);
    clearUnanswered(m_state.health);
    for (const LostFlow& flow : lost) {
        const auto packet = m_state.adapter.encodeReset(flow.flow, flow.callerAcknowledged);
        m_state.network.sendPacket(packet, { asio::ip::address_v4(flow.flow.caller.address), m_state.role.settings.packets.ingress.port() });
    }
    m_resetFlows += lost.size();
    logEvent(Event::FlowsGivenUp, { { "flows", lost.size() }, { "reason", "upstreamReplaced" } });
}

void PacketAgent::handleOutages(const std::vector<std::string>& returned)
{
    if (std::ranges::find(returned, m_state.role.settings.dataCentre) != returned.end())
        assumeCold(m_state.gate, m_state.network.routes(), m_state.role.clock.now());
}

void PacketAgent::announceState()
{
    // An agent that has announced that it is gone only waits for the store. Another announcement with a newer epoch would
    // replace the state Gone at its peers.
    if (!m_state.gate.upstream || m_state.self.state == PeerState::Gone)
        return;
    const PeerState state = isServingNow() ? PeerState::Ready : PeerState::Draining;
    PeerEntry next {
        .name = m_state.role.settings.name,
        .role = PeerRole::Agent,
        .address = m_state.role.settings.listen.address().to_v4().to_uint(),
        .dataCentre = m_state.role.settings.dataCentre,
        .service = m_state.gate.upstream->service,
        .state = state,
        .slots = m_state.gate.upstream->slots,
        .epoch = m_state.self.epoch,
    };
    if (next == m_state.self)
        return;
    const bool isNewInStore = m_state.self.name.empty() || m_state.self.service != next.service;
    m_state.self = m_state.network.announce(next);
    if (isNewInStore && state == PeerState::Ready)
        m_announcement.write(m_state.self);
}

void PacketAgent::turn()
{
    const Millis now = m_state.role.clock.now();
    m_state.network.isInDoubt();
    expireWork(m_state.flows, now);
    sweepFlows(m_state.flows, now);
    m_neighbours.expire(now);
    lookForUpstream(now);
    reviewHealth(now);
    announceState();
    m_admission.admitWaiting();
    tellLoad(now);
    followStoreIfAlone(now);
    m_turnTimer.start(turnInterval, [this] { turn(); });
}

void PacketAgent::tellLoad(Millis now)
{
    const AgentLoad current = loadOf(m_state);
    m_state.usualLoad += (static_cast<float>(current.atWork) / static_cast<float>(std::max(current.slots, 1U)) - m_state.usualLoad) * smoothing;
    const bool isFull = m_state.waiting > 0;
    if (std::abs(m_toldLoad - m_state.usualLoad) < loadStep || now - m_toldAt < (isFull ? fullLoadInterval : loadInterval))
        return;
    m_toldLoad = m_state.usualLoad;
    m_toldAt = now;
    std::erase_if(m_heardFrom, [now](const auto& item) { return now - item.second > balancerIdleLimit; });
    for (const auto& [balancer, heardAt] : m_heardFrom)
        reply(m_state, balancer, { .kind = wire::PeerKind::Load });
}

// As long as any peer reaches the store, its changes arrive by gossip. An agent follows the store itself only when it
// receives no gossip, so that the load of the store does not grow with the number of agents.
void PacketAgent::followStoreIfAlone(Millis now)
{
    const bool hasView = m_state.network.routes().version != 0 && m_state.network.outages().revision != 0;
    const bool hasNews = m_state.network.lastNewsAt() != 0;
    const bool isAlone = now - std::max(m_state.network.lastNewsAt(), m_state.startedAt) > (hasNews ? newsPatience : startPatience);
    if (isAlone && !m_store)
        m_store = std::make_unique<StoreFollower>(m_state.role.context, m_state.role.platform, m_state.adapter, m_state.network);
    else if (!isAlone && hasView && m_store)
        m_store.reset();
}

void PacketAgent::shutDown(std::function<void()> done)
{
    const Millis now = m_state.role.clock.now();
    if (!m_state.gate.isLeaving) {
        m_state.gate.isLeaving = true;
        m_leavingSince = now;
        announceState();
    }
    const Millis leavingFor = now - m_leavingSince;
    // An agent that stopped before it knows that its upstream is gone would leave its entry in the directory, and every search
    // would wait for it.
    const bool isStillLearning = mayBeFoundGone(m_former) && leavingFor < leaveLearningTime;
    if (isStillLearning || (leavingFor < leaveTime && m_state.flows.open > 0)) {
        m_leaveTimer.start(turnInterval, [this, done = std::move(done)] { shutDown(done); });
        return;
    }
    if (!isUpstreamOver(now)) {
        done();
        return;
    }
    const PeerEntry entry = lastEntry();
    if (entry.name.empty()) {
        done();
        return;
    }
    m_leaveTimer.start(std::max<Millis>(m_state.role.settings.packets.leave - leaveMargin - leaveTime, 0), [done] { done(); });
    m_state.self = withdraw(entry, done);
}

// The entry is removed from the directory and the store only when the upstream is gone. The entry of a running upstream stays,
// since the restarted agent would announce it again.
bool PacketAgent::isUpstreamOver(Millis now) const
{
    return m_former.isGone || (m_former.hasReport && !isServing(m_state.gate, now));
}

// The entry under this agent's name: its own announcement, or that of an earlier process whose upstream did not come back.
PeerEntry PacketAgent::lastEntry() const
{
    if (!m_state.self.name.empty())
        return m_state.self;
    const auto& entries = m_state.network.directory().entries;
    const auto known = entries.find(m_state.role.settings.name);
    return known != entries.end() ? known->second : PeerEntry {};
}

std::string PacketAgent::statusMembers() const
{
    const nlohmann::json status {
        { "upstream", m_state.gate.upstream ? m_state.gate.upstream->id : "" },
        { "service", m_state.gate.upstream ? m_state.gate.upstream->service : "" },
        { "serving", isServingNow() },
        { "openFlows", m_state.flows.open },
        { "atWork", m_state.flows.atWork },
        { "routesVersion", m_state.network.routes().version },
        { "out", m_state.network.outages().out },
    };
    const std::string text = status.dump();
    return text.substr(1, text.size() - 2);
}

void PacketAgent::exposeMetrics(std::string& out) const
{
    exposeCounters(out, "kingcuptrail_agent_packets_total", "Packets by what was done with them.", m_state.fates);
    exposeCounters(out, "kingcuptrail_openings_refused_total", "Openings that were not admitted, by reason.", m_state.refusals);
    exposeCounters(out, "kingcuptrail_upstream_reports_total", "Reports of the upstream by what they changed.", m_reports);
    exposeCounters(out, "kingcuptrail_upstream_calls_malformed_total", "Calls of the upstream that could not be read, by reason.", m_badCalls);
    m_admission.exposeMetrics(out);
    exposeCounter(out, "kingcuptrail_flows_reset_total", "Flows reset since their upstream's process ended.", m_resetFlows);
    exposeGauge(out, "kingcuptrail_open_flows", "Flows that the upstream holds.", m_state.flows.open);
    exposeGauge(out, "kingcuptrail_requests_at_work", "Requests that the upstream has not answered yet.", m_state.flows.atWork);
    exposeCounter(out, "kingcuptrail_store_calls_total", "Calls of the store.", m_announcement.callsMade() + (m_store ? m_store->callsMade() : 0));
    m_state.network.exposeMetrics(out);
}

}
