#include "upstreamprobe.h"

#include "libruntime/events.h"

#include <nlohmann/json.hpp>

namespace kingcuptrail {

namespace {

    /// Often enough to see a restart within a few requests, seldom enough to cost a cold upstream nothing.
    constexpr Millis probeInterval = 1000;
    constexpr Millis probeTimeout = 800;
    constexpr int statusOk = 200;

    /// The busy slots an upstream reports as {"busy": N}; 0 when it reports nothing readable.
    std::uint32_t busyOf(const std::optional<HttpResponse>& response)
    {
        if (!response)
            return 0;
        const auto document = nlohmann::json::parse(response->body, nullptr, false);
        if (!document.is_object() || !document.contains("busy") || !document["busy"].is_number_unsigned())
            return 0;
        return document["busy"].get<std::uint32_t>();
    }

}

UpstreamProbe::UpstreamProbe(const RoleContext& role, OnHint onHint)
    : m_role(role)
    , m_onHint(std::move(onHint))
    , m_timer(role.context)
{
    askHealth();
}

UpstreamProbe::~UpstreamProbe()
{
    if (m_call)
        m_call->cancel();
}

void UpstreamProbe::schedule()
{
    m_timer.expires_after(std::chrono::milliseconds(probeInterval));
    m_timer.async_wait([this](asio::error_code error) {
        if (!error)
            askHealth();
    });
}

void UpstreamProbe::askHealth()
{
    const AgentSettings& agent = m_role.settings.agent;
    m_call = startHttpCall(m_role.context, agent.upstream, { .target = agent.healthPath }, { .timeout = probeTimeout },
        { .onDone = [this](const std::optional<HttpResponse>& response, const HttpOutcome&) { askLoad(response && response->status == statusOk); } });
}

void UpstreamProbe::askLoad(bool healthy)
{
    const AgentSettings& agent = m_role.settings.agent;
    m_call = startHttpCall(m_role.context, agent.upstream, { .target = agent.loadPath }, { .timeout = probeTimeout },
        { .onDone = [this, healthy](const std::optional<HttpResponse>& response, const HttpOutcome&) { report(healthy, busyOf(response)); } });
}

void UpstreamProbe::report(bool healthy, std::uint32_t busy)
{
    m_call = nullptr;
    if (healthy != m_wasHealthy)
        logEvent(Event::UpstreamHealthChanged, { { "healthy", healthy ? "yes" : "no" } });
    m_wasHealthy = healthy;
    m_onHint({ .healthy = healthy, .busy = busy, .age = 0 });
    schedule();
}

}
