#include "modelupstream.h"

#include <algorithm>
#include <utility>

namespace kingcuptrail {

namespace {

    /// Minimum duration of a request in microseconds. Shed and refused requests take no time.
    constexpr Micros minWorkTime = 100;

}

ModelUpstream::ModelUpstream(EventLoop& loop, const ModelUpstreamOptions& options)
    : m_loop(loop)
    , m_options(options)
    , m_coldSince(loop.now())
{
}

StartResult ModelUpstream::start(RequestId request, Micros work, OnDone onDone)
{
    if (!m_alive)
        return StartResult::Unreachable;
    if (m_shedding || running() >= m_options.slots + m_options.maxBeyondSlots)
        return StartResult::Shed;
    m_running.emplace(request, std::move(onDone));
    const auto duration = static_cast<Micros>(static_cast<double>(work) * slowdown());
    m_loop.after(std::max(duration, minWorkTime), [this, request, generation = m_generation] { finish(request, generation); });
    crashIfOverloaded();
    return StartResult::Started;
}

bool ModelUpstream::cancel(RequestId request)
{
    return m_running.erase(request) != 0;
}

void ModelUpstream::finish(RequestId request, std::uint64_t generation)
{
    const auto running = m_running.find(request);
    if (generation != m_generation || running == m_running.end())
        return;
    const OnDone onDone = std::move(running->second);
    m_running.erase(running);
    onDone(true);
}

void ModelUpstream::crashIfOverloaded()
{
    if (m_options.crashFactor <= 0 || running() <= bearable() * m_options.crashFactor)
        return;
    ++m_overloadCrashes;
    // Clients are notified of the crash only after this call has returned.
    m_loop.after(0, [this] { kill(); });
    m_loop.after(toMicros(m_options.restartDelay), [this] {
        if (!m_alive)
            restart();
    });
}

void ModelUpstream::kill()
{
    m_alive = false;
    ++m_generation;
    const auto lost = std::exchange(m_running, {});
    for (const auto& [request, onDone] : lost)
        onDone(false);
}

void ModelUpstream::restart()
{
    m_alive = true;
    turnCold();
    m_isColdAnnounced = true;
}

void ModelUpstream::turnCold()
{
    m_isColdAnnounced = false;
    m_coldSince = m_loop.now();
}

void ModelUpstream::startWarm()
{
    m_coldSince = m_loop.now() - toMicros(m_options.coldDuration);
}

double ModelUpstream::bearable() const
{
    const double warmFraction = m_options.coldDuration > 0
        ? static_cast<double>(m_loop.now() - m_coldSince) / static_cast<double>(toMicros(m_options.coldDuration))
        : 1;
    return 1 + (m_options.slots - 1) * std::min(1.0, warmFraction);
}

double ModelUpstream::slowdown() const
{
    return m_slowness * std::max(1.0, running() / bearable());
}

}
