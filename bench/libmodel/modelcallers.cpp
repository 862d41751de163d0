#include "modelcallers.h"

#include <algorithm>

namespace kingcuptrail {

namespace {

    constexpr Micros resendAfter = 200 * microsPerMilli;
    /// Number of times that an unacknowledged packet is sent before its flow counts as silent: about 3 s.
    constexpr std::uint32_t maxUnacknowledgedSends = 15;
    /// Delay before a caller that could not open a flow tries again.
    constexpr Micros reopenDelay = 500 * microsPerMilli;
    /// Interval at which a request that waits for an open flow checks whether there is one.
    constexpr Micros flowPollInterval = 50 * microsPerMilli;

    HistoryKind eventKindOf(RequestEnd outcome)
    {
        switch (outcome) {
        case RequestEnd::Answered:
            return HistoryKind::AnswerWhole;
        case RequestEnd::RefusedNotRun:
            return HistoryKind::RefusedNotRun;
        case RequestEnd::RefusedRan:
            return HistoryKind::RefusedRan;
        case RequestEnd::Unknown:
            break;
        }
        return HistoryKind::RefusedUnknown;
    }

}

ModelCallers::ModelCallers(ModelContext& context, CauseOf causeOf)
    : m_context(context)
    , m_causeOf(std::move(causeOf))
    , m_reachable(context.experiment.deployment.balancers, true)
{
    std::size_t budgets = 0;
    for (std::size_t service = 0; service < context.experiment.deployment.services.size(); ++service) {
        const ServiceSpec& spec = context.experiment.deployment.services[service];
        m_firstOfService.push_back(m_callers.size());
        for (std::size_t flow = 0; flow < spec.targets * spec.flowsPerTarget; ++flow)
            m_callers.push_back({ .service = service, .hasFeed = context.random.chance(loadOf(service, context.experiment).feedShare) });
        budgets = std::max(budgets, loadOf(service, context.experiment).callerHosts);
    }
    m_firstOfService.push_back(m_callers.size());
    m_budgets.resize(budgets);
    context.network.attach({ EndpointKind::Callers, 0 }, [this](Endpoint, Message message) {
        if (const auto* packet = std::get_if<FlowPacket>(&message))
            receive(*packet);
    });
}

const std::string& ModelCallers::serviceName(std::size_t service) const
{
    return m_context.experiment.deployment.services[service].name;
}

void ModelCallers::start()
{
    // In the last fifth of the warm-up no flows are opened, so that load reports are current when measuring starts.
    const double openingPeriod = static_cast<double>(toMicros(m_context.experiment.warmUp)) * 0.8;
    for (std::size_t caller = 0; caller < m_callers.size(); ++caller)
        m_context.loop.after(static_cast<Micros>(m_context.random.uniform() * openingPeriod), [this, caller] { openFlow(caller); });
    for (std::size_t service = 0; service + 1 < m_firstOfService.size(); ++service)
        m_context.loop.at(static_cast<Micros>(openingPeriod), [this, service] { generateRequests(service); });
}

void ModelCallers::setReachable(std::size_t balancer, bool reachable)
{
    m_reachable[balancer] = reachable;
}

void ModelCallers::sendToFabric(FlowPacket packet)
{
    std::vector<std::size_t> balancers;
    for (std::size_t balancer = 0; balancer < m_reachable.size(); ++balancer) {
        if (m_reachable[balancer])
            balancers.push_back(balancer);
    }
    if (balancers.empty())
        return;
    const auto send = [&](FlowPacket sent) {
        m_context.network.send({ EndpointKind::Callers, 0 }, { EndpointKind::Balancer, balancers[m_context.random.below(balancers.size())] }, std::move(sent));
    };
    if (packet.kind == ModelPacketKind::Request && m_context.random.chance(m_strayShare)) {
        FlowPacket stray = packet;
        stray.service = (packet.service + 1) % (m_firstOfService.size() - 1);
        send(std::move(stray));
    }
    send(std::move(packet));
}

FlowPacket ModelCallers::packetOf(std::size_t caller, ModelPacketKind kind) const
{
    const Caller& from = m_callers[caller];
    return { .kind = kind, .service = from.service, .flow = from.flow, .caller = caller, .owner = from.owner };
}

RetryBudget& ModelCallers::budgetOf(std::size_t caller)
{
    return m_budgets[caller % m_budgets.size()];
}

void ModelCallers::receive(const FlowPacket& packet)
{
    Caller& caller = m_callers[packet.caller];
    const bool isCurrent = caller.flow == packet.flow;
    switch (packet.kind) {
    case ModelPacketKind::Opened:
        return handleOpened(packet);
    case ModelPacketKind::DataAck:
        if (isCurrent)
            caller.isWaitingForAck = false;
        return;
    case ModelPacketKind::RequestAck:
        if (const auto first = m_firstIdByAttempt.find(packet.request.id); first != m_firstIdByAttempt.end())
            m_pending.at(first->second).isAcknowledged = true;
        return;
    case ModelPacketKind::Answer:
    case ModelPacketKind::Refusal:
        return handleFinal(packet);
    case ModelPacketKind::Reset:
        // A reset with another owner than the flow's belongs to an earlier packet of the flow.
        if (isCurrent && (packet.owner == caller.owner || !m_context.policy.ownerTokens))
            handleFlowLoss(packet.caller, packet.verdict.reason, false);
        return;
    default:
        return;
    }
}

void ModelCallers::openFlow(std::size_t caller)
{
    Caller& opening = m_callers[caller];
    opening.flow = m_context.random.id();
    opening.owner = {};
    opening.isOpen = false;
    opening.isWaitingForAck = false;
    sendOpen(caller, ++opening.generation, 0);
}

void ModelCallers::sendOpen(std::size_t caller, std::uint64_t generation, std::uint32_t sends)
{
    Caller& opening = m_callers[caller];
    if (opening.generation != generation || opening.isOpen)
        return;
    if (sends >= maxUnacknowledgedSends)
        return openFlow(caller);
    ++m_context.metrics.openTries;
    FlowPacket open = packetOf(caller, ModelPacketKind::Open);
    open.hasFeed = opening.hasFeed;
    sendToFabric(std::move(open));
    m_context.loop.after(resendAfter, [this, caller, generation, sends] { sendOpen(caller, generation, sends + 1); });
}

void ModelCallers::handleOpened(const FlowPacket& packet)
{
    Caller& caller = m_callers[packet.caller];
    if (caller.flow == packet.flow && caller.isOpen && caller.owner == packet.owner)
        return;
    if (caller.flow != packet.flow || caller.isOpen) {
        // Two agents opened the flow, or the caller has abandoned it: the agent whose flow isn't used gets a Close.
        if (caller.flow == packet.flow && !m_context.metrics.isWarmingUp)
            ++m_context.metrics.duplicateOpens;
        FlowPacket close = packet;
        close.kind = ModelPacketKind::Close;
        return sendToFabric(std::move(close));
    }
    caller.owner = packet.owner;
    caller.isOpen = true;
    m_context.history.record([&] {
        return HistoryEvent { .kind = HistoryKind::FlowOpened, .flow = caller.flow, .service = serviceName(caller.service), .upstreamId = caller.owner.upstream };
    });
    if (!m_context.metrics.isWarmingUp)
        ++m_context.metrics.flowsOpened;
    const LoadSpec& load = loadOf(caller.service, m_context.experiment);
    const std::uint64_t generation = caller.generation;
    const std::size_t index = packet.caller;
    m_context.loop.after(static_cast<Micros>(m_context.random.uniform() * static_cast<double>(toMicros(load.flowInterval))), [this, index, generation] { keepFlowAlive(index, generation); });
    if (load.flowLifetime > 0)
        m_context.loop.after(static_cast<Micros>(m_context.random.exponential(static_cast<double>(toMicros(load.flowLifetime)))), [this, index, generation] { closeFlow(index, generation); });
}

void ModelCallers::closeFlow(std::size_t caller, std::uint64_t generation)
{
    Caller& closing = m_callers[caller];
    if (closing.generation != generation || !closing.isOpen)
        return;
    const bool isUsed = std::ranges::any_of(m_pending, [&](const auto& entry) { return entry.second.flow == closing.flow; });
    if (isUsed) {
        m_context.loop.after(resendAfter, [this, caller, generation] { closeFlow(caller, generation); });
        return;
    }
    m_context.history.record([&] { return HistoryEvent { .kind = HistoryKind::FlowClosed, .flow = closing.flow }; });
    sendToFabric(packetOf(caller, ModelPacketKind::Close));
    openFlow(caller);
}

void ModelCallers::keepFlowAlive(std::size_t caller, std::uint64_t generation)
{
    if (m_callers[caller].generation != generation || !m_callers[caller].isOpen)
        return;
    m_callers[caller].isWaitingForAck = true;
    sendData(caller, generation, 0);
    m_context.loop.after(toMicros(loadOf(m_callers[caller].service, m_context.experiment).flowInterval), [this, caller, generation] { keepFlowAlive(caller, generation); });
}

void ModelCallers::sendData(std::size_t caller, std::uint64_t generation, std::uint32_t sends)
{
    const Caller& sending = m_callers[caller];
    if (sending.generation != generation || !sending.isWaitingForAck)
        return;
    if (sends >= maxUnacknowledgedSends)
        return handleFlowLoss(caller, RefusalReason::FlowSilent, true);
    sendToFabric(packetOf(caller, ModelPacketKind::Data));
    m_context.loop.after(resendAfter, [this, caller, generation, sends] { sendData(caller, generation, sends + 1); });
}

void ModelCallers::handleFlowLoss(std::size_t caller, RefusalReason reason, bool isSilent)
{
    Caller& losing = m_callers[caller];
    if (losing.isOpen) {
        const bool isMoved = reason == RefusalReason::UpstreamDraining && !losing.hasFeed;
        m_context.history.record([&] {
            const HistoryKind lost = reason == RefusalReason::DataCentreOut ? HistoryKind::FlowGivenUp : HistoryKind::FlowBroken;
            return HistoryEvent { .kind = isMoved ? HistoryKind::FlowClosed : lost, .flow = losing.flow, .reason = reason };
        });
        if (!m_context.metrics.isWarmingUp && isMoved) {
            ++m_context.metrics.flowsMoved;
        } else if (!m_context.metrics.isWarmingUp) {
            ++m_context.metrics.broken[static_cast<std::size_t>(m_causeOf(losing.owner, reason))];
            ++m_context.metrics.second(sinceStart(m_context)).flowsBroken;
        }
    }
    std::vector<RequestId> interrupted;
    for (const auto& [first, pending] : m_pending) {
        if (pending.flow == losing.flow && pending.isInFlight)
            interrupted.push_back(first);
    }
    const bool wasOpen = losing.isOpen;
    losing.isOpen = false;
    losing.flow = 0;
    const std::uint64_t generation = ++losing.generation;
    m_context.loop.after(wasOpen ? 0 : reopenDelay, [this, caller, generation] {
        if (m_callers[caller].generation == generation)
            openFlow(caller);
    });
    for (const RequestId first : interrupted)
        retryOrEnd(first, { .ran = Ran::Unknown, .reason = reason, .flowSilent = isSilent });
}

void ModelCallers::generateRequests(std::size_t service)
{
    if (!m_isSendingRequests)
        return;
    const LoadSpec& load = loadOf(service, m_context.experiment);
    const ServiceSpec& spec = m_context.experiment.deployment.services[service];
    const double capacity = static_cast<double>(spec.targets) * spec.slots / meanWork(load);
    const double rate = capacity * load.utilisation * m_loadFactor;
    if (rate <= 0)
        return;
    makeRequest(service);
    m_context.loop.after(static_cast<Micros>(m_context.random.exponential(static_cast<double>(microsPerMilli) / rate)), [this, service] { generateRequests(service); });
}

void ModelCallers::makeRequest(std::size_t service)
{
    const LoadSpec& load = loadOf(service, m_context.experiment);
    RandomSource& random = m_context.random;
    PendingRequest pending;
    pending.request.id = random.id();
    pending.request.key = random.id();
    pending.request.once = random.chance(load.onceShare);
    pending.request.isLong = random.chance(load.longShare);
    const auto mean = static_cast<double>(toMicros(pending.request.isLong ? load.longWork : load.shortWork));
    // Half of the mean is fixed, as the upstream's overhead for each request is; the rest is exponential.
    pending.request.work = static_cast<Micros>(mean / 2 + random.exponential(mean / 2));
    pending.firstId = pending.request.id;
    pending.createdAt = m_context.loop.nowMillis();
    pending.deadline = pending.createdAt + load.deadline * (pending.request.isLong ? load.longWork / load.shortWork : 1);
    pending.caller = chooseOpenCaller(service, {}).value_or(m_firstOfService[service]);
    if (pending.request.once && random.chance(load.repeatShare))
        repeat(pending);
    submit(std::move(pending));
}

/// Submits the same work again as another call with the same key, as an impatient end user does.
void ModelCallers::repeat(const PendingRequest& pending)
{
    PendingRequest repeated = pending;
    repeated.request.id = m_context.random.id();
    repeated.firstId = repeated.request.id;
    const auto wait = static_cast<Micros>(m_context.random.uniform() * static_cast<double>(2 * pending.request.work));
    m_context.loop.after(wait, [this, repeated] { submit(repeated); });
}

void ModelCallers::submit(PendingRequest pending)
{
    const RequestId first = pending.firstId;
    const std::size_t service = m_callers[pending.caller].service;
    m_context.history.record([&] {
        return HistoryEvent {
            .who = "callers",
            .kind = HistoryKind::RequestSent,
            .key = std::to_string(pending.request.key),
            .call = first,
            .service = serviceName(service),
            .idempotent = !pending.request.once,
        };
    });
    if (!m_context.metrics.isWarmingUp) {
        ++m_context.metrics.firstTries;
        ++m_context.metrics.second(sinceStart(m_context)).offered;
    }
    recordFirstTry(budgetOf(pending.caller), {});
    m_context.loop.at(toMicros(pending.deadline), [this, first] { handleDeadline(first); });
    m_pending.emplace(first, std::move(pending));
    sendAttempt(first);
}

std::optional<std::size_t> ModelCallers::chooseOpenCaller(std::size_t service, const OwnerToken& excludedOwner)
{
    const std::size_t begin = m_firstOfService[service];
    const std::size_t count = m_firstOfService[service + 1] - begin;
    constexpr int draws = 20;
    for (int draw = 0; draw < draws; ++draw) {
        const std::size_t caller = begin + m_context.random.below(count);
        if (m_callers[caller].isOpen && !m_callers[caller].hasFeed && m_callers[caller].owner != excludedOwner)
            return caller;
    }
    return std::nullopt;
}

void ModelCallers::sendAttempt(RequestId first)
{
    const auto found = m_pending.find(first);
    if (found == m_pending.end())
        return;
    PendingRequest& pending = found->second;
    const Caller& caller = m_callers[pending.caller];
    if (!caller.isOpen) {
        if (const auto other = chooseOpenCaller(caller.service, {}))
            pending.caller = *other;
        m_context.loop.after(flowPollInterval, [this, first] { sendAttempt(first); });
        return;
    }
    const RequestId tried = pending.tries == 0 ? first : m_context.random.id();
    ++pending.tries;
    pending.request.id = tried;
    if (pending.request.once) {
        std::vector<OwnerToken>& owners = m_ownersByKey[pending.request.key];
        pending.request.earlier = owners;
        if (std::ranges::find(owners, caller.owner) == owners.end())
            owners.push_back(caller.owner);
    }
    pending.flow = caller.flow;
    pending.sends = 0;
    pending.isAcknowledged = false;
    pending.isInFlight = true;
    pending.sentAt = m_context.loop.now();
    m_firstIdByAttempt[tried] = first;
    retransmitAttempt(first, tried);
}

void ModelCallers::retransmitAttempt(RequestId first, RequestId tried)
{
    const auto found = m_pending.find(first);
    if (found == m_pending.end() || found->second.request.id != tried || found->second.isAcknowledged || !found->second.isInFlight)
        return;
    PendingRequest& pending = found->second;
    if (m_callers[pending.caller].flow != pending.flow)
        return;
    if (++pending.sends > maxUnacknowledgedSends)
        return handleFlowLoss(pending.caller, RefusalReason::FlowSilent, true);
    FlowPacket packet = packetOf(pending.caller, ModelPacketKind::Request);
    packet.request = pending.request;
    packet.request.deadline = std::max<Millis>(0, pending.deadline - m_context.loop.nowMillis());
    sendToFabric(std::move(packet));
    m_context.loop.after(resendAfter, [this, first, tried] { retransmitAttempt(first, tried); });
}

void ModelCallers::handleFinal(const FlowPacket& packet)
{
    const auto first = m_firstIdByAttempt.find(packet.request.id);
    const bool isPending = first != m_firstIdByAttempt.end();
    const bool isAnswer = packet.kind == ModelPacketKind::Answer;
    // An answer with the content of another request is dropped; the correct one is retransmitted until it is acknowledged.
    if (isPending && isAnswer && m_context.policy.answerGuard && packet.answerHash != answerHashOf(m_pending.at(first->second).request))
        return;
    FlowPacket acknowledge = packet;
    acknowledge.kind = ModelPacketKind::FinalAck;
    sendToFabric(std::move(acknowledge));
    if (!isPending)
        return;
    PendingRequest& pending = m_pending.at(first->second);
    if (!isAnswer)
        return handleRefusal(pending, packet.verdict);
    if (!m_context.metrics.isWarmingUp)
        m_context.metrics.answerLatency.add(static_cast<double>(m_context.loop.nowMillis() - pending.createdAt));
    end(first->second, RequestEnd::Answered, packet.answerHash);
}

void ModelCallers::handleRefusal(PendingRequest& pending, const RefusalVerdict& verdict)
{
    if (verdict.ran == Ran::No && !m_context.metrics.isWarmingUp)
        m_context.metrics.refusalLatency.add(static_cast<double>(m_context.loop.now() - pending.sentAt) / static_cast<double>(microsPerMilli));
    const RequestId first = pending.firstId;
    retryOrEnd(first, { .ran = verdict.ran, .reason = verdict.reason, .retryAfter = verdict.retryAfter });
}

void ModelCallers::retryOrEnd(RequestId first, const AttemptResult& result)
{
    PendingRequest& pending = m_pending.at(first);
    const RetryFacts facts {
        .idempotent = !pending.request.once,
        .tries = pending.tries,
        .deadline = pending.deadline,
        .now = m_context.loop.nowMillis(),
    };
    const RetryVerdict verdict = decideRetry(budgetOf(pending.caller), {}, facts, result);
    pending.isInFlight = false;
    m_firstIdByAttempt.erase(pending.request.id);
    if (!m_context.metrics.isWarmingUp)
        ++m_context.metrics.retryDecisions[static_cast<std::size_t>(verdict.reason)];
    pending.mayHaveRun = pending.mayHaveRun || result.ran == Ran::Unknown;
    if (!verdict.retry) {
        // The last refusal applies to the last attempt only; an earlier attempt may have run.
        if (result.ran == Ran::No && pending.mayHaveRun)
            return end(first, RequestEnd::Unknown, static_cast<std::uint64_t>(result.reason));
        const std::array<RequestEnd, 3> ends { RequestEnd::RefusedNotRun, RequestEnd::RefusedRan, RequestEnd::Unknown };
        return end(first, ends[static_cast<std::size_t>(result.ran)], static_cast<std::uint64_t>(result.reason));
    }
    if (!m_context.metrics.isWarmingUp)
        ++m_context.metrics.retries;
    const Caller& caller = m_callers[pending.caller];
    const OwnerToken tried = caller.owner;
    if (verdict.newFlow) {
        if (const auto other = chooseOpenCaller(caller.service, tried))
            pending.caller = *other;
    }
    m_context.loop.after(toMicros(verdict.delay), [this, first] { sendAttempt(first); });
}

void ModelCallers::handleDeadline(RequestId first)
{
    const auto found = m_pending.find(first);
    if (found == m_pending.end())
        return;
    const PendingRequest& pending = found->second;
    if (!pending.isInFlight) // Between two attempts: the last one was refused as not run, or none was sent.
        return end(first, pending.mayHaveRun ? RequestEnd::Unknown : RequestEnd::RefusedNotRun, static_cast<std::uint64_t>(RefusalReason::DeadlinePassed));
    if (m_callers[pending.caller].flow == pending.flow) {
        FlowPacket cancel = packetOf(pending.caller, ModelPacketKind::Cancel);
        cancel.request = pending.request;
        sendToFabric(std::move(cancel));
    }
    end(first, RequestEnd::Unknown, static_cast<std::uint64_t>(RefusalReason::DeadlinePassed));
}

void ModelCallers::end(RequestId first, RequestEnd outcome, std::uint64_t detail)
{
    const auto found = m_pending.find(first);
    const OwnerToken& owner = m_callers[found->second.caller].owner;
    if (outcome == RequestEnd::Unknown && !m_context.metrics.isWarmingUp)
        ++m_context.metrics.unknownBy[static_cast<std::size_t>(m_causeOf(owner, static_cast<RefusalReason>(detail)))];
    m_context.history.record([&] {
        return HistoryEvent {
            .who = "callers",
            .kind = eventKindOf(outcome),
            .key = std::to_string(found->second.request.key),
            .call = first,
            .bodyHash = outcome == RequestEnd::Answered ? detail : 0,
            .reason = outcome == RequestEnd::Answered ? RefusalReason::None : static_cast<RefusalReason>(detail),
        };
    });
    if (!m_context.metrics.isWarmingUp) {
        ++m_context.metrics.ended[static_cast<std::size_t>(outcome)];
        SecondMetrics& second = m_context.metrics.second(sinceStart(m_context));
        second.answered += outcome == RequestEnd::Answered ? 1 : 0;
        second.refused += outcome == RequestEnd::RefusedNotRun || outcome == RequestEnd::RefusedRan ? 1 : 0;
        second.unknown += outcome == RequestEnd::Unknown ? 1 : 0;
    }
    m_firstIdByAttempt.erase(found->second.request.id);
    m_pending.erase(found);
}

}
