#pragma once

#include "configkeeper.h"
#include "libplatform/delay.h"
#include "role.h"
#include "rolecontext.h"

#include <asio/io_context.hpp>
#include <asio/signal_set.hpp>
#include <memory>

namespace kingcuptrail {

class AdminEndpoint;

/// One daemon process: the root of the supervisor tree, its role, its administration endpoint and its signals.
class Daemon {
public:
    /// `settingsPath` is where the settings came from, and where they are read again.
    Daemon(Settings settings, std::string settingsPath);
    ~Daemon();
    Daemon(const Daemon&) = delete;
    Daemon& operator=(const Daemon&) = delete;

    /// Runs until SIGTERM or SIGINT has been followed by a graceful shutdown, a second signal, or the root gives up.
    /// Yields the process's exit code.
    int run();

private:
    std::unique_ptr<AdminEndpoint> makeAdminEndpoint(const FailureHandler& onFailure);
    void waitForSignal();
    void handleStopSignal();
    void watchSettings();
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
    ConfigKeeper m_config;
    /// Outlives the tree: a link that is destroyed with it tells the role that it is gone.
    std::unique_ptr<Role> m_role;
    Supervisor m_root;
    RoleContext m_roleContext;
    bool m_isStopping = false;
    int m_exitCode = 0;
};

}
