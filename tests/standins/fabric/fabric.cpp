#include "fabric.h"

namespace kingcuptrail {

namespace {

    constexpr Millis tickInterval = 50;
    constexpr Millis dialTimeout = 1000;
    /// Number of heartbeats that a balancer may miss, at the interval that it announces.
    constexpr Millis maxMissedHeartbeats = 5;

    Bytes encodeHello()
    {
        wire::HelloT body;
        body.protocol = protocolVersion;
        body.role = wire::Role::Fabric;
        body.name = "fabric";
        return encodeFrameOf(std::move(body));
    }

}

Fabric::Fabric(asio::io_context& context, const FabricOptions& options)
    : m_context(context)
    , m_options(options)
    , m_linkOptions { .silenceLimit = options.linkSilence }
    , m_faults(options.seed)
    , m_acceptor(context, options.listen)
    , m_timer(context)
{
    for (const auto& address : options.balancers)
        m_balancers.push_back(std::make_unique<Balancer>(context, address, m_linkOptions));
    accept();
    tick();
}

std::vector<bool> Fabric::balancersUp() const
{
    std::vector<bool> up;
    for (const auto& balancer : m_balancers)
        up.push_back(balancer->ready);
    return up;
}

void Fabric::accept()
{
    m_acceptor.async_accept([this](asio::error_code error, asio::ip::tcp::socket socket) {
        if (error)
            return;
        auto link = std::make_shared<Link>(std::move(socket), m_linkOptions);
        m_callers[link.get()] = { .link = link };
        link->start({
            .onFrame = [this](Link& from, const wire::Frame& frame, FrameBytes raw) { handleCallerFrame(from, frame, raw); },
            .onClosed = [this](Link& from, LinkError) {
                const std::uint64_t source = m_callers[&from].source;
                if (const auto found = m_bySource.find(source); found != m_bySource.end() && found->second == &from)
                    m_bySource.erase(found);
                m_callers.erase(&from); },
        });
        accept();
    });
}

void Fabric::tick()
{
    m_timer.expires_after(std::chrono::milliseconds(tickInterval));
    m_timer.async_wait([this](asio::error_code error) {
        if (error)
            return;
        m_now += tickInterval;
        const bool isHeartbeatDue = m_now >= m_nextHeartbeatAt;
        if (isHeartbeatDue)
            m_nextHeartbeatAt = m_now + m_options.heartbeat;
        for (std::size_t index = 0; index < m_balancers.size(); ++index) {
            Balancer& balancer = *m_balancers[index];
            if (!balancer.link && !balancer.dialing && m_now >= balancer.redialAt)
                dial(index);
            if (isHeartbeatDue && balancer.link && !m_faults.isSilent(index))
                balancer.link->send(encodeFrameOf(wire::HeartbeatT {}));
        }
        for (const auto& [link, caller] : m_callers) {
            if (isHeartbeatDue)
                caller.link->send(encodeFrameOf(wire::HeartbeatT {}));
        }
        tick();
    });
}

void Fabric::dial(std::size_t index)
{
    Balancer& balancer = *m_balancers[index];
    balancer.dialing = true;
    balancer.dialer.dial(balancer.address, dialTimeout, [this, index](std::shared_ptr<Link> link, LinkError) {
        Balancer& dialed = *m_balancers[index];
        dialed.dialing = false;
        dialed.redialAt = m_now + m_options.redialAfter;
        if (!link)
            return;
        dialed.link = std::move(link);
        dialed.link->start({
            .onFrame = [this, index](Link&, const wire::Frame& frame, FrameBytes raw) { handleBalancerFrame(index, frame, raw); },
            .onClosed = [this, index](Link&, LinkError) { handleBalancerLost(index); },
        });
        dialed.link->send(encodeHello());
    });
}

void Fabric::handleBalancerLost(std::size_t index)
{
    Balancer& balancer = *m_balancers[index];
    balancer.link.reset();
    balancer.ready = false;
    balancer.redialAt = m_now + m_options.redialAfter;
}

void Fabric::handleBalancerFrame(std::size_t index, const wire::Frame& frame, FrameBytes raw)
{
    if (m_faults.isSilent(index))
        return;
    Balancer& balancer = *m_balancers[index];
    if (frame.body_as_Hello())
        balancer.ready = true;
    if (const auto* heartbeatFrame = frame.body_as_Heartbeat())
        balancer.link->setSilenceLimit(std::max<Millis>(m_options.linkSilence, maxMissedHeartbeats * heartbeatFrame->interval()));
    if (frame.body_as_Goodbye()) {
        balancer.link->close(true);
        handleBalancerLost(index);
        return;
    }
    if (const auto* packet = frame.body_as_Packet()) {
        send(packet->flow(), raw, [this, source = packet->source()](Bytes copy) { sendToCaller(source, std::move(copy)); });
    }
}

void Fabric::handleCallerFrame(Link& link, const wire::Frame& frame, FrameBytes raw)
{
    if (const auto* caller = frame.body_as_Hello()) {
        m_callers[&link].source = caller->source();
        m_bySource[caller->source()] = &link;
        link.send(encodeHello());
    }
    if (const auto* packet = frame.body_as_Packet())
        send(packet->flow(), raw, [this](Bytes copy) { sendToBalancer(std::move(copy)); });
}

void Fabric::send(FlowId flow, FrameBytes raw, const std::function<void(Bytes)>& deliver)
{
    const auto copyDelays = m_faults.copyDelays(flow);
    m_counts.lost += copyDelays.empty() ? 1 : 0;
    for (const Millis wait : copyDelays) {
        if (wait == 0) {
            deliver(Bytes(raw.begin(), raw.end()));
            continue;
        }
        auto timer = std::make_shared<asio::steady_timer>(m_context, std::chrono::milliseconds(wait));
        timer->async_wait([timer, deliver, copy = Bytes(raw.begin(), raw.end())](asio::error_code error) mutable {
            if (!error)
                deliver(std::move(copy));
        });
    }
}

void Fabric::sendToBalancer(Bytes frame)
{
    std::vector<std::size_t> ready;
    for (std::size_t index = 0; index < m_balancers.size(); ++index) {
        if (m_balancers[index]->ready)
            ready.push_back(index);
    }
    if (ready.empty()) {
        ++m_counts.noBalancer;
        return;
    }
    const std::size_t chosen = ready[m_faults.pickIndex(ready.size())];
    ++m_counts.toBalancers;
    if (!m_faults.isSilent(chosen))
        m_balancers[chosen]->link->sendDroppable(std::move(frame));
}

void Fabric::sendToCaller(std::uint64_t source, Bytes frame)
{
    const auto found = m_bySource.find(source);
    if (found == m_bySource.end()) {
        ++m_counts.noCaller;
        return;
    }
    ++m_counts.toCallers;
    found->second->sendDroppable(std::move(frame));
}

}
