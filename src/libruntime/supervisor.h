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

/// A component managed by a supervisor. It runs from construction to destruction.
class Supervised {
public:
    virtual ~Supervised() = default;
};

/// Reports to the supervisor that the child has failed. May be called from within the child, which is destroyed later.
using FailureHandler = std::function<void(ChildFailure)>;

struct RestartPolicy {
    /// Delay before the first restart and maximum delay, in milliseconds. The delay doubles with each failure and is reset
    /// after the child has run for `stableAfter` milliseconds.
    Millis firstDelay = 100;
    Millis maxDelay = 3000;
    Millis stableAfter = 10000;
    /// Fraction of the delay that is random, so that children that failed together are not restarted together.
    double jitter = 0.5;
    /// Number of failures within `window` milliseconds at which the supervisor itself fails; 0 means no limit.
    unsigned maxFailures = 0;
    Millis window = 60000;
};

struct ChildSpec {
    std::string name;
    std::function<std::unique_ptr<Supervised>(FailureHandler onFailure)> make;
    RestartPolicy policy;
};

struct ChildStatus {
    /// Path in the supervision tree, such as "root/links/board-1".
    std::string path;
    bool isRunning = false;
    unsigned restarts = 0;
    ChildFailure lastReason = ChildFailure::None;
};

/// Runs children and restarts a failed one after a backoff delay, without affecting the others. A supervisor can be the
/// child of another; when one of its children fails too often, it reports a failure of its own.
class Supervisor : public Supervised {
public:
    Supervisor(asio::io_context& context, std::string name, FailureHandler onGiveUp = {});
    ~Supervisor() override;

    void add(ChildSpec spec);
    void remove(const std::string& name);
    bool contains(const std::string& name) const;

    /// Destroys all children in reverse order. For an owner whose members are still used by its children while
    /// these are destroyed.
    void destroyAll();

    /// The status of all descendants.
    std::vector<ChildStatus> status() const;

private:
    struct Private;
    std::shared_ptr<Private> m_d;
};

}
