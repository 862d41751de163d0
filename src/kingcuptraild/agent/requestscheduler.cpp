#include "requestscheduler.h"

#include "answermessages.h"
#include "libruntime/events.h"
#include "upstreamrequest.h"

#include <algorithm>
#include <xxhash.h>

namespace kingcuptrail {

namespace {

    /// Chunks of a stream that may wait for space on a flow before reading from the upstream is paused.
    constexpr std::size_t maxStreamOutbox = 64;

    /// Suggested retry delay for a request that is refused for lack of memory, in milliseconds: about the time of one upload.
    constexpr Millis memoryRetryAfter = 1000;

}

RequestScheduler::RequestScheduler(asio::io_context& context, const Clock& clock, RequestSchedulerOptions options, Hooks hooks)
    : m_context(context)
    , m_clock(clock)
    , m_options(std::move(options))
    , m_hooks(std::move(hooks))
    , m_ledger(std::make_unique<Ledger>())
    , m_earlierOwners(earlierOwnerHooks())
{
}

EarlierOwnerQueries::Hooks RequestScheduler::earlierOwnerHooks()
{
    return {
        .sendQuery = m_hooks.sendLedgerQuery,
        .onClearToRun = [this](const RequestPtr& request) { enterLedger(request); },
        .onRefused = [this](const RequestPtr& request, const RefusalVerdict& verdict) { refuse(request, verdict); },
        .onAnswered = [this](const RequestPtr& request, const StoredAnswer& stored) { sendStoredAnswer(request, stored); },
    };
}

RequestScheduler::~RequestScheduler()
{
    for (const auto& [work, request] : m_byWork) {
        if (request->call)
            request->call->cancel();
    }
}

void RequestScheduler::setRefuseNew(RefusalReason reason)
{
    if (reason == m_refuseNew)
        return;
    m_refuseNew = reason;
    if (reason != RefusalReason::None)
        refuseWaiting(reason);
}

void RequestScheduler::refuseWaiting(RefusalReason reason)
{
    for (const RefusedItem& expired : refuseQueue(m_admission, reason, m_clock.now())) {
        if (const auto found = m_byWork.find(expired.item.id); found != m_byWork.end())
            refuse(RequestPtr(found->second), expired.refusal);
    }
}

bool RequestScheduler::handleMessage(FlowId flow, const wire::Message& message)
{
    if (const auto* head = message.body_as_RequestHead())
        receiveHead(flow, *head);
    else if (const auto* chunk = message.body_as_BodyChunk())
        receiveChunk(flow, *chunk);
    else if (const auto* withdrawn = message.body_as_Cancel())
        cancel(flow, withdrawn->request());
    else
        return false;
    return true;
}

void RequestScheduler::receiveHead(FlowId flow, const wire::RequestHead& head)
{
    if (m_requests.contains({ flow, head.request() }))
        return;
    auto request = std::make_shared<ActiveRequest>();
    request->flow = flow;
    request->request = head.request();
    request->work = ++m_lastWork;
    request->key = head.key() ? head.key()->str() : std::string();
    request->method = head.method() ? head.method()->str() : "GET";
    request->target = head.target() ? head.target()->str() : "/";
    request->idempotent = head.idempotent();
    request->stream = head.stream();
    request->workClass = head.long_work() ? WorkClass::Long : WorkClass::Short;
    request->arrivedAt = m_clock.now();
    request->deadline = request->arrivedAt + (head.deadline() > 0 ? head.deadline() : m_options.defaultDeadline);
    request->bodyLength = head.body_length();
    request->bodyHash = head.body_hash();
    if (head.earlier()) {
        for (const wire::Attempt* attempt : *head.earlier())
            request->earlier.push_back({ attempt->upstream(), attempt->incarnation() });
    }
    m_requests[{ flow, head.request() }] = request;
    m_byWork[request->work] = request;
    if (const auto verdict = checkHead(*request))
        refuse(request, *verdict);
    else if (request->bodyLength == 0)
        handleBodyComplete(request);
    else
        countHeldBytes(*request, request->bodyLength);
}

// Refuses a request that cannot succeed before its body is sent. A refusal after the upload would cost the end user the
// whole transfer.
std::optional<RefusalVerdict> RequestScheduler::checkHead(const ActiveRequest& request) const
{
    if (m_refuseNew != RefusalReason::None)
        return RefusalVerdict { Ran::No, m_refuseNew, 0 };
    if (!request.idempotent && request.key.empty())
        return RefusalVerdict { Ran::No, RefusalReason::BadRequest, 0 };
    if (request.bodyLength > m_options.maxBodyBytes)
        return RefusalVerdict { Ran::No, RefusalReason::BodyTooLarge, 0 };
    if (m_heldBytes + request.bodyLength > m_options.maxHeldBytes)
        return RefusalVerdict { Ran::No, RefusalReason::QueueFull, memoryRetryAfter };
    const Millis wait = expectedWait(m_admission, m_admissionOptions, request.workClass, request.arrivedAt);
    if (request.arrivedAt + wait > request.deadline)
        return RefusalVerdict { Ran::No, RefusalReason::ExpectedWaitTooLong, wait };
    return std::nullopt;
}

void RequestScheduler::receiveChunk(FlowId flow, const wire::BodyChunk& chunk)
{
    const RequestPtr request = find(flow, chunk.request());
    if (!request || request->stage != RequestStage::Receiving || !chunk.bytes())
        return;
    const std::size_t size = chunk.bytes()->size();
    if (chunk.offset() != request->body.size() || request->body.size() + size > request->bodyLength) {
        refuse(request, { Ran::No, RefusalReason::BodyCorrupt, 0 });
        return;
    }
    request->body.append(reinterpret_cast<const char*>(chunk.bytes()->data()), size);
    if (request->body.size() == request->bodyLength)
        handleBodyComplete(request);
}

void RequestScheduler::handleBodyComplete(const RequestPtr& request)
{
    if (request->bodyLength > 0 && XXH3_64bits(request->body.data(), request->body.size()) != request->bodyHash) {
        refuse(request, { Ran::No, RefusalReason::BodyCorrupt, 0 });
        return;
    }
    if (request->idempotent)
        submit(request);
    else if (!request->earlier.empty())
        m_earlierOwners.begin(request, m_ownToken, m_clock.now());
    else
        enterLedger(request);
}

void RequestScheduler::enterLedger(const RequestPtr& request)
{
    const BeginVerdict verdict = beginWork(*m_ledger, m_options.ledger, request->key, m_clock.now());
    if (verdict == BeginVerdict::Run) {
        request->inLedger = true;
        submit(request);
        return;
    }
    if (verdict == BeginVerdict::AlreadyRan) {
        if (const auto stored = m_answers.find(request->key)) {
            sendStoredAnswer(request, *stored);
            return;
        }
    }
    refuse(request, refusalOf(verdict));
}

// The request ran in an earlier attempt whose flow went silent, so the caller gets the stored answer of that attempt.
void RequestScheduler::sendStoredAnswer(const RequestPtr& request, const StoredAnswer& stored)
{
    m_metrics.ends.increment(RequestEnd::AnsweredFromLedger);
    answer(request, stored.status, stored.body);
}

void RequestScheduler::submit(const RequestPtr& request)
{
    const Millis now = m_clock.now();
    request->queuedAt = now;
    request->stage = RequestStage::Queued;
    const WorkItem item { .id = request->work, .workClass = request->workClass, .deadline = request->deadline, .queuedAt = now };
    const AdmitVerdict verdict = admit(m_admission, m_admissionOptions, item, now);
    if (verdict.decision == AdmitDecision::Run)
        run(request);
    else if (verdict.decision == AdmitDecision::Refuse)
        refuse(request, verdict.refusal);
}

void RequestScheduler::startRunnable()
{
    for (const WorkItem& item : dequeueRunnable(m_admission, m_admissionOptions, m_clock.now())) {
        const auto found = m_byWork.find(item.id);
        if (found != m_byWork.end())
            run(RequestPtr(found->second));
        else
            finishWork(m_admission, m_admissionOptions, item.workClass, WorkOutcome::Cancelled, 0, m_clock.now());
    }
}

void RequestScheduler::run(const RequestPtr& request)
{
    const Millis now = m_clock.now();
    request->stage = RequestStage::Running;
    request->startedAt = now;
    request->holdsSlot = true;
    m_metrics.queueTime.record(static_cast<double>(now - request->queuedAt));
    HttpRequest http = upstreamRequest(*request, m_options.service, now);
    HttpCallOptions options { .timeout = request->stream ? 0 : std::max<Millis>(request->deadline - now, 1) };
    HttpCall::Handlers handlers;
    handlers.onDone = [this, request](std::optional<HttpResponse> response, const HttpOutcome& outcome) {
        handleDone(request, std::move(response), outcome);
    };
    if (request->stream) {
        handlers.onHead = [this, request](const HttpResponse& head) { handleHead(request, head); };
        handlers.onChunk = [this, request](std::string_view chunk) { handleStreamChunk(request, chunk); };
    }
    request->call = startHttpCall(m_context, m_options.upstream, std::move(http), options, std::move(handlers));
}

// A feed stays open for hours, so it uses a slot only while the upstream sets it up. Otherwise two thousand open feeds on
// five slots would block every query. The slot for the setup makes feeds wait in the queue when all of them reconnect to a
// cold upstream at once.
void RequestScheduler::handleHead(const RequestPtr& request, const HttpResponse& head)
{
    if (isShed(head))
        return;
    finishSlot(request, WorkOutcome::Succeeded);
    request->streamOpen = true;
    request->outbox.push_back(answerHeadMessage(request->request, head.status, true, {}));
    flushOutbox(request);
}

void RequestScheduler::handleStreamChunk(const RequestPtr& request, std::string_view chunk)
{
    if (!request->streamOpen)
        return;
    appendChunks(request->outbox, request->request, request->streamOffset, chunk);
    request->streamOffset += chunk.size();
    flushOutbox(request);
    if (request->outbox.size() > maxStreamOutbox && request->call) {
        request->isPaused = true;
        request->call->pause();
    }
}

void RequestScheduler::handleDone(const RequestPtr& request, std::optional<HttpResponse> response, const HttpOutcome& outcome)
{
    request->call = nullptr;
    m_hooks.onConnectAttempt(response || outcome.mayHaveReached);
    if (request->streamOpen && outcome.error == HttpError::ConnectionLost)
        handleLostFeed();
    if (response && isShed(*response)) {
        finishSlot(request, WorkOutcome::Shed);
        refuse(request, { Ran::No, RefusalReason::UpstreamShed, retryAfterOf(*response) });
        return;
    }
    if (response && request->streamOpen) {
        endStream(request);
        return;
    }
    if (response && !request->stream) {
        finishSlot(request, WorkOutcome::Succeeded);
        if (request->inLedger)
            m_answers.add(request->key, { response->status, response->body });
        recordOutcome(request, LedgerState::Ran);
        m_metrics.ends.increment(RequestEnd::Answered);
        answer(request, response->status, response->body);
        return;
    }
    const bool isTimeout = outcome.error == HttpError::Timeout;
    finishSlot(request, isTimeout ? WorkOutcome::TimedOut : WorkOutcome::Failed);
    if (!outcome.mayHaveReached && !response)
        refuse(request, { Ran::No, RefusalReason::UpstreamUnreachable, 0 });
    else
        refuse(request, { Ran::Unknown, isTimeout ? RefusalReason::UpstreamTimeout : RefusalReason::UpstreamLost, 0 });
}

// An empty chunk marks the regular end of the feed by the upstream, as opposed to a lost connection.
void RequestScheduler::endStream(const RequestPtr& request)
{
    m_metrics.ends.increment(RequestEnd::StreamEnded);
    request->stage = RequestStage::Answering;
    request->outbox.push_back(answerChunkMessage(request->request, request->streamOffset, {}));
    flushOutbox(request);
}

// An upstream may restart between two probes while no request is in progress. Neither a failed request nor a refused
// connection then shows the restart, only feeds that lose their connection, and when all end users reconnect the cold
// upstream would get the load of a warm one. A restart breaks all feeds, so the upstream counts as cold only when no feed is
// left open; a single broken feed must not reduce a warm upstream to one slot.
void RequestScheduler::handleLostFeed()
{
    const bool isAnyFeedOpen = std::ranges::any_of(m_byWork, [](const auto& entry) { return entry.second->streamOpen && entry.second->call; });
    if (isAnyFeedOpen)
        return;
    restartWarmUp();
    logEvent(Event::UpstreamCold, { { "limit", currentLimit(m_admission) }, { "outcome", nameOf(HttpError::ConnectionLost) } });
}

void RequestScheduler::finishSlot(const RequestPtr& request, WorkOutcome outcome)
{
    if (!request->holdsSlot)
        return;
    request->holdsSlot = false;
    const Millis now = m_clock.now();
    const bool wasCold = isCold(m_admission);
    m_metrics.serviceTime.record(static_cast<double>(now - request->startedAt));
    finishWork(m_admission, m_admissionOptions, request->workClass, outcome, now - request->startedAt, now);
    if (wasCold != isCold(m_admission))
        logEvent(wasCold ? Event::UpstreamWarm : Event::UpstreamCold, { { "limit", currentLimit(m_admission) }, { "outcome", static_cast<std::uint64_t>(outcome) } });
    startRunnable();
}

void RequestScheduler::answer(const RequestPtr& request, int status, const std::string& body)
{
    request->stage = RequestStage::Answering;
    countHeldBytes(*request, body.size());
    request->outbox.push_back(answerHeadMessage(request->request, status, false, body));
    appendChunks(request->outbox, request->request, 0, body);
    flushOutbox(request);
}

void RequestScheduler::refuse(const RequestPtr& request, const RefusalVerdict& verdict)
{
    m_metrics.refusals.increment(verdict.reason);
    logSaturation(verdict.reason);
    m_metrics.refusedRan.increment(verdict.ran);
    m_metrics.ends.increment(request->streamOpen ? RequestEnd::StreamEnded : RequestEnd::Refused);
    recordOutcome(request, verdict.ran == Ran::No ? LedgerState::NotRun : LedgerState::Unknown);
    if (verdict.ran == Ran::Unknown && !request->idempotent)
        logEvent(Event::OutcomeUnknown, { { "key", request->key }, { "reason", nameOf(verdict.reason) } });
    request->stage = RequestStage::Answering;
    request->outbox.push_back(refusalMessage(request->request, verdict));
    flushOutbox(request);
}

void RequestScheduler::logSaturation(RefusalReason reason)
{
    const bool isSaturated = reason == RefusalReason::QueueFull || reason == RefusalReason::ExpectedWaitTooLong;
    if (!isSaturated || !m_saturationLog.isDue(m_clock.now()))
        return;
    logEvent(Event::Saturated, { { "leftOut", m_saturationLog.takeOmittedCount() }, { "reason", nameOf(reason) }, { "queued", queued(m_admission) }, { "limit", currentLimit(m_admission) } });
}

void RequestScheduler::recordOutcome(const RequestPtr& request, LedgerState outcome)
{
    if (!request->inLedger)
        return;
    request->inLedger = false;
    settleWork(*m_ledger, m_options.ledger, request->key, outcome, m_clock.now());
}

void RequestScheduler::flushOutbox(const RequestPtr& request)
{
    while (request->hasFlow && !request->outbox.empty()) {
        if (!m_hooks.send(request->flow, request->outbox.front()))
            return;
        request->outbox.pop_front();
    }
    if (request->stage == RequestStage::Answering) {
        removeRequest(request);
    } else if (request->isPaused && request->call) {
        request->isPaused = false;
        request->call->resume();
    }
}

void RequestScheduler::cancel(FlowId flow, std::uint64_t id)
{
    const RequestPtr request = find(flow, id);
    if (!request || request->stage == RequestStage::Answering)
        return;
    const bool mayHaveRun = request->stage == RequestStage::Running;
    withdrawRequest(request);
    refuse(request, { mayHaveRun ? Ran::Unknown : Ran::No, RefusalReason::Cancelled, 0 });
}

void RequestScheduler::withdrawRequest(const RequestPtr& request)
{
    if (request->stage == RequestStage::Queued)
        cancelQueued(m_admission, request->work);
    // An HTTP/1.1 request is cancelled by closing its connection; the slot is free from then on.
    if (request->call) {
        request->call->cancel();
        request->call = nullptr;
    }
    finishSlot(request, WorkOutcome::Cancelled);
}

void RequestScheduler::handleFlowWritable(FlowId flow)
{
    std::vector<RequestPtr> waiting;
    for (auto item = m_requests.lower_bound({ flow, 0 }); item != m_requests.end() && item->first.first == flow; ++item) {
        if (!item->second->outbox.empty())
            waiting.push_back(item->second);
    }
    for (const RequestPtr& request : waiting)
        flushOutbox(request);
}

void RequestScheduler::handleFlowEnded(FlowId flow)
{
    std::vector<RequestPtr> ended;
    for (auto item = m_requests.lower_bound({ flow, 0 }); item != m_requests.end() && item->first.first == flow; ++item)
        ended.push_back(item->second);
    for (const RequestPtr& request : ended) {
        request->hasFlow = false;
        m_requests.erase({ flow, request->request });
        const bool mayFinish = !request->idempotent && request->stage == RequestStage::Running;
        if (mayFinish)
            continue;
        m_metrics.ends.increment(RequestEnd::Abandoned);
        cancelAbandoned(request);
    }
}

void RequestScheduler::cancelAbandoned(const RequestPtr& request)
{
    withdrawRequest(request);
    recordOutcome(request, LedgerState::NotRun);
    removeRequest(request);
}

LedgerReply RequestScheduler::answerLedgerQuery(const std::string& key)
{
    LedgerReply reply { .state = queryAndFence(*m_ledger, m_options.ledger, key, m_clock.now()), .answer = std::nullopt };
    if (reply.state == LedgerState::Ran)
        reply.answer = m_answers.find(key);
    return reply;
}

void RequestScheduler::applyHint(const UpstreamHint& hint)
{
    kingcuptrail::applyHint(m_admission, m_admissionOptions, hint, m_clock.now());
}

void RequestScheduler::tick()
{
    const Millis now = m_clock.now();
    for (const RefusedItem& expired : removeExpired(m_admission, m_admissionOptions, now)) {
        if (const auto found = m_byWork.find(expired.item.id); found != m_byWork.end())
            refuse(RequestPtr(found->second), expired.refusal);
    }
    startRunnable();
    expireDeadlines(now);
    m_earlierOwners.tick(now);
    expireLedger(*m_ledger, m_options.ledger, now);
}

void RequestScheduler::expireDeadlines(Millis now)
{
    std::vector<RequestPtr> late;
    for (const auto& [work, request] : m_byWork) {
        const bool isWaiting = request->stage == RequestStage::Receiving || request->stage == RequestStage::AskingEarlier;
        if (isWaiting && now > request->deadline)
            late.push_back(request);
    }
    for (const RequestPtr& request : late)
        refuse(request, { Ran::No, RefusalReason::DeadlinePassed, 0 });
}

void RequestScheduler::removeRequest(const RequestPtr& request)
{
    m_heldBytes -= request->heldBytes;
    request->heldBytes = 0;
    m_byWork.erase(request->work);
    if (request->hasFlow)
        m_requests.erase({ request->flow, request->request });
}

void RequestScheduler::countHeldBytes(ActiveRequest& request, std::size_t bytes)
{
    request.heldBytes += bytes;
    m_heldBytes += bytes;
}

RequestScheduler::RequestPtr RequestScheduler::find(FlowId flow, std::uint64_t request) const
{
    const auto found = m_requests.find({ flow, request });
    return found == m_requests.end() ? nullptr : found->second;
}

bool RequestScheduler::hasRequests(FlowId flow) const
{
    const auto first = m_requests.lower_bound({ flow, 0 });
    return first != m_requests.end() && first->first.first == flow;
}

std::size_t RequestScheduler::ledgerSize() const
{
    return m_ledger->entries.size();
}

void RequestScheduler::exposeMetrics(std::string& out) const
{
    m_metrics.expose(out);
    exposeGauge(out, "kingcuptrail_slots_busy", "Requests at the upstream.", busy(m_admission));
    exposeGauge(out, "kingcuptrail_slots_limit", "Concurrency limit in force.", currentLimit(m_admission));
    exposeGauge(out, "kingcuptrail_queue_length", "Requests waiting for a slot.", queued(m_admission));
    exposeGauge(out, "kingcuptrail_held_bytes", "Bodies and answers held.", static_cast<double>(m_heldBytes));
    exposeGauge(out, "kingcuptrail_ledger_entries", "Keys of non-idempotent work held.", static_cast<double>(ledgerSize()));
}

}
