#pragma once

#include "libdecision/enumnames.h"
#include "libdecision/ids.h"

#include <optional>
#include <string>
#include <vector>

namespace kingcuptrail {

/// What is wrong with a configuration or settings file.
enum class FaultKind : std::uint8_t {
    NotJson,
    MissingField,
    UnknownField,
    WrongType,
    OutOfRange,
    BadAddress,
    DuplicateName,
    OverlappingAddress,
    UnknownDataCentre,
    UnknownService,
    Inconsistent,
};

template <>
struct EnumNames<FaultKind> {
    static constexpr std::array<std::string_view, 11> names {
        "notJson",
        "missingField",
        "unknownField",
        "wrongType",
        "outOfRange",
        "badAddress",
        "duplicateName",
        "overlappingAddress",
        "unknownDataCentre",
        "unknownService",
        "inconsistent",
    };
};

/// One validation error and its location as a JSON pointer (RFC 6901).
struct Fault {
    FaultKind kind = FaultKind::NotJson;
    std::string place;
    std::string detail;
};

struct ServiceConfig {
    std::string name;
    /// The address that end users connect to.
    ServiceAddress address = 0;
    std::vector<std::string> dataCentres;
    /// Requests that a warm upstream can process concurrently.
    std::uint32_t slots = 1;
    /// Requests that may be queued at one upstream.
    std::uint32_t queueLimit = 64;
    /// Open flows that one upstream may hold.
    std::uint32_t flowLimit = 20000;
    /// The minimum duration of a warm-up from one slot to all, in milliseconds.
    Millis warmUp = 5000;

    bool operator==(const ServiceConfig&) const = default;
};

struct DataCentreConfig {
    std::string name;
    /// Taken out of service by an operator: it gets no packets, and the flows of its upstreams are given up.
    bool out = false;
    /// Whether the file contains `out`. Applying a file without it keeps the data centre's current state, so that a file
    /// written before an operator took the data centre out of service does not bring it back.
    bool isOutSpecified = true;

    bool operator==(const DataCentreConfig& other) const { return name == other.name && out == other.out; }
};

/// A complete configuration, as an operator applies it.
struct Config {
    ConfigVersion version = 0;
    std::vector<ServiceConfig> services;
    std::vector<DataCentreConfig> dataCentres;

    const ServiceConfig* findService(std::string_view name) const;
    const ServiceConfig* findAddress(ServiceAddress address) const;
    bool isOut(std::string_view dataCentre) const;

    bool operator==(const Config&) const = default;
};

/// Parses an operator's configuration file and validates it, first against the JSON Schema, then for consistency between
/// fields. Nothing when it has a fault; all faults are added to `faults`.
std::optional<Config> parseConfig(std::string_view json, std::vector<Fault>& faults);

/// The JSON text of a configuration, including its version; parseConfig() accepts it.
std::string toJson(const Config& config);

/// The same configuration with services, data centres and each service's data centres sorted by name.
Config normalised(Config config);

/// The JSON text of one service, which is the content of its immutable object in the platform.
std::string toJson(const ServiceConfig& service);
/// Parses the JSON text of one service; nothing when it is not valid.
std::optional<ServiceConfig> parseService(std::string_view json);

/// Parses an IPv4 address and port such as "127.0.0.1:80"; nothing when the text is not one or the port is 0.
std::optional<ServiceAddress> parseServiceAddress(std::string_view text);
std::string toString(ServiceAddress address);

/// A hash of the upstream's name that is the same in every process; never 0.
UpstreamId upstreamIdOf(std::string_view name);

}
