#pragma once

#include "directory.h"

namespace kingcuptrail {

struct DirectoryDifferenceOptions {
    /// Minimum time between two comparisons of a process's directory with a peer's, in milliseconds.
    Millis interval = 50;
    /// Average number of entries in one bucket of the directory. A smaller number makes the comparison message larger, a
    /// larger one the answer to it.
    std::size_t entriesPerBucket = 4;
    /// Minimum number of buckets, for small directories.
    std::size_t minBuckets = 16;
    /// Maximum number of entries sent in answer to one comparison. With more differences the whole directory is fetched.
    std::size_t maxEntries = 48;
};

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

}
