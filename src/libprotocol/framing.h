#pragma once

#include "libdecision/enumnames.h"
#include <frame_generated.h>

#include <cstdint>
#include <optional>
#include <span>
#include <utility>
#include <vector>

namespace kingcuptrail {

using Bytes = std::vector<std::uint8_t>;

/// Maximum length of a frame, without its prefix. Bounds the memory that a peer can occupy with one incomplete frame.
constexpr std::size_t maxFrameBytes = std::size_t { 256 } * 1024;

/// Maximum number of body bytes in one segment: large enough to amortise the packet's overhead, small enough that
/// retransmitting a lost segment is cheap.
constexpr std::size_t maxChunkBytes = std::size_t { 16 } * 1024;

/// Length of the prefix that holds a frame's size, in bytes.
constexpr std::size_t framePrefixBytes = 4;

/// Version of the protocol. A process answers a peer of another version with a goodbye and closes the link.
constexpr std::uint32_t protocolVersion = 1;

/// Why bytes could not be decoded as a frame or message.
enum class FrameError : std::uint8_t {
    None,
    TooLarge,
    Malformed,
    NoBody,
};

template <>
struct EnumNames<FrameError> {
    static constexpr std::array<std::string_view, 4> names { "none", "tooLarge", "malformed", "noBody" };
};

/// Encodes a frame with its length prefix, ready to be written to a link.
Bytes encodeFrame(const wire::FrameT& frame);

/// Encodes one body as a frame.
template <typename Body>
Bytes encodeFrameOf(Body body)
{
    wire::FrameT frame;
    frame.body.Set(std::move(body));
    return encodeFrame(frame);
}

/// Encodes one message body as the payload of a segment.
template <typename Body>
Bytes encodeMessageOf(Body body)
{
    wire::MessageT message;
    message.body.Set(std::move(body));
    flatbuffers::FlatBufferBuilder builder;
    builder.Finish(wire::Message::Pack(builder, &message));
    return Bytes(builder.GetBufferPointer(), builder.GetBufferPointer() + builder.GetSize());
}

/// Decodes the message in a segment's payload. The result points into `payload`; it is null when the bytes are not a
/// complete, valid message.
const wire::Message* decodeMessage(std::span<const std::uint8_t> payload);

/// Splits a byte stream into frames. After an error it returns no more frames, since frame boundaries are lost.
class FrameReader {
public:
    /// One frame. `raw` includes the prefix, so that it can be forwarded unchanged. Both members are valid until the next
    /// call of append().
    struct View {
        const wire::Frame* frame = nullptr;
        std::span<const std::uint8_t> raw;
    };

    void append(std::span<const std::uint8_t> bytes);

    /// Returns the next complete frame; empty when more bytes are needed or lastError() is set.
    std::optional<View> next();

    /// Whether unread bytes are buffered, such as part of a frame.
    bool hasPartial() const { return m_begin < m_buffer.size(); }

    FrameError lastError() const { return m_lastError; }

private:
    std::optional<View> fail(FrameError reason);

    Bytes m_buffer;
    std::size_t m_begin = 0;
    FrameError m_lastError = FrameError::None;
};

}
