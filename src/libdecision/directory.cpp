#include "directory.h"

#include <algorithm>
#include <xxhash.h>

namespace kingcuptrail {

bool offerEntry(Directory& directory, PeerEntry entry)
{
    const auto [found, isNew] = directory.entries.try_emplace(entry.name, entry);
    if (isNew)
        return true;
    if (entry.epoch <= found->second.epoch)
        return false;
    found->second = std::move(entry);
    return true;
}

std::uint64_t digestOf(const Directory& directory)
{
    std::uint64_t digest = 0;
    for (const auto& [name, entry] : directory.entries)
        digest ^= XXH3_64bits_withSeed(name.data(), name.size(), entry.epoch);
    return digest;
}

const PeerEntry* findByAddress(const Directory& directory, std::uint32_t address)
{
    const auto found = std::ranges::find_if(directory.entries, [&](const auto& item) { return item.second.address == address && item.second.state != PeerState::Gone; });
    return found != directory.entries.end() ? &found->second : nullptr;
}

}
