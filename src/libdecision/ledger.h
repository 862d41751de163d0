#pragma once

#include "enumnames.h"
#include "ids.h"
#include "refusal.h"

#include <map>
#include <string>
#include <unordered_map>

namespace kingcuptrail {

/// What an owner knows about one idempotency key. The numbers are sent on the wire: append only.
enum class LedgerState : std::uint8_t {
    NeverSeen,
    Running,
    Ran,
    NotRun,
    Unknown,
    /// Left to another owner that queried the key; it never runs here.
    Fenced,
};

template <>
struct EnumNames<LedgerState> {
    static constexpr std::array<std::string_view, 6> names { "neverSeen", "running", "ran", "notRun", "unknown", "fenced" };
};

/// Whether a request with a key may be sent to the upstream.
enum class BeginVerdict : std::uint8_t {
    Run,
    AlreadyRunning,
    AlreadyRan,
    OutcomeUnknown,
    Fenced,
    Full,
};

template <>
struct EnumNames<BeginVerdict> {
    static constexpr std::array<std::string_view, 6> names { "run", "alreadyRunning", "alreadyRan", "outcomeUnknown", "fenced", "full" };
};

struct LedgerOptions {
    /// The maximum number of keys, about 200 bytes each.
    std::size_t maxEntries = 20000;
    /// How long a settled key is kept, in milliseconds. This must be longer than callers resend a key.
    Millis retention = 600000;
    /// Test only: when off, a request runs each time it arrives.
    bool guard = true;
};

struct LedgerEntry {
    LedgerState state = LedgerState::Running;
    /// Another owner has queried the key: a running request may finish, but must not run again.
    bool isQueried = false;
    /// The position in the order in which keys settled; 0 while the request runs.
    std::uint64_t settledOrder = 0;
    Millis settledAt = 0;
};

/// One agent's record of non-idempotent requests by key, so that each runs at most once.
struct Ledger {
    std::unordered_map<std::string, LedgerEntry> entries;
    /// Settled keys, oldest first.
    std::map<std::uint64_t, std::string> settled;
    std::uint64_t lastOrder = 0;
};

/// Records a key before its request is queued or run. After Run the key counts as running until settleWork().
BeginVerdict beginWork(Ledger&, const LedgerOptions&, std::string_view key, Millis now);

/// The final answer to a request whose key may not run here; valid for every verdict but Run. Another attempt with the same
/// key that runs or waits here may still be refused from the queue, so the outcome is unknown for this attempt.
RefusalVerdict refusalOf(BeginVerdict);

/// Records the outcome of a running key: Ran, NotRun (nothing reached the upstream) or Unknown. Unknown may later change to
/// Ran; any other change is ignored.
void settleWork(Ledger&, const LedgerOptions&, std::string_view key, LedgerState outcome, Millis now);

/// Answers another owner that got a request with this key. Unless the request runs or ran here, it never will afterwards.
/// Returns Unknown if the ledger has no room to record this.
LedgerState queryAndFence(Ledger&, const LedgerOptions&, std::string_view key, Millis now);

/// Removes keys that settled longer than `retention` ago, a bounded number in one call. Returns the number removed.
std::size_t expireLedger(Ledger&, const LedgerOptions&, Millis now);

}
