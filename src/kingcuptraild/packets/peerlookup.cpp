#include "peerlookup.h"

#include "libplatform/peerentryjson.h"
#include "libruntime/events.h"
#include "storefollower.h"

namespace kingcuptrail {

namespace {

    /// How long a process waits for an answer of its seeds, in milliseconds: a few round trips.
    constexpr Millis seedTimeout = 15;
    /// Peers that are asked for their gossip once the store has named some.
    constexpr std::size_t maxPeersAsked = 4;

}

PeerLookup::PeerLookup(asio::io_context& context, const PlatformOptions& options, PeerNetwork& network)
    : m_client(context, options)
    , m_network(network)
{
}

void PeerLookup::tick(Millis sinceStart)
{
    if (m_hasListed || m_network.lastGossipAt() != 0 || sinceStart < seedTimeout)
        return;
    m_hasListed = true;
    const auto handler = [this](const std::optional<ObjectList>& objects, PlatformError reason) {
        if (objects)
            handleListing(*objects);
        else
            logEvent(Event::PlatformTrouble, { { "reason", nameOf(reason) }, { "call", "lookup" } });
    };
    m_client.list(agentKind, handler, ReadFreshness::MayBeStale);
}

void PeerLookup::handleListing(const ObjectList& objects)
{
    std::vector<PeerEntry> entries;
    for (const PlatformObject& object : objects.objects) {
        // Entries that cannot be parsed are logged by the processes that follow the store.
        if (auto entry = parseStoredEntry(object))
            entries.push_back(std::move(*entry));
    }
    m_network.updateEntries(entries);
    m_network.requestGossip(maxPeersAsked);
}

}
