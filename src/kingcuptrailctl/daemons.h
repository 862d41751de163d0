#pragma once

#include "commands.h"
#include "libhttp/http.h"

#include <vector>

namespace kingcuptrail {

/// A daemon's entry in the platform, or an address given on the command line.
struct DaemonEntry {
    /// The address when the name is not known.
    std::string name;
    std::string role;
    std::string dataCentre;
    asio::ip::tcp::endpoint admin;
};

/// A part of a daemon that its supervisor keeps running.
struct DaemonChild {
    std::string path;
    bool isRunning = false;
    std::uint64_t restarts = 0;
    std::string lastReason;
};

/// What a daemon says of itself.
struct DaemonStatus {
    std::string name;
    std::string role;
    std::string dataCentre;
    ConfigVersion configVersion = 0;
    bool isStopping = false;
    std::vector<DaemonChild> children;
    /// The whole answer, as JSON.
    std::string json;
};

struct DaemonAnswer {
    DaemonEntry entry;
    /// Nothing when the daemon did not answer; `error` says why.
    std::optional<DaemonStatus> status;
    HttpError error = HttpError::None;

    /// The name it gives itself, or the one in its entry.
    std::string name() const { return status && !status->name.empty() ? status->name : entry.name; }
};

/// The daemons to ask: those of the command line, or all that the platform knows; nothing with the reason.
std::optional<std::vector<DaemonEntry>> findDaemons(const CtlOptions& options, PlatformError& reason);

/// Asks each daemon for its status, in the order given.
std::vector<DaemonAnswer> askDaemons(const std::vector<DaemonEntry>& daemons, Millis timeout);

/// The body of a GET from one daemon; nothing with the reason.
std::optional<std::string> askDaemon(const asio::ip::tcp::endpoint& admin, const std::string& target, Millis timeout, HttpError& reason);

/// Kind of the objects in which daemons enter themselves.
inline const std::string daemonKind = "daemon";

}
