#include "checks.h"

#include <algorithm>

namespace kingcuptrail {

namespace {

    using Works = std::vector<WorkRecord>;

    const Works& worksOf(const HistoryIndex& index, const std::string& key)
    {
        static const Works none;
        const auto found = index.worksByKey.find(key);
        return found == index.worksByKey.end() ? none : found->second;
    }

    template <typename Visitor>
    void forEachCall(const HistoryIndex& index, Visitor visit)
    {
        for (const auto& [key, calls] : index.callsByKey) {
            for (const CallRecord& call : calls)
                visit(key, call);
        }
    }

    bool hasOutcome(const CallRecord& call, HistoryKind kind)
    {
        return call.outcome && call.outcome->kind == kind;
    }

    /// The upstreams that a call may have reached: those that ran its key, and the owner of its flow.
    std::vector<std::string> upstreamsOf(const HistoryIndex& index, const std::string& key, const CallRecord& call)
    {
        std::vector<std::string> result;
        for (const WorkRecord& work : worksOf(index, key))
            result.push_back(index.upstreamOf(*work.began));
        const auto flow = index.flows.find(call.sent->flow);
        if (flow != index.flows.end())
            result.push_back(flow->second.upstream);
        return result;
    }

    bool isCallExplainedByFailure(const CheckContext& context, const std::string& key, const CallRecord& call)
    {
        const auto upstreams = upstreamsOf(context.index, key, call);
        return std::ranges::any_of(upstreams, [&](const std::string& upstream) {
            return context.index.isExplainedByFailure(upstream, call.sent->at, call.outcome->at);
        });
    }

    void checkAnswerOf(const CheckContext& context, const std::string& key, const CallRecord& call)
    {
        if (hasOutcome(call, HistoryKind::AnswerBroken) && !isCallExplainedByFailure(context, key, call))
            context.report(Promise::WholeAnswers, "the answer to " + key + " broke off without a failure", { call.sent, call.outcome });
        if (!hasOutcome(call, HistoryKind::AnswerWhole))
            return;
        const bool wasSent = std::ranges::any_of(worksOf(context.index, key), [&](const WorkRecord& work) {
            return work.ended && work.ended->bodyHash == call.outcome->bodyHash;
        });
        if (!wasSent)
            context.report(Promise::WholeAnswers, "no upstream sent the answer that " + key + " received", { call.sent, call.outcome });
    }

    void checkRequestBody(const CheckContext& context, const std::string& key, const CallRecord& call)
    {
        for (const WorkRecord& work : worksOf(context.index, key)) {
            const bool bothKnown = work.began->bodyHash != 0 && call.sent->bodyHash != 0;
            if (bothKnown && work.began->bodyHash != call.sent->bodyHash)
                context.report(Promise::WholeAnswers, "an upstream received a request body for " + key + " that differs from the one sent", { call.sent, work.began });
        }
    }

    /// The sequence numbers of a feed must be contiguous; otherwise a caller would miss or repeat an item undetected.
    void checkFeeds(const CheckContext& context)
    {
        std::map<std::pair<std::string, std::string>, const HistoryEvent*> last;
        for (const HistoryEvent& event : context.events) {
            if (event.kind != HistoryKind::FeedItem)
                continue;
            const HistoryEvent*& previous = last[{ event.who, event.key }];
            if (previous && event.sequence != previous->sequence + 1)
                context.report(Promise::WholeAnswers, "feed " + event.key + " has a missing or repeated item", { previous, &event });
            previous = &event;
        }
    }

    bool wasUnderWay(const CallRecord& call, Millis at)
    {
        return call.sent->at <= at && call.outcome && call.outcome->at >= at;
    }

    /// Several calls may send the same key, of which one runs. The others do not count as interrupted if that call got the
    /// answer.
    bool wasAnsweredElsewhere(const HistoryIndex& index, const std::string& key)
    {
        const auto calls = index.callsByKey.find(key);
        return calls != index.callsByKey.end() && std::ranges::any_of(calls->second, [](const CallRecord& call) { return hasOutcome(call, HistoryKind::AnswerWhole); });
    }

    bool wasInterrupted(const HistoryIndex& index, const std::string& key, const CallRecord& call)
    {
        if (hasOutcome(call, HistoryKind::RefusedRan) || hasOutcome(call, HistoryKind::RefusedUnknown))
            return !wasAnsweredElsewhere(index, key);
        return hasOutcome(call, HistoryKind::AnswerBroken);
    }

    bool workedAt(const HistoryIndex& index, const std::string& key, const std::string& upstream, Millis at)
    {
        return std::ranges::any_of(worksOf(index, key), [&](const WorkRecord& work) {
            return index.upstreamOf(*work.began) == upstream && work.began->at <= at && (!work.ended || work.ended->at >= at);
        });
    }

    void checkShutdown(const CheckContext& context, const HistoryEvent& shutdown)
    {
        const std::string upstream = context.index.upstreamOf(shutdown);
        const bool isAgent = !upstream.empty();
        forEachCall(context.index, [&](const std::string& key, const CallRecord& call) {
            if (!wasUnderWay(call, shutdown.at) || !wasInterrupted(context.index, key, call))
                return;
            const bool isAffected = !isAgent || workedAt(context.index, key, upstream, shutdown.at);
            const bool isExplainedByFailure = isAgent ? isCallExplainedByFailure(context, key, call)
                                                      : isCallExplainedByFailure(context, key, call) || context.index.hasFailure(call.sent->at, call.outcome->at);
            if (isAffected && !isExplainedByFailure)
                context.report(Promise::ShutdownCutsNothing, key + " was interrupted when " + processOf(shutdown) + " shut down", { call.sent, &shutdown, call.outcome });
        });
    }

}

void checkAnswers(const CheckContext& context)
{
    forEachCall(context.index, [&](const std::string& key, const CallRecord& call) {
        checkAnswerOf(context, key, call);
        checkRequestBody(context, key, call);
    });
    checkFeeds(context);
}

void checkRefusals(const CheckContext& context)
{
    for (const auto& [key, calls] : context.index.callsByKey) {
        for (const WorkRecord& work : worksOf(context.index, key)) {
            // Several calls may send the same key; the work belongs to one of those sent before it began.
            const CallRecord* refused = nullptr;
            bool isExplained = false;
            for (const CallRecord& call : calls) {
                if (call.sent->at > work.began->at)
                    continue;
                if (hasOutcome(call, HistoryKind::RefusedNotRun))
                    refused = &call;
                else
                    isExplained = true;
            }
            if (refused && !isExplained)
                context.report(Promise::TrueRefusals, key + " was refused as not run, but ran", { refused->sent, work.began, refused->outcome });
        }
    }
}

void checkSingleRuns(const CheckContext& context)
{
    for (const auto& [key, works] : context.index.worksByKey) {
        if (works.size() > 1 && !context.index.isIdempotent(key))
            context.report(Promise::AtMostOnce, key + " is not idempotent and ran " + std::to_string(works.size()) + " times", { works[0].began, works[1].began });
    }
}

void checkShutdowns(const CheckContext& context)
{
    for (const HistoryEvent* shutdown : context.index.shutdowns)
        checkShutdown(context, *shutdown);
}

}
