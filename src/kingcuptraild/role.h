#pragma once

#include <functional>
#include <string>

namespace kingcuptrail {

/// What a daemon does: balancer or agent.
class Role {
public:
    virtual ~Role() = default;

    /// Whether it has the addresses that it cannot work without. Otherwise the process ends, to be started again.
    virtual bool isStarted() const { return true; }

    /// Fields of this role for the status page, as the members of a JSON object without its braces.
    virtual std::string statusMembers() const = 0;

    /// Appends this role's metrics in text exposition format.
    virtual void exposeMetrics(std::string& out) const = 0;

    /// Leaves without cutting anything; `done` is called when nothing is left to wait for.
    virtual void shutDown(std::function<void()> done) = 0;
};

}
