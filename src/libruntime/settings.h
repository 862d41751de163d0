#pragma once

#include "libplatform/config.h"

#include <asio/ip/tcp.hpp>
#include <optional>
#include <string>
#include <vector>

namespace kingcuptrail {

enum class DaemonRole : std::uint8_t {
    Balancer,
    Agent,
};

template <>
struct EnumNames<DaemonRole> {
    static constexpr std::array<std::string_view, 2> names { "balancer", "agent" };
};

/// What an agent needs beyond the common settings.
struct AgentSettings {
    /// The upstream's name; its id is derived from it.
    std::string upstreamName;
    std::string service;
    asio::ip::tcp::endpoint upstream;
    /// Where balancers reach this agent when that is not where it listens, behind an address translation for example.
    std::optional<asio::ip::tcp::endpoint> announce;
    std::string healthPath = "/health";
    std::string loadPath = "/load";
    /// How long the announcement holds without a renewal.
    Millis lease = 15000;
    /// How long a graceful shutdown waits for flows to end before it resets those that are idle, and for running
    /// requests before it gives up on them.
    Millis drainIdle = 2000;
    Millis drainLimit = 600000;
    /// How long a flow may say nothing before it is given up.
    Millis flowSilence = 90000;
};

/// A daemon's settings; all times in milliseconds.
struct Settings {
    DaemonRole role = DaemonRole::Balancer;
    std::string name;
    std::string dataCentre;
    asio::ip::tcp::endpoint listen;
    asio::ip::tcp::endpoint admin;
    asio::ip::tcp::endpoint platform;
    std::string logLevel = "info";
    Millis heartbeat = 500;
    Millis linkSilence = 2500;
    AgentSettings agent;
};

/// Reads a settings file: schema by a library, then cross-checks. Nothing when there is any fault; `faults` lists all.
std::optional<Settings> parseSettings(std::string_view json, std::vector<Fault>& faults);

/// Parses "127.0.0.1:80"; nothing when it is not an IP number and port.
std::optional<asio::ip::tcp::endpoint> parseEndpoint(std::string_view text);

}
