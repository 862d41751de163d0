#pragma once

#include "commands.h"
#include "libhttp/http.h"

#include <vector>

namespace kingcuptrail {

/// A daemon registered in the platform, or given by its address on the command line.
struct DaemonEntry {
    /// The address when the name is not known.
    std::string name;
    std::string role;
    std::string dataCentre;
    asio::ip::tcp::endpoint admin;
};

/// A child of a daemon's supervisor.
struct DaemonChild {
    std::string path;
    bool isRunning = false;
    std::uint64_t restarts = 0;
    std::string lastReason;
};

/// The status reported by a daemon.
struct DaemonStatus {
    std::string name;
    std::string role;
    std::string dataCentre;
    ConfigVersion configVersion = 0;
    bool isStopping = false;
    std::vector<DaemonChild> children;
    /// The complete answer, as JSON.
    std::string json;
};

struct DaemonAnswer {
    DaemonEntry entry;
    /// Not set when the daemon did not return a valid status; `error` then states why.
    std::optional<DaemonStatus> status;
    HttpError error = HttpError::None;

    /// The name in the daemon's status, or else the one in its entry.
    std::string name() const { return status && !status->name.empty() ? status->name : entry.name; }
};

/// The daemons to query: those of the command line, or else all that are registered in the platform. Returns nothing and
/// sets `reason` when the platform cannot list them.
std::optional<std::vector<DaemonEntry>> findDaemons(const CtlOptions& options, PlatformError& reason);

/// Queries the status of each daemon; the answers are in the order of `daemons`.
std::vector<DaemonAnswer> queryDaemons(const std::vector<DaemonEntry>& daemons, Millis timeout);

/// The body of a daemon's answer to a GET request. Returns nothing and sets `reason` on failure.
std::optional<std::string> queryDaemon(const asio::ip::tcp::endpoint& admin, const std::string& target, Millis timeout, HttpError& reason);

/// Kind of the platform objects in which daemons register.
inline const std::string daemonKind = "daemon";

}
