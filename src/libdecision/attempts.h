#pragma once

#include "ledger.h"
#include "refusal.h"

#include <optional>
#include <span>
#include <vector>

namespace kingcuptrail {

/// Earlier attempts a request may name. A caller's retries are few; more is a fault or an attack.
constexpr std::size_t maxEarlierAttempts = 8;

struct AttemptsOptions {
    /// Test only: off, the request runs without asking.
    bool guard = true;
};

/// One earlier owner and what became of the key there.
struct EarlierAttempt {
    OwnerToken owner;
    std::optional<LedgerState> answer;
    bool unreachable = false;
};

/// What the earlier owners of a resent request have answered so far.
struct EarlierAttempts {
    std::vector<EarlierAttempt> attempts;
    bool tooMany = false;
};

enum class AttemptsDecision : std::uint8_t {
    Run,
    Wait,
    Refuse,
};

template <>
struct EnumNames<AttemptsDecision> {
    static constexpr std::array<std::string_view, 3> names { "run", "wait", "refuse" };
};

/// `refusal` counts only with Refuse.
struct AttemptsVerdict {
    AttemptsDecision decision = AttemptsDecision::Wait;
    RefusalVerdict refusal;
};

/// Begins with the owners the request names. `mine` is left out: the own ledger answers for it.
EarlierAttempts startAttempts(std::span<const OwnerToken> owners, const OwnerToken& mine);

/// Takes an owner's answer. The first answer of an owner stands; an answer after noteUnreachable() is too late.
void noteAnswer(EarlierAttempts&, const OwnerToken& owner, LedgerState);

/// The owner is gone, or its answer did not come in time.
void noteUnreachable(EarlierAttempts&, const OwnerToken& owner);

/// Whether the request may run here now. Once it is Run or Refuse it stays so.
AttemptsVerdict decideAttempts(const EarlierAttempts&, const AttemptsOptions& options = {});

}
