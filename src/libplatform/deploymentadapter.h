#pragma once

#include "libdecision/opengate.h"
#include "libdecision/packet.h"
#include "libhttp/http.h"
#include "storedialect.h"

#include <array>
#include <span>

namespace kingcuptrail {

/// Why bytes from outside were not taken for what they claim to be.
enum class DecodeError : std::uint8_t {
    None,
    TooShort,
    /// The packet's own length and the datagram's differ.
    WrongLength,
    BadText,
    MissingField,
    WrongType,
    OutOfRange,
};

template <>
struct EnumNames<DecodeError> {
    static constexpr std::array<std::string_view, 7> names { "none", "tooShort", "wrongLength", "badText", "missingField", "wrongType", "outOfRange" };
};

/// Bytes of a packet without data.
constexpr std::size_t bareHeadBytes = 36;

/// What an upstream says to its agent over HTTP.
struct UpstreamCall {
    enum class Kind : std::uint8_t {
        Report,
        Farewell,
        /// A call that this deployment does not know.
        Unknown,
    };
    Kind kind = Kind::Unknown;
    /// The id that the call is about; of a report it stands in `report` too.
    std::string id;
    std::optional<UpstreamReport> report;
    DecodeError error = DecodeError::None;
};

/// All in which one deployment's surroundings differ from another's: the packets of callers and upstreams, the upstreams'
/// reports, the store and what operators keep there. Translation only; nothing here decides or remembers.
struct DeploymentAdapter {
    std::optional<PacketHead> (*decodePacket)(std::span<const std::uint8_t> packet, DecodeError& error) = nullptr;
    /// Writes the mark that a returned packet brings back.
    void (*setMark)(std::span<std::uint8_t> packet, std::uint32_t mark) = nullptr;
    /// Makes a packet as its sender wrote it.
    void (*clearMarks)(std::span<std::uint8_t> packet) = nullptr;
    /// A reset from the service's address to the caller.
    std::array<std::uint8_t, bareHeadBytes> (*encodeReset)(const FlowKey& flow, std::uint32_t sequence) = nullptr;

    UpstreamCall (*readUpstreamCall)(const HttpRequest& request) = nullptr;

    const StoreDialect* store = nullptr;
    std::string_view routesKind;
    std::string_view outagesKind;
    /// The configuration in the objects of `routesKind`; nothing with the reason when this object is not it.
    std::optional<RouteTable> (*readRoutes)(const PlatformObject& object, DecodeError& error) = nullptr;
};

}
