#pragma once

#include "eventloop.h"
#include "libdecision/enumnames.h"
#include "libdecision/ids.h"
#include "libdecision/refusal.h"

#include <cstdint>
#include <utility>
#include <variant>
#include <vector>

namespace kingcuptrail {

using RequestId = std::uint64_t;

/// Identifies the work of a request across its retries; corresponds to the idempotency key on the wire.
using WorkKey = std::uint64_t;

/// The kind of a packet of a modelled flow. Packets that must arrive are retransmitted until they are acknowledged; the
/// real flow endpoints use sequence numbers for this.
enum class ModelPacketKind : std::uint8_t {
    Open,
    Opened,
    Data,
    DataAck,
    Request,
    RequestAck,
    Answer,
    Refusal,
    FinalAck,
    Cancel,
    Close,
    Reset,
};

struct ModelRequest {
    RequestId id = 0;
    WorkKey key = 0;
    /// The work must run at most once.
    bool once = false;
    bool isLong = false;
    /// Time that the work takes at a warm upstream without overload.
    Micros work = 0;
    /// Remaining time until the caller gives up.
    Millis deadline = 0;
    /// Owners at which earlier attempts with an unknown outcome were made.
    std::vector<OwnerToken> earlier;
};

struct FlowPacket {
    ModelPacketKind kind = ModelPacketKind::Data;
    std::size_t service = 0;
    FlowId flow = 0;
    std::size_t caller = 0;
    OwnerToken owner;
    ModelRequest request;
    RefusalVerdict verdict;
    /// Set in answers: identifies the work and the request that were answered, as the hash of the body does on the wire.
    std::uint64_t answerHash = 0;
    std::uint8_t hops = 0;
    std::vector<UpstreamId> visited;
    UpstreamId firstRanked = 0;
    /// Set in opening packets: the flow will carry a feed, which a planned change must not interrupt.
    bool hasFeed = false;
};

/// The periodic message between an agent and a balancer.
struct HeartbeatMessage {
    OwnerToken agent;
    ConfigVersion configVersion = 0;
    double openFlows = 0;
    bool draining = false;
    /// Set in the first message of a new link.
    bool isHello = false;
};

/// The modelled configuration: which data centres are taken out of service.
struct ConfigMessage {
    ConfigVersion version = 0;
    std::vector<bool> dataCentreOut;
};

struct RedirectMessage {
    UpstreamId target = 0;
    std::vector<std::pair<FlowId, OwnerToken>> entries;
};

struct LedgerQueryMessage {
    WorkKey key = 0;
    OwnerToken asker;
    OwnerToken holder;
};

struct LedgerAnswerMessage {
    WorkKey key = 0;
    OwnerToken asker;
    OwnerToken holder;
    /// A LedgerState as the number that is used on the wire.
    std::uint8_t state = 0;
};

using Message = std::variant<FlowPacket, HeartbeatMessage, ConfigMessage, RedirectMessage, LedgerQueryMessage, LedgerAnswerMessage>;

/// Approximate size in bytes of the message as a frame of libprotocol; used to account for control traffic.
std::size_t encodedBytes(const Message& message);

/// The hash of the correct answer to a request.
std::uint64_t answerHashOf(const ModelRequest& request);

}
