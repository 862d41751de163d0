#pragma once

#include "ledger.h"
#include "refusal.h"

#include <optional>
#include <span>
#include <vector>

namespace kingcuptrail {

/// The maximum number of earlier attempts a request may name. Callers retry a few times only; more indicates a fault or an
/// attack.
constexpr std::size_t maxEarlierAttempts = 8;

struct AttemptsOptions {
    /// Test only: when off, the request runs without a query to the earlier owners.
    bool guard = true;
};

/// One earlier owner and its answer about the idempotency key.
struct EarlierAttempt {
    OwnerToken owner;
    std::optional<LedgerState> answer;
    bool unreachable = false;
};

/// The answers of the earlier owners of a resent request so far.
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

/// `refusal` is valid only with Refuse.
struct AttemptsVerdict {
    AttemptsDecision decision = AttemptsDecision::Wait;
    RefusalVerdict refusal;
};

/// Collects the owners that the request names. The own process, `ownToken`, is left out since its own ledger is checked
/// separately.
EarlierAttempts collectEarlierAttempts(std::span<const OwnerToken> owners, const OwnerToken& ownToken);

/// Records an owner's answer. Only the first answer of an owner counts, and none after recordUnreachable().
void recordAnswer(EarlierAttempts&, const OwnerToken& owner, LedgerState);

/// Records that the owner is gone or has not answered in time.
void recordUnreachable(EarlierAttempts&, const OwnerToken& owner);

/// Decides whether the request may run here now. Run and Refuse are final.
AttemptsVerdict decideAttempts(const EarlierAttempts&, const AttemptsOptions& options = {});

}
