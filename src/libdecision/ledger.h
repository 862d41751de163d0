#pragma once

#include "enumnames.h"
#include "ids.h"
#include "refusal.h"

#include <map>
#include <string>
#include <unordered_map>

namespace kingcuptrail {

/// What an owner knows of one idempotency key. The numbers travel on the wire: add at the end only.
enum class LedgerState : std::uint8_t {
    NeverSeen,
    Running,
    Ran,
    NotRun,
    Unknown,
    /// Given up to another owner that asked; never runs here.
    Fenced,
};

template <>
struct EnumNames<LedgerState> {
    static constexpr std::array<std::string_view, 6> names { "neverSeen", "running", "ran", "notRun", "unknown", "fenced" };
};

/// Whether work under a key may go to the upstream.
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
    /// Keys held at most. About 200 bytes each.
    std::size_t maxEntries = 20000;
    /// How long a settled key is kept, in milliseconds. Longer than any caller goes on resending a key.
    Millis keepFor = 600000;
    /// Test only: off, every key runs whenever it comes.
    bool guard = true;
};

struct LedgerEntry {
    LedgerState state = LedgerState::Running;
    /// Another owner has asked about it: it may finish, but not run again.
    bool asked = false;
    /// The key's place in the order of settling; 0 while it runs.
    std::uint64_t settledOrder = 0;
    Millis settledAt = 0;
};

/// One agent's record of non-idempotent work by key, so that each runs at most once.
struct Ledger {
    std::unordered_map<std::string, LedgerEntry> entries;
    /// Settled keys, oldest first.
    std::map<std::uint64_t, std::string> settled;
    std::uint64_t lastOrder = 0;
};

/// Enters a key before its work is queued or run. On Run it counts as running until settleWork().
BeginVerdict beginWork(Ledger&, const LedgerOptions&, std::string_view key, Millis now);

/// The final answer to a request whose key may not run here; counts with every verdict but Run. Another try of the same
/// key that runs or waits here may still be refused from its queue, so its outcome is unknown to this one.
RefusalVerdict refusalOf(BeginVerdict);

/// Enters the outcome of a running key: Ran, NotRun (nothing reached the upstream) or Unknown. An outcome that was
/// unknown may still turn into Ran. Anything else is ignored.
void settleWork(Ledger&, const LedgerOptions&, std::string_view key, LedgerState outcome, Millis now);

/// Answers another owner that has been asked to run the key. Unless it runs or ran here, it never will afterwards.
/// Unknown when the ledger has no room to remember that promise.
LedgerState queryAndFence(Ledger&, const LedgerOptions&, std::string_view key, Millis now);

/// Forgets keys settled longer than `keepFor` ago, a bounded number in one call; says how many.
std::size_t expireLedger(Ledger&, const LedgerOptions&, Millis now);

}
