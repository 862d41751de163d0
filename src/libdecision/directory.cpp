#include "directory.h"

#include <algorithm>
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

    std::uint64_t addressDigest(std::uint32_t address)
    {
        return XXH3_64bits(&address, sizeof(address));
    }

    bool isReadyBalancer(const PeerEntry& entry)
    {
        return entry.role == PeerRole::Balancer && entry.state == PeerState::Ready;
    }

    /// The order of the list does not matter.
    void removeOne(std::vector<std::uint32_t>& addresses, std::uint32_t address)
    {
        const auto found = std::ranges::find(addresses, address);
        if (found == addresses.end())
            return;
        *found = addresses.back();
        addresses.pop_back();
    }

    void removeName(std::vector<std::string>& names, const std::string& name)
    {
        if (const auto found = std::ranges::find(names, name); found != names.end())
            names.erase(found);
    }

    void addMember(Directory& directory, const PeerEntry& entry)
    {
        if (entry.state == PeerState::Gone)
            return;
        DataCentreMembers& members = directory.dataCentres[entry.dataCentre];
        directory.peers.push_back(entry.address);
        members.peers.push_back(entry.address);
        if (isReadyBalancer(entry)) {
            directory.readyBalancers.insert(std::ranges::lower_bound(directory.readyBalancers, entry.name), entry.name);
            members.readyBalancers.push_back(entry.address);
        }
        if (mayHoldFlows(entry)) {
            ++directory.agentCount;
            members.agents[entry.service].push_back(entry.address);
            members.allAgents.push_back(entry.address);
            members.agentsDigest ^= addressDigest(entry.address);
            directory.agentsDigest ^= addressDigest(entry.address);
        }
    }

    void removeMember(Directory& directory, const PeerEntry& entry)
    {
        if (entry.state == PeerState::Gone)
            return;
        DataCentreMembers& members = directory.dataCentres.at(entry.dataCentre);
        removeOne(directory.peers, entry.address);
        removeOne(members.peers, entry.address);
        if (isReadyBalancer(entry)) {
            removeName(directory.readyBalancers, entry.name);
            removeOne(members.readyBalancers, entry.address);
        }
        if (mayHoldFlows(entry)) {
            --directory.agentCount;
            removeOne(members.agents.at(entry.service), entry.address);
            removeOne(members.allAgents, entry.address);
            members.agentsDigest ^= addressDigest(entry.address);
            directory.agentsDigest ^= addressDigest(entry.address);
        }
    }

    bool hasSameMembership(const PeerEntry& before, const PeerEntry& after)
    {
        return before.role == after.role && before.address == after.address && before.dataCentre == after.dataCentre && before.service == after.service && before.state == after.state;
    }

}

bool applyEntry(Directory& directory, PeerEntry entry)
{
    const auto known = directory.entries.find(entry.name);
    const bool isKnown = known != directory.entries.end();
    if (isKnown && entry.epoch <= known->second.epoch)
        return false;
    const std::size_t bucket = bucketOf(entry.name);
    const std::uint64_t digestChange = digestOf(entry) ^ (isKnown ? digestOf(known->second) : 0);
    directory.bucketDigests[bucket] ^= digestChange;
    directory.digest ^= digestChange;
    if (!isKnown)
        directory.bucketNames[bucket].push_back(entry.name);
    // Most announcements only renew the epoch.
    if (!isKnown || !hasSameMembership(known->second, entry)) {
        if (isKnown) {
            removeFromService(directory, known->second);
            removeAddress(directory, known->second);
            removeMember(directory, known->second);
        }
        if (entry.role == PeerRole::Agent && entry.state == PeerState::Ready)
            directory.readyAgents[entry.service].insert(entry.name);
        directory.namesByAddress[entry.address].insert(entry.name);
        addMember(directory, entry);
    }
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
    for (const std::string& name : found->second) {
        const PeerEntry& entry = directory.entries.at(name);
        if (!isSuperseded(directory, entry))
            agents.push_back(&entry);
    }
    return agents;
}

std::uint64_t lastEpochOf(const Directory& directory, const PeerEntry& entry)
{
    const auto known = directory.entries.find(entry.name);
    std::uint64_t last = known != directory.entries.end() ? known->second.epoch : 0;
    if (const auto names = directory.namesByAddress.find(entry.address); names != directory.namesByAddress.end()) {
        for (const std::string& name : names->second)
            last = std::max(last, directory.entries.at(name).epoch);
    }
    return last;
}

bool isSuperseded(const Directory& directory, const PeerEntry& entry)
{
    const auto names = directory.namesByAddress.find(entry.address);
    if (names == directory.namesByAddress.end() || names->second.size() == 1)
        return false;
    return std::ranges::any_of(names->second, [&](const std::string& name) {
        const std::uint64_t epoch = directory.entries.at(name).epoch;
        return epoch > entry.epoch || (epoch == entry.epoch && name > entry.name);
    });
}

bool isStaleListing(const Directory& directory, const PeerEntry& listed)
{
    const auto known = directory.entries.find(listed.name);
    return known != directory.entries.end() && known->second.state == PeerState::Gone && known->second.epoch >= listed.epoch;
}

std::uint32_t entryDigest(const PeerEntry& entry)
{
    return static_cast<std::uint32_t>(digestOf(entry));
}

std::size_t bucketOf(std::string_view name)
{
    return XXH3_64bits(name.data(), name.size()) % directoryBuckets;
}

std::uint64_t agentsDigestOf(const Directory& directory, std::string_view dataCentre, std::span<const std::uint32_t> excluded)
{
    std::uint64_t digest = membersOf(directory, dataCentre).agentsDigest;
    for (auto address = excluded.begin(); address != excluded.end(); ++address) {
        const auto names = directory.namesByAddress.find(*address);
        const bool isRepeated = std::find(excluded.begin(), address, *address) != address;
        if (names == directory.namesByAddress.end() || isRepeated)
            continue;
        for (const std::string& name : names->second) {
            const PeerEntry& entry = directory.entries.at(name);
            if (mayHoldFlows(entry) && entry.dataCentre == dataCentre)
                digest ^= addressDigest(*address);
        }
    }
    return digest;
}

const DataCentreMembers& membersOf(const Directory& directory, std::string_view dataCentre)
{
    static const DataCentreMembers nobody;
    const auto found = directory.dataCentres.find(dataCentre);
    return found != directory.dataCentres.end() ? found->second : nobody;
}

std::size_t balancersBefore(const Directory& directory, std::string_view name)
{
    return static_cast<std::size_t>(std::ranges::lower_bound(directory.readyBalancers, name) - directory.readyBalancers.begin());
}

const PeerEntry* findByAddress(const Directory& directory, std::uint32_t address)
{
    const auto found = directory.namesByAddress.find(address);
    if (found == directory.namesByAddress.end())
        return nullptr;
    const PeerEntry* latest = nullptr;
    for (const std::string& name : found->second) {
        const PeerEntry& entry = directory.entries.at(name);
        if (entry.state != PeerState::Gone && (!latest || entry.epoch > latest->epoch))
            latest = &entry;
    }
    return latest;
}

}
