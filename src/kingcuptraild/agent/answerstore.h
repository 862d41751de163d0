#pragma once

#include "libdecision/ids.h"
#include "libdecision/ledger.h"
#include "libprotocol/framing.h"

#include <deque>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>

namespace kingcuptrail {

/// The answer to a non-idempotent request.
struct StoredAnswer {
    int status = 0;
    std::string body;
};

/// The state of a key in one owner's ledger, with the answer if the request ran there and the answer is still stored.
struct LedgerReply {
    LedgerState state = LedgerState::Unknown;
    std::optional<StoredAnswer> answer;
};

/// Convert a ledger reply to and from its wire form. The query's number and the asker are set by the caller of
/// makeLedgerAnswer().
wire::LedgerAnswerT makeLedgerAnswer(const LedgerReply& reply);
LedgerReply readLedgerAnswer(const wire::LedgerAnswer& answer);

/// Keeps the answers to finished non-idempotent requests, so that a caller whose flow went silent before the answer arrived
/// gets it on the retry. The size is bounded: the oldest answers are dropped first, and a retry then only learns that the
/// request ran.
class AnswerStore {
public:
    void add(const std::string& key, StoredAnswer answer);
    std::optional<StoredAnswer> find(std::string_view key) const;
    /// The size of all entries, which includes their keys and an allowance for each entry.
    std::size_t heldBytes() const { return m_heldBytes; }

private:
    /// Larger answers are not kept. Answers are usually small receipts, and a few large ones would displace the others.
    static constexpr std::size_t maxAnswerBytes = std::size_t { 64 } * 1024;
    /// Holds about a minute of receipts of 1 KiB at 130 a second, far more than one upstream with a few slots produces.
    static constexpr std::size_t maxHeldBytes = std::size_t { 8 } * 1024 * 1024;

    std::unordered_map<std::string, StoredAnswer> m_answers;
    std::deque<std::string> m_order;
    std::size_t m_heldBytes = 0;
};

}
