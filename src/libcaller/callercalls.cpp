#include "callerprivate.h"

#include <algorithm>
#include <asio/post.hpp>

namespace kingcuptrail {

namespace {

    /// Whether new requests should avoid an owner that refused for this reason. Its flow stays open for the calls still
    /// on it, such as a feed.
    bool shouldAvoidOwner(RefusalReason reason)
    {
        return reason == RefusalReason::UpstreamDraining || reason == RefusalReason::UpstreamUnreachable;
    }

}

// Chooses a flow to an owner that has not tried the call yet. Saturated upstreams cause many retries at once, and opening
// and closing a flow for each of them costs balancers and agents more than the request itself. So a shared flow with
// another owner is preferred; then a new shared flow, up to the number of shared flows; and only then a flow for the call
// alone.
FlowId Caller::Private::chooseFlowToOtherOwner(PendingCall& call)
{
    const auto& shared = usableSharedFlows(call.spec.service);
    for (std::size_t step = 0; step < shared.size(); ++step) {
        const FlowId id = shared[nextShared++ % shared.size()];
        const CallerFlow& flow = flows[id]->flow;
        if (flow.state() == FlowState::Open && std::ranges::find(call.triedOwners, flow.owner()) == call.triedOwners.end())
            return id;
    }
    if (shared.size() < options.sharedFlows)
        return openSharedFlow(call.spec.service);
    call.ownsFlow = true;
    return openFlow(call.spec.service);
}

CallId Caller::Private::startCall(CallSpec spec, CallHandlers callHandlers)
{
    const CallId id = nextCall++;
    PendingCall& call = calls[id];
    call.request = std::make_shared<const RequestSpec>(std::move(spec.request));
    call.spec = std::move(spec);
    call.handlers = std::move(callHandlers);
    call.startedAt = clock.now();
    call.progress.idempotent = call.request->idempotent;
    call.progress.deadline = call.startedAt + call.spec.deadline;
    ++counters.calls;
    recordFirstTry(budget, options.retry);
    startTry(id, call);
    return id;
}

FlowId Caller::Private::chooseFlowForTry(PendingCall& call)
{
    call.ownsFlow = false;
    const auto isUsable = [&](FlowId id) {
        const FlowEntry* flow = findFlow(id);
        return flow && !flow->isRetiring && flow->flow.state() != FlowState::Ended && !(call.progress.idempotent && flow->flow.isSuspect());
    };
    if (call.retryOnNewFlow)
        return chooseFlowToOtherOwner(call);
    if (call.spec.flow && isUsable(call.spec.flow))
        return call.spec.flow;
    return sharedFlow(call.spec.service);
}

void Caller::Private::startTry(CallId id, PendingCall& call)
{
    call.retryAt.reset();
    call.suspectHandled = false;
    call.flow = chooseFlowForTry(call);
    call.requestId = nextRequest++;
    const Millis left = call.progress.deadline - clock.now();
    const auto earlier = options.nameEarlierOwners ? call.progress.earlier : std::vector<OwnerToken> {};
    call.sender.emplace(call.requestId, call.request, agentDeadline(left), earlier);
    call.answer.emplace(call.request->stream);
    ++call.progress.tries;
    ++counters.tries;
    requests[call.requestId] = id;
    FlowEntry& flow = *flows[call.flow];
    flow.isRetiring = flow.isRetiring || call.ownsFlow;
    flow.calls.insert(id);
    flow.senders.push_back(id);
    scheduleCall(id, call);
    flowWakes.set(call.flow, 0);
    armTimer();
}

void Caller::Private::scheduleCall(CallId id, const PendingCall& call)
{
    std::optional<Millis> at;
    if (!call.progress.streamBegan)
        at = call.progress.deadline;
    if (call.retryAt)
        at = std::min(*call.retryAt, call.progress.deadline);
    callWakes.set(id, at);
    armTimer();
}

void Caller::Private::detachFromFlow(CallId id, PendingCall& call, bool sendCancel)
{
    requests.erase(call.requestId);
    FlowEntry* flow = findFlow(call.flow);
    if (!flow)
        return;
    flow->calls.erase(id);
    std::erase(flow->senders, id);
    if (sendCancel && call.sender && call.sender->hasBegun() && flow->flow.state() == FlowState::Open) {
        flow->cancels.push_back(encodeCancel(call.requestId));
        flowWakes.set(call.flow, 0);
        armTimer();
    }
    retireIfUnused(*flow);
}

void Caller::Private::endTry(CallId id, PendingCall& call, const AttemptResult& result)
{
    counters.refusals.increment(result.reason);
    call.lastReason = result.reason;
    call.lastRetryAfter = result.retryAfter;
    FlowEntry* flow = findFlow(call.flow);
    call.lastOwner = flow ? flow->flow.owner() : OwnerToken {};
    if (flow && shouldAvoidOwner(result.reason))
        flow->isRetiring = true;
    if (retryIfAllowed(id, call, result, false))
        return;
    detachFromFlow(id, call, false);
    finish(id, outcomeAfter(call.progress, result));
}

bool Caller::Private::retryIfAllowed(CallId id, PendingCall& call, const AttemptResult& result, bool sendCancel)
{
    const Millis now = clock.now();
    if (const FlowEntry* flow = findFlow(call.flow)) {
        call.lastOwner = flow->flow.owner();
        call.triedOwners.push_back(call.lastOwner);
    }
    const RetryVerdict verdict = recordTryEnd(call.progress, budget, options.retry, result, call.lastOwner, now);
    counters.retries.increment(verdict.reason);
    if (!verdict.retry)
        return false;
    detachFromFlow(id, call, sendCancel);
    call.retryAt = now + verdict.delay;
    call.retryOnNewFlow = verdict.newFlow;
    call.sender.reset();
    scheduleCall(id, call);
    return true;
}

// The end user gets the result at once, without waiting for the flow or the upstream. Messages that arrive later match no
// request and are counted as late.
void Caller::Private::abandonCall(CallId id, bool byDeadline)
{
    const auto found = calls.find(id);
    if (found == calls.end())
        return;
    PendingCall& call = found->second;
    const CallOutcome outcome = outcomeOfAbandonedCall(call.progress, byDeadline, call.bodySent());
    if (byDeadline || call.lastReason == RefusalReason::None)
        call.lastReason = byDeadline ? RefusalReason::DeadlinePassed : RefusalReason::Cancelled;
    detachFromFlow(id, call, true);
    finish(id, outcome);
}

void Caller::Private::finish(CallId id, CallOutcome outcome)
{
    auto node = calls.extract(id);
    PendingCall& call = node.mapped();
    callWakes.set(id, std::nullopt);
    CallResult result {
        .outcome = outcome,
        .reason = outcome == CallOutcome::AnswerWhole ? RefusalReason::None : call.lastReason,
        .status = call.answer ? call.answer->status() : 0,
        .tries = call.progress.tries,
        .owner = call.lastOwner,
        .elapsed = clock.now() - call.startedAt,
        .retryAfter = call.lastRetryAfter,
    };
    if (outcome == CallOutcome::AnswerWhole)
        result.body = call.answer->extractBody();
    if (call.handlers.onDone)
        asio::post(context, [onDone = std::move(call.handlers.onDone), result = std::move(result)]() mutable { onDone(std::move(result)); });
}

template <typename Body, typename Apply>
void Caller::Private::handleAnswer(const Body* body, Apply apply)
{
    if (!body)
        return;
    const auto request = requests.find(body->request());
    if (request == requests.end()) {
        ++counters.lateAnswers;
        return;
    }
    const CallId id = request->second;
    PendingCall& call = calls[id];
    apply(call, *body);
    handleAnswerState(id, call);
}

void Caller::Private::handleMessage(const wire::Message& message)
{
    handleAnswer(message.body_as_AnswerHead(), [](PendingCall& call, const wire::AnswerHead& head) { call.answer->receiveHead(head); });
    handleAnswer(message.body_as_AnswerChunk(), [this](PendingCall& call, const wire::AnswerChunk& chunk) { deliverChunk(call, call.answer->receiveChunk(chunk)); });
    handleAnswer(message.body_as_Refusal(), [](PendingCall& call, const wire::Refusal& refusal) { call.answer->receiveRefusal(refusal); });
}

void Caller::Private::deliverChunk(PendingCall& call, std::string_view bytes)
{
    if (bytes.empty() || !call.handlers.onChunk)
        return;
    asio::post(context, [onChunk = call.handlers.onChunk, piece = std::string(bytes)] { onChunk(piece); });
}

void Caller::Private::handleAnswerState(CallId id, PendingCall& call)
{
    const FlowEntry* flow = findFlow(call.flow);
    switch (call.answer->state()) {
    case AnswerState::Waiting:
        return;
    case AnswerState::Arriving:
        if (call.answer->isStream() && !std::exchange(call.progress.streamBegan, true))
            scheduleCall(id, call);
        return;
    case AnswerState::Whole:
        call.lastOwner = flow ? flow->flow.owner() : OwnerToken {};
        // The request needs to be cancelled only if its answer arrived before all of it was sent.
        detachFromFlow(id, call, !call.bodySent());
        finish(id, CallOutcome::AnswerWhole);
        return;
    case AnswerState::Refused: {
        const RefusalVerdict& refusal = call.answer->refusal();
        endTry(id, call, { .ran = refusal.ran, .reason = refusal.reason, .retryAfter = refusal.retryAfter });
        return;
    }
    case AnswerState::Faulty:
        counters.answerFaults.increment(call.answer->fault());
        // A faulty answer shows that the request ran; it may be retried only if it is idempotent.
        endTry(id, call, { .ran = call.progress.idempotent ? Ran::Unknown : Ran::Yes, .reason = RefusalReason::BodyCorrupt });
        return;
    }
}

}
