#include "promisechecker.h"

#include <sstream>

namespace kingcuptrail {

namespace {

    /// Bounds of the platform's rules, in milliseconds.
    constexpr Millis undisturbedTime = 4000;
    constexpr Millis drainBound = 3000;
    constexpr Millis outageBound = 5000;
    /// Added to the outage bound while the store is disturbed and shortly afterwards, since changes arrive later then.
    constexpr Millis disturbedStoreBound = 12000;

}

bool PromiseChecker::isUndisturbed(const std::string& host) const
{
    const auto found = m_disturbedAt.find(host);
    return found == m_disturbedAt.end() || m_clock.now() - found->second > undisturbedTime;
}

bool PromiseChecker::isAllowed(const PacketEndpoint& address, const std::string& service) const
{
    const auto allowed = m_allowedServices.find(toServiceAddress(address));
    return allowed != m_allowedServices.end() && allowed->second.contains(service);
}

void PromiseChecker::recordRequest(const std::string& upstream, const std::string& service, const FlowKey& flow, const std::string& request)
{
    if (!isAllowed(flow.service, service))
        recordViolation(Promise::RightService, "request " + request + " of " + toString(flow) + " ran at upstream " + upstream + " of " + service);
}

void PromiseChecker::recordOpening(const std::string& upstream, const std::string& service, const std::string& dataCentre, const FlowKey& flow)
{
    const Millis now = m_clock.now();
    if (!isAllowed(flow.service, service))
        recordViolation(Promise::RightService, toString(flow) + " was opened at upstream " + upstream + " of " + service);
    if (!isUndisturbed(upstream))
        return;
    if (const auto draining = m_drainingSince.find(upstream); draining != m_drainingSince.end() && now - draining->second > drainBound)
        recordViolation(Promise::DrainHeld, upstream + " got an opening " + std::to_string(now - draining->second) + " ms after its drain was confirmed");
    const Millis bound = now - m_storeDisturbedAt < undisturbedTime + disturbedStoreBound ? outageBound + disturbedStoreBound : outageBound;
    if (const auto out = m_outSince.find(dataCentre); out != m_outSince.end() && now - out->second > bound)
        recordViolation(Promise::OutageHeld, upstream + " got an opening " + std::to_string(now - out->second) + " ms after its data centre was taken out of service");
}

void PromiseChecker::checkReset(const std::string& flow, std::uint32_t sequence)
{
    const auto answers = m_answers.find(flow);
    if (answers == m_answers.end() || !answers->second.contains(sequence))
        return;
    const Answerer& holder = answers->second.at(sequence);
    if (m_processes[holder.upstream] == holder.process && isUndisturbed(holder.upstream))
        recordViolation(Promise::FlowKept, flow + " was reset although its upstream process is running at " + holder.upstream);
}

void PromiseChecker::recordViolation(Promise promise, const std::string& what)
{
    m_violations[promise].push_back(std::to_string(m_clock.now()) + " " + what);
}

}
