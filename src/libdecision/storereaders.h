#pragma once

#include "ids.h"

#include <map>
#include <string>
#include <vector>

namespace kingcuptrail {

/// A heartbeat of a process that follows the store. The number increases while the process is up to date with the store,
/// and once more when it stops following it.
struct ReaderHeartbeat {
    std::string name;
    std::uint64_t beat = 0;
    bool hasStopped = false;

    bool operator==(const ReaderHeartbeat&) const = default;
};

struct StoreReaderOptions {
    /// Number of processes that follow the store. Each costs the store a call per change; three are enough for a fleet of
    /// any size to lose two at once.
    std::size_t wanted = 3;
    /// A reader whose heartbeat number did not increase for this long no longer counts, in milliseconds. A heartbeat needs
    /// five gossip rounds of 250 ms to reach a hundred processes; the other half is a margin for lost datagrams.
    Millis freshness = 2500;
    /// A candidate waits this long for each candidate of lower name, in milliseconds, so that a lost reader is not replaced
    /// by all of them.
    Millis waitPerRank = 120;
    /// Maximum of that wait, in milliseconds. A third of the time in which a change has to be in force everywhere (3 s).
    Millis maxWait = 1000;
    /// Processes without a view spread their first read of the store over this time after their start, in milliseconds.
    std::uint64_t firstReadSpread = 20;
    /// A process that is not a configured seed delays its first read by this time for each process that ranks before it and
    /// for itself, in milliseconds.
    Millis firstReadPerRank = 20;
    /// Maximum delay of the first read because of a slow link, in milliseconds.
    Millis maxLinkWait = 250;
    /// Maximum number of heartbeats of followers, and of stopped followers, in one message.
    std::size_t maxHeartbeats = 6;
    /// Size of the first read of the store, in bytes: a configuration of 1,200 routes.
    double firstReadBytes = 250000;
};

/// The processes that follow the store, as known to one process. There is no agreement on them: each process decides by the
/// heartbeats that it receives, and when gossip is lost there are more readers for a while, which only costs calls.
struct StoreReaders {
    struct ReaderState {
        std::uint64_t beat = 0;
        Millis increasedAt = 0;
        bool hasStopped = false;
    };
    StoreReaderOptions options;
    std::map<std::string, ReaderState> readers;
    /// Since when fewer than the wanted number of readers are known; 0 while there are enough.
    Millis tooFewSince = 0;
};

/// Records a heartbeat that was received by gossip.
void recordHeartbeat(StoreReaders&, const ReaderHeartbeat&, Millis now);

/// Increases this process's own heartbeat number.
void beat(StoreReaders&, const std::string& self, Millis now);

/// The heartbeats to pass on: those of the followers with the lowest names, which continue when there are too many
/// followers, and those of processes that have stopped following the store.
std::vector<ReaderHeartbeat> currentHeartbeats(const StoreReaders&, Millis now);

/// Announces that this process no longer follows the store, so that others need not wait until its heartbeats are missed.
void announceStop(StoreReaders&, const std::string& self, Millis now);

/// How long a process without a view leaves reading the store to others after its start, in milliseconds. The delay grows
/// with the time that the read takes on the process's link. After a power failure callers return at once, also to hosts on
/// links of 10 Mbit/s. There, reading the store's large text takes as long as fetching the same view from a peer, and would
/// compete with it. In a fleet of only such hosts the delay is lost time.
Millis firstReadDelay(const StoreReaderOptions&, std::uint64_t id, double linkMegabits);

/// The additional delay of the first read when `rank` candidates come before this process, in milliseconds. After a power
/// failure or a restart of all processes no process has a view. Without this delay each balancer would read the whole store
/// just when it has come back and announce itself as a reader, and every gossip message would list all of them.
Millis firstReadRankDelay(const StoreReaderOptions&, std::size_t rank, bool isSeed);

/// Whether a process without a view reads the store now. `sinceStart` is the time since its start and `delay` its own
/// delay, in milliseconds. While a peer transfers its view, the read is postponed to `maxWait`.
bool isFirstReadDue(const StoreReaderOptions&, Millis sinceStart, Millis delay, bool isPeerTransferring);

/// Whether `self` should follow the store. A reader continues unless enough others of lower name follow it. Any other
/// process starts when there have been too few readers for as long as its rank among the candidates requires.
bool shouldRead(StoreReaders&, const std::string& self, bool isReading, std::size_t rank, Millis now);

}
