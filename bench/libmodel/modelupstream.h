#pragma once

#include "message.h"

#include <functional>
#include <map>
#include <set>

namespace kingcuptrail {

/// What became of a request handed to an upstream.
enum class UpstreamStart : std::uint8_t {
    Started,
    Shed,
    Unreachable,
};

/// How a modelled upstream behaves.
struct ModelUpstreamOptions {
    std::uint32_t slots = 1;
    /// Time from a cold start until all slots are borne, in milliseconds.
    Millis coldFor = 4000;
    /// Requests beyond the slots that it still takes; more are shed.
    std::uint32_t acceptBeyondSlots = 8;
    /// It dies, and starts again after a while, when it works on more than this many times what it bears; 0: never.
    double fallOverFactor = 0;
    Millis restartAfter = 2000;
};

/// An upstream that bears one request when cold and all its slots when warm. Above what it bears, everything running
/// gets slower in proportion, as a process does whose caches are empty or whose cores are all taken.
class ModelUpstream {
public:
    /// Called once for each request that started: with true when it ran to its end, false when the process died.
    using OnDone = std::function<void(bool isWhole)>;

    ModelUpstream(EventLoop& loop, const ModelUpstreamOptions& options);

    UpstreamStart start(RequestId request, Micros work, OnDone onDone);

    /// Stops a request: its slot is free and `onDone` is not called any more. False when it does not run.
    bool cancel(RequestId request);

    void kill();
    /// Runs again, cold.
    void restart();
    void turnCold();
    /// Whether the last cold start was one that everybody was told of.
    bool isColdAnnounced() const { return m_isColdAnnounced; }
    /// Starts warm, for a run that begins in the steady state.
    void startWarm();
    void setSlowness(double factor) { m_slowness = factor; }
    void setShedding(bool shedding) { m_shedding = shedding; }

    bool isAlive() const { return m_alive; }
    std::uint32_t running() const { return static_cast<std::uint32_t>(m_running.size()); }
    std::uint32_t falls() const { return m_falls; }
    /// Requests it can work on at once now.
    double bearable() const;

private:
    void finish(RequestId request, std::uint64_t life);
    void fallOverIfTooMuch();
    double slowdown() const;

    EventLoop& m_loop;
    ModelUpstreamOptions m_options;
    std::map<RequestId, OnDone> m_running;
    Micros m_coldSince = 0;
    std::uint64_t m_life = 0;
    std::uint32_t m_falls = 0;
    double m_slowness = 1;
    bool m_shedding = false;
    bool m_alive = true;
    bool m_isColdAnnounced = true;
};

}
