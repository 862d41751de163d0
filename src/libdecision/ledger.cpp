#include "ledger.h"

namespace kingcuptrail {

namespace {

    /// The retry delay of a request that met a full ledger, in milliseconds. Entries expire continuously.
    constexpr Millis fullRetryAfter = 1000;

    /// The maximum number of keys removed in one call. It keeps a call below about 100 microseconds, so that packets are not
    /// delayed.
    constexpr std::size_t expiredPerCall = 256;

    void settle(Ledger& ledger, const std::string& key, LedgerEntry& entry, LedgerState state, Millis now)
    {
        if (entry.settledOrder != 0)
            ledger.settled.erase(entry.settledOrder);
        entry.state = state;
        entry.settledAt = now;
        entry.settledOrder = ++ledger.lastOrder;
        ledger.settled.emplace(entry.settledOrder, key);
    }

    void run(Ledger& ledger, LedgerEntry& entry)
    {
        if (entry.settledOrder != 0)
            ledger.settled.erase(entry.settledOrder);
        entry.settledOrder = 0;
        entry.state = LedgerState::Running;
    }

    // Removing a key to make room would let its request run twice, so only keys older than `retention`, which no caller sends
    // any more, are removed. When the ledger is still full, requests are refused as not run, which is true and safe to retry
    // elsewhere.
    bool hasRoom(Ledger& ledger, const LedgerOptions& options, Millis now)
    {
        if (ledger.entries.size() < options.maxEntries)
            return true;
        expireLedger(ledger, options, now);
        return ledger.entries.size() < options.maxEntries;
    }

    LedgerState fenceUnseen(Ledger& ledger, const LedgerOptions& options, const std::string& key, Millis now)
    {
        if (!hasRoom(ledger, options, now))
            return LedgerState::Unknown;
        LedgerEntry& entry = ledger.entries[key];
        settle(ledger, key, entry, LedgerState::Fenced, now);
        return LedgerState::NeverSeen;
    }

    BeginVerdict verdictFor(LedgerState state)
    {
        switch (state) {
        case LedgerState::Running:
            return BeginVerdict::AlreadyRunning;
        case LedgerState::Ran:
            return BeginVerdict::AlreadyRan;
        case LedgerState::Unknown:
            return BeginVerdict::OutcomeUnknown;
        case LedgerState::Fenced:
            return BeginVerdict::Fenced;
        case LedgerState::NeverSeen:
        case LedgerState::NotRun:
            break;
        }
        return BeginVerdict::Run;
    }

}

BeginVerdict beginWork(Ledger& ledger, const LedgerOptions& options, std::string_view key, Millis now)
{
    if (!options.guard)
        return BeginVerdict::Run;
    const std::string name(key);
    const auto found = ledger.entries.find(name);
    if (found == ledger.entries.end()) {
        if (!hasRoom(ledger, options, now))
            return BeginVerdict::Full;
        ledger.entries.emplace(name, LedgerEntry {});
        return BeginVerdict::Run;
    }
    const BeginVerdict verdict = verdictFor(found->second.state);
    if (verdict == BeginVerdict::Run)
        run(ledger, found->second);
    return verdict;
}

// A key that was queried while it ran, and then did not run, is fenced: the other owner relies on it not running here later,
// and may run it after another query.
void settleWork(Ledger& ledger, const LedgerOptions&, std::string_view key, LedgerState outcome, Millis now)
{
    const auto found = ledger.entries.find(std::string(key));
    if (found == ledger.entries.end())
        return;
    LedgerEntry& entry = found->second;
    const bool isOutcome = outcome == LedgerState::Ran || outcome == LedgerState::NotRun || outcome == LedgerState::Unknown;
    const bool completes = entry.state == LedgerState::Running && isOutcome;
    const bool resolvesUnknown = entry.state == LedgerState::Unknown && outcome == LedgerState::Ran;
    if (!completes && !resolvesUnknown)
        return;
    const bool fenced = outcome == LedgerState::NotRun && entry.isQueried;
    settle(ledger, found->first, entry, fenced ? LedgerState::Fenced : outcome, now);
}

// When a flow of a non-idempotent request becomes silent, its caller sends the request again on a new flow. The first packet
// may reach the old owner after the new one has run the request, which would then run twice. The answer "never seen" is
// therefore binding: the key is recorded as fenced before the answer is sent.
LedgerState queryAndFence(Ledger& ledger, const LedgerOptions& options, std::string_view key, Millis now)
{
    if (!options.guard)
        return LedgerState::NeverSeen;
    const std::string name(key);
    const auto found = ledger.entries.find(name);
    if (found == ledger.entries.end())
        return fenceUnseen(ledger, options, name, now);
    LedgerEntry& entry = found->second;
    const LedgerState state = entry.state;
    entry.isQueried = true;
    const bool notRun = state == LedgerState::NotRun || state == LedgerState::Fenced;
    if (notRun)
        settle(ledger, name, entry, LedgerState::Fenced, now);
    return state;
}

std::size_t expireLedger(Ledger& ledger, const LedgerOptions& options, Millis now)
{
    std::size_t expired = 0;
    while (expired < expiredPerCall && !ledger.settled.empty()) {
        const auto oldest = ledger.settled.begin();
        const auto entry = ledger.entries.find(oldest->second);
        if (now - entry->second.settledAt <= options.retention)
            break;
        ledger.entries.erase(entry);
        ledger.settled.erase(oldest);
        ++expired;
    }
    return expired;
}

RefusalVerdict refusalOf(BeginVerdict verdict)
{
    switch (verdict) {
    case BeginVerdict::AlreadyRunning:
        return { Ran::Unknown, RefusalReason::AlreadyRunning, 0 };
    case BeginVerdict::AlreadyRan:
        return { Ran::Yes, RefusalReason::AlreadyRan, 0 };
    case BeginVerdict::Fenced:
        return { Ran::No, RefusalReason::KeyFenced, 0 };
    case BeginVerdict::Full:
        return { Ran::No, RefusalReason::QueueFull, fullRetryAfter };
    default:
        return { Ran::Unknown, RefusalReason::EarlierAttemptUnknown, 0 };
    }
}

}
