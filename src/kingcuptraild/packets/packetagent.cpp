#include "packetagent.h"

#include "httpendpoint.h"
#include "libruntime/events.h"

#include <algorithm>
#include <cmath>
#include <nlohmann/json.hpp>

namespace kingcuptrail {

namespace {

    constexpr Millis turnInterval = 100;
    /// Between two looks at openings that wait, in milliseconds: a part of the time after which one is taken for left.
    constexpr Millis queueInterval = 20;
    /// News of load goes to balancers at most this often, in milliseconds, and only when it changed: work that comes and
    /// goes within 50 ms is older than its news anyway. While openings wait here it goes more often, since then others
    /// have room. At 200 ms throughout, news of 58 agents were half of what a small balancer received.
    constexpr Millis loadInterval = 1000;
    constexpr Millis fullLoadInterval = 200;
    /// Part of each look (every 100 ms) in the smoothed load: half a second's worth, some ten requests of a slot.
    constexpr float smoothing = 0.2F;
    /// A smoothed load that changed by less is not told.
    constexpr float loadStep = 0.1F;
    /// Balancers that have sent nothing for longer are not told, in milliseconds.
    constexpr Millis balancerIdleLimit = 2000;
    /// How long peers may leave this process without news before it turns to the store itself, in milliseconds: at its
    /// start, several rounds of asking; later, some rounds of news in a row that did not come.
    constexpr Millis startPatience = 400;
    constexpr Millis newsPatience = 3000;
    /// How long a search among neighbours may last, in milliseconds: the balancer has asked everybody itself long before.
    constexpr Millis nearSearchLimit = 100;
    /// Within which time an upstream hands a packet back that it does not want, in milliseconds: it runs on the same host,
    /// and answers openings within a fraction of a millisecond.
    constexpr Millis returnTime = 12;
    /// How long a leaving agent goes on carrying open flows, in milliseconds: short requests end, and its host is back
    /// sooner than the long ones would.
    constexpr Millis leaveTime = 400;
    constexpr Millis leaveMargin = 1000;
    /// Before an address may belong to another upstream, nothing more goes there, in milliseconds: a packet is delivered
    /// within a few.
    constexpr Millis reuseMargin = 100;

    HttpResponse jsonReply(int status, std::string body)
    {
        return { .status = status, .headers = { { "Content-Type", "application/json" } }, .body = std::move(body) };
    }

}

PacketAgent::PacketAgent(const RoleContext& role, const DeploymentAdapter& adapter)
    : m_role(role)
    , m_adapter(adapter)
    , m_network(role.context, role.settings, role.clock)
    , m_announcement(role.context, role.platform)
    , m_turnTimer(role.context)
    , m_queueTimer(role.context)
    , m_learningTimer(role.context)
    , m_leaveTimer(role.context)
    , m_startedAt(role.clock.now())
{
    m_gate.options.reportLimit = role.settings.packets.addressReuse - reuseMargin;
    m_flows.completeAt = m_startedAt + m_flows.options.idleLimit;
    const bool hasPeers = m_network.start({
        .onFlowMessage = [this](const PeerMessage& message, std::uint32_t sender) { handleFlowMessage(message, sender); },
        .onRoutes = [] {},
        .onOutages = [this](const std::vector<std::string>& returned) { handleOutages(returned); },
        .onEntry = [](const PeerEntry&) {},
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
                           m_role.context, m_role.settings.packets.control, [this](const HttpRequest& request) { return handleUpstreamCall(request); }, onFailure);
                   } });
    role.root.add({ .name = "ready", .make = [this](const FailureHandler& onFailure) {
                       return std::make_unique<HttpEndpoint>(
                           m_role.context, m_role.settings.packets.ready, [this](const HttpRequest&) { return HttpResponse { .status = isServingNow() ? 200 : 503 }; }, onFailure);
                   } });
    m_announcement.setOnFound([this](const PeerEntry& found) {
        m_network.takeEntry(found);
        m_self = m_network.self();
    });
    turn();
}

bool PacketAgent::isServingNow() const
{
    return !m_gate.isLeaving && isServing(m_gate, m_role.clock.now());
}

void PacketAgent::handleFlowMessage(const PeerMessage& message, std::uint32_t sender)
{
    const bool isFromNeighbour = message.kind == wire::PeerKind::Held || message.kind == wire::PeerKind::NotHeld || message.kind == wire::PeerKind::Unsure;
    if (isFromNeighbour) {
        handleNeighbourAnswer(message, sender);
        return;
    }
    if (message.kind == wire::PeerKind::Find) {
        handleFind(message, sender);
        return;
    }
    m_heardFrom[sender] = m_role.clock.now();
    switch (message.kind) {
    case wire::PeerKind::Open:
        handleOpen(message, sender);
        break;
    case wire::PeerKind::Forward:
    case wire::PeerKind::Probe:
        handleForward(message, sender);
        break;
    case wire::PeerKind::FindNear:
        handleFindNear(message, sender);
        break;
    case wire::PeerKind::Ping:
        reply(sender, { .kind = wire::PeerKind::Load });
        break;
    default:
        break;
    }
}

void PacketAgent::handleOpen(const PeerMessage& message, std::uint32_t sender)
{
    DecodeError error = DecodeError::None;
    const auto head = m_adapter.decodePacket(message.packet, error);
    if (!head || !isOpening(*head) || flowFromCaller(*head) != message.flow) {
        m_fates.increment(head ? AgentPacketFate::Forged : AgentPacketFate::Malformed);
        return;
    }
    const Millis now = m_role.clock.now();
    const auto known = m_flows.flows.find(message.flow);
    const bool isCopy = known != m_flows.flows.end() && known->second.phase != FlowPhase::Closed;
    if (isCopy) {
        admit(message.flow, message.packet, sender, 0);
        return;
    }
    if (takeCopy(m_queue, message.flow, now)) {
        reply(sender, { .kind = wire::PeerKind::Admitted, .flow = message.flow });
        return;
    }
    const OpenRefusal refusal = decide(message.flow, message.configVersion, message.needsFreeSlot, now);
    if (refusal == OpenRefusal::None)
        admit(message.flow, message.packet, sender, 0);
    else if (refusal == OpenRefusal::Busy && !message.needsFreeSlot)
        letWait(message, sender);
    else
        refuse(message.flow, message.packet, sender, refusal);
}

OpenRefusal PacketAgent::decide(const FlowKey& flow, ConfigVersion balancerVersion, bool needsFreeSlot, Millis now)
{
    m_gate.isViewInDoubt = m_network.isInDoubt();
    const OpenAttempt attempt {
        .address = flow.service,
        .balancerVersion = balancerVersion,
        .openFlows = m_flows.open,
        .atWork = m_flows.atWork,
        .needsFreeSlot = needsFreeSlot,
    };
    return decideOpen(m_gate, m_network.routes(), m_network.outages(), attempt, now);
}

void PacketAgent::admit(const FlowKey& flow, std::span<const std::uint8_t> packet, std::uint32_t balancer, Millis waited)
{
    const Millis now = m_role.clock.now();
    logFlowEvent(Event::FlowAdmitted, flow, { { "upstream", m_gate.upstream->id }, { "atWork", m_flows.atWork }, { "open", m_flows.open }, { "waited", static_cast<std::uint64_t>(waited) }, { "reportAge", static_cast<std::uint64_t>(now - m_gate.reportedAt) }, { "version", m_network.routes().version }, { "outages", m_network.outages().revision } });
    beginFlow(m_flows, flow, now);
    deliver(packet, indexOf(balancer));
    m_fates.increment(AgentPacketFate::Delivered);
    m_waits.record(static_cast<double>(waited));
    reply(balancer, { .kind = wire::PeerKind::Admitted, .flow = flow });
}

void PacketAgent::letWait(const PeerMessage& message, std::uint32_t sender)
{
    const Millis now = m_role.clock.now();
    const FlowRoute* route = findRoute(m_network.routes(), message.flow.service);
    WaitingOpening opening {
        .flow = message.flow,
        .arrivedAt = now,
        .freshUntil = now + (route ? route->latencyTarget / 2 : 0),
        .priority = route ? route->priority : 0,
        .balancer = sender,
        .packet = { message.packet.begin(), message.packet.end() },
    };
    if (!enqueue(m_queue, std::move(opening), m_gate.upstream->slots)) {
        refuse(message.flow, message.packet, sender, OpenRefusal::Busy);
        return;
    }
    reply(sender, { .kind = wire::PeerKind::Admitted, .flow = message.flow });
    startQueueTimer();
}

// Room comes with the upstream's packets; only openings of callers that have left make room without any.
void PacketAgent::startQueueTimer()
{
    m_queueTimer.start(queueInterval, [this] {
        admitWaiting();
        if (!m_queue.waiting.empty())
            startQueueTimer();
    });
}

// Fills the room at the upstream from those that wait. What no longer may be admitted goes back to its balancer.
void PacketAgent::admitWaiting()
{
    const Millis now = m_role.clock.now();
    expireWork(m_flows, now);
    for (const WaitingOpening& expired : takeExpired(m_queue, now))
        refuse(expired.flow, expired.packet, expired.balancer, OpenRefusal::WaitedTooLong);
    while (!m_queue.waiting.empty()) {
        const OpenRefusal refusal = decide(m_queue.waiting.front().flow, 0, false, now);
        if (refusal == OpenRefusal::Busy)
            return;
        const auto next = takeNext(m_queue, now);
        const OpenRefusal own = refusal == OpenRefusal::None ? decide(next->flow, 0, false, now) : refusal;
        if (own == OpenRefusal::None)
            admit(next->flow, next->packet, next->balancer, now - next->arrivedAt);
        else
            refuse(next->flow, next->packet, next->balancer, own);
    }
}

void PacketAgent::refuse(const FlowKey& flow, std::span<const std::uint8_t> packet, std::uint32_t balancer, OpenRefusal refusal)
{
    m_refusals.increment(refusal);
    m_fates.increment(AgentPacketFate::Refused);
    const Millis now = m_role.clock.now();
    logFlowEvent(Event::OpeningRefused, flow, { { "reason", nameOf(refusal) }, { "atWork", m_flows.atWork }, { "open", m_flows.open }, { "waiting", m_queue.waiting.size() }, { "reportAge", static_cast<std::uint64_t>(now - m_gate.reportedAt) }, { "version", m_network.routes().version }, { "outages", m_network.outages().revision } });
    reply(balancer, { .kind = wire::PeerKind::Refused, .flow = flow, .refusal = refusal, .packet = packet });
}

void PacketAgent::reply(std::uint32_t balancer, FlowMessage message)
{
    const AgentLoad now = load();
    message.load = &now;
    message.configVersion = m_network.routes().version;
    m_network.send(balancer, message);
}

AgentLoad PacketAgent::load() const
{
    return { .atWork = m_flows.atWork + static_cast<std::uint32_t>(m_queue.waiting.size()), .slots = m_gate.upstream ? m_gate.upstream->slots : 1, .usual = m_usualLoad, .isCold = m_role.clock.now() < m_gate.coldUntil };
}

void PacketAgent::handleForward(const PeerMessage& message, std::uint32_t sender)
{
    DecodeError error = DecodeError::None;
    const auto head = m_adapter.decodePacket(message.packet, error);
    if (!head || flowFromCaller(*head) != message.flow) {
        m_fates.increment(head ? AgentPacketFate::Forged : AgentPacketFate::Malformed);
        return;
    }
    const Millis now = m_role.clock.now();
    const std::uint32_t index = indexOf(sender);
    switch (takeCallerPacket(m_flows, message.flow, *head, index, now)) {
    case CallerPacketAction::Deliver:
        m_fates.increment(AgentPacketFate::Delivered);
        deliver(message.packet, index);
        break;
    case CallerPacketAction::DeliverToLearn:
        m_fates.increment(AgentPacketFate::DeliveredToLearn);
        m_learning[message.flow] = { .balancer = sender, .since = now, .isProbe = message.kind == wire::PeerKind::Probe, .acknowledged = head->acknowledged };
        deliver(message.packet, index);
        startLearningTimer();
        break;
    case CallerPacketAction::NotHeld:
        m_fates.increment(AgentPacketFate::HandedBack);
        reply(sender, { .kind = wire::PeerKind::NotHeld, .flow = message.flow, .packet = message.kind == wire::PeerKind::Probe ? std::span<const std::uint8_t>() : message.packet });
        break;
    }
}

void PacketAgent::startLearningTimer()
{
    m_learningTimer.start(returnTime, [this] {
        settleLearning();
        if (!m_learning.empty())
            startLearningTimer();
    });
}

// What an upstream does not hold it hands back at once. A packet that it keeps belongs to a flow that it holds, unless
// nobody is there to take it.
void PacketAgent::settleLearning()
{
    const Millis now = m_role.clock.now();
    const bool isUpstreamThere = m_gate.upstream && now - m_gate.reportedAt <= m_gate.options.reportLimit;
    for (const auto& [flow, learning] : m_learning) {
        if (now - learning.since < returnTime || !isUpstreamThere)
            continue;
        learnFlow(m_flows, flow, learning.acknowledged, now);
        logFlowEvent(Event::FlowLearnt, flow, { { "open", m_flows.open } });
        reply(learning.balancer, { .kind = wire::PeerKind::Held, .flow = flow });
    }
    std::erase_if(m_learning, [now](const auto& item) { return now - item.second.since >= returnTime; });
}

void PacketAgent::handleFind(const PeerMessage& message, std::uint32_t sender)
{
    switch (answerHolderQuestion(m_flows, message.flow, message.acknowledged, m_role.clock.now())) {
    case HolderAnswer::Held:
        reply(sender, { .kind = wire::PeerKind::Held, .flow = message.flow });
        break;
    case HolderAnswer::NotHeld:
        reply(sender, { .kind = wire::PeerKind::NotHeld, .flow = message.flow });
        break;
    case HolderAnswer::Unsure:
        reply(sender, { .kind = wire::PeerKind::Unsure, .flow = message.flow });
        break;
    }
}

// A balancer that does not know a flow asks one agent in each data centre instead of all agents, so that a search costs it
// some messages however many agents there are. This one asks its neighbours. Only when both know the same processes does
// its no speak for all of them.
void PacketAgent::handleFindNear(const PeerMessage& message, std::uint32_t sender)
{
    const Millis now = m_role.clock.now();
    const HolderAnswer own = answerHolderQuestion(m_flows, message.flow, message.acknowledged, now);
    if (own == HolderAnswer::Held) {
        reply(sender, { .kind = wire::PeerKind::HeldNear, .flow = message.flow, .holder = m_self.address });
        return;
    }
    const bool canSpeakForAll = own == HolderAnswer::NotHeld && message.digest == m_network.digest() && !m_nearSearches.contains(message.flow);
    if (!canSpeakForAll) {
        reply(sender, { .kind = wire::PeerKind::UnsureNear, .flow = message.flow });
        return;
    }
    std::vector<std::uint32_t> neighbours;
    for (const auto& [name, entry] : m_network.directory().entries) {
        const bool isNeighbour = entry.role == PeerRole::Agent && entry.state != PeerState::Gone && entry.dataCentre == m_role.settings.dataCentre;
        if (isNeighbour && entry.address != m_self.address)
            neighbours.push_back(entry.address);
    }
    if (neighbours.empty()) {
        reply(sender, { .kind = wire::PeerKind::NotHeldNear, .flow = message.flow });
        return;
    }
    m_network.sendToAll(neighbours, { .kind = wire::PeerKind::Find, .flow = message.flow, .configVersion = m_network.routes().version, .acknowledged = message.acknowledged });
    m_nearSearches[message.flow] = { .balancer = sender, .search = beginSearch(std::move(neighbours), now) };
}

void PacketAgent::handleNeighbourAnswer(const PeerMessage& message, std::uint32_t sender)
{
    const auto found = m_nearSearches.find(message.flow);
    if (found == m_nearSearches.end())
        return;
    const HolderAnswer answer = holderAnswerOf(message.kind);
    const SearchState state = takeAnswer(found->second.search, sender, answer);
    if (state == SearchState::Found)
        finishNearSearch(message.flow, wire::PeerKind::HeldNear, sender);
    else if (state == SearchState::HeldByNobody)
        finishNearSearch(message.flow, wire::PeerKind::NotHeldNear);
    else if (answer == HolderAnswer::Unsure)
        finishNearSearch(message.flow, wire::PeerKind::UnsureNear);
}

void PacketAgent::finishNearSearch(const FlowKey& flow, wire::PeerKind answer, std::uint32_t holder)
{
    const auto found = m_nearSearches.find(flow);
    reply(found->second.balancer, { .kind = answer, .flow = flow, .holder = holder });
    m_nearSearches.erase(found);
}

// A neighbour that stays silent makes the answer unsure; the balancer then asks each agent itself.
void PacketAgent::expireNearSearches(Millis now)
{
    std::erase_if(m_nearSearches, [now](const auto& item) { return now - item.second.search.startedAt > nearSearchLimit; });
}

std::uint32_t PacketAgent::indexOf(std::uint32_t balancer)
{
    const auto found = std::ranges::find(m_balancers, balancer);
    if (found != m_balancers.end())
        return static_cast<std::uint32_t>(found - m_balancers.begin()) + 1;
    m_balancers.push_back(balancer);
    return static_cast<std::uint32_t>(m_balancers.size());
}

void PacketAgent::deliver(std::span<const std::uint8_t> packet, std::uint32_t mark)
{
    m_scratch.assign(packet.begin(), packet.end());
    m_adapter.clearMarks(m_scratch);
    m_adapter.setMark(m_scratch, mark);
    const auto& upstream = m_role.settings.packets.upstream;
    m_network.sendPacket(m_scratch, { upstream.address(), upstream.port() });
}

void PacketAgent::handleUpstreamDatagram(std::span<std::uint8_t> packet)
{
    DecodeError error = DecodeError::None;
    const auto head = m_adapter.decodePacket(packet, error);
    if (!head) {
        m_fates.increment(AgentPacketFate::Malformed);
        return;
    }
    if (head->flags.isReturned) {
        handleReturned(flowFromCaller(*head), packet, *head);
        return;
    }
    const FlowKey flow = flowFromUpstream(*head);
    const UpstreamPacketNews news = takeUpstreamPacket(m_flows, flow, *head, m_role.clock.now());
    if (const auto learning = m_learning.find(flow); learning != m_learning.end()) {
        const bool isHeld = !head->flags.resets;
        reply(learning->second.balancer, { .kind = isHeld ? wire::PeerKind::Held : wire::PeerKind::NotHeld, .flow = flow });
        m_learning.erase(learning);
    }
    if (news.isLearnt)
        logFlowEvent(Event::FlowLearnt, flow, { { "open", m_flows.open } });
    m_fates.increment(AgentPacketFate::ToCaller);
    m_network.sendPacket(packet, { asio::ip::address_v4(flow.caller.address), m_role.settings.packets.ingress.port() });
    if (!m_queue.waiting.empty())
        admitWaiting();
}

// The upstream does not hold the flow or cannot take it. That is certain, whatever the table says.
void PacketAgent::handleReturned(const FlowKey& flow, std::span<std::uint8_t> packet, const PacketHead& head)
{
    m_fates.increment(AgentPacketFate::Returned);
    forgetFlow(m_flows, flow);
    const auto learning = m_learning.find(flow);
    const bool isProbe = learning != m_learning.end() && learning->second.isProbe;
    if (learning != m_learning.end())
        m_learning.erase(learning);
    if (head.mark == 0 || head.mark > m_balancers.size())
        return;
    const std::uint32_t balancer = m_balancers[head.mark - 1];
    m_adapter.clearMarks(packet);
    if (isOpening(head)) {
        m_refusals.increment(OpenRefusal::Returned);
        logFlowEvent(Event::OpeningRefused, flow, { { "reason", nameOf(OpenRefusal::Returned) }, { "atWork", m_flows.atWork }, { "open", m_flows.open } });
        reply(balancer, { .kind = wire::PeerKind::Refused, .flow = flow, .refusal = OpenRefusal::Returned, .packet = packet });
    } else {
        const std::span<const std::uint8_t> returned = isProbe ? std::span<const std::uint8_t>() : packet;
        reply(balancer, { .kind = wire::PeerKind::NotHeld, .flow = flow, .packet = returned });
    }
}

HttpResponse PacketAgent::handleUpstreamCall(const HttpRequest& request)
{
    const UpstreamCall call = m_adapter.readUpstreamCall(request);
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
        if (takeFarewell(m_gate, call.id)) {
            logEvent(Event::UpstreamLeft, { { "upstream", call.id } });
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
    const Millis now = m_role.clock.now();
    const bool isFirst = !m_gate.upstream;
    const ReportNews news = takeReport(m_gate, report, now);
    m_reports.increment(news);
    if (news == ReportNews::Changed || news == ReportNews::NewProcess)
        logEvent(Event::UpstreamReported, { { "upstream", report.id }, { "news", nameOf(news) }, { "service", report.service }, { "draining", report.isDraining ? "yes" : "no" }, { "born", report.born }, { "sequence", report.sequence }, { "coldLeft", static_cast<std::uint64_t>(report.coldLeft) } });
    // The first report of a process that has just started: everything that it will hold passes here.
    constexpr std::uint64_t firstSequence = 1;
    if (isFirst && report.sequence <= firstSequence)
        m_flows.isComplete = true;
    if (news == ReportNews::NewProcess)
        resetLostFlows();
    announceState();
}

// A new process speaks for the upstream: it holds nothing of before. Callers are told at once, so that they open anew
// instead of sending into a flow that nobody holds until their deadline.
void PacketAgent::resetLostFlows()
{
    const std::vector<LostFlow> lost = takeLostFlows(m_flows);
    for (const LostFlow& flow : lost) {
        const auto packet = m_adapter.encodeReset(flow.flow, flow.callerAcknowledged);
        m_network.sendPacket(packet, { asio::ip::address_v4(flow.flow.caller.address), m_role.settings.packets.ingress.port() });
    }
    m_resetFlows += lost.size();
    logEvent(Event::FlowsGivenUp, { { "flows", lost.size() }, { "reason", "upstreamReplaced" } });
}

void PacketAgent::handleOutages(const std::vector<std::string>& returned)
{
    if (std::ranges::find(returned, m_role.settings.dataCentre) != returned.end())
        assumeCold(m_gate, m_network.routes(), m_role.clock.now());
}

void PacketAgent::announceState()
{
    if (!m_gate.upstream)
        return;
    const PeerState state = isServingNow() ? PeerState::Ready : PeerState::Draining;
    PeerEntry next {
        .name = m_role.settings.name,
        .role = PeerRole::Agent,
        .address = m_role.settings.listen.address().to_v4().to_uint(),
        .dataCentre = m_role.settings.dataCentre,
        .service = m_gate.upstream->service,
        .state = state,
        .slots = m_gate.upstream->slots,
        .epoch = m_self.epoch,
    };
    if (next == m_self)
        return;
    const bool isNewInStore = m_self.name.empty() || m_self.service != next.service;
    m_self = m_network.announce(next);
    if (isNewInStore && state == PeerState::Ready)
        m_announcement.write(m_self);
}

void PacketAgent::turn()
{
    const Millis now = m_role.clock.now();
    m_network.isInDoubt();
    expireWork(m_flows, now);
    sweepFlows(m_flows, now);
    expireNearSearches(now);
    announceState();
    admitWaiting();
    tellLoad(now);
    followStoreIfAlone(now);
    m_turnTimer.start(turnInterval, [this] { turn(); });
}

void PacketAgent::tellLoad(Millis now)
{
    const AgentLoad current = load();
    m_usualLoad += (static_cast<float>(current.atWork) / static_cast<float>(std::max(current.slots, 1U)) - m_usualLoad) * smoothing;
    const bool isFull = !m_queue.waiting.empty();
    if (std::abs(m_toldLoad - m_usualLoad) < loadStep || now - m_toldAt < (isFull ? fullLoadInterval : loadInterval))
        return;
    m_toldLoad = m_usualLoad;
    m_toldAt = now;
    std::erase_if(m_heardFrom, [now](const auto& item) { return now - item.second > balancerIdleLimit; });
    for (const auto& [balancer, heardAt] : m_heardFrom)
        reply(balancer, { .kind = wire::PeerKind::Load });
}

// Peers bring the news as long as any of them reaches the store. Only a process that no peer has told anything turns to the
// store itself, so that a fleet costs the store no more than its balancers do.
void PacketAgent::followStoreIfAlone(Millis now)
{
    const bool hasView = m_network.routes().version != 0 && m_network.outages().revision != 0;
    const bool hasNews = m_network.lastNewsAt() != 0;
    const bool isAlone = now - std::max(m_network.lastNewsAt(), m_startedAt) > (hasNews ? newsPatience : startPatience);
    if (isAlone && !m_store)
        m_store = std::make_unique<StoreFollower>(m_role.context, m_role.platform, m_adapter, m_network);
    else if (!isAlone && hasView && m_store)
        m_store.reset();
}

void PacketAgent::shutDown(std::function<void()> done)
{
    const Millis now = m_role.clock.now();
    if (!m_gate.isLeaving) {
        m_gate.isLeaving = true;
        m_leavingSince = now;
        announceState();
    }
    if (now - m_leavingSince < leaveTime && m_flows.open > 0) {
        m_leaveTimer.start(turnInterval, [this, done = std::move(done)] { shutDown(done); });
        return;
    }
    // Only an upstream that is gone is taken out of the store: one that lives is announced again as soon as its agent is back.
    if (isServing(m_gate, now)) {
        done();
        return;
    }
    if (!m_self.name.empty()) {
        m_self.state = PeerState::Gone;
        m_self = m_network.announce(m_self);
    }
    m_leaveTimer.start(std::max<Millis>(m_role.settings.packets.leave - leaveMargin - leaveTime, 0), [done] { done(); });
    m_announcement.withdraw(done);
}

std::string PacketAgent::statusMembers() const
{
    const nlohmann::json status {
        { "upstream", m_gate.upstream ? m_gate.upstream->id : "" },
        { "service", m_gate.upstream ? m_gate.upstream->service : "" },
        { "serving", isServingNow() },
        { "openFlows", m_flows.open },
        { "atWork", m_flows.atWork },
        { "routesVersion", m_network.routes().version },
        { "out", m_network.outages().out },
    };
    const std::string text = status.dump();
    return text.substr(1, text.size() - 2);
}

void PacketAgent::exposeMetrics(std::string& out) const
{
    exposeCounters(out, "kingcuptrail_agent_packets_total", "Packets by what was done with them.", m_fates);
    exposeCounters(out, "kingcuptrail_openings_refused_total", "Openings that were not admitted, by reason.", m_refusals);
    exposeCounters(out, "kingcuptrail_upstream_reports_total", "Reports of the upstream by what they changed.", m_reports);
    exposeCounters(out, "kingcuptrail_upstream_calls_malformed_total", "Calls of the upstream that could not be read, by reason.", m_badCalls);
    m_waits.expose(out, "kingcuptrail_opening_wait_milliseconds", "How long admitted openings waited here, in milliseconds.");
    exposeCounter(out, "kingcuptrail_flows_reset_total", "Flows reset since their upstream's process ended.", m_resetFlows);
    exposeGauge(out, "kingcuptrail_open_flows", "Flows that the upstream holds.", m_flows.open);
    exposeGauge(out, "kingcuptrail_requests_at_work", "Requests that the upstream has not answered yet.", m_flows.atWork);
    exposeCounter(out, "kingcuptrail_store_calls_total", "Calls of the store.", m_announcement.callsMade() + (m_store ? m_store->callsMade() : 0));
    m_network.exposeMetrics(out);
}

}
