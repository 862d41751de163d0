#include "modelagent.h"

#include <algorithm>
#include <utility>

namespace kingcuptrail {

namespace {

    constexpr Micros finalResendInterval = 300 * microsPerMilli;
    constexpr std::uint32_t maxFinalSends = 10;
    /// Time from the withdrawal of a request until the upstream has confirmed that it stopped.
    constexpr Micros cancelConfirmTime = 2 * microsPerMilli;
    constexpr Micros queryTimeout = 500 * microsPerMilli;

    std::string keyText(WorkKey key)
    {
        return std::to_string(key);
    }

    WorkItem itemOf(RequestId id, const ModelRequest& request, Millis deadline, Millis now)
    {
        return {
            .id = id,
            .workClass = request.isLong ? WorkClass::Long : WorkClass::Short,
            .deadline = deadline,
            .queuedAt = now,
        };
    }

}

void ModelAgent::handleRequest(const FlowPacket& packet)
{
    const RequestId id = packet.request.id;
    if (const auto known = m_work.find(id); known != m_work.end()) {
        // A duplicate: the first copy is in progress, or its final answer was lost.
        return known->second.state == WorkState::Ended ? sendToCaller(known->second.finalPacket) : reply(packet, ModelPacketKind::RequestAck);
    }
    reply(packet, ModelPacketKind::RequestAck);
    // A late duplicate, for example from a balancer that was paused. Real flow endpoints detect it by its sequence number.
    if (!m_flows[packet.flow].receivedRequests.insert(id).second)
        return;
    const Millis now = m_context.loop.nowMillis();
    Work& work = m_work[id];
    work = { .flow = packet.flow, .request = packet.request, .deadline = now + packet.request.deadline, .arrivedAt = now };
    work.finalPacket = { .service = packet.service, .flow = packet.flow, .caller = packet.caller, .owner = m_token, .request = packet.request };
    schedule(toMicros(packet.request.deadline), [this, id] { timeOut(id); });
    if (m_isDraining && m_context.policy.drainGuard && refusesNewWork(m_drain, m_context.policy.drain, now))
        return refuse(work, { .ran = Ran::No, .reason = RefusalReason::UpstreamDraining }, LedgerState::NeverSeen);
    if (!packet.request.once)
        return admitWork(id);
    const BeginVerdict begun = beginWork(m_ledger, m_context.policy.ledger, keyText(packet.request.key), now);
    if (begun != BeginVerdict::Run)
        return refuse(work, refusalOf(begun), LedgerState::NeverSeen);
    work.earlier = collectEarlierAttempts(packet.request.earlier, m_token);
    if (decideAttempts(work.earlier, m_context.policy.attempts).decision == AttemptsDecision::Wait)
        queryEarlierOwners(work);
    decideEarlierAttempts(id);
}

void ModelAgent::queryEarlierOwners(Work& work)
{
    for (const EarlierAttempt& attempt : work.earlier.attempts) {
        if (const auto balancer = chooseBalancer())
            sendToBalancer(*balancer, LedgerQueryMessage { .key = work.request.key, .asker = m_token, .holder = attempt.owner });
    }
    schedule(queryTimeout, [this, id = work.request.id] {
        const auto found = m_work.find(id);
        if (found == m_work.end() || found->second.state != WorkState::Asking)
            return;
        for (EarlierAttempt& attempt : found->second.earlier.attempts) {
            if (!attempt.answer)
                recordUnreachable(found->second.earlier, attempt.owner);
        }
        decideEarlierAttempts(id);
    });
}

void ModelAgent::decideEarlierAttempts(RequestId id)
{
    const auto found = m_work.find(id);
    if (found == m_work.end() || found->second.state != WorkState::Asking)
        return;
    const AttemptsVerdict verdict = decideAttempts(found->second.earlier, m_context.policy.attempts);
    if (verdict.decision == AttemptsDecision::Run)
        admitWork(id);
    else if (verdict.decision == AttemptsDecision::Refuse)
        refuse(found->second, verdict.refusal, LedgerState::NotRun);
}

void ModelAgent::admitWork(RequestId id)
{
    Work& work = m_work.at(id);
    const Millis now = m_context.loop.nowMillis();
    const AdmitVerdict verdict = admit(m_admission, admissionOptions(), itemOf(id, work.request, work.deadline, now), now);
    switch (verdict.decision) {
    case AdmitDecision::Run:
        return startWork(id);
    case AdmitDecision::Queue:
        work.state = WorkState::Queued;
        return scheduleWake();
    case AdmitDecision::Refuse:
        return refuse(work, verdict.refusal, LedgerState::NotRun);
    }
}

void ModelAgent::startWork(RequestId id)
{
    Work& work = m_work.at(id);
    const Millis now = m_context.loop.nowMillis();
    work.state = WorkState::Running;
    work.startedAt = now;
    const double bearable = m_upstream.bearable();
    const StartResult started = m_upstream.start(id, work.request.work, [this, id, generation = m_generation](bool isWhole) { handleWorkEnd(id, isWhole, generation); });
    if (started == StartResult::Started) {
        m_context.history.record([&] {
            HistoryEvent event = makeEvent(HistoryKind::UpstreamWorkBegan);
            event.key = keyText(work.request.key);
            event.idempotent = !work.request.once;
            event.concurrent = m_upstream.running();
            event.bearable = static_cast<std::uint32_t>(bearable);
            return event;
        });
        m_context.metrics.recordStart(work.request.once ? work.request.key : 0);
        m_context.metrics.recordConcurrency(m_upstream.running(), bearable, service().slots, m_upstream.isColdAnnounced());
        return;
    }
    const bool isShed = started == StartResult::Shed;
    finishWork(m_admission, admissionOptions(), itemOf(id, work.request, 0, 0).workClass, isShed ? WorkOutcome::Shed : WorkOutcome::Failed, 0, now);
    refuse(work, { .ran = Ran::No, .reason = isShed ? RefusalReason::UpstreamShed : RefusalReason::UpstreamUnreachable, .retryAfter = service().warmUp / 50 }, LedgerState::NotRun);
    startNext();
}

void ModelAgent::startNext()
{
    const Millis now = m_context.loop.nowMillis();
    if (isDroppingPackets(m_pauseDetector, now))
        return schedule(toMicros(m_pauseDetector.dropUntil - now), [this] { startNext(); });
    for (const RefusedItem& expired : removeExpired(m_admission, admissionOptions(), now))
        refuse(m_work.at(expired.item.id), expired.refusal, LedgerState::NotRun);
    for (const WorkItem& item : dequeueRunnable(m_admission, admissionOptions(), now))
        startWork(item.id);
    scheduleWake();
}

void ModelAgent::scheduleWake()
{
    const Millis now = m_context.loop.nowMillis();
    const auto wake = nextWakeTime(m_admission, now);
    if (!wake || (m_wakeAt && *m_wakeAt <= *wake && *m_wakeAt > now))
        return;
    m_wakeAt = std::max(*wake, now + 1);
    schedule(toMicros(*m_wakeAt - now), [this, at = *m_wakeAt] {
        if (m_wakeAt != at)
            return;
        m_wakeAt.reset();
        startNext();
    });
}

void ModelAgent::handleWorkEnd(RequestId id, bool isWhole, std::uint64_t generation)
{
    if (generation != m_generation)
        return;
    if (m_context.network.isFrozen(self()))
        return schedule(1, [this, id, isWhole, generation] { handleWorkEnd(id, isWhole, generation); });
    const auto found = m_work.find(id);
    if (found == m_work.end())
        return;
    Work& work = found->second;
    const Millis now = m_context.loop.nowMillis();
    const WorkClass workClass = itemOf(id, work.request, 0, 0).workClass;
    if (isWhole) {
        m_context.history.record([&] {
            HistoryEvent event = makeEvent(HistoryKind::UpstreamWorkEnded);
            event.key = keyText(work.request.key);
            event.bodyHash = answerHashOf(work.request);
            return event;
        });
    }
    finishWork(m_admission, admissionOptions(), workClass, isWhole ? WorkOutcome::Succeeded : WorkOutcome::Failed, now - work.startedAt, now);
    if (isWhole) {
        answer(work);
    } else {
        const Ran ran = m_context.policy.refusalGuard ? Ran::Unknown : Ran::No;
        refuse(work, { .ran = ran, .reason = RefusalReason::UpstreamLost }, LedgerState::Unknown);
    }
    startNext();
}

void ModelAgent::timeOut(RequestId id)
{
    const auto found = m_work.find(id);
    if (found == m_work.end() || found->second.state == WorkState::Ended)
        return;
    Work& work = found->second;
    if (work.state == WorkState::Running)
        return cancelRunning(work, WorkOutcome::TimedOut, RefusalReason::UpstreamTimeout);
    cancelQueued(m_admission, id);
    refuse(work, { .ran = Ran::No, .reason = RefusalReason::DeadlinePassed }, LedgerState::NotRun);
}

void ModelAgent::cancel(RequestId id)
{
    const auto found = m_work.find(id);
    if (found == m_work.end() || found->second.state == WorkState::Ended)
        return;
    Work& work = found->second;
    if (work.state == WorkState::Running)
        return cancelRunning(work, WorkOutcome::Cancelled, RefusalReason::Cancelled);
    cancelQueued(m_admission, id);
    refuse(work, { .ran = Ran::No, .reason = RefusalReason::Cancelled }, LedgerState::NotRun);
}

/// Refuses a running request. Its slot becomes free only when the upstream has confirmed the cancellation.
void ModelAgent::cancelRunning(Work& work, WorkOutcome outcome, RefusalReason reason)
{
    const RequestId id = work.request.id;
    refuse(work, { .ran = Ran::Unknown, .reason = reason }, LedgerState::Unknown);
    schedule(cancelConfirmTime, [this, id, outcome, startedAt = work.startedAt, workClass = itemOf(id, work.request, 0, 0).workClass] {
        if (!m_upstream.cancel(id))
            return;
        const Millis now = m_context.loop.nowMillis();
        finishWork(m_admission, admissionOptions(), workClass, outcome, now - startedAt, now);
        startNext();
    });
}

void ModelAgent::answer(Work& work)
{
    if (work.request.once)
        settleWork(m_ledger, m_context.policy.ledger, keyText(work.request.key), LedgerState::Ran, m_context.loop.nowMillis());
    if (work.state == WorkState::Ended)
        return;
    work.state = WorkState::Ended;
    recordIdle(work.flow);
    work.finalPacket.kind = ModelPacketKind::Answer;
    work.finalPacket.answerHash = answerHashOf(work.request);
    if (m_context.random.chance(m_context.network.crossedAnswers())) {
        FlowPacket crossed = work.finalPacket;
        ++crossed.answerHash;
        sendToCaller(std::move(crossed));
    }
    sendFinal(work.request.id);
}

/// Sends a refusal and settles the key in the ledger. With NeverSeen the ledger is left unchanged, since the key belongs to
/// another attempt.
void ModelAgent::refuse(Work& work, const RefusalVerdict& verdict, LedgerState outcome)
{
    if (work.request.once && outcome != LedgerState::NeverSeen)
        settleWork(m_ledger, m_context.policy.ledger, keyText(work.request.key), outcome, m_context.loop.nowMillis());
    if (work.state == WorkState::Ended)
        return;
    work.state = WorkState::Ended;
    recordIdle(work.flow);
    work.finalPacket.kind = ModelPacketKind::Refusal;
    work.finalPacket.verdict = verdict;
    if (!m_context.metrics.isWarmingUp)
        ++m_context.metrics.refusals[static_cast<std::size_t>(verdict.reason)];
    sendFinal(work.request.id);
}

/// Sends the final answer repeatedly until it is acknowledged or the limit of sends is reached, and then removes the request.
void ModelAgent::sendFinal(RequestId id)
{
    const auto found = m_work.find(id);
    if (found == m_work.end())
        return;
    if (found->second.sends >= maxFinalSends) {
        m_work.erase(found);
        return;
    }
    ++found->second.sends;
    sendToCaller(found->second.finalPacket);
    schedule(finalResendInterval, [this, id] { sendFinal(id); });
}

void ModelAgent::answerLedgerQuery(const LedgerQueryMessage& query)
{
    if (query.holder != m_token)
        return;
    const LedgerState state = queryAndFence(m_ledger, m_context.policy.ledger, keyText(query.key), m_context.loop.nowMillis());
    if (const auto balancer = chooseBalancer())
        sendToBalancer(*balancer, LedgerAnswerMessage { .key = query.key, .asker = query.asker, .holder = query.holder, .state = static_cast<std::uint8_t>(state) });
}

void ModelAgent::handleLedgerAnswer(const LedgerAnswerMessage& answer)
{
    const auto state = fromNumber<LedgerState>(answer.state);
    if (!state || answer.asker != m_token)
        return;
    std::vector<RequestId> asking;
    for (auto& [id, work] : m_work) {
        if (work.state != WorkState::Asking || work.request.key != answer.key)
            continue;
        recordAnswer(work.earlier, answer.holder, *state);
        asking.push_back(id);
    }
    for (const RequestId id : asking)
        decideEarlierAttempts(id);
}

}
