#pragma once

#include "libplatform/platformclient.h"
#include "peernetwork.h"

namespace kingcuptrail {

/// Finds peers in the store for a process whose seeds do not answer. When all processes restart together, the seeds may start
/// last or be gone, and a process that knows no other peer would have to read the whole store itself.
class PeerLookup {
public:
    PeerLookup(asio::io_context& context, const PlatformOptions& options, PeerNetwork& network);

    /// Reads the agents from the store once, if no peer has sent gossip by then; to be called several times a second.
    /// `sinceStart` is the age of the process in milliseconds.
    void tick(Millis sinceStart);

    std::uint64_t callsMade() const { return m_client.callsMade(); }

private:
    void handleListing(const ObjectList& objects);

    PlatformClient m_client;
    PeerNetwork& m_network;
    bool m_hasListed = false;
};

}
