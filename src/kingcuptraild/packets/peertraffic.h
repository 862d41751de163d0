#pragma once

#include "libprotocol/peermessage.h"
#include "libruntime/metrics.h"

namespace kingcuptrail {

/// What a process has exchanged with other processes since its start, by kind of message. Bytes are those of the messages,
/// without headers of the network.
struct PeerTraffic {
    EnumCounters<wire::PeerKind> sentMessages;
    EnumCounters<wire::PeerKind> sentBytes;
    EnumCounters<wire::PeerKind> receivedMessages;
    EnumCounters<wire::PeerKind> receivedBytes;
    std::uint64_t viewsSent = 0;
    std::uint64_t viewBytesSent = 0;
    std::uint64_t viewsReceived = 0;
    std::uint64_t viewBytesReceived = 0;
};

/// Logs the sums of the traffic that keeps views equal, and of all messages about flows.
void logPeerTraffic(const PeerTraffic&, Millis uptime);

void exposePeerTraffic(std::string& out, const PeerTraffic&);

}
