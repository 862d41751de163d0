#include "storereaders.h"

#include <algorithm>

namespace kingcuptrail {

namespace {

    bool isFresh(const StoreReaders& state, const StoreReaders::ReaderState& reader, Millis now)
    {
        return now - reader.increasedAt <= state.options.freshness;
    }

    bool isFollowing(const StoreReaders& state, const StoreReaders::ReaderState& reader, Millis now)
    {
        return isFresh(state, reader, now) && !reader.hasStopped;
    }

}

void recordHeartbeat(StoreReaders& state, const ReaderHeartbeat& beat, Millis now)
{
    StoreReaders::ReaderState& known = state.readers[beat.name];
    // A restarted reader counts from the beginning. While the higher number of its previous process is fresh, lower
    // numbers are ignored; after that, a lower number belongs to the new process.
    if (beat.beat <= known.beat && isFresh(state, known, now))
        return;
    if (beat.beat == known.beat)
        return;
    known = { .beat = beat.beat, .increasedAt = now, .hasStopped = beat.hasStopped };
}

void beat(StoreReaders& state, const std::string& self, Millis now)
{
    recordHeartbeat(state, { .name = self, .beat = state.readers[self].beat + 1 }, now);
}

void announceStop(StoreReaders& state, const std::string& self, Millis now)
{
    recordHeartbeat(state, { .name = self, .beat = state.readers[self].beat + 1, .hasStopped = true }, now);
}

std::vector<ReaderHeartbeat> currentHeartbeats(const StoreReaders& state, Millis now)
{
    std::vector<ReaderHeartbeat> heartbeats;
    std::size_t following = 0;
    std::size_t stopped = 0;
    for (const auto& [name, reader] : state.readers) {
        std::size_t& count = reader.hasStopped ? stopped : following;
        if (isFresh(state, reader, now) && count++ < state.options.maxHeartbeats)
            heartbeats.push_back({ .name = name, .beat = reader.beat, .hasStopped = reader.hasStopped });
    }
    return heartbeats;
}

Millis firstReadDelay(const StoreReaderOptions& options, std::uint64_t id, double linkMegabits)
{
    constexpr double bitsPerByte = 8;
    constexpr double bitsPerMegabitAndMilli = 1000;
    const double readTime = options.firstReadBytes * bitsPerByte / (linkMegabits * bitsPerMegabitAndMilli);
    return static_cast<Millis>(id % options.firstReadSpread) + std::min(static_cast<Millis>(readTime), options.maxLinkWait);
}

Millis firstReadRankDelay(const StoreReaderOptions& options, std::size_t rank, bool isSeed)
{
    if (isSeed)
        return 0;
    return std::min(static_cast<Millis>(rank + 1) * options.firstReadPerRank, options.maxWait);
}

bool isFirstReadDue(const StoreReaderOptions& options, Millis sinceStart, Millis delay, bool isPeerTransferring)
{
    return sinceStart >= (isPeerTransferring ? std::max(delay, options.maxWait) : delay);
}

bool shouldRead(StoreReaders& state, const std::string& self, bool isReading, std::size_t rank, Millis now)
{
    std::size_t others = 0;
    std::size_t othersBelow = 0;
    for (const auto& [name, reader] : state.readers) {
        if (name == self || !isFollowing(state, reader, now))
            continue;
        ++others;
        othersBelow += name < self ? 1 : 0;
    }
    if (isReading)
        return othersBelow < state.options.wanted;
    if (others >= state.options.wanted) {
        state.tooFewSince = 0;
        return false;
    }
    if (state.tooFewSince == 0)
        state.tooFewSince = now;
    const Millis wait = std::min(static_cast<Millis>(rank) * state.options.waitPerRank, state.options.maxWait);
    return now - state.tooFewSince >= wait;
}

}
