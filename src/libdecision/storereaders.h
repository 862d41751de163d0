#pragma once

#include "ids.h"

#include <map>
#include <string>
#include <vector>

namespace kingcuptrail {

/// A sign of life of a process that follows the store; the number grows while what it follows is current, and once more
/// when it follows the store no longer.
struct ReaderBeat {
    std::string name;
    std::uint64_t beat = 0;
    bool hasStopped = false;

    bool operator==(const ReaderBeat&) const = default;
};

struct StoreReaderOptions {
    /// Processes that follow the store. Each costs the store a call for each change; three of a fleet of any size are
    /// enough for two to be lost at once.
    std::size_t wanted = 3;
    /// A reader whose sign of life did not grow for this long no longer counts, in milliseconds: news of it takes five
    /// rounds of 250 ms to reach a hundred processes, and as many again are for lost datagrams.
    Millis freshness = 2500;
    /// A process that could be a reader waits this long for each one of lower name, in milliseconds, so that a lost reader
    /// is not replaced by everybody.
    Millis waitPerRank = 120;
    /// The longest such wait: within a third of the time in which a change has to be in force everywhere (3 s).
    Millis longestWait = 1000;
    /// Processes without any view begin to read the store within this time of their start, in milliseconds.
    std::uint64_t firstReadSpread = 20;
    /// One that is not named as a seed leaves the first read to others for so long, for each that comes before it, in
    /// milliseconds.
    Millis firstReadPerRank = 20;
    /// The longest that a small link may delay the first read, in milliseconds.
    Millis longestLinkWait = 250;
    /// Signs of life that one message carries.
    std::size_t beatsPassedOn = 6;
    /// What reading the store brings to a process without any view, in bytes: a configuration of 1,200 routes.
    double firstReadBytes = 250000;
};

/// Which processes follow the store, as one process has heard. Nobody agrees on them: each decides for itself by what it
/// hears, and with lost news there are more for a while, which costs calls and nothing else.
struct StoreReaders {
    struct Known {
        std::uint64_t beat = 0;
        Millis grewAt = 0;
        bool hasStopped = false;
    };
    StoreReaderOptions options;
    std::map<std::string, Known> readers;
    /// Since when too few are known; 0 while there are enough.
    Millis tooFewSince = 0;
};

/// Takes a sign of life that news brought.
void takeBeat(StoreReaders&, const ReaderBeat&, Millis now);

/// Gives this process's own sign of life.
void beat(StoreReaders&, const std::string& self, Millis now);

/// The signs of life to pass on: of the followers of lowest name, who stay when there are too many, and of those that have
/// stopped.
std::vector<ReaderBeat> freshBeats(const StoreReaders&, Millis now);

/// Says that this process follows the store no longer. Others need not wait until its signs of life are missed.
void stopBeating(StoreReaders&, const std::string& self, Millis now);

/// How long after its start a process without any view leaves it to others to read the store, in milliseconds.
/// Load: everything has lost power, and callers return to hosts of which some have links of 10 Mbit/s. Harm: a small host that
/// reads the store itself spends as much of its first seconds on the store's large text as on the same from a peer, and does
/// so beside it. Who would take long to read waits for that long; in a fleet of nothing but small hosts that is the cost.
Millis firstReadDelay(const StoreReaderOptions&, std::uint64_t id, double linkMegabits);

/// How much longer a process without any view leaves the first read to others when `rank` processes that could read come
/// before it, in milliseconds. Load: everything has lost power or was killed, and nobody has a view. Harm: each balancer reads
/// the whole store, just when it has come back, and announces itself as one who follows it, so that every message of news
/// names all of them.
Millis firstReadTurn(const StoreReaderOptions&, std::size_t rank, bool isSeed);

/// Whether a process without any view reads the store, so long after its start and with this delay of its own, in
/// milliseconds. While a peer hands its view over the store is left alone.
bool isFirstReadDue(const StoreReaderOptions&, Millis sinceStart, Millis delay, bool isPeerTelling);

/// Whether `self` should follow the store: while it does, unless enough others of lower name do; while it does not, when too
/// few have been heard of for as long as its rank among the candidates says.
bool shouldRead(StoreReaders&, const std::string& self, bool isReading, std::size_t rank, Millis now);

}
