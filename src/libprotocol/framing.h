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

/// No frame may be longer, so that a peer cannot make a process hold more than this for one unfinished frame.
constexpr std::size_t maxFrameBytes = std::size_t { 256 } * 1024;

/// Body bytes carried by one segment: large enough to amortise its packet, small enough that a lost one is cheap.
constexpr std::size_t maxChunkBytes = std::size_t { 16 } * 1024;

/// Length of the prefix that holds a frame's size, in bytes.
constexpr std::size_t framePrefixBytes = 4;

/// The version of the frames' meaning; peers that differ part with a goodbye.
constexpr std::uint32_t protocolVersion = 1;

/// Why bytes could not be taken as a frame or message.
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

/// Encodes a frame with its length in front, ready to be written to a link.
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

/// The message in a segment's payload, valid while `payload` is; nothing when the bytes are not a whole message.
const wire::Message* readMessage(std::span<const std::uint8_t> payload);

/// Cuts a stream of bytes into frames. After an error it yields nothing more: the stream cannot be trusted any longer.
class FrameReader {
public:
    /// One frame: `raw` includes the prefix, so that it can be forwarded unchanged. Both are valid until the next call.
    struct View {
        const wire::Frame* frame = nullptr;
        std::span<const std::uint8_t> raw;
    };

    void append(std::span<const std::uint8_t> bytes);

    /// The next whole frame, or nothing when more bytes are needed or lastReason() is set.
    std::optional<View> next();

    /// Whether part of a frame has arrived.
    bool hasPartial() const { return m_begin < m_buffer.size(); }

    FrameError lastReason() const { return m_lastReason; }

private:
    std::optional<View> fail(FrameError reason);

    Bytes m_buffer;
    std::size_t m_begin = 0;
    FrameError m_lastReason = FrameError::None;
};

}
