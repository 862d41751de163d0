#pragma once

#include "libdecision/admission.h"
#include "libdecision/attempts.h"
#include "libdecision/refusal.h"
#include "libhttp/httpclient.h"
#include "libprotocol/framing.h"

#include <deque>
#include <memory>
#include <string>

namespace kingcuptrail {

enum class RequestStage : std::uint8_t {
    /// The body is arriving.
    Receiving,
    /// Earlier owners are being queried about the key.
    AskingEarlier,
    /// Waiting for a slot.
    Queued,
    /// At the upstream.
    Running,
    /// The answer, or the end of a stream, is on its way to the caller.
    Answering,
};

template <>
struct EnumNames<RequestStage> {
    static constexpr std::array<std::string_view, 5> names { "receiving", "askingEarlier", "queued", "running", "answering" };
};

/// One request between the arrival of its head and the last byte of its answer.
struct ActiveRequest {
    FlowId flow = 0;
    /// Number of the request on its flow, chosen by the caller.
    std::uint64_t request = 0;
    /// Number of the request in admission, unique within the agent's process.
    std::uint64_t work = 0;
    std::string key;
    std::string method;
    std::string target;
    bool idempotent = true;
    bool stream = false;
    bool hasFlow = true;
    WorkClass workClass = WorkClass::Short;
    RequestStage stage = RequestStage::Receiving;
    Millis arrivedAt = 0;
    Millis queuedAt = 0;
    Millis startedAt = 0;
    Millis deadline = 0;
    Millis queriedAt = 0;
    std::uint32_t queryAttempts = 0;

    std::string body;
    std::uint64_t bodyLength = 0;
    std::uint64_t bodyHash = 0;
    std::size_t heldBytes = 0;

    std::vector<OwnerToken> earlier;
    EarlierAttempts attempts;

    std::shared_ptr<HttpCall> call;
    bool holdsSlot = false;
    bool inLedger = false;
    bool streamOpen = false;
    bool isPaused = false;

    /// Messages that wait for space on the flow, in order.
    std::deque<Bytes> outbox;
    std::uint64_t streamOffset = 0;
};

}
