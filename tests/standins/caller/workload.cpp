#include "workload.h"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace kingcuptrail {

namespace {

    constexpr auto reopenAfter = std::chrono::milliseconds(300);
    constexpr auto pollInterval = std::chrono::milliseconds(50);
    /// Time for the closes of flows to be sent and the last handlers to run.
    constexpr auto closingTime = std::chrono::milliseconds(300);

    HistoryKind historyKindOf(CallOutcome outcome)
    {
        switch (outcome) {
        case CallOutcome::AnswerWhole:
            return HistoryKind::AnswerWhole;
        case CallOutcome::RefusedNotRun:
            return HistoryKind::RefusedNotRun;
        case CallOutcome::RefusedRan:
            return HistoryKind::RefusedRan;
        case CallOutcome::OutcomeUnknown:
            return HistoryKind::RefusedUnknown;
        case CallOutcome::StreamBroken:
            return HistoryKind::AnswerBroken;
        default:
            return HistoryKind::CallGaveUp;
        }
    }

    template <typename Enum>
    nlohmann::json countsToJson(const EnumCounters<Enum>& counters)
    {
        nlohmann::json counts = nlohmann::json::object();
        for (std::size_t index = 0; index < EnumNames<Enum>::names.size(); ++index) {
            if (const auto count = counters.count(static_cast<Enum>(index)))
                counts[std::string(EnumNames<Enum>::names[index])] = count;
        }
        return counts;
    }

    /// Whether the receipt in an answer names this request; the answer to another request would name another key.
    bool receiptNamesKey(const std::string& body, const std::string& key)
    {
        const auto receipt = nlohmann::json::parse(body, nullptr, false);
        return receipt.is_object() && receipt.value("key", "") == key;
    }

}

Workload::PeriodicAction::PeriodicAction(asio::io_context& context, double perSecond, std::size_t limit, std::function<void()> action)
    : timer(context)
    , next(std::chrono::steady_clock::now())
    , interval(static_cast<std::int64_t>(1e9 / perSecond))
    , remaining(limit)
    , act(std::move(action))
{
    schedule();
}

void Workload::PeriodicAction::schedule()
{
    if (remaining == 0)
        return;
    next += interval;
    timer.expires_at(next);
    timer.async_wait([this](asio::error_code error) {
        if (error || remaining == 0)
            return;
        --remaining;
        act();
        schedule();
    });
}

Workload::Workload(asio::io_context& context, const CallerOptions& callerOptions, const WorkloadOptions& options, HistoryWriter* history)
    : m_context(context)
    , m_options(options)
    , m_history(history)
    , m_name(callerOptions.name)
    , m_random(options.seed)
    , m_caller(context, callerOptions,
          { .onFlowOpened = [this](FlowId flow, const OwnerToken& owner) {
               ++m_flowsOpened;
               m_opened[flow] = true;
               record({ .kind = HistoryKind::FlowOpened, .flow = flow, .service = m_options.serviceName, .upstreamId = owner.upstream }); },
              .onFlowEnded = [this](FlowId flow, CallerFlowEnd end, RefusalReason reason) { handleFlowEnd(flow, end, reason); } })
    , m_timer(context)
{
    for (std::size_t index = 0; index < options.flows; ++index)
        openHeldFlow();
    for (std::size_t index = 0; index < options.feeds; ++index)
        startFeed();
    const double seconds = static_cast<double>(options.duration) / 1000;
    const auto addPeriodicAction = [this](double perSecond, std::size_t limit, std::function<void()> act) {
        if (perSecond > 0)
            m_periodicActions.push_back(std::make_unique<PeriodicAction>(m_context, perSecond, limit, std::move(act)));
    };
    addPeriodicAction(options.queriesPerSecond, SIZE_MAX, [this] { sendQuery(); });
    addPeriodicAction(static_cast<double>(options.filings + 1) / seconds, options.filings, [this] { sendFiling(); });
    m_timer.expires_after(std::chrono::milliseconds(options.duration));
    m_timer.async_wait([this](asio::error_code error) {
        if (!error)
            finish();
    });
}

void Workload::openHeldFlow()
{
    m_flows.push_back(m_caller.openFlow(m_options.service));
}

void Workload::startFeed()
{
    const FlowId flow = m_caller.openFlow(m_options.service);
    auto feed = std::make_shared<Feed>(Feed { .key = newKey("feed") });
    CallSpec spec { .service = m_options.service, .flow = flow, .deadline = m_options.filingDeadline, .request = { .target = "/feed", .key = feed->key, .stream = true } };
    auto id = std::make_shared<CallId>();
    *id = call(
        std::move(spec), [this, feed](std::string_view bytes) { parseFeedItems(*feed, bytes); },
        [this, flow, id](const CallResult&) {
            m_feedCalls.erase(*id);
            m_caller.closeFlow(flow);
            auto timer = std::make_shared<asio::steady_timer>(m_context, reopenAfter);
            timer->async_wait([this, timer](asio::error_code error) {
                if (!error && !m_finishing)
                    startFeed();
            });
        });
    m_feedCalls[*id] = true;
}

void Workload::parseFeedItems(Feed& feed, std::string_view bytes)
{
    feed.partial.append(bytes);
    for (std::size_t end = feed.partial.find('\n'); end != std::string::npos; end = feed.partial.find('\n')) {
        ++m_feedItems;
        record({ .kind = HistoryKind::FeedItem, .key = feed.key, .sequence = std::stoull(feed.partial.substr(feed.partial.find(' '), end)) });
        feed.partial.erase(0, end + 1);
    }
}

void Workload::sendQuery()
{
    const FlowId flow = m_flows.empty() ? 0 : m_flows[m_random() % m_flows.size()];
    const std::string key = newKey("query");
    call({ .service = m_options.service, .flow = flow, .deadline = m_options.queryDeadline, .request = { .target = "/status?permit=" + key, .key = key } }, {}, {});
}

void Workload::sendFiling()
{
    std::string body(m_options.filingBytes, '\0');
    std::ranges::generate(body, [this] { return static_cast<char>(m_random()); });
    const RequestSpec request { .method = "POST", .target = "/filings", .key = newKey("filing"), .body = std::move(body), .idempotent = false, .longWork = true };
    call({ .service = m_options.service, .deadline = m_options.filingDeadline, .request = request }, {}, {});
}

CallId Workload::call(CallSpec spec, std::function<void(std::string_view)> onChunk, std::function<void(const CallResult&)> onDone)
{
    HistoryEvent event { .kind = HistoryKind::RequestSent, .key = spec.request.key, .flow = spec.flow, .service = m_options.serviceName, .idempotent = spec.request.idempotent };
    event.bodyHash = bodyHashOf(spec.request.body);
    record(event);
    event.bodyHash = 0;
    ++m_callsInProgress;
    return m_caller.call(std::move(spec),
        { .onDone = [this, event, onDone = std::move(onDone)](const CallResult& result) {
             --m_callsInProgress;
             recordResult(event, result);
             if (onDone)
                 onDone(result); },
            .onChunk = std::move(onChunk) });
}

void Workload::recordResult(HistoryEvent event, const CallResult& result)
{
    m_outcomes.increment(result.outcome);
    m_finalReasons.increment(result.reason);
    if (result.outcome == CallOutcome::AnswerWhole)
        m_latency.record(static_cast<double>(result.elapsed));
    event.kind = historyKindOf(result.outcome);
    event.reason = result.reason;
    event.detail = "tries=" + std::to_string(result.tries);
    if (result.outcome == CallOutcome::AnswerWhole) {
        event.bodyHash = bodyHashOf(result.body);
        if (!receiptNamesKey(result.body, event.key)) {
            ++m_foreignAnswers;
            event.detail = "status=" + std::to_string(result.status) + " foreign answer: " + result.body;
        }
    }
    record(std::move(event));
}

void Workload::handleFlowEnd(FlowId flow, CallerFlowEnd end, RefusalReason reason)
{
    const bool wasOpen = m_opened.erase(flow) > 0;
    const auto held = std::ranges::find(m_flows, flow);
    if (held != m_flows.end()) {
        m_flows.erase(held);
        if (!m_finishing)
            openHeldFlow();
    }
    if (!wasOpen)
        return;
    HistoryEvent event { .kind = HistoryKind::FlowBroken, .flow = flow, .reason = reason, .detail = std::string(nameOf(end)) };
    // A draining upstream closes only idle flows, so no request was cut.
    if (end == CallerFlowEnd::ClosedHere || end == CallerFlowEnd::Drained)
        event.kind = HistoryKind::FlowClosed;
    if (end == CallerFlowEnd::GivenUp)
        event.kind = HistoryKind::FlowGivenUp;
    record(std::move(event));
}

void Workload::finish()
{
    if (std::exchange(m_finishing, true))
        return;
    // The periodic actions are not destroyed here, because the handler of a timer that has already expired still runs.
    for (const auto& periodicAction : m_periodicActions)
        periodicAction->remaining = 0;
    for (const auto& [id, isOpen] : std::map<CallId, bool>(m_feedCalls))
        m_caller.cancel(id);
    awaitCalls();
}

void Workload::awaitCalls()
{
    const bool isDone = m_callsInProgress == 0;
    if (isDone)
        m_caller.shutDown();
    m_timer.expires_after(isDone ? closingTime : pollInterval);
    m_timer.async_wait([this, isDone](asio::error_code error) {
        if (error)
            return;
        if (isDone)
            m_context.stop();
        else
            awaitCalls();
    });
}

std::string Workload::summary() const
{
    const CallerCounters& counters = m_caller.counters();
    return nlohmann::json {
        { "flowsOpened", m_flowsOpened },
        { "calls", counters.calls },
        { "tries", counters.tries },
        { "feedItems", m_feedItems },
        { "foreignAnswers", m_foreignAnswers },
        { "lateAnswers", counters.lateAnswers },
        { "outcomes", countsToJson(m_outcomes) },
        { "finalReasons", countsToJson(m_finalReasons) },
        { "flowEnds", countsToJson(counters.flowEnds) },
        { "refusals", countsToJson(counters.refusals) },
        { "retries", countsToJson(counters.retries) },
        { "answerFaults", countsToJson(counters.answerFaults) },
        { "latencyP50", m_latency.percentile(0.5) },
        { "latencyP99", m_latency.percentile(0.99) },
    }
        .dump();
}

void Workload::record(HistoryEvent event)
{
    if (m_history)
        m_history->append(std::move(event));
}

std::string Workload::newKey(std::string_view kind)
{
    return m_name + "-" + std::string(kind) + "-" + std::to_string(m_nextKey++);
}

}
