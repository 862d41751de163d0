#include "peertraffic.h"

#include "libruntime/events.h"

namespace kingcuptrail {

namespace {

    std::uint64_t aboutDirectories(const EnumCounters<wire::PeerKind>& counters)
    {
        return counters.count(wire::PeerKind::DirectoryDigests) + counters.count(wire::PeerKind::EntryDigests) + counters.count(wire::PeerKind::EntryRequest);
    }

    std::uint64_t aboutFlows(const EnumCounters<wire::PeerKind>& counters)
    {
        return counters.total() - counters.count(wire::PeerKind::News) - aboutDirectories(counters);
    }

}

void logPeerTraffic(const PeerTraffic& traffic, Millis uptime)
{
    constexpr auto gossip = wire::PeerKind::News;
    logEvent(Event::PeerTraffic, {
                                     { "uptime", static_cast<std::uint64_t>(uptime) },
                                     { "gossipSent", traffic.sentMessages.count(gossip) },
                                     { "gossipBytesSent", traffic.sentBytes.count(gossip) },
                                     { "gossipReceived", traffic.receivedMessages.count(gossip) },
                                     { "digestsSent", aboutDirectories(traffic.sentMessages) },
                                     { "digestBytesSent", aboutDirectories(traffic.sentBytes) },
                                     { "viewsSent", traffic.viewsSent },
                                     { "viewBytesSent", traffic.viewBytesSent },
                                     { "viewsReceived", traffic.viewsReceived },
                                     { "flowMessagesSent", aboutFlows(traffic.sentMessages) },
                                     { "flowBytesSent", aboutFlows(traffic.sentBytes) },
                                 });
}

void exposePeerTraffic(std::string& out, const PeerTraffic& traffic)
{
    exposeCounters(out, "kingcuptrail_peer_messages_sent_total", "Messages sent to other processes, by kind.", traffic.sentMessages);
    exposeCounters(out, "kingcuptrail_peer_bytes_sent_total", "Bytes of messages sent to other processes, by kind.", traffic.sentBytes);
    exposeCounters(out, "kingcuptrail_peer_messages_received_total", "Messages received from other processes, by kind.", traffic.receivedMessages);
    exposeCounters(out, "kingcuptrail_peer_bytes_received_total", "Bytes of messages received from other processes, by kind.", traffic.receivedBytes);
    exposeCounter(out, "kingcuptrail_views_sent_total", "Views sent to other processes.", traffic.viewsSent);
    exposeCounter(out, "kingcuptrail_view_bytes_sent_total", "Bytes of views sent to other processes.", traffic.viewBytesSent);
    exposeCounter(out, "kingcuptrail_views_received_total", "Views received from other processes.", traffic.viewsReceived);
    exposeCounter(out, "kingcuptrail_view_bytes_received_total", "Bytes of views received from other processes.", traffic.viewBytesReceived);
}

}
