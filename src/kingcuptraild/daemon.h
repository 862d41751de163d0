#pragma once

#include "activeconfig.h"
#include "libplatform/delay.h"
#include "role.h"
#include "rolecontext.h"

#include <asio/io_context.hpp>
#include <asio/signal_set.hpp>
#include <memory>

namespace kingcuptrail {

class AdminEndpoint;

/// One daemon process: owns the root supervisor, the role, the administration endpoint and the signal handling.
class Daemon {
public:
    /// `settingsPath` is the file that the settings were read from; it is read again when it changes.
    Daemon(Settings settings, std::string settingsPath);
    ~Daemon();
    Daemon(const Daemon&) = delete;
    Daemon& operator=(const Daemon&) = delete;

    /// Runs until a graceful shutdown after SIGTERM or SIGINT is done, a second signal arrives, or the root supervisor gives
    /// up. Returns the exit code of the process.
    int run();

private:
    std::unique_ptr<AdminEndpoint> makeAdminEndpoint(const FailureHandler& onFailure);
    void waitForSignal();
    void handleStopSignal();
    void scheduleSettingsCheck();
    void reloadSettings();
    void stop(int exitCode);
    std::string status() const;
    std::string metrics() const;

    Settings m_settings;
    std::string m_settingsPath;
    std::string m_settingsText;
    asio::io_context m_context;
    Delay m_settingsTimer;
    asio::signal_set m_signals;
    Clock m_clock;
    PlatformOptions m_platform;
    ActiveConfig m_config;
    /// Outlives the supervisor tree, since links call the role back when they are destroyed with the tree.
    std::unique_ptr<Role> m_role;
    Supervisor m_root;
    RoleContext m_roleContext;
    bool m_isStopping = false;
    int m_exitCode = 0;
};

}
