#pragma once

#include "enumnames.h"
#include "packet.h"

#include <array>
#include <map>
#include <set>
#include <span>
#include <string>
#include <unordered_map>
#include <vector>

namespace kingcuptrail {

enum class PeerRole : std::uint8_t {
    Balancer,
    Agent,
};

template <>
struct EnumNames<PeerRole> {
    static constexpr std::array<std::string_view, 2> names { "balancer", "agent" };
};

/// Whether an agent accepts new flows, as announced by itself.
enum class PeerState : std::uint8_t {
    Ready,
    /// Accepts no new flow; keeps its open ones.
    Draining,
    /// Its upstream or its host is gone.
    Gone,
};

template <>
struct EnumNames<PeerState> {
    static constexpr std::array<std::string_view, 3> names { "ready", "draining", "gone" };
};

/// What a process announces about itself to all others.
struct PeerEntry {
    std::string name;
    PeerRole role = PeerRole::Agent;
    /// IPv4 address of its host. All hosts use the same port for messages between processes.
    std::uint32_t address = 0;
    std::string dataCentre;
    /// For an agent: the service of its upstream.
    std::string service;
    PeerState state = PeerState::Ready;
    std::uint32_t slots = 1;
    /// Orders the announcements of one name. A process starts above every epoch that it finds for its name.
    std::uint64_t epoch = 0;

    bool operator==(const PeerEntry&) const = default;
};

/// Number of hash buckets by which directories are compared; a power of two.
inline constexpr std::size_t directoryBuckets = 256;

/// The addresses of the processes in one data centre, in no order. An address stands here once for each name.
struct DataCentreMembers {
    /// Processes that are not gone.
    std::vector<std::uint32_t> peers;
    /// Agents that may hold flows, by service and all together.
    std::map<std::string, std::vector<std::uint32_t>, std::less<>> agents;
    std::vector<std::uint32_t> allAgents;
    std::vector<std::uint32_t> readyBalancers;
    std::uint64_t agentsDigest = 0;
};

/// All known processes by name. Gossip makes the directories of all processes equal after some rounds. An entry does not
/// mean that its process is alive. The other fields are derived from the entries and kept up to date with each of them, so that
/// the cost of a message does not grow with the number of entries.
struct Directory {
    std::map<std::string, PeerEntry, std::less<>> entries;
    /// Digests of names and epochs; the index is bucketOf() of the name.
    std::array<std::uint64_t, directoryBuckets> bucketDigests {};
    /// The names in each bucket.
    std::array<std::vector<std::string>, directoryBuckets> bucketNames;
    std::uint64_t digest = 0;
    std::uint64_t agentsDigest = 0;
    /// Number of agents that may hold flows.
    std::size_t agentCount = 0;
    std::map<std::string, DataCentreMembers, std::less<>> dataCentres;
    /// Addresses of the processes that are not gone, in no order.
    std::vector<std::uint32_t> peers;
    /// Names of the balancers that are ready, sorted.
    std::vector<std::string> readyBalancers;
    /// Names of the agents that accept new flows, by service, so that an opening's cost depends on the agents of its
    /// service and not on all agents.
    std::map<std::string, std::set<std::string>, std::less<>> readyAgents;
    /// Names by address. The sender of each message is looked up by its address, so this must not cost a search through all
    /// entries. Several names share an address when it was used again by another host.
    std::unordered_map<std::uint32_t, std::set<std::string>> namesByAddress;
};

/// Stores an announcement unless one with the same or a higher epoch is known. Returns whether it was stored.
bool applyEntry(Directory&, PeerEntry);

/// Whether an announcement in the store belongs to a process that has since announced that it is gone. A process that
/// cannot reach the store when it stops leaves its announcement there, and processes that start later would wait for its
/// answers.
bool isStaleListing(const Directory&, const PeerEntry& listed);

/// Whether the entry belongs to an agent that may hold flows. A draining agent accepts no new flows but keeps its open
/// ones.
inline bool mayHoldFlows(const PeerEntry& entry)
{
    return entry.role == PeerRole::Agent && entry.state != PeerState::Gone;
}

/// A digest of one entry, by its name and epoch.
std::uint32_t entryDigest(const PeerEntry&);

/// The hash bucket of a directory that this name belongs to.
std::size_t bucketOf(std::string_view name);

/// A digest that is equal in all processes that know the same entries with the same epochs.
inline std::uint64_t digestOf(const Directory& directory)
{
    return directory.digest;
}

/// A digest over the addresses of the agents that may hold flows. It ignores balancers and epochs, which don't affect
/// which agents are asked about a flow, so after a power failure processes agree on it while the rest of their
/// directories still differs.
inline std::uint64_t agentsDigestOf(const Directory& directory)
{
    return directory.agentsDigest;
}

/// The same digest over the agents of one data centre, without those in `excluded`.
std::uint64_t agentsDigestOf(const Directory&, std::string_view dataCentre, std::span<const std::uint32_t> excluded);

/// The highest epoch that is known for this entry's name or address; 0 if none is.
std::uint64_t lastEpochOf(const Directory&, const PeerEntry&);

/// Whether another name was announced for this entry's address later. An address belongs to one process at a time, so the process of
/// this entry has ended, whatever state it announced last.
bool isSuperseded(const Directory&, const PeerEntry&);

/// The agents that accept new flows for a service, in the order of their names, without those whose address another process has.
std::vector<const PeerEntry*> readyAgentsOf(const Directory&, std::string_view service);

/// The members of a data centre; empty when none is known there.
const DataCentreMembers& membersOf(const Directory&, std::string_view dataCentre);

/// Number of balancers that are ready and come before `name` in the order of names.
std::size_t balancersBefore(const Directory&, std::string_view name);

/// The entry that was announced last for this address, of those that have not announced that they are gone, or null.
const PeerEntry* findByAddress(const Directory&, std::uint32_t address);

}
