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

/// The answer that a piece of non-idempotent work gave.
struct StoredAnswer {
    int status = 0;
    std::string body;
};

/// What one owner says about a key, with the answer when it ran here and the answer is still held.
struct LedgerReply {
    LedgerState state = LedgerState::Unknown;
    std::optional<StoredAnswer> answer;
};

/// The reply to an earlier owner's question, to be addressed by the caller, and back.
wire::LedgerAnswerT makeLedgerAnswer(const LedgerReply& reply);
LedgerReply readLedgerAnswer(const wire::LedgerAnswer& answer);

/// Keeps the answers of finished non-idempotent work, so that a caller whose flow went silent before its answer came
/// still gets it on the retry. Bounded: the oldest go first, and the retry is then told that the work ran.
class AnswerStore {
public:
    void add(const std::string& key, StoredAnswer answer);
    std::optional<StoredAnswer> find(std::string_view key) const;
    std::size_t heldBytes() const { return m_heldBytes; }

private:
    /// An answer larger than this is not kept: receipts are small, and a few large ones would push the others out.
    static constexpr std::size_t maxAnswerBytes = std::size_t { 64 } * 1024;
    /// About a minute of receipts of 1 KiB at 130 a second, far above what one upstream with a few slots gives.
    static constexpr std::size_t maxHeldBytes = std::size_t { 8 } * 1024 * 1024;

    std::unordered_map<std::string, StoredAnswer> m_answers;
    std::deque<std::string> m_order;
    std::size_t m_heldBytes = 0;
};

}
