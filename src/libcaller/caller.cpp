#include "caller.h"

#include "fabriclink.h"
#include "libruntime/clock.h"
#include "wakequeue.h"

#include <algorithm>
#include <asio/post.hpp>
#include <asio/steady_timer.hpp>
#include <deque>
#include <random>
#include <set>
#include <unordered_map>

namespace kingcuptrail {

namespace {

    /// Segments a flow's requests may put ahead of each other. The requests take turns, one message each, so that a
    /// short query does not wait behind the whole body of an upload.
    constexpr std::size_t sendAheadSegments = 64;

    struct Call {
        CallSpec spec;
        CallHandlers handlers;
        std::shared_ptr<const RequestSpec> request;
        CallProgress progress;
        Millis startedAt = 0;
        /// Of the try under way: its flow, and whether that was opened for it alone.
        FlowId flow = 0;
        bool ownsFlow = false;
        RequestId requestId = 0;
        std::optional<RequestSender> sender;
        std::optional<AnswerAssembly> answer;
        /// When the next try starts; nothing while one is under way.
        std::optional<Millis> retryAt;
        bool retryOnNewFlow = false;
        /// Whether the flow of the try under way was found suspect; decided on once.
        bool sawSuspect = false;
        RefusalReason lastReason = RefusalReason::None;
        Millis lastRetryAfter = 0;
        OwnerToken lastOwner;

        bool bodySent() const { return sender && sender->isDone(); }
    };

    struct Flow {
        explicit Flow(const CallerFlowOptions& options, Millis now)
            : flow(options, now)
        {
        }

        CallerFlow flow;
        /// Calls whose messages are still to be sent, in turn.
        std::deque<CallId> senders;
        std::set<CallId> calls;
        std::deque<Bytes> cancels;
        bool wasOpen = false;
        /// Takes no further call and closes with its last one.
        bool isRetiring = false;
    };

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

    /// Whether new requests should go to another owner than the one that refused for this reason. Its flow is kept for what
    /// it still carries, a feed for example.
    bool isOwnerUseless(RefusalReason reason)
    {
        return reason == RefusalReason::UpstreamDraining || reason == RefusalReason::UpstreamUnreachable;
    }

}

struct Caller::Private {
    Private(asio::io_context& ioContext, const CallerOptions& callerOptions, CallerHandlers callerHandlers);

    FlowId openFlow(ServiceAddress service);
    void closeFlow(Flow& flow);
    void retireIfUnused(Flow& flow);
    FlowId sharedFlow(ServiceAddress service);
    Flow* findFlow(FlowId id);

    CallId startCall(CallSpec spec, CallHandlers handlers);
    void startTry(CallId id, Call& call);
    FlowId flowForTry(Call& call);
    void endTry(CallId id, Call& call, const AttemptResult& result);
    bool tryAgain(CallId id, Call& call, const AttemptResult& result, bool tellUpstream);
    void leaveSuspect(Flow& flow);
    void leaveFlow(CallId id, Call& call, bool tellUpstream);
    void giveUp(CallId id, bool byDeadline);
    void finish(CallId id, CallOutcome outcome);
    void scheduleCall(CallId id, const Call& call);

    void handleLinkUp();
    void handlePacket(const wire::Packet& packet);
    void handleMessage(const wire::Message& message);
    template <typename Body, typename Take>
    void handleAnswer(const Body* body, Take take);
    void handleAnswerState(CallId id, Call& call);
    void deliverChunk(Call& call, std::string_view bytes);

    void pump(Flow& flow);
    void queueMessages(Flow& flow);
    void sendDue(Flow& flow);
    void handleFlowEnd(Flow& flow);
    void arm();
    void handleDue();

    asio::io_context& context;
    CallerOptions options;
    CallerHandlers handlers;
    CallerCounters counters;
    RetryBudget budget;
    Clock clock;
    std::mt19937_64 random;
    std::uint64_t source;
    FabricLink link;
    asio::steady_timer timer;
    WakeQueue<FlowId> flowWakes;
    WakeQueue<CallId> callWakes;
    std::optional<Millis> armedFor;
    std::unordered_map<FlowId, std::unique_ptr<Flow>> flows;
    std::unordered_map<CallId, Call> calls;
    std::unordered_map<RequestId, CallId> requests;
    std::unordered_map<ServiceAddress, std::vector<FlowId>> sharedFlows;
    std::uint64_t nextCall = 1;
    std::uint64_t nextRequest = 1;
    std::size_t nextShared = 0;
    std::shared_ptr<void> alive = std::make_shared<char>();
};

Caller::Private::Private(asio::io_context& ioContext, const CallerOptions& callerOptions, CallerHandlers callerHandlers)
    : context(ioContext)
    , options(callerOptions)
    , handlers(std::move(callerHandlers))
    , random(callerOptions.seed ? callerOptions.seed ^ bodyHashOf(callerOptions.name) : std::random_device()())
    , source(random() | 1)
    , link(ioContext, { .fabric = options.fabric, .source = source, .name = options.name }, { .onUp = [this] { handleLinkUp(); }, .onPacket = [this](const wire::Packet& packet) { handlePacket(packet); } })
    , timer(ioContext)
{
}

Flow* Caller::Private::findFlow(FlowId id)
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
    Flow& flow = *flows.emplace(id, std::make_unique<Flow>(flowOptions, clock.now())).first->second;
    ++counters.flowsOpened;
    pump(flow);
    return id;
}

void Caller::Private::closeFlow(Flow& flow)
{
    for (const CallId id : std::set<CallId>(flow.calls))
        giveUp(id, false);
    flow.flow.close();
    pump(flow);
}

void Caller::Private::retireIfUnused(Flow& flow)
{
    if (!flow.isRetiring || !flow.calls.empty() || flow.flow.state() == FlowState::Ended)
        return;
    flow.flow.close();
    flowWakes.set(flow.flow.id(), 0);
    arm();
}

FlowId Caller::Private::sharedFlow(ServiceAddress service)
{
    auto& shared = sharedFlows[service];
    std::erase_if(shared, [this](FlowId id) {
        Flow* flow = findFlow(id);
        if (!flow || flow->flow.state() == FlowState::Ended)
            return true;
        flow->isRetiring = flow->isRetiring || flow->flow.isSuspect();
        retireIfUnused(*flow);
        return flow->isRetiring;
    });
    if (shared.size() >= std::max<std::size_t>(options.sharedFlows, 1))
        return shared[nextShared++ % shared.size()];
    const FlowId id = openFlow(service);
    shared.push_back(id);
    return id;
}

CallId Caller::Private::startCall(CallSpec spec, CallHandlers callHandlers)
{
    const CallId id = nextCall++;
    Call& call = calls[id];
    call.request = std::make_shared<const RequestSpec>(std::move(spec.request));
    call.spec = std::move(spec);
    call.handlers = std::move(callHandlers);
    call.startedAt = clock.now();
    call.progress.idempotent = call.request->idempotent;
    call.progress.deadline = call.startedAt + call.spec.deadline;
    ++counters.calls;
    noteFirstTry(budget, options.retry);
    startTry(id, call);
    return id;
}

FlowId Caller::Private::flowForTry(Call& call)
{
    call.ownsFlow = false;
    const auto isUsable = [&](FlowId id) {
        const Flow* flow = findFlow(id);
        return flow && !flow->isRetiring && flow->flow.state() != FlowState::Ended && !(call.progress.idempotent && flow->flow.isSuspect());
    };
    if (call.retryOnNewFlow) {
        call.ownsFlow = true;
        return openFlow(call.spec.service);
    }
    if (call.spec.flow && isUsable(call.spec.flow))
        return call.spec.flow;
    return sharedFlow(call.spec.service);
}

void Caller::Private::startTry(CallId id, Call& call)
{
    call.retryAt.reset();
    call.sawSuspect = false;
    call.flow = flowForTry(call);
    call.requestId = nextRequest++;
    const Millis left = call.progress.deadline - clock.now();
    const auto earlier = options.nameEarlierOwners ? call.progress.earlier : std::vector<OwnerToken> {};
    call.sender.emplace(call.requestId, call.request, agentDeadline(left), earlier);
    call.answer.emplace(call.request->stream);
    ++call.progress.tries;
    ++counters.tries;
    requests[call.requestId] = id;
    Flow& flow = *flows[call.flow];
    flow.isRetiring = flow.isRetiring || call.ownsFlow;
    flow.calls.insert(id);
    flow.senders.push_back(id);
    scheduleCall(id, call);
    flowWakes.set(call.flow, 0);
    arm();
}

void Caller::Private::scheduleCall(CallId id, const Call& call)
{
    std::optional<Millis> at;
    if (!call.progress.streamBegan)
        at = call.progress.deadline;
    if (call.retryAt)
        at = std::min(*call.retryAt, call.progress.deadline);
    callWakes.set(id, at);
    arm();
}

void Caller::Private::leaveFlow(CallId id, Call& call, bool tellUpstream)
{
    requests.erase(call.requestId);
    Flow* flow = findFlow(call.flow);
    if (!flow)
        return;
    flow->calls.erase(id);
    std::erase(flow->senders, id);
    if (tellUpstream && call.sender && call.sender->hasBegun() && flow->flow.state() == FlowState::Open) {
        flow->cancels.push_back(encodeCancel(call.requestId));
        flowWakes.set(call.flow, 0);
        arm();
    }
    retireIfUnused(*flow);
}

void Caller::Private::endTry(CallId id, Call& call, const AttemptResult& result)
{
    counters.refusals.increment(result.reason);
    call.lastReason = result.reason;
    call.lastRetryAfter = result.retryAfter;
    Flow* flow = findFlow(call.flow);
    call.lastOwner = flow ? flow->flow.owner() : OwnerToken {};
    if (flow && isOwnerUseless(result.reason))
        flow->isRetiring = true;
    if (tryAgain(id, call, result, false))
        return;
    leaveFlow(id, call, false);
    finish(id, outcomeAfter(call.progress, result));
}

bool Caller::Private::tryAgain(CallId id, Call& call, const AttemptResult& result, bool tellUpstream)
{
    const Millis now = clock.now();
    const RetryVerdict verdict = noteTryEnd(call.progress, budget, options.retry, result, call.lastOwner, now);
    counters.retries.increment(verdict.reason);
    if (!verdict.retry)
        return false;
    leaveFlow(id, call, tellUpstream);
    call.retryAt = now + verdict.delay;
    call.retryOnNewFlow = verdict.newFlow;
    call.sender.reset();
    scheduleCall(id, call);
    return true;
}

// Load: a few flows that have gone silent while new ones work.
// Harm: a query that waits until its flow is given up misses its deadline; one tried elsewhere at once, at every late
// packet, would double the load of a system that is merely slow.
// Limit: idempotent requests with an ordinary answer only, after more silence than the resends over the other balancers
// need, and out of the retry budget. Without a retry the call goes on waiting.
void Caller::Private::leaveSuspect(Flow& flow)
{
    for (const CallId id : std::set<CallId>(flow.calls)) {
        Call& call = calls[id];
        if (!call.progress.idempotent || call.request->stream || std::exchange(call.sawSuspect, true))
            continue;
        tryAgain(id, call, attemptLostWithFlow(RefusalReason::FlowSilent, 0, true), true);
    }
}

// The end user gets the result now, not when the flow or the upstream has got round to it: whatever arrives later finds
// no request and is counted as late.
void Caller::Private::giveUp(CallId id, bool byDeadline)
{
    const auto found = calls.find(id);
    if (found == calls.end())
        return;
    Call& call = found->second;
    const CallOutcome outcome = outcomeGivenUp(call.progress, byDeadline, call.bodySent());
    if (byDeadline || call.lastReason == RefusalReason::None)
        call.lastReason = byDeadline ? RefusalReason::DeadlinePassed : RefusalReason::Cancelled;
    leaveFlow(id, call, true);
    finish(id, outcome);
}

void Caller::Private::finish(CallId id, CallOutcome outcome)
{
    auto node = calls.extract(id);
    Call& call = node.mapped();
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
        result.body = call.answer->takeBody();
    if (call.handlers.onDone)
        asio::post(context, [onDone = std::move(call.handlers.onDone), result = std::move(result)]() mutable { onDone(std::move(result)); });
}

void Caller::Private::handleLinkUp()
{
    const Millis now = clock.now();
    for (const auto& [id, flow] : flows) {
        flow->flow.handlePathUp(now);
        flowWakes.set(id, flow->flow.nextDue());
    }
    arm();
}

void Caller::Private::handlePacket(const wire::Packet& packet)
{
    Flow* flow = findFlow(packet.flow());
    if (!flow) {
        // An agent that still holds a flow which has ended here would keep it until it goes silent.
        const bool isHeld = packet.kind() != wire::PacketKind::Reset && packet.kind() != wire::PacketKind::Close;
        if (isHeld && ownerOf(packet).isSet())
            link.send(closeFrameFor(packet));
        return;
    }
    flow->flow.receive(packet, clock.now());
    while (const auto payload = flow->flow.takeDelivered()) {
        if (const auto* message = readMessage(*payload))
            handleMessage(*message);
        else
            ++counters.badMessages;
    }
    pump(*flow);
}

template <typename Body, typename Take>
void Caller::Private::handleAnswer(const Body* body, Take take)
{
    if (!body)
        return;
    const auto request = requests.find(body->request());
    if (request == requests.end()) {
        ++counters.lateAnswers;
        return;
    }
    const CallId id = request->second;
    Call& call = calls[id];
    take(call, *body);
    handleAnswerState(id, call);
}

void Caller::Private::handleMessage(const wire::Message& message)
{
    handleAnswer(message.body_as_AnswerHead(), [](Call& call, const wire::AnswerHead& head) { call.answer->takeHead(head); });
    handleAnswer(message.body_as_AnswerChunk(), [this](Call& call, const wire::AnswerChunk& chunk) { deliverChunk(call, call.answer->takeChunk(chunk)); });
    handleAnswer(message.body_as_Refusal(), [](Call& call, const wire::Refusal& refusal) { call.answer->takeRefusal(refusal); });
}

void Caller::Private::deliverChunk(Call& call, std::string_view bytes)
{
    if (bytes.empty() || !call.handlers.onChunk)
        return;
    asio::post(context, [onChunk = call.handlers.onChunk, piece = std::string(bytes)] { onChunk(piece); });
}

void Caller::Private::handleAnswerState(CallId id, Call& call)
{
    const Flow* flow = findFlow(call.flow);
    switch (call.answer->state()) {
    case AnswerState::Waiting:
        return;
    case AnswerState::Arriving:
        if (call.answer->isStream() && !std::exchange(call.progress.streamBegan, true))
            scheduleCall(id, call);
        return;
    case AnswerState::Whole:
        call.lastOwner = flow ? flow->flow.owner() : OwnerToken {};
        // Only an answer that came before the request was all sent leaves something for the upstream to stop.
        leaveFlow(id, call, !call.bodySent());
        finish(id, CallOutcome::AnswerWhole);
        return;
    case AnswerState::Refused: {
        const RefusalVerdict& refusal = call.answer->refusal();
        endTry(id, call, { .ran = refusal.ran, .reason = refusal.reason, .retryAfter = refusal.retryAfter });
        return;
    }
    case AnswerState::Faulty:
        counters.answerFaults.increment(call.answer->fault());
        // A faulty answer shows that the request ran; doing it again is harmless only when it is idempotent.
        endTry(id, call, { .ran = call.progress.idempotent ? Ran::Unknown : Ran::Yes, .reason = RefusalReason::BodyCorrupt });
        return;
    }
}

void Caller::Private::queueMessages(Flow& flow)
{
    while (!flow.cancels.empty() && flow.flow.unacknowledged() < sendAheadSegments) {
        flow.flow.send(std::move(flow.cancels.front()));
        flow.cancels.pop_front();
    }
    while (!flow.senders.empty() && flow.flow.unacknowledged() < sendAheadSegments) {
        const CallId id = flow.senders.front();
        flow.senders.pop_front();
        RequestSender& sender = *calls[id].sender;
        if (auto message = sender.next())
            flow.flow.send(std::move(*message));
        if (!sender.isDone())
            flow.senders.push_back(id);
    }
}

void Caller::Private::sendDue(Flow& flow)
{
    // Nothing is queued before an owner is known, so a flow that nobody took has carried nothing.
    if (flow.flow.state() == FlowState::Open)
        queueMessages(flow);
    for (Bytes& frame : flow.flow.takeDue(clock.now()))
        link.send(std::move(frame));
}

void Caller::Private::pump(Flow& flow)
{
    const FlowId id = flow.flow.id();
    if (flow.flow.state() == FlowState::Open && !std::exchange(flow.wasOpen, true)) {
        if (handlers.onFlowOpened)
            asio::post(context, [onFlowOpened = handlers.onFlowOpened, id, owner = flow.flow.owner()] { onFlowOpened(id, owner); });
    }
    sendDue(flow);
    if (flow.flow.isSuspect()) {
        leaveSuspect(flow);
        sendDue(flow);
    }
    flowWakes.set(id, flow.flow.nextDue());
    if (flow.flow.state() == FlowState::Ended)
        handleFlowEnd(flow);
    arm();
}

void Caller::Private::handleFlowEnd(Flow& flow)
{
    const FlowId id = flow.flow.id();
    const CallerFlowEnd end = flow.flow.end();
    const RefusalReason reason = reasonOf(flow.flow);
    counters.flowEnds.increment(end);
    for (const CallId callId : std::set<CallId>(flow.calls)) {
        Call& call = calls[callId];
        endTry(callId, call, attemptLostWithFlow(reason, flow.flow.retryAfter(), call.bodySent()));
    }
    flowWakes.set(id, std::nullopt);
    flows.erase(id);
    if (handlers.onFlowEnded)
        asio::post(context, [onFlowEnded = handlers.onFlowEnded, id, end, reason] { onFlowEnded(id, end, reason); });
}

void Caller::Private::arm()
{
    auto next = flowWakes.next();
    if (const auto call = callWakes.next())
        next = next ? std::min(*next, *call) : call;
    if (!next || (armedFor && *armedFor <= *next))
        return;
    armedFor = next;
    timer.expires_after(std::chrono::milliseconds(std::max<Millis>(0, *next - clock.now())));
    timer.async_wait([this, guard = std::weak_ptr<void>(alive)](asio::error_code error) {
        if (!error && !guard.expired())
            handleDue();
    });
}

void Caller::Private::handleDue()
{
    armedFor.reset();
    const Millis now = clock.now();
    while (const auto id = callWakes.takeDue(now)) {
        Call& call = calls[*id];
        if (now >= call.progress.deadline)
            giveUp(*id, true);
        else
            startTry(*id, call);
    }
    while (const auto id = flowWakes.takeDue(now))
        pump(*flows[*id]);
    arm();
}

Caller::Caller(asio::io_context& context, const CallerOptions& options, CallerHandlers handlers)
    : m_d(std::make_unique<Private>(context, options, std::move(handlers)))
{
}

Caller::~Caller() = default;

FlowId Caller::openFlow(ServiceAddress service)
{
    return m_d->openFlow(service);
}

void Caller::closeFlow(FlowId flow)
{
    if (Flow* found = m_d->findFlow(flow))
        m_d->closeFlow(*found);
}

CallId Caller::call(CallSpec spec, CallHandlers handlers)
{
    return m_d->startCall(std::move(spec), std::move(handlers));
}

void Caller::cancel(CallId call)
{
    m_d->giveUp(call, false);
}

const CallerCounters& Caller::counters() const
{
    return m_d->counters;
}

std::size_t Caller::flowCount() const
{
    return m_d->flows.size();
}

std::uint64_t Caller::source() const
{
    return m_d->source;
}

void Caller::shutDown()
{
    for (auto& [id, call] : m_d->calls)
        call.handlers = {};
    while (!m_d->flows.empty())
        m_d->closeFlow(*m_d->flows.begin()->second);
    m_d->link.close();
}

}
