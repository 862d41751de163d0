#include "requestcall.h"

#include <algorithm>
#include <xxhash.h>

namespace kingcuptrail {

namespace {

    /// Upper limit of the memory reserved for a body from the length in its head, which the sender may have set too high.
    constexpr std::uint64_t maxReservedBytes = std::uint64_t { 4 } * 1024 * 1024;

}

std::uint64_t bodyHashOf(std::string_view body)
{
    return XXH3_64bits(body.data(), body.size());
}

Bytes encodeCancel(RequestId request)
{
    wire::CancelT cancel;
    cancel.request = request;
    return encodeMessageOf(cancel);
}

RequestSender::RequestSender(RequestId request, std::shared_ptr<const RequestSpec> spec, Millis deadline, std::vector<OwnerToken> earlier)
    : m_request(request)
    , m_spec(std::move(spec))
    , m_deadline(std::max<Millis>(deadline, 1))
    , m_earlier(std::move(earlier))
{
}

std::optional<Bytes> RequestSender::next()
{
    if (!m_headTaken) {
        m_headTaken = true;
        return head();
    }
    if (isDone())
        return std::nullopt;
    const std::size_t count = std::min(maxChunkBytes, m_spec->body.size() - m_offset);
    wire::BodyChunkT chunk;
    chunk.request = m_request;
    chunk.offset = m_offset;
    const auto begin = m_spec->body.begin() + static_cast<std::ptrdiff_t>(m_offset);
    chunk.bytes.assign(begin, begin + static_cast<std::ptrdiff_t>(count));
    m_offset += count;
    return encodeMessageOf(std::move(chunk));
}

Bytes RequestSender::head() const
{
    wire::RequestHeadT head;
    head.request = m_request;
    head.key = m_spec->key;
    head.idempotent = m_spec->idempotent;
    head.stream = m_spec->stream;
    head.long_work = m_spec->longWork;
    head.method = m_spec->method;
    head.target = m_spec->target;
    head.deadline = static_cast<std::uint32_t>(m_deadline);
    head.body_length = m_spec->body.size();
    head.body_hash = bodyHashOf(m_spec->body);
    for (const OwnerToken& token : m_earlier) {
        auto attempt = std::make_unique<wire::AttemptT>();
        attempt->upstream = token.upstream;
        attempt->incarnation = token.incarnation;
        head.earlier.push_back(std::move(attempt));
    }
    return encodeMessageOf(std::move(head));
}

AnswerAssembly::AnswerAssembly(bool expectsStream)
    : m_expectsStream(expectsStream)
{
}

void AnswerAssembly::receiveHead(const wire::AnswerHead& head)
{
    if (m_state != AnswerState::Waiting) {
        fail(AnswerFault::SecondHead);
        return;
    }
    if (head.stream() && !m_expectsStream) {
        fail(AnswerFault::StreamMismatch);
        return;
    }
    // An upstream may answer a request for a stream with an ordinary answer, such as an error.
    m_expectsStream = head.stream();
    m_state = AnswerState::Arriving;
    m_status = head.status();
    m_length = head.body_length();
    m_hash = head.body_hash();
    if (m_expectsStream)
        return;
    m_body.reserve(std::min(m_length, maxReservedBytes));
    finishIfWhole();
}

std::string_view AnswerAssembly::receiveChunk(const wire::AnswerChunk& chunk)
{
    if (m_state != AnswerState::Arriving) {
        fail(m_state == AnswerState::Waiting ? AnswerFault::ChunkBeforeHead : AnswerFault::TooLong);
        return {};
    }
    if (chunk.offset() != m_received) {
        fail(AnswerFault::Gap);
        return {};
    }
    const std::size_t count = chunk.bytes() ? chunk.bytes()->size() : 0;
    m_received += count;
    if (m_expectsStream && count == 0) {
        m_state = AnswerState::Whole;
        return {};
    }
    if (!m_expectsStream && m_received > m_length) {
        fail(AnswerFault::TooLong);
        return {};
    }
    const std::string_view bytes(count ? reinterpret_cast<const char*>(chunk.bytes()->data()) : "", count);
    if (m_expectsStream)
        return bytes;
    m_body.append(bytes);
    finishIfWhole();
    return {};
}

void AnswerAssembly::receiveRefusal(const wire::Refusal& refusal)
{
    m_refusal.ran = fromNumber<Ran>(refusal.ran()).value_or(Ran::Unknown);
    m_refusal.reason = fromNumber<RefusalReason>(refusal.reason()).value_or(RefusalReason::None);
    m_refusal.retryAfter = refusal.retry_after();
    m_state = AnswerState::Refused;
}

void AnswerAssembly::fail(AnswerFault fault)
{
    m_fault = fault;
    m_state = AnswerState::Faulty;
    m_body.clear();
}

void AnswerAssembly::finishIfWhole()
{
    if (m_received < m_length)
        return;
    if (bodyHashOf(m_body) == m_hash)
        m_state = AnswerState::Whole;
    else
        fail(AnswerFault::HashMismatch);
}

}
