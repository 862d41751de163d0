#include "gossipsize.h"

#include <algorithm>

namespace kingcuptrail {

namespace {

    /// A datagram has 2,048 bytes. Of these some 400 are for the rest of a gossip message.
    constexpr std::size_t maxEntriesPerMessage = 6;
    constexpr std::size_t maxEntryBytes = 1000;
    constexpr std::size_t maxOutageBytes = 600;
    /// What an entry and a name take besides their text: numbers, offsets and padding.
    constexpr std::size_t entryOverhead = 80;
    constexpr std::size_t nameOverhead = 12;

    std::size_t sizeOf(const PeerEntry& entry)
    {
        return entryOverhead + entry.name.size() + entry.dataCentre.size() + entry.service.size();
    }

}

std::size_t entriesThatFit(std::span<const PeerEntry> entries)
{
    std::size_t bytes = 0;
    std::size_t count = 0;
    while (count < std::min(entries.size(), maxEntriesPerMessage)) {
        bytes += sizeOf(entries[count]);
        if (count > 0 && bytes > maxEntryBytes)
            break;
        ++count;
    }
    return count;
}

OutageSelection selectOutages(std::vector<std::string> names, const Directory& directory)
{
    std::stable_partition(names.begin(), names.end(), [&directory](const std::string& name) { return directory.dataCentres.contains(name); });
    OutageSelection selection;
    std::size_t bytes = 0;
    for (std::string& name : names) {
        const std::size_t size = name.size() + nameOverhead;
        const bool fits = name.size() <= maxNameBytes && bytes + size <= maxOutageBytes;
        if (fits)
            bytes += size;
        (fits ? selection.taken : selection.dropped).push_back(std::move(name));
    }
    return selection;
}

}
