#pragma once

#include "libdecision/enumnames.h"
#include "libdecision/ids.h"

#include <asio/io_context.hpp>
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace kingcuptrail {

/// Why a child of a supervisor failed.
enum class ChildFailure : std::uint8_t {
    None,
    BindFailed,
    ConnectFailed,
    LinkLost,
    PeerRefused,
    PlatformFailed,
    ChildGaveUp,
    Internal,
};

template <>
struct EnumNames<ChildFailure> {
    static constexpr std::array<std::string_view, 8> names {
        "none",
        "bindFailed",
        "connectFailed",
        "linkLost",
        "peerRefused",
        "platformFailed",
        "childGaveUp",
        "internal",
    };
};

/// Something a supervisor keeps running: it runs from construction to destruction.
class Supervised {
public:
    virtual ~Supervised() = default;
};

/// Tells the supervisor that the child has failed. May be called from within the child; it is destroyed later.
using FailureHandler = std::function<void(ChildFailure)>;

struct RestartPolicy {
    /// Wait before the first restart and before any, in milliseconds; doubled at each failure, with jitter, and back to
    /// the first after the child has run for `steadyAfter`.
    Millis firstDelay = 100;
    Millis maxDelay = 3000;
    Millis steadyAfter = 10000;
    /// Part of the delay that is random, so that children that failed together do not come back together.
    double jitter = 0.5;
    /// Failures within `window` milliseconds after which the supervisor itself fails; 0 means never.
    unsigned maxFailures = 0;
    Millis window = 60000;
};

struct ChildSpec {
    std::string name;
    std::function<std::unique_ptr<Supervised>(FailureHandler onFailure)> make;
    RestartPolicy policy;
};

struct ChildStatus {
    /// Path in the tree, as "root/links/board-1".
    std::string path;
    bool isRunning = false;
    unsigned restarts = 0;
    ChildFailure lastReason = ChildFailure::None;
};

/// Keeps children running: restarts one that failed after a back-off, without touching the others. A supervisor can be
/// the child of another; when a child fails too often it gives up and fails itself.
class Supervisor : public Supervised {
public:
    Supervisor(asio::io_context& context, std::string name, FailureHandler onGiveUp = {});
    ~Supervisor() override;

    void add(ChildSpec spec);
    void remove(const std::string& name);
    bool contains(const std::string& name) const;

    /// Ends all children, the last one first. For an owner that children call back when they end.
    void endAll();

    /// This supervisor's children and, where they are supervisors, theirs.
    std::vector<ChildStatus> status() const;

private:
    struct Private;
    std::shared_ptr<Private> m_d;
};

}
