#include "daemon.h"

#include "adminendpoint.h"
#include "agent/agent.h"
#include "balancer/balancer.h"
#include "exitcode.h"
#include "libruntime/events.h"
#include "libruntime/metrics.h"
#include "packets/packetagent.h"
#include "packets/packetbalancer.h"
#include "platform/trustadapter.h"
#include "registration.h"

#include <csignal>
#include <fstream>
#include <nlohmann/json.hpp>
#include <sstream>
#include <unistd.h>

namespace kingcuptrail {

namespace {

    std::unique_ptr<Role> makeRole(const RoleContext& context)
    {
        switch (context.settings.role) {
        case DaemonRole::Agent:
            return std::make_unique<Agent>(context);
        case DaemonRole::PacketBalancer:
            return std::make_unique<PacketBalancer>(context, trustAdapter());
        case DaemonRole::PacketAgent:
            return std::make_unique<PacketAgent>(context, trustAdapter());
        case DaemonRole::Balancer:
            break;
        }
        return std::make_unique<Balancer>(context);
    }

    bool isPacketRole(DaemonRole role)
    {
        return role == DaemonRole::PacketBalancer || role == DaemonRole::PacketAgent;
    }

    /// How long the store's host may stay silent during a call before the call fails, in milliseconds: shorter than the time
    /// within which a change must be known everywhere, and long enough for several keep-alive probes.
    constexpr Millis storeKeepAliveTimeout = 2000;
    /// Duration of a long poll for changes in the store of a packet deployment, in milliseconds. Long, since each call is
    /// billed.
    constexpr Millis packetWatchWait = 30000;
    /// Timeout of a store call in a packet deployment, in milliseconds.
    constexpr Millis packetCallTimeout = 2000;

    /// Interval at which the settings file is checked for changes, in milliseconds.
    constexpr Millis settingsInterval = 2000;

    std::optional<std::string> readFile(const std::string& path)
    {
        std::ifstream file(path);
        if (!file)
            return std::nullopt;
        std::ostringstream text;
        text << file.rdbuf();
        return text.str();
    }

    PlatformOptions platformOptions(const Settings& settings)
    {
        PlatformOptions options { .server = settings.platform, .client = settings.name };
        if (!isPacketRole(settings.role))
            return options;
        options.dialect = trustAdapter().store;
        options.callTimeout = packetCallTimeout;
        options.watchWait = packetWatchWait;
        options.keepAliveTimeout = storeKeepAliveTimeout;
        options.maxRetryDelay = 1000;
        return options;
    }

    nlohmann::json childrenStatus(const Supervisor& supervisor)
    {
        nlohmann::json children = nlohmann::json::array();
        for (const ChildStatus& child : supervisor.status()) {
            children.push_back({
                { "path", child.path },
                { "running", child.isRunning },
                { "restarts", child.restarts },
                { "lastReason", nameOf(child.lastReason) },
            });
        }
        return children;
    }

}

Daemon::Daemon(Settings settings, std::string settingsPath)
    : m_settings(std::move(settings))
    , m_settingsPath(std::move(settingsPath))
    , m_settingsText(readFile(m_settingsPath).value_or(""))
    , m_settingsTimer(m_context)
    , m_signals(m_context, SIGTERM, SIGINT, SIGHUP)
    , m_platform(platformOptions(m_settings))
    , m_root(m_context, "root", [this](ChildFailure) { stop(static_cast<int>(ExitCode::GaveUp)); })
    , m_roleContext { m_context, m_settings, m_platform, m_clock, m_config, m_root }
{
}

// Children call the role back when they end; a link to an agent, for example, updates the balancer's member table. All
// children are therefore ended while the role still exists.
Daemon::~Daemon()
{
    m_root.destroyAll();
}

int Daemon::run()
{
    logEvent(Event::DaemonStarted, { { "role", nameOf(m_settings.role) }, { "dataCentre", m_settings.dataCentre }, { "pid", static_cast<std::uint64_t>(getpid()) } });
    m_role = makeRole(m_roleContext);
    if (!m_role->isStarted()) {
        logEvent(Event::DaemonStopped, { { "exitCode", static_cast<std::uint64_t>(ExitCode::GaveUp) } });
        return static_cast<int>(ExitCode::GaveUp);
    }
    m_root.add({ .name = "admin", .make = [this](const FailureHandler& onFailure) { return makeAdminEndpoint(onFailure); } });
    // Processes of a packet deployment find each other without a registration object in the store.
    if (!isPacketRole(m_settings.role))
        m_root.add({ .name = "registration", .make = [this](const FailureHandler&) { return std::make_unique<Registration>(m_roleContext); } });
    waitForSignal();
    scheduleSettingsCheck();
    m_context.run();
    logEvent(Event::DaemonStopped, { { "exitCode", static_cast<std::uint64_t>(m_exitCode) } });
    return m_exitCode;
}

std::unique_ptr<AdminEndpoint> Daemon::makeAdminEndpoint(const FailureHandler& onFailure)
{
    AdminEndpoint::Sources sources { .status = [this] { return status(); }, .metrics = [this] { return metrics(); } };
    auto endpoint = std::make_unique<AdminEndpoint>(m_context, m_settings.admin, std::move(sources), onFailure);
    // With port 0 the host chooses the port. The registration names that port, and a restarted endpoint must bind it again.
    m_settings.admin = endpoint->localEndpoint().value_or(m_settings.admin);
    return endpoint;
}

void Daemon::waitForSignal()
{
    m_signals.async_wait([this](asio::error_code error, int signal) {
        if (error)
            return;
        if (signal == SIGHUP)
            reloadSettings();
        else
            handleStopSignal();
        waitForSignal();
    });
}

void Daemon::handleStopSignal()
{
    if (m_isStopping) {
        stop(static_cast<int>(ExitCode::StoppedEarly));
        return;
    }
    m_isStopping = true;
    logEvent(Event::DaemonStopping);
    m_role->shutDown([this] { stop(static_cast<int>(ExitCode::Success)); });
}

// Polls the settings file, since it may change without a SIGHUP.
void Daemon::scheduleSettingsCheck()
{
    m_settingsTimer.start(settingsInterval, [this] {
        reloadSettings();
        scheduleSettingsCheck();
    });
}

// A file that cannot be read or has faults is ignored: the settings in force stay.
void Daemon::reloadSettings()
{
    const auto text = readFile(m_settingsPath);
    if (!text || *text == m_settingsText)
        return;
    m_settingsText = *text;
    std::vector<Fault> faults;
    const auto next = parseSettings(*text, faults);
    if (!next) {
        logEvent(Event::SettingsRefused, { { "file", m_settingsPath }, { "faults", faults.size() }, { "first", faults.empty() ? "" : faults.front().place } });
        return;
    }
    Settings changed = m_settings;
    changed.packets.seeds = next->packets.seeds;
    changed.logLevel = next->logLevel;
    const bool needsRestart = changed != *next;
    m_settings.packets.seeds = next->packets.seeds;
    m_settings.logLevel = next->logLevel;
    startLogging(m_settings.name, m_settings.logLevel, m_settings.logFormat);
    logEvent(Event::SettingsReloaded, { { "file", m_settingsPath }, { "restart", needsRestart ? "yes" : "no" } });
}

void Daemon::stop(int exitCode)
{
    m_exitCode = exitCode;
    m_context.stop();
}

std::string Daemon::status() const
{
    const nlohmann::json common {
        { "name", m_settings.name },
        { "role", nameOf(m_settings.role) },
        { "dataCentre", m_settings.dataCentre },
        { "configVersion", m_config.version() },
        { "stopping", m_isStopping },
        { "children", childrenStatus(m_root) },
    };
    std::string text = common.dump();
    text.pop_back();
    return text + "," + m_role->statusFields() + "}";
}

std::string Daemon::metrics() const
{
    std::string out;
    exposeGauge(out, "kingcuptrail_config_version", "Configuration in force.", static_cast<double>(m_config.version()));
    exposeCounter(out, "kingcuptrail_config_older_ignored_total", "Older configurations that were offered and ignored.", m_config.olderIgnored());
    m_role->exposeMetrics(out);
    return out;
}

}
