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

/// One fault, with its place as a JSON pointer.
struct Fault {
    FaultKind kind = FaultKind::NotJson;
    std::string place;
    std::string detail;
};

struct ServiceConfig {
    std::string name;
    /// Where end users connect.
    ServiceAddress address = 0;
    std::vector<std::string> dataCentres;
    /// Requests an upstream can work on at once when warm.
    std::uint32_t slots = 1;
    /// Requests that may wait at one upstream.
    std::uint32_t queueLimit = 64;
    /// Flows one upstream may hold.
    std::uint32_t flowLimit = 20000;
    /// How long a warm-up from one slot to all takes at least, in milliseconds.
    Millis warmUp = 5000;

    bool operator==(const ServiceConfig&) const = default;
};

struct DataCentreConfig {
    std::string name;
    /// Taken out by operators: gets no packets, and flows that end there are given up.
    bool out = false;
    /// Whether the file said which; an apply leaves a data centre whose state is not stated as it is, so that a file
    /// written before an operator took the data centre out does not bring it back.
    bool outStated = true;

    bool operator==(const DataCentreConfig& other) const { return name == other.name && out == other.out; }
};

/// A whole configuration, as operators apply it.
struct Config {
    ConfigVersion version = 0;
    std::vector<ServiceConfig> services;
    std::vector<DataCentreConfig> dataCentres;

    const ServiceConfig* findService(std::string_view name) const;
    const ServiceConfig* findAddress(ServiceAddress address) const;
    bool isOut(std::string_view dataCentre) const;

    bool operator==(const Config&) const = default;
};

/// Reads an operator's file: schema by a library, then cross-checks. Nothing when there is any fault; `faults` lists all.
std::optional<Config> parseConfig(std::string_view json, std::vector<Fault>& faults);

/// The canonical JSON of a configuration, version included; parseConfig() reads it back.
std::string toJson(const Config& config);

/// The same configuration with services, data centres and each service's data centres in the order of their names.
Config normalised(Config config);

/// The canonical JSON of one service, as its immutable object in the platform holds it.
std::string toJson(const ServiceConfig& service);
/// Reads a service's object back; nothing when it is not one.
std::optional<ServiceConfig> parseService(std::string_view json);

/// Parses "127.0.0.1:80"; nothing when it is not an IPv4 address and port.
std::optional<ServiceAddress> parseServiceAddress(std::string_view text);
std::string toString(ServiceAddress address);

/// The stable id of an upstream's name; never 0.
UpstreamId upstreamIdOf(std::string_view name);

}
