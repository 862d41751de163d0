#include "directorydifference.h"

#include <algorithm>
#include <bit>

namespace kingcuptrail {

namespace {

    /// The numbers of buckets are powers of two, so the digest of a larger bucket is the XOR of smaller ones.
    std::vector<std::uint32_t> foldedDigests(const Directory& directory, std::size_t buckets)
    {
        std::vector<std::uint32_t> digests(buckets);
        for (std::size_t bucket = 0; bucket < directoryBuckets; ++bucket)
            digests[bucket % buckets] ^= static_cast<std::uint32_t>(directory.bucketDigests[bucket]);
        return digests;
    }

}

std::vector<std::uint32_t> bucketDigestsOf(const Directory& directory, const DirectoryDifferenceOptions& options)
{
    const std::size_t wanted = std::bit_ceil(directory.entries.size() / options.entriesPerBucket + 1);
    return foldedDigests(directory, std::clamp(wanted, options.minBuckets, directoryBuckets));
}

DirectoryDifference differenceTo(const Directory& directory, std::span<const std::uint32_t> bucketDigests, const DirectoryDifferenceOptions& options)
{
    const std::size_t buckets = bucketDigests.size();
    if (!std::has_single_bit(buckets) || buckets > directoryBuckets)
        return {};
    const std::vector<std::uint32_t> own = foldedDigests(directory, buckets);
    DirectoryDifference difference;
    for (std::size_t bucket = 0; bucket < directoryBuckets; ++bucket) {
        if (own[bucket % buckets] == bucketDigests[bucket % buckets])
            continue;
        for (const std::string& name : directory.bucketNames[bucket]) {
            if (difference.entries.size() == options.maxEntries) {
                difference.entries.clear();
                difference.isLarge = true;
                return difference;
            }
            difference.entries.push_back(directory.entries.at(name));
        }
    }
    return difference;
}

}
