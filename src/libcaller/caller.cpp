#include "caller.h"

#include "callerprivate.h"

#include <algorithm>

namespace kingcuptrail {

Caller::Private::Private(asio::io_context& ioContext, const CallerOptions& callerOptions, CallerHandlers callerHandlers)
    : context(ioContext)
    , options(callerOptions)
    , handlers(std::move(callerHandlers))
    , random(callerOptions.seed ? callerOptions.seed ^ bodyHashOf(callerOptions.name) : std::random_device()())
    , source(random() | 1)
    , link(ioContext, { .fabric = options.fabric, .source = source, .name = options.name }, { .onUp = [this] { handleLinkUp(); }, .onPacket = [this](const wire::Packet& packet) { handlePacket(packet); } })
    , timer(ioContext)
{
}

void Caller::Private::armTimer()
{
    auto next = flowWakes.next();
    if (const auto call = callWakes.next())
        next = next ? std::min(*next, *call) : call;
    if (!next || (timerExpiresAt && *timerExpiresAt <= *next))
        return;
    timerExpiresAt = next;
    timer.expires_after(std::chrono::milliseconds(std::max<Millis>(0, *next - clock.now())));
    timer.async_wait([this, guard = std::weak_ptr<void>(alive)](asio::error_code error) {
        if (!error && !guard.expired())
            handleDue();
    });
}

void Caller::Private::handleDue()
{
    timerExpiresAt.reset();
    const Millis now = clock.now();
    while (const auto id = callWakes.dequeueDue(now)) {
        PendingCall& call = calls[*id];
        if (now >= call.progress.deadline)
            abandonCall(*id, true);
        else
            startTry(*id, call);
    }
    while (const auto id = flowWakes.dequeueDue(now))
        pump(*flows[*id]);
    armTimer();
}

Caller::Caller(asio::io_context& context, const CallerOptions& options, CallerHandlers handlers)
    : m_d(std::make_unique<Private>(context, options, std::move(handlers)))
{
}

Caller::~Caller() = default;

FlowId Caller::openFlow(ServiceAddress service)
{
    return m_d->openFlow(service);
}

void Caller::closeFlow(FlowId flow)
{
    if (FlowEntry* found = m_d->findFlow(flow))
        m_d->closeFlow(*found);
}

CallId Caller::call(CallSpec spec, CallHandlers handlers)
{
    return m_d->startCall(std::move(spec), std::move(handlers));
}

void Caller::cancel(CallId call)
{
    m_d->abandonCall(call, false);
}

const CallerCounters& Caller::counters() const
{
    return m_d->counters;
}

std::size_t Caller::flowCount() const
{
    return m_d->flows.size();
}

std::uint64_t Caller::source() const
{
    return m_d->source;
}

void Caller::shutDown()
{
    for (auto& [id, call] : m_d->calls)
        call.handlers = {};
    while (!m_d->flows.empty())
        m_d->closeFlow(*m_d->flows.begin()->second);
    m_d->link.close();
}

}
