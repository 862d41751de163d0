#pragma once

#include "libdecision/refusal.h"
#include "libprotocol/framing.h"

#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace kingcuptrail {

/// Identifies a request on its flow.
using RequestId = std::uint64_t;

/// An end user's request to a service.
struct RequestSpec {
    std::string method = "GET";
    std::string target = "/";
    /// Idempotency key, the same for all tries on all flows. Must be set and unique unless the request is idempotent.
    std::string key;
    std::string body;
    bool idempotent = true;
    /// The answer is a stream without a known length.
    bool stream = false;
    /// An upload or other long work, which the upstream's agent queues separately from short work.
    bool longWork = false;
};

/// Splits a request into the messages that carry it.
class RequestSender {
public:
    /// `deadline` is the remaining time in milliseconds; `earlier` lists owners that may have run the same key.
    RequestSender(RequestId request, std::shared_ptr<const RequestSpec> spec, Millis deadline, std::vector<OwnerToken> earlier);

    /// The next message, or nothing when all have been returned.
    std::optional<Bytes> next();

    bool isDone() const { return m_headTaken && m_offset == m_spec->body.size(); }
    bool hasBegun() const { return m_headTaken; }

private:
    Bytes head() const;

    RequestId m_request;
    std::shared_ptr<const RequestSpec> m_spec;
    Millis m_deadline;
    std::vector<OwnerToken> m_earlier;
    std::size_t m_offset = 0;
    bool m_headTaken = false;
};

/// Encodes the message that cancels a request.
Bytes encodeCancel(RequestId request);

/// The hash of a complete body, as carried in the heads of requests and answers.
std::uint64_t bodyHashOf(std::string_view body);

enum class AnswerState : std::uint8_t {
    Waiting,
    Arriving,
    Whole,
    Refused,
    /// The received messages do not form a valid answer.
    Faulty,
};

template <>
struct EnumNames<AnswerState> {
    static constexpr std::array<std::string_view, 5> names { "waiting", "arriving", "whole", "refused", "faulty" };
};

enum class AnswerFault : std::uint8_t {
    None,
    ChunkBeforeHead,
    SecondHead,
    Gap,
    TooLong,
    HashMismatch,
    StreamMismatch,
};

template <>
struct EnumNames<AnswerFault> {
    static constexpr std::array<std::string_view, 7> names {
        "none",
        "chunkBeforeHead",
        "secondHead",
        "gap",
        "tooLong",
        "hashMismatch",
        "streamMismatch",
    };
};

/// Assembles an answer and verifies it. The length and hash in the head are checked before a body is delivered, and the
/// chunks of a stream must be contiguous. Otherwise the end user could get a truncated body after a failure of the upstream
/// or agent, or the body of another request's answer when answers are mixed up.
class AnswerAssembly {
public:
    explicit AnswerAssembly(bool expectsStream);

    void receiveHead(const wire::AnswerHead& head);

    /// Processes a chunk. For a stream, returns the new bytes, which are valid as long as the chunk; an empty chunk ends
    /// the stream.
    std::string_view receiveChunk(const wire::AnswerChunk& chunk);

    void receiveRefusal(const wire::Refusal& refusal);

    AnswerState state() const { return m_state; }
    AnswerFault fault() const { return m_fault; }
    std::uint16_t status() const { return m_status; }
    const RefusalVerdict& refusal() const { return m_refusal; }
    /// Whether the answer is a stream; before its head, whether one is expected.
    bool isStream() const { return m_expectsStream; }
    std::uint64_t received() const { return m_received; }
    std::string extractBody() { return std::move(m_body); }

private:
    void fail(AnswerFault fault);
    void finishIfWhole();

    bool m_expectsStream;
    AnswerState m_state = AnswerState::Waiting;
    AnswerFault m_fault = AnswerFault::None;
    RefusalVerdict m_refusal;
    std::uint16_t m_status = 0;
    std::uint64_t m_length = 0;
    std::uint64_t m_hash = 0;
    std::uint64_t m_received = 0;
    std::string m_body;
};

}
