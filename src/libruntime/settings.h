#pragma once

#include "events.h"
#include "libplatform/config.h"

#include <asio/ip/tcp.hpp>
#include <optional>
#include <string>
#include <vector>

namespace kingcuptrail {

enum class DaemonRole : std::uint8_t {
    Balancer,
    Agent,
    /// The same two for flows of plain datagrams, whose callers know nothing of this system.
    PacketBalancer,
    PacketAgent,
};

template <>
struct EnumNames<DaemonRole> {
    static constexpr std::array<std::string_view, 4> names { "balancer", "agent", "packetBalancer", "packetAgent" };
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

    bool operator==(const AgentSettings&) const = default;
};

/// What the roles for flows of plain datagrams need beyond the common settings.
struct PacketSettings {
    /// Where this host takes packets of flows: a balancer those of callers. Every caller takes its own at the same port.
    asio::ip::tcp::endpoint ingress;
    /// Where readiness is asked for (GET /ready).
    asio::ip::tcp::endpoint ready;
    /// Of an agent: where its upstream takes packets, where it sends them, and where its reports arrive.
    asio::ip::tcp::endpoint upstream;
    asio::ip::tcp::endpoint outbound;
    asio::ip::tcp::endpoint control;
    /// Hosts that may know the others; any of them may be gone.
    std::vector<asio::ip::tcp::endpoint> seeds;
    /// After which time an address may belong to another upstream.
    Millis addressReuse = 2000;
    /// How long the process may take to leave.
    Millis leave = 6000;
    /// What this host's link carries, in megabits a second.
    double linkMegabits = 1000;

    bool operator==(const PacketSettings&) const = default;
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
    LogFormat logFormat = LogFormat::Text;
    Millis heartbeat = 500;
    Millis linkSilence = 2500;
    AgentSettings agent;
    PacketSettings packets;

    bool operator==(const Settings&) const = default;
};

/// Reads a settings file: schema by a library, then cross-checks. Nothing when there is any fault; `faults` lists all.
std::optional<Settings> parseSettings(std::string_view json, std::vector<Fault>& faults);

/// Parses "127.0.0.1:80"; nothing when it is not an IP number and port.
std::optional<asio::ip::tcp::endpoint> parseEndpoint(std::string_view text);

}
