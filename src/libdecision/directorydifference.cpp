#include "directorydifference.h"

#include <algorithm>
#include <bit>
#include <unordered_set>

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

    std::vector<std::uint8_t> distinct(std::vector<std::uint8_t> buckets)
    {
        std::ranges::sort(buckets);
        buckets.erase(std::unique(buckets.begin(), buckets.end()), buckets.end());
        return buckets;
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

bool tryBeginComparison(DirectoryComparisons& comparisons, bool isFar, Millis now, const DirectoryDifferenceOptions& options)
{
    if (comparisons.begunAt && now - *comparisons.begunAt < options.interval)
        return false;
    if (isFar && comparisons.farBegunAt && now - *comparisons.farBegunAt < options.farInterval)
        return false;
    comparisons.begunAt = now;
    if (isFar)
        comparisons.farBegunAt = now;
    return true;
}

std::size_t acceptedEntries(double linkMegabits, const DirectoryDifferenceOptions& options)
{
    constexpr double bytesPerMegabitAndMilli = 125;
    const double bytes = linkMegabits * bytesPerMegabitAndMilli * static_cast<double>(options.interval) * options.linkShare;
    return std::max<std::size_t>(1, static_cast<std::size_t>(std::min(bytes / options.bytesPerEntry, static_cast<double>(options.maxAcceptedEntries))));
}

EntryDigests entryDigestsFor(const Directory& directory, std::span<const std::uint32_t> bucketDigests, std::size_t firstBucket, const DirectoryDifferenceOptions& options)
{
    EntryDigests result;
    const std::size_t buckets = bucketDigests.size();
    if (!std::has_single_bit(buckets) || buckets > directoryBuckets)
        return result;
    const std::vector<std::uint32_t> own = foldedDigests(directory, buckets);
    for (std::size_t step = 0; step < directoryBuckets; ++step) {
        const std::size_t bucket = (firstBucket + step) % directoryBuckets;
        if (own[bucket % buckets] == bucketDigests[bucket % buckets])
            continue;
        const std::vector<std::string>& names = directory.bucketNames[bucket];
        if (result.digests.size() + names.size() > options.maxEntryDigests) {
            result.isPartial = true;
            break;
        }
        result.buckets.push_back(static_cast<std::uint8_t>(bucket));
        for (const std::string& name : names)
            result.digests.push_back(entryDigest(directory.entries.at(name)));
    }
    return result;
}

DirectoryExchange exchangeFor(const Directory& directory, const EntryDigests& ofPeer, std::size_t maxEntries, std::size_t maxWanted)
{
    DirectoryExchange exchange { .isPartial = ofPeer.isPartial };
    const std::unordered_set<std::uint32_t> known(ofPeer.digests.begin(), ofPeer.digests.end());
    std::unordered_set<std::uint32_t> own;
    for (const std::uint8_t bucket : distinct(ofPeer.buckets)) {
        for (const std::string& name : directory.bucketNames[bucket]) {
            const PeerEntry& entry = directory.entries.at(name);
            own.insert(entryDigest(entry));
            if (known.contains(entryDigest(entry)))
                continue;
            if (exchange.entries.size() < maxEntries)
                exchange.entries.push_back(entry);
            else
                exchange.isPartial = true;
        }
    }
    for (const std::uint32_t digest : known) {
        if (own.contains(digest))
            continue;
        if (exchange.wanted.size() < maxWanted)
            exchange.wanted.push_back(digest);
        else
            exchange.isPartial = true;
    }
    return exchange;
}

std::vector<PeerEntry> entriesWithDigests(const Directory& directory, const EntryDigests& wanted, std::size_t maxEntries)
{
    const std::unordered_set<std::uint32_t> digests(wanted.digests.begin(), wanted.digests.end());
    std::vector<PeerEntry> entries;
    for (const std::uint8_t bucket : distinct(wanted.buckets)) {
        for (const std::string& name : directory.bucketNames[bucket]) {
            const PeerEntry& entry = directory.entries.at(name);
            if (entries.size() < maxEntries && digests.contains(entryDigest(entry)))
                entries.push_back(entry);
        }
    }
    return entries;
}

}
