#include "directory.h"

#include <algorithm>
#include <functional>
#include <numeric>
#include <xxhash.h>

namespace kingcuptrail {

namespace {

    void removeFromService(Directory& directory, const PeerEntry& entry)
    {
        const auto service = directory.readyAgents.find(entry.service);
        if (service == directory.readyAgents.end())
            return;
        service->second.erase(entry.name);
        if (service->second.empty())
            directory.readyAgents.erase(service);
    }

    void removeAddress(Directory& directory, const PeerEntry& entry)
    {
        const auto found = directory.namesByAddress.find(entry.address);
        if (found == directory.namesByAddress.end())
            return;
        found->second.erase(entry.name);
        if (found->second.empty())
            directory.namesByAddress.erase(found);
    }

    std::uint64_t digestOf(const PeerEntry& entry)
    {
        return XXH3_64bits_withSeed(entry.name.data(), entry.name.size(), entry.epoch);
    }

    template <typename Predicate>
    std::uint64_t agentsDigest(const Directory& directory, Predicate counts)
    {
        std::uint64_t digest = 0;
        for (const auto& [name, entry] : directory.entries) {
            if (mayHoldFlows(entry) && counts(entry))
                digest ^= XXH3_64bits(&entry.address, sizeof(entry.address));
        }
        return digest;
    }

}

bool applyEntry(Directory& directory, PeerEntry entry)
{
    const auto known = directory.entries.find(entry.name);
    std::uint64_t& bucketDigest = directory.bucketDigests[bucketOf(entry.name)];
    if (known != directory.entries.end()) {
        if (entry.epoch <= known->second.epoch)
            return false;
        removeFromService(directory, known->second);
        removeAddress(directory, known->second);
        bucketDigest ^= digestOf(known->second);
    }
    bucketDigest ^= digestOf(entry);
    if (entry.role == PeerRole::Agent && entry.state == PeerState::Ready)
        directory.readyAgents[entry.service].insert(entry.name);
    directory.namesByAddress[entry.address].insert(entry.name);
    directory.entries.insert_or_assign(entry.name, std::move(entry));
    return true;
}

std::vector<const PeerEntry*> readyAgentsOf(const Directory& directory, std::string_view service)
{
    std::vector<const PeerEntry*> agents;
    const auto found = directory.readyAgents.find(service);
    if (found == directory.readyAgents.end())
        return agents;
    agents.reserve(found->second.size());
    for (const std::string& name : found->second)
        agents.push_back(&directory.entries.at(name));
    return agents;
}

bool isStaleListing(const Directory& directory, const PeerEntry& listed)
{
    const auto known = directory.entries.find(listed.name);
    return known != directory.entries.end() && known->second.state == PeerState::Gone && known->second.epoch >= listed.epoch;
}

std::size_t bucketOf(std::string_view name)
{
    return XXH3_64bits(name.data(), name.size()) % directoryBuckets;
}

std::uint64_t digestOf(const Directory& directory)
{
    return std::accumulate(directory.bucketDigests.begin(), directory.bucketDigests.end(), std::uint64_t { 0 }, std::bit_xor {});
}

std::uint64_t agentsDigestOf(const Directory& directory)
{
    return agentsDigest(directory, [](const PeerEntry&) { return true; });
}

std::uint64_t agentsDigestOf(const Directory& directory, std::string_view dataCentre, std::span<const std::uint32_t> excluded)
{
    return agentsDigest(directory, [&](const PeerEntry& entry) { return entry.dataCentre == dataCentre && std::ranges::find(excluded, entry.address) == excluded.end(); });
}

const PeerEntry* findByAddress(const Directory& directory, std::uint32_t address)
{
    const auto found = directory.namesByAddress.find(address);
    if (found == directory.namesByAddress.end())
        return nullptr;
    for (const std::string& name : found->second) {
        const PeerEntry& entry = directory.entries.at(name);
        if (entry.state != PeerState::Gone)
            return &entry;
    }
    return nullptr;
}

}
