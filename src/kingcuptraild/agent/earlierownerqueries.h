#pragma once

#include "activerequest.h"
#include "answerstore.h"

#include <functional>
#include <memory>
#include <unordered_map>

namespace kingcuptrail {

/// Queries the earlier owners of resent requests for the outcome of earlier attempts, repeats unanswered queries over other
/// links, and reports the decision that libdecision makes from the answers.
class EarlierOwnerQueries {
public:
    using RequestPtr = std::shared_ptr<ActiveRequest>;

    struct Hooks {
        std::function<void(std::uint64_t query, const OwnerToken& holder, const std::string& key)> sendQuery;
        /// The request did not run elsewhere and will not.
        std::function<void(const RequestPtr&)> onClearToRun;
        std::function<void(const RequestPtr&, const RefusalVerdict&)> onRefused;
        /// The request ran, and the queried owner still had its answer.
        std::function<void(const RequestPtr&, const StoredAnswer&)> onAnswered;
    };

    explicit EarlierOwnerQueries(Hooks hooks);

    void begin(const RequestPtr& request, const OwnerToken& own, Millis now);
    void handleAnswer(std::uint64_t query, const LedgerReply& reply);

    /// Repeats unanswered queries, and treats owners that never answer as unreachable.
    void tick(Millis now);

private:
    struct Query {
        std::weak_ptr<ActiveRequest> request;
        OwnerToken owner;
    };

    void sendQuery(const RequestPtr& request, Millis now);
    void markUnansweredUnreachable(const RequestPtr& request);
    void decide(const RequestPtr& request);

    Hooks m_hooks;
    std::unordered_map<std::uint64_t, Query> m_queries;
    std::uint64_t m_lastQuery = 0;
};

}
