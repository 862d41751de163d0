#include "callerprivate.h"

#include <algorithm>
#include <asio/post.hpp>

namespace kingcuptrail {

namespace {

    /// Maximum number of unacknowledged segments of a flow. The requests on a flow send one message each in turn, so
    /// that a short query does not wait behind the whole body of an upload.
    constexpr std::size_t maxUnacknowledgedSegments = 64;

    RefusalReason reasonOf(const CallerFlow& flow)
    {
        switch (flow.end()) {
        case CallerFlowEnd::Silent:
        case CallerFlowEnd::Unanswered:
            return RefusalReason::FlowSilent;
        case CallerFlowEnd::ClosedHere:
            return RefusalReason::Cancelled;
        case CallerFlowEnd::ClosedByPeer:
            return RefusalReason::OwnerGone;
        default:
            return flow.lastReason();
        }
    }

}

FlowEntry* Caller::Private::findFlow(FlowId id)
{
    const auto found = flows.find(id);
    return found == flows.end() ? nullptr : found->second.get();
}

FlowId Caller::Private::openFlow(ServiceAddress service)
{
    const FlowId id = random() | 1;
    const CallerFlowOptions flowOptions {
        .flow = id,
        .service = service,
        .source = source,
        .probeInterval = options.probeInterval,
        .silenceLimit = options.silenceLimit,
        .openLimit = options.openLimit,
    };
    FlowEntry& flow = *flows.emplace(id, std::make_unique<FlowEntry>(flowOptions, clock.now())).first->second;
    ++counters.flowsOpened;
    pump(flow);
    return id;
}

void Caller::Private::closeFlow(FlowEntry& flow)
{
    for (const CallId id : std::set<CallId>(flow.calls))
        abandonCall(id, false);
    flow.flow.close();
    pump(flow);
}

void Caller::Private::retireIfUnused(FlowEntry& flow)
{
    if (!flow.isRetiring || !flow.calls.empty() || flow.flow.state() == FlowState::Ended)
        return;
    flow.flow.close();
    flowWakes.set(flow.flow.id(), 0);
    armTimer();
}

std::vector<FlowId>& Caller::Private::usableSharedFlows(ServiceAddress service)
{
    auto& shared = sharedFlows[service];
    std::erase_if(shared, [this](FlowId id) {
        FlowEntry* flow = findFlow(id);
        if (!flow || flow->flow.state() == FlowState::Ended)
            return true;
        flow->isRetiring = flow->isRetiring || flow->flow.isSuspect();
        retireIfUnused(*flow);
        return flow->isRetiring;
    });
    return shared;
}

FlowId Caller::Private::openSharedFlow(ServiceAddress service)
{
    const FlowId id = openFlow(service);
    sharedFlows[service].push_back(id);
    return id;
}

FlowId Caller::Private::sharedFlow(ServiceAddress service)
{
    const auto& shared = usableSharedFlows(service);
    if (shared.size() < std::max<std::size_t>(options.sharedFlows, 1))
        return openSharedFlow(service);
    return shared[nextShared++ % shared.size()];
}

// Retries requests on other flows when this flow is suspect, because a query that waits until the silence limit misses
// its deadline. Retrying at every late packet would double the load of a system that is merely slow, so this is limited
// to idempotent requests with an ordinary answer, to a silence longer than resends over the other balancers need, and to
// the retry budget. A call that is not retried goes on waiting.
void Caller::Private::retryCallsOfSuspectFlow(FlowEntry& flow)
{
    for (const CallId id : std::set<CallId>(flow.calls)) {
        PendingCall& call = calls[id];
        if (!call.progress.idempotent || call.request->stream || std::exchange(call.suspectHandled, true))
            continue;
        retryIfAllowed(id, call, attemptLostWithFlow(RefusalReason::FlowSilent, 0, true), true);
    }
}

void Caller::Private::handleLinkUp()
{
    const Millis now = clock.now();
    for (const auto& [id, flow] : flows) {
        flow->flow.handlePathUp(now);
        flowWakes.set(id, flow->flow.nextDueTime());
    }
    armTimer();
}

void Caller::Private::handlePacket(const wire::Packet& packet)
{
    FlowEntry* flow = findFlow(packet.flow());
    if (!flow) {
        // The agent still holds a flow that has ended here; without a close packet it would keep it until its silence limit.
        const bool isHeldByAgent = packet.kind() != wire::PacketKind::Reset && packet.kind() != wire::PacketKind::Close;
        if (isHeldByAgent && ownerOf(packet).isSet())
            link.send(closeFrameFor(packet));
        return;
    }
    flow->flow.receive(packet, clock.now());
    while (const auto payload = flow->flow.dequeuePayload()) {
        if (const auto* message = decodeMessage(*payload))
            handleMessage(*message);
        else
            ++counters.badMessages;
    }
    pump(*flow);
}

void Caller::Private::queueMessages(FlowEntry& flow)
{
    while (!flow.cancels.empty() && flow.flow.unacknowledged() < maxUnacknowledgedSegments) {
        flow.flow.send(std::move(flow.cancels.front()));
        flow.cancels.pop_front();
    }
    while (!flow.senders.empty() && flow.flow.unacknowledged() < maxUnacknowledgedSegments) {
        const CallId id = flow.senders.front();
        flow.senders.pop_front();
        RequestSender& sender = *calls[id].sender;
        if (auto message = sender.next())
            flow.flow.send(std::move(*message));
        if (!sender.isDone())
            flow.senders.push_back(id);
    }
}

void Caller::Private::sendDue(FlowEntry& flow)
{
    // Messages are queued only once the owner is known, so a flow that no agent accepted has carried no request.
    if (flow.flow.state() == FlowState::Open)
        queueMessages(flow);
    for (Bytes& frame : flow.flow.collectOutgoing(clock.now()))
        link.send(std::move(frame));
}

void Caller::Private::pump(FlowEntry& flow)
{
    const FlowId id = flow.flow.id();
    if (flow.flow.state() == FlowState::Open && !std::exchange(flow.wasOpen, true)) {
        if (handlers.onFlowOpened)
            asio::post(context, [onFlowOpened = handlers.onFlowOpened, id, owner = flow.flow.owner()] { onFlowOpened(id, owner); });
    }
    sendDue(flow);
    if (flow.flow.isSuspect()) {
        retryCallsOfSuspectFlow(flow);
        sendDue(flow);
    }
    flowWakes.set(id, flow.flow.nextDueTime());
    if (flow.flow.state() == FlowState::Ended)
        handleFlowEnd(flow);
    armTimer();
}

void Caller::Private::handleFlowEnd(FlowEntry& flow)
{
    const FlowId id = flow.flow.id();
    const CallerFlowEnd end = flow.flow.end();
    const RefusalReason reason = reasonOf(flow.flow);
    counters.flowEnds.increment(end);
    for (const CallId callId : std::set<CallId>(flow.calls)) {
        PendingCall& call = calls[callId];
        endTry(callId, call, attemptLostWithFlow(reason, flow.flow.retryAfter(), call.bodySent()));
    }
    flowWakes.set(id, std::nullopt);
    flows.erase(id);
    if (handlers.onFlowEnded)
        asio::post(context, [onFlowEnded = handlers.onFlowEnded, id, end, reason] { onFlowEnded(id, end, reason); });
}

}
