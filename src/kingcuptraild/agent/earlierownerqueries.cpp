#include "earlierownerqueries.h"

#include <algorithm>
#include <vector>

namespace kingcuptrail {

namespace {

    /// Wait before an unanswered query is repeated, in milliseconds, and the number of attempts. The balancer that carried a
    /// query may have failed, so the next attempt goes over another link.
    constexpr Millis queryRetryInterval = 300;
    constexpr std::uint32_t maxQueryAttempts = 4;

    bool isQuerying(const EarlierOwnerQueries::RequestPtr& request)
    {
        return request && request->stage == RequestStage::AskingEarlier;
    }

}

EarlierOwnerQueries::EarlierOwnerQueries(Hooks hooks)
    : m_hooks(std::move(hooks))
{
}

void EarlierOwnerQueries::begin(const RequestPtr& request, const OwnerToken& own, Millis now)
{
    request->stage = RequestStage::AskingEarlier;
    request->attempts = collectEarlierAttempts(request->earlier, own);
    sendQuery(request, now);
    decide(request);
}

void EarlierOwnerQueries::sendQuery(const RequestPtr& request, Millis now)
{
    request->queriedAt = now;
    ++request->queryAttempts;
    for (const EarlierAttempt& attempt : request->attempts.attempts) {
        if (attempt.answer || attempt.unreachable)
            continue;
        const std::uint64_t query = ++m_lastQuery;
        m_queries[query] = { request, attempt.owner };
        m_hooks.sendQuery(query, attempt.owner, request->key);
    }
}

void EarlierOwnerQueries::handleAnswer(std::uint64_t query, const LedgerReply& reply)
{
    const auto found = m_queries.find(query);
    if (found == m_queries.end())
        return;
    const RequestPtr request = found->second.request.lock();
    const OwnerToken owner = found->second.owner;
    m_queries.erase(found);
    if (!isQuerying(request))
        return;
    if (reply.state == LedgerState::Ran && reply.answer) {
        m_hooks.onAnswered(request, *reply.answer);
        return;
    }
    recordAnswer(request->attempts, owner, reply.state);
    decide(request);
}

void EarlierOwnerQueries::tick(Millis now)
{
    std::vector<RequestPtr> unanswered;
    for (auto query = m_queries.begin(); query != m_queries.end();) {
        const RequestPtr request = query->second.request.lock();
        if (!isQuerying(request)) {
            query = m_queries.erase(query);
            continue;
        }
        if (now > request->queriedAt + queryRetryInterval && std::ranges::find(unanswered, request) == unanswered.end())
            unanswered.push_back(request);
        ++query;
    }
    for (const RequestPtr& request : unanswered) {
        if (request->queryAttempts < maxQueryAttempts)
            sendQuery(request, now);
        else
            markUnansweredUnreachable(request);
    }
}

void EarlierOwnerQueries::markUnansweredUnreachable(const RequestPtr& request)
{
    const std::vector<EarlierAttempt> attempts = request->attempts.attempts;
    for (const EarlierAttempt& attempt : attempts) {
        if (!attempt.answer && !attempt.unreachable)
            recordUnreachable(request->attempts, attempt.owner);
    }
    decide(request);
}

void EarlierOwnerQueries::decide(const RequestPtr& request)
{
    const AttemptsVerdict verdict = decideAttempts(request->attempts);
    if (verdict.decision == AttemptsDecision::Run)
        m_hooks.onClearToRun(request);
    else if (verdict.decision == AttemptsDecision::Refuse)
        m_hooks.onRefused(request, verdict.refusal);
}

}
