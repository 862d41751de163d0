#pragma once

#include "framing.h"
#include "libdecision/agentchoice.h"
#include "libdecision/agentflows.h"
#include "libdecision/directorydifference.h"
#include "libdecision/flowadmission.h"
#include "libdecision/pendingreports.h"
#include "libdecision/storereaders.h"
#include <peer_generated.h>

namespace kingcuptrail {

template <>
struct EnumNames<wire::PeerKind> {
    static constexpr std::array<std::string_view, 20> names {
        "gossip",
        "open",
        "forward",
        "find",
        "probe",
        "admitted",
        "refused",
        "held",
        "notHeld",
        "unsure",
        "ping",
        "load",
        "findNear",
        "heldNear",
        "notHeldNear",
        "unsureNear",
        "directoryDigests",
        "pendingRequests",
        "entryDigests",
        "entryRequest",
    };
};
static_assert(EnumNames<wire::PeerKind>::names.size() == static_cast<std::size_t>(wire::PeerKind::MAX) + 1);

/// A decoded message between processes. `packet`, `service` and `table` point into the datagram.
struct PeerMessage {
    wire::PeerKind kind = wire::PeerKind::News;
    FlowKey flow;
    AgentLoad load;
    OpeningRefusal refusal = OpeningRefusal::None;
    ConfigVersion configVersion = 0;
    /// Of Find and FindNear: the acknowledgement number of the caller's packet.
    std::uint32_t acknowledged = 0;
    /// Of FindNear: digest of the agents that the sender knows in the receiver's data centre. Of News: digest of the
    /// sender's directory.
    std::uint64_t digest = 0;
    /// Of Open: the agent must refuse the opening instead of queueing it, since other agents may have a free slot.
    bool needsFreeSlot = false;
    /// Of Open: the service that the opening is for; empty if the sender is of an earlier release. Points into the datagram.
    std::string_view service;
    /// Of HeldNear: the address of the agent that holds the flow.
    std::uint32_t holder = 0;
    /// Of FindNear: agents that must not be queried. Of UnsureNear: agents that were queried and gave no definite answer.
    std::vector<std::uint32_t> excluded;
    /// Of UnsureNear: agents that certainly do not hold the flow, or that all others do not hold it.
    std::vector<std::uint32_t> denied;
    bool haveOthersDenied = false;
    std::span<const std::uint8_t> packet;
    /// Access to the fields of the less frequent kinds, which are not decoded in advance.
    const wire::PeerMessage* table = nullptr;
};

/// Decodes a datagram; empty, with the reason in `error`, when it is not a message. The bytes are verified before any field
/// is read, since any host may have sent them.
std::optional<PeerMessage> decodePeerMessage(std::span<const std::uint8_t> datagram, FrameError& error);

/// The content of a message about one flow, to be encoded.
struct FlowMessage {
    wire::PeerKind kind = wire::PeerKind::Open;
    FlowKey flow;
    OpeningRefusal refusal = OpeningRefusal::None;
    ConfigVersion configVersion = 0;
    std::uint32_t acknowledged = 0;
    std::uint64_t digest = 0;
    bool needsFreeSlot = false;
    std::string_view service;
    std::uint32_t holder = 0;
    std::vector<std::uint32_t> excluded;
    std::vector<std::uint32_t> denied;
    bool haveOthersDenied = false;
    /// Of PendingRequests; what exceeds maxPendingRequestsPerMessage is not encoded.
    std::span<const PendingRequest> pending;
    const AgentLoad* load = nullptr;
    std::span<const std::uint8_t> packet;
};

/// The content of a gossip message: the sender's versions and digests, and the parts of its state that it shares.
struct GossipMessage {
    ConfigVersion configVersion = 0;
    std::uint64_t digest = 0;
    std::uint64_t agentsDigest = 0;
    const OutageView* outages = nullptr;
    std::vector<PeerEntry> entries;
    std::vector<ReaderHeartbeat> readers;
    bool wantsAnswer = false;
};

/// A process's directory as one digest for each bucket.
struct DigestsMessage {
    ConfigVersion configVersion = 0;
    std::vector<std::uint32_t> digests;
    /// The receiver should send its own digests too, so that both sides can send the other's missing entries.
    bool wantsAnswer = false;
    /// The receiver lacks so many entries that it must fetch the whole directory.
    bool differsMuch = false;
    /// How many entries the sender accepts in answer; 0 when it does not know EntryDigests.
    std::uint32_t maxEntries = 0;
};

/// Digests of single entries, or a request for those entries.
struct EntryDigestsMessage {
    wire::PeerKind kind = wire::PeerKind::EntryDigests;
    ConfigVersion configVersion = 0;
    EntryDigests digests;
    /// How many entries the sender accepts.
    std::uint32_t maxEntries = 0;
};

/// Encodes messages into a reused buffer, so that encoding a packet needs no allocation. The returned bytes are valid until
/// the next call.
class PeerMessageEncoder {
public:
    std::span<const std::uint8_t> encode(const FlowMessage&);
    std::span<const std::uint8_t> encode(const GossipMessage&);
    std::span<const std::uint8_t> encode(const DigestsMessage&);
    std::span<const std::uint8_t> encode(const EntryDigestsMessage&);

private:
    flatbuffers::FlatBufferBuilder m_builder { 2048 };
};

/// Convert between the kinds Held, NotHeld and Unsure and the answer that they carry.
HolderAnswer holderAnswerOf(wire::PeerKind kind);
wire::PeerKind peerKindOf(HolderAnswer answer);

/// The directory entries in a News message.
std::vector<PeerEntry> entriesOf(const PeerMessage&);
std::vector<PeerEntry> entriesOf(const flatbuffers::Vector<flatbuffers::Offset<wire::PeerEntry>>& packed);
/// The digests in a DirectoryDigests message.
std::vector<std::uint32_t> digestsOf(const PeerMessage&);
/// The content of an EntryDigests or EntryRequest message.
EntryDigests entryDigestsOf(const PeerMessage&);
/// The heartbeats of the store's readers in a News message.
std::vector<ReaderHeartbeat> readerHeartbeatsOf(const PeerMessage&);
/// The requests in a PendingRequests message, at most maxPendingRequestsPerMessage. The limit bounds the work that a forged
/// message can cause.
std::vector<PendingRequest> pendingRequestsOf(const PeerMessage&);
/// The outages in a News message; empty when it has none.
std::optional<OutageView> outagesOf(const PeerMessage&);

}
