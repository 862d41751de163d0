#pragma once

#include "libdecision/flowadmission.h"
#include "libdecision/packet.h"
#include "libhttp/http.h"
#include "storedialect.h"

#include <array>
#include <span>

namespace kingcuptrail {

/// Why a packet or document from another program could not be decoded.
enum class DecodeError : std::uint8_t {
    None,
    TooShort,
    /// The length in the packet header does not match the size of the datagram.
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

/// Size of a packet header, and so of a packet without data.
constexpr std::size_t packetHeaderBytes = 36;

/// An HTTP request from an upstream to its agent.
struct UpstreamRequest {
    enum class Kind : std::uint8_t {
        Report,
        ShutdownNotice,
        /// A request that the deployment does not define.
        Unknown,
    };
    Kind kind = Kind::Unknown;
    /// The id of the upstream that the request is about; for a report also in `report`.
    std::string id;
    std::optional<UpstreamReport> report;
    DecodeError error = DecodeError::None;
};

/// Everything that is specific to one deployment environment: the packet format, the upstreams' reports, the store's API and
/// the operators' objects in it. The functions only encode and decode; they are stateless and make no decisions.
struct DeploymentAdapter {
    std::optional<PacketHeader> (*decodePacket)(std::span<const std::uint8_t> packet, DecodeError& error) = nullptr;
    /// Writes the mark, which an upstream leaves in place when it returns the packet.
    void (*setMark)(std::span<std::uint8_t> packet, std::uint32_t mark) = nullptr;
    /// Restores the packet to the form in which its sender wrote it.
    void (*clearMarks)(std::span<std::uint8_t> packet) = nullptr;
    /// Encodes a reset packet from the service's address to the caller.
    std::array<std::uint8_t, packetHeaderBytes> (*encodeReset)(const FlowKey& flow, std::uint32_t sequence) = nullptr;

    UpstreamRequest (*decodeUpstreamRequest)(const HttpRequest& request) = nullptr;

    const StoreDialect* store = nullptr;
    std::string_view routesKind;
    std::string_view outagesKind;
    /// Decodes the configuration from an object of `routesKind`. Nothing when the object does not hold it, with an error if it
    /// should but cannot be decoded.
    std::optional<RouteTable> (*decodeRoutes)(const PlatformObject& object, DecodeError& error) = nullptr;
};

}
