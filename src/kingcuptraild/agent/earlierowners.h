#pragma once

#include "activerequest.h"
#include "answerstore.h"

#include <functional>
#include <memory>
#include <unordered_map>

namespace kingcuptrail {

/// Asks the earlier owners of resent requests what became of them, again over another link where no answer comes, and
/// tells what libdecision makes of it.
class EarlierOwners {
public:
    using RequestPtr = std::shared_ptr<ActiveRequest>;

    struct Hooks {
        std::function<void(std::uint64_t query, const OwnerToken& holder, const std::string& key)> ask;
        /// Nothing ran and nothing will run elsewhere.
        std::function<void(const RequestPtr&)> onMayRun;
        std::function<void(const RequestPtr&, const RefusalVerdict&)> onRefused;
        /// It ran, and its answer is still held by the owner that was asked.
        std::function<void(const RequestPtr&, const StoredAnswer&)> onAnswered;
    };

    explicit EarlierOwners(Hooks hooks);

    void begin(const RequestPtr& request, const OwnerToken& own, Millis now);
    void handleAnswer(std::uint64_t query, const LedgerReply& reply);

    /// Asks again those that are silent, and gives them up in the end.
    void tick(Millis now);

private:
    struct Query {
        std::weak_ptr<ActiveRequest> request;
        OwnerToken owner;
    };

    void ask(const RequestPtr& request, Millis now);
    void giveUp(const RequestPtr& request);
    void consider(const RequestPtr& request);

    Hooks m_hooks;
    std::unordered_map<std::uint64_t, Query> m_queries;
    std::uint64_t m_lastQuery = 0;
};

}
