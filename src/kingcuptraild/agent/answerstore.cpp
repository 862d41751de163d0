#include "answerstore.h"

namespace kingcuptrail {

namespace {

    /// The memory of one entry apart from its key and body, in bytes: the nodes and strings of both containers.
    constexpr std::size_t entryBytes = 160;

    /// The key is stored twice.
    std::size_t sizeOf(const std::string& key, const StoredAnswer& answer)
    {
        return entryBytes + 2 * key.size() + answer.body.size();
    }

}

wire::LedgerAnswerT makeLedgerAnswer(const LedgerReply& reply)
{
    wire::LedgerAnswerT answer;
    answer.state = static_cast<std::uint8_t>(reply.state);
    answer.has_answer = reply.answer.has_value();
    if (reply.answer) {
        answer.status = static_cast<std::uint16_t>(reply.answer->status);
        answer.body.assign(reply.answer->body.begin(), reply.answer->body.end());
    }
    return answer;
}

LedgerReply readLedgerAnswer(const wire::LedgerAnswer& answer)
{
    LedgerReply reply { .state = fromNumber<LedgerState>(answer.state()).value_or(LedgerState::Unknown), .answer = std::nullopt };
    if (answer.has_answer()) {
        StoredAnswer stored { .status = answer.status(), .body = {} };
        if (answer.body())
            stored.body.assign(answer.body()->begin(), answer.body()->end());
        reply.answer = std::move(stored);
    }
    return reply;
}

void AnswerStore::add(const std::string& key, StoredAnswer answer)
{
    if (answer.body.size() > maxAnswerBytes || m_answers.contains(key))
        return;
    m_heldBytes += sizeOf(key, answer);
    m_answers.emplace(key, std::move(answer));
    m_order.push_back(key);
    while (m_heldBytes > maxHeldBytes) {
        const auto oldest = m_answers.find(m_order.front());
        m_heldBytes -= sizeOf(oldest->first, oldest->second);
        m_answers.erase(oldest);
        m_order.pop_front();
    }
}

std::optional<StoredAnswer> AnswerStore::find(std::string_view key) const
{
    const auto found = m_answers.find(std::string(key));
    if (found == m_answers.end())
        return std::nullopt;
    return found->second;
}

}
