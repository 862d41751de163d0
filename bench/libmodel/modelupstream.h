#pragma once

#include "message.h"

#include <functional>
#include <map>
#include <set>

namespace kingcuptrail {

/// The result of starting a request at an upstream.
enum class StartResult : std::uint8_t {
    Started,
    Shed,
    Unreachable,
};

/// The behaviour of a modelled upstream.
struct ModelUpstreamOptions {
    std::uint32_t slots = 1;
    /// Time from a cold start until the upstream can serve all its slots, in milliseconds.
    Millis coldDuration = 4000;
    /// Number of requests beyond the slots that it still accepts; further ones are shed.
    std::uint32_t maxBeyondSlots = 8;
    /// The upstream crashes, and restarts later, when it processes more than this factor times what it can serve; 0: never.
    double crashFactor = 0;
    Millis restartDelay = 2000;
};

/// An upstream that can serve one request at a time when cold and all its slots when warm. Beyond that, requests are slowed
/// down in proportion, as in a process with empty caches or without idle cores.
class ModelUpstream {
public:
    /// Called once for each started request that isn't cancelled: with true if it completed, with false if the process
    /// terminated.
    using OnDone = std::function<void(bool isWhole)>;

    ModelUpstream(EventLoop& loop, const ModelUpstreamOptions& options);

    StartResult start(RequestId request, Micros work, OnDone onDone);

    /// Cancels a request: its slot becomes free and its `onDone` isn't called. Returns false if the request isn't running.
    bool cancel(RequestId request);

    void kill();
    /// Starts the process again, cold.
    void restart();
    void turnCold();
    /// Whether the last cold start was a restart of the process, which the agent can observe.
    bool isColdAnnounced() const { return m_isColdAnnounced; }
    /// Makes the upstream warm, for runs that begin in the steady state.
    void startWarm();
    void setSlowness(double factor) { m_slowness = factor; }
    void setShedding(bool shedding) { m_shedding = shedding; }

    bool isAlive() const { return m_alive; }
    std::uint32_t running() const { return static_cast<std::uint32_t>(m_running.size()); }
    std::uint32_t overloadCrashes() const { return m_overloadCrashes; }
    /// Number of requests that it can serve concurrently at the current time.
    double bearable() const;

private:
    void finish(RequestId request, std::uint64_t generation);
    void crashIfOverloaded();
    double slowdown() const;

    EventLoop& m_loop;
    ModelUpstreamOptions m_options;
    std::map<RequestId, OnDone> m_running;
    Micros m_coldSince = 0;
    std::uint64_t m_generation = 0;
    std::uint32_t m_overloadCrashes = 0;
    double m_slowness = 1;
    bool m_shedding = false;
    bool m_alive = true;
    bool m_isColdAnnounced = true;
};

}
