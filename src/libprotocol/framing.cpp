#include "framing.h"

namespace kingcuptrail {

namespace {

    /// Limits of the verifier's work on a malicious frame. Valid frames nest four levels deep and have few tables.
    constexpr flatbuffers::uoffset_t maxTableDepth = 16;
    constexpr flatbuffers::uoffset_t maxTables = 50000;

    /// An empty buffer with more capacity than this is released, since otherwise the memory used by one burst would stay
    /// allocated for as long as the link exists.
    constexpr std::size_t idleCapacity = 4096;

}

Bytes encodeFrame(const wire::FrameT& frame)
{
    flatbuffers::FlatBufferBuilder builder;
    builder.FinishSizePrefixed(wire::Frame::Pack(builder, &frame));
    return Bytes(builder.GetBufferPointer(), builder.GetBufferPointer() + builder.GetSize());
}

const wire::Message* decodeMessage(std::span<const std::uint8_t> payload)
{
    flatbuffers::Verifier verifier(payload.data(), payload.size(), maxTableDepth, maxTables);
    if (!verifier.VerifyBuffer<wire::Message>(nullptr))
        return nullptr;
    const auto* message = flatbuffers::GetRoot<wire::Message>(payload.data());
    return message->body() ? message : nullptr;
}

void FrameReader::append(std::span<const std::uint8_t> bytes)
{
    if (m_begin == m_buffer.size() && m_buffer.capacity() > idleCapacity) {
        m_buffer = Bytes();
        m_begin = 0;
    } else if (m_begin > 0) {
        m_buffer.erase(m_buffer.begin(), m_buffer.begin() + static_cast<std::ptrdiff_t>(m_begin));
        m_begin = 0;
    }
    m_buffer.insert(m_buffer.end(), bytes.begin(), bytes.end());
}

std::optional<FrameReader::View> FrameReader::next()
{
    if (m_lastError != FrameError::None)
        return std::nullopt;
    const std::size_t available = m_buffer.size() - m_begin;
    if (available < framePrefixBytes)
        return std::nullopt;
    const std::uint8_t* start = m_buffer.data() + m_begin;
    const std::size_t length = flatbuffers::ReadScalar<flatbuffers::uoffset_t>(start);
    if (length > maxFrameBytes)
        return fail(FrameError::TooLarge);
    const std::size_t whole = framePrefixBytes + length;
    if (available < whole)
        return std::nullopt;
    flatbuffers::Verifier verifier(start, whole, maxTableDepth, maxTables);
    if (!verifier.VerifySizePrefixedBuffer<wire::Frame>(nullptr))
        return fail(FrameError::Malformed);
    const auto* frame = flatbuffers::GetSizePrefixedRoot<wire::Frame>(start);
    if (!frame->body())
        return fail(FrameError::NoBody);
    m_begin += whole;
    return View { .frame = frame, .raw = { start, whole } };
}

std::optional<FrameReader::View> FrameReader::fail(FrameError reason)
{
    m_lastError = reason;
    return std::nullopt;
}

}
