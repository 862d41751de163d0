#include "earlierowners.h"

#include <algorithm>
#include <vector>

namespace kingcuptrail {

namespace {

    /// Wait before an unanswered query is repeated, in milliseconds, and the number of attempts. The balancer that carried a
    /// query may have failed, so the next attempt goes over another link.
    constexpr Millis askAgainAfter = 300;
    constexpr std::uint32_t maxAsks = 4;

    bool isAsking(const EarlierOwners::RequestPtr& request)
    {
        return request && request->stage == RequestStage::AskingEarlier;
    }

}

EarlierOwners::EarlierOwners(Hooks hooks)
    : m_hooks(std::move(hooks))
{
}

void EarlierOwners::begin(const RequestPtr& request, const OwnerToken& own, Millis now)
{
    request->stage = RequestStage::AskingEarlier;
    request->attempts = collectEarlierAttempts(request->earlier, own);
    ask(request, now);
    consider(request);
}

void EarlierOwners::ask(const RequestPtr& request, Millis now)
{
    request->askedAt = now;
    ++request->asks;
    for (const EarlierAttempt& attempt : request->attempts.attempts) {
        if (attempt.answer || attempt.unreachable)
            continue;
        const std::uint64_t query = ++m_lastQuery;
        m_queries[query] = { request, attempt.owner };
        m_hooks.ask(query, attempt.owner, request->key);
    }
}

void EarlierOwners::handleAnswer(std::uint64_t query, const LedgerReply& reply)
{
    const auto found = m_queries.find(query);
    if (found == m_queries.end())
        return;
    const RequestPtr request = found->second.request.lock();
    const OwnerToken owner = found->second.owner;
    m_queries.erase(found);
    if (!isAsking(request))
        return;
    if (reply.state == LedgerState::Ran && reply.answer) {
        m_hooks.onAnswered(request, *reply.answer);
        return;
    }
    recordAnswer(request->attempts, owner, reply.state);
    consider(request);
}

void EarlierOwners::tick(Millis now)
{
    std::vector<RequestPtr> silent;
    for (auto query = m_queries.begin(); query != m_queries.end();) {
        const RequestPtr request = query->second.request.lock();
        if (!isAsking(request)) {
            query = m_queries.erase(query);
            continue;
        }
        if (now > request->askedAt + askAgainAfter && std::ranges::find(silent, request) == silent.end())
            silent.push_back(request);
        ++query;
    }
    for (const RequestPtr& request : silent) {
        if (request->asks < maxAsks)
            ask(request, now);
        else
            giveUp(request);
    }
}

void EarlierOwners::giveUp(const RequestPtr& request)
{
    const std::vector<EarlierAttempt> attempts = request->attempts.attempts;
    for (const EarlierAttempt& attempt : attempts) {
        if (!attempt.answer && !attempt.unreachable)
            recordUnreachable(request->attempts, attempt.owner);
    }
    consider(request);
}

void EarlierOwners::consider(const RequestPtr& request)
{
    const AttemptsVerdict verdict = decideAttempts(request->attempts);
    if (verdict.decision == AttemptsDecision::Run)
        m_hooks.onMayRun(request);
    else if (verdict.decision == AttemptsDecision::Refuse)
        m_hooks.onRefused(request, verdict.refusal);
}

}
