#include "directorydifference.h"

#include <algorithm>
#include <bit>

namespace kingcuptrail {

namespace {

    /// The numbers of buckets are powers of two, so the digest of a larger bucket is the XOR of smaller ones.
    std::vector<std::uint32_t> foldedDigests(const Directory& directory, std::size_t parts)
    {
        std::vector<std::uint32_t> digests(parts);
        for (std::size_t part = 0; part < directoryParts; ++part)
            digests[part % parts] ^= static_cast<std::uint32_t>(directory.partDigests[part]);
        return digests;
    }

}

std::vector<std::uint32_t> partDigestsOf(const Directory& directory, const DirectoryDifferenceOptions& options)
{
    const std::size_t wanted = std::bit_ceil(directory.entries.size() / options.entriesInPart + 1);
    return foldedDigests(directory, std::clamp(wanted, options.fewestParts, directoryParts));
}

DirectoryDifference differenceTo(const Directory& directory, std::span<const std::uint32_t> partDigests, const DirectoryDifferenceOptions& options)
{
    const std::size_t parts = partDigests.size();
    if (!std::has_single_bit(parts) || parts > directoryParts)
        return {};
    const std::vector<std::uint32_t> own = foldedDigests(directory, parts);
    DirectoryDifference difference;
    for (const auto& [name, entry] : directory.entries) {
        const std::size_t part = partOf(name) % parts;
        if (own[part] == partDigests[part])
            continue;
        if (difference.entries.size() == options.mostEntries) {
            difference.entries.clear();
            difference.isLarge = true;
            return difference;
        }
        difference.entries.push_back(entry);
    }
    return difference;
}

}
