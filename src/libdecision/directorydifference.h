#pragma once

#include "directory.h"

#include <optional>

namespace kingcuptrail {

struct DirectoryDifferenceOptions {
    /// Minimum time between two comparisons of a process's directory with a peer's, in milliseconds.
    Millis interval = 50;
    /// The same time for peers of other data centres. What has arrived in a data centre spreads there among near peers, so each
    /// entry crosses between data centres a few times and not once for every process.
    Millis farInterval = 200;
    /// Average number of entries in one bucket of the directory. A smaller number makes the comparison message larger, a
    /// larger one the answer to it.
    std::size_t entriesPerBucket = 4;
    /// Minimum number of buckets, for small directories.
    std::size_t minBuckets = 16;
    /// Maximum number of entries sent in answer to the digests of a process of an earlier release. With more differences it
    /// fetches the whole directory.
    std::size_t maxEntries = 48;
    /// Maximum number of digests of entries in one message, so that it fits into a datagram.
    std::size_t maxEntryDigests = 384;
    /// Maximum number of entries that a process on a fast link accepts in one comparison.
    std::size_t maxAcceptedEntries = 128;
    /// The share of the link that the entries may fill, and the size of one in bytes.
    double linkShare = 0.1;
    double bytesPerEntry = 110;
};

/// When a process last began to compare its directory with a peer's.
struct DirectoryComparisons {
    std::optional<Millis> begunAt;
    std::optional<Millis> farBegunAt;
};

/// Whether to compare the directory with a peer now; if so, records the comparison.
bool tryBeginComparison(DirectoryComparisons&, bool isFar, Millis now, const DirectoryDifferenceOptions& = {});

/// How many entries a process accepts in one comparison, by the rate of its link in Mbit/s.
std::size_t acceptedEntries(double linkMegabits, const DirectoryDifferenceOptions& = {});

/// The entries that a peer lacks or has with another epoch, as far as digests show.
struct DirectoryDifference {
    /// All entries of the buckets whose digests differ, including entries that are older than the peer's; empty when there
    /// are too many.
    std::vector<PeerEntry> entries;
    bool isLarge = false;
};

/// Digests of the directory's buckets, to be sent to a peer that compares them with its own.
std::vector<std::uint32_t> bucketDigestsOf(const Directory&, const DirectoryDifferenceOptions& = {});

/// Compares a directory with the digests that a peer has sent. The peer chooses the number of buckets. Returns no
/// difference when that number is invalid.
DirectoryDifference differenceTo(const Directory&, std::span<const std::uint32_t> bucketDigests, const DirectoryDifferenceOptions& = {});

/// What a process tells a peer whose digests differ from its own, so that the peer sees which entries either of them lacks.
struct EntryDigests {
    /// Buckets that differ; the digests are those of all entries in them, in no order.
    std::vector<std::uint8_t> buckets;
    std::vector<std::uint32_t> digests;
    /// More buckets differ than fit into a message.
    bool isPartial = false;
};

/// The digests of the entries in buckets that differ from those of the peer, beginning with bucket number `firstBucket`, which
/// may be any number. With random ones a process that lacks much asks different peers for different parts. Empty when the
/// number of digests is invalid.
EntryDigests entryDigestsFor(const Directory&, std::span<const std::uint32_t> bucketDigests, std::size_t firstBucket, const DirectoryDifferenceOptions& = {});

/// What a process does about the difference that a peer's entry digests show.
struct DirectoryExchange {
    /// Entries that the peer lacks or has with another epoch.
    std::vector<PeerEntry> entries;
    /// Digests of entries that the peer has and this process lacks.
    std::vector<std::uint32_t> wanted;
    bool isPartial = false;
};

/// Finds the differences; at most `maxEntries` are to be sent and at most `maxWanted` to be asked for.
DirectoryExchange exchangeFor(const Directory&, const EntryDigests& ofPeer, std::size_t maxEntries, std::size_t maxWanted);

/// The entries in these buckets that have one of these digests, at most `maxEntries`.
std::vector<PeerEntry> entriesWithDigests(const Directory&, const EntryDigests& wanted, std::size_t maxEntries);

}
