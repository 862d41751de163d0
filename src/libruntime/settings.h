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
    /// Balancer and agent for flows of plain datagrams, whose callers do not use this system's protocol.
    PacketBalancer,
    PacketAgent,
};

template <>
struct EnumNames<DaemonRole> {
    static constexpr std::array<std::string_view, 4> names { "balancer", "agent", "packetBalancer", "packetAgent" };
};

/// Settings of the agent role, in addition to the common settings.
struct AgentSettings {
    /// The upstream's name; its id is derived from it.
    std::string upstreamName;
    std::string service;
    asio::ip::tcp::endpoint upstream;
    /// Address at which balancers reach this agent, if it differs from the listening address, for example behind NAT.
    std::optional<asio::ip::tcp::endpoint> announce;
    std::string healthPath = "/health";
    std::string loadPath = "/load";
    /// Duration of the announcement's lease.
    Millis lease = 15000;
    /// During a graceful shutdown: the time after which idle flows are reset, and the time after which running requests are
    /// abandoned.
    Millis drainIdle = 2000;
    Millis drainLimit = 600000;
    /// Time without any packet after which a flow is ended.
    Millis flowSilence = 90000;

    bool operator==(const AgentSettings&) const = default;
};

/// Settings of the roles for flows of plain datagrams, in addition to the common settings.
struct PacketSettings {
    /// Address at which this host receives packets of flows; on a balancer, those of callers. Every caller receives its packets
    /// at the same port.
    asio::ip::tcp::endpoint ingress;
    /// Address of the readiness endpoint (GET /ready).
    asio::ip::tcp::endpoint ready;
    /// Of an agent: the address at which its upstream receives packets, the one to which the upstream sends them, and the one at
    /// which the agent receives the upstream's reports.
    asio::ip::tcp::endpoint upstream;
    asio::ip::tcp::endpoint outbound;
    asio::ip::tcp::endpoint control;
    /// Addresses of processes to contact at start in order to discover the others. Some may be unavailable.
    std::vector<asio::ip::tcp::endpoint> seeds;
    /// Time after which an address may be assigned to another upstream.
    Millis addressReuse = 2000;
    /// Of an agent: how often its upstream reports.
    Millis reportInterval = 1000;
    /// Age at which a flow may be discarded although it is in use; 0 if the deployment names none.
    Millis flowLifetime = 0;
    /// Time that the process may take to shut down gracefully.
    Millis leave = 6000;
    /// Capacity of this host's network link, in Mbit/s.
    double linkMegabits = 1000;
    /// How many data centres may be lost at the same time. At 0 no data centre is judged.
    std::size_t toleratedDataCentreLosses = 0;

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

/// Parses a settings file and checks it against the schema and for consistency. Empty when there is any fault; all faults
/// are appended to `faults`.
std::optional<Settings> parseSettings(std::string_view json, std::vector<Fault>& faults);

/// Parses text such as "127.0.0.1:80" or "[::1]:80"; empty when it is not an IP address and port.
std::optional<asio::ip::tcp::endpoint> parseEndpoint(std::string_view text);

}
