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

/// Names the work of a request across its retries, as the idempotency key does on the wire.
using WorkKey = std::uint64_t;

/// What a packet of the modelled flow is for. Each that must arrive is sent again until its acknowledgement comes; the
/// real flow endpoints do this with sequence numbers.
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
    /// Must run at most once.
    bool once = false;
    bool isLong = false;
    /// Time the work takes at a warm, unhurried upstream.
    Micros work = 0;
    /// Time left until the caller gives up.
    Millis deadline = 0;
    /// Owners of earlier attempts whose outcome is not known.
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
    /// Of an answer: names the work and the request it was made for, as the body's hash does on the wire.
    std::uint64_t answerHash = 0;
    std::uint8_t hops = 0;
    std::vector<UpstreamId> visited;
    UpstreamId passedOver = 0;
    /// Of an open: the flow will carry a feed, which must not be cut by a planned change.
    bool hasFeed = false;
};

/// What an agent and a balancer tell each other regularly.
struct HeartbeatMessage {
    OwnerToken agent;
    ConfigVersion configVersion = 0;
    double openFlows = 0;
    bool draining = false;
    /// The first message of a new link.
    bool isHello = false;
};

/// The configuration as far as the model has one: which data centres are out.
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
    /// LedgerState as a number, as it travels on the wire.
    std::uint8_t state = 0;
};

using Message = std::variant<FlowPacket, HeartbeatMessage, ConfigMessage, RedirectMessage, LedgerQueryMessage, LedgerAnswerMessage>;

/// Bytes a message takes on a link, about as the frames of libprotocol do; for the control budget.
std::size_t encodedBytes(const Message& message);

/// The content of the answer that belongs to a request.
std::uint64_t answerHashOf(const ModelRequest& request);

}
