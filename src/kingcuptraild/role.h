#pragma once

#include <functional>
#include <string>

namespace kingcuptrail {

/// The part of a daemon that depends on its configured role, such as balancer or agent.
class Role {
public:
    virtual ~Role() = default;

    /// Whether the role could set up the addresses that it needs. If not, the process exits and has to be started again.
    virtual bool isStarted() const { return true; }

    /// Fields of this role for the status page, as the members of a JSON object without its braces.
    virtual std::string statusFields() const = 0;

    /// Appends this role's metrics in text exposition format.
    virtual void exposeMetrics(std::string& out) const = 0;

    /// Shuts down gracefully, without breaking flows; `done` is called when the shutdown is complete.
    virtual void shutDown(std::function<void()> done) = 0;
};

}
