#include "upstreamprobe.h"

#include "libplatform/jsontext.h"
#include "libruntime/events.h"

#include <nlohmann/json.hpp>

namespace kingcuptrail {

namespace {

    /// Short enough to notice a restart within a few requests, long enough to add no load to a cold upstream.
    constexpr Millis probeInterval = 1000;
    /// Shorter while the upstream is unreachable: a probe then adds no load, and every interval delays the return to service.
    constexpr Millis probeIntervalUnreachable = 200;
    constexpr Millis probeTimeout = 800;
    constexpr int statusOk = 200;

    /// The busy slots that the upstream reports as {"busy": N}; 0 when the answer cannot be parsed.
    std::uint32_t parseBusy(const std::optional<HttpResponse>& response)
    {
        if (!response)
            return 0;
        const auto document = parseJson(response->body);
        if (!document.is_object() || !document.contains("busy") || !document["busy"].is_number_unsigned())
            return 0;
        return static_cast<std::uint32_t>(std::min<std::uint64_t>(document["busy"].get<std::uint64_t>(), std::numeric_limits<std::uint32_t>::max()));
    }

}

UpstreamProbe::UpstreamProbe(const RoleContext& role, Handlers handlers)
    : m_role(role)
    , m_handlers(std::move(handlers))
    , m_timer(role.context)
{
    requestHealth();
}

UpstreamProbe::~UpstreamProbe()
{
    if (m_call)
        m_call->cancel();
}

void UpstreamProbe::schedule(Millis pause)
{
    m_timer.expires_after(std::chrono::milliseconds(pause));
    m_timer.async_wait([this](asio::error_code error) {
        if (!error)
            requestHealth();
    });
}

void UpstreamProbe::requestHealth()
{
    const AgentSettings& agent = m_role.settings.agent;
    m_call = startHttpCall(m_role.context, agent.upstream, { .target = agent.healthPath }, { .timeout = probeTimeout },
        { .onDone = [this](const std::optional<HttpResponse>& response, const HttpOutcome& outcome) {
            handleHealth(response && response->status == statusOk, response || outcome.mayHaveReached);
        } });
}

void UpstreamProbe::handleHealth(bool isHealthy, bool isConnected)
{
    m_call = nullptr;
    m_handlers.onConnectAttempt(isConnected);
    if (isConnected)
        requestLoad(isHealthy);
    else
        schedule(probeIntervalUnreachable);
}

void UpstreamProbe::requestLoad(bool isHealthy)
{
    const AgentSettings& agent = m_role.settings.agent;
    m_call = startHttpCall(m_role.context, agent.upstream, { .target = agent.loadPath }, { .timeout = probeTimeout },
        { .onDone = [this, isHealthy](const std::optional<HttpResponse>& response, const HttpOutcome&) { report(isHealthy, parseBusy(response)); } });
}

void UpstreamProbe::report(bool isHealthy, std::uint32_t busy)
{
    m_call = nullptr;
    if (isHealthy != m_wasHealthy)
        logEvent(Event::UpstreamHealthChanged, { { "healthy", isHealthy ? "yes" : "no" } });
    m_wasHealthy = isHealthy;
    m_handlers.onHint({ .healthy = isHealthy, .busy = busy, .age = 0 });
    schedule(probeInterval);
}

}
