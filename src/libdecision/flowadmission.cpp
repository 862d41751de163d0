#include "flowadmission.h"

#include <algorithm>

namespace kingcuptrail {

namespace {

    // An address is reused only some time after its process has ended, so that a contradicting report says nothing while packets prove
    // that the known one runs.
    bool isContested(const FlowAdmission& admission, Millis now)
    {
        if (isProven(admission.evidence, now) || (admission.hasFoundFalseReport && isReporting(admission, now)))
            return false;
        return std::ranges::any_of(admission.claims, &AddressClaim::isContradiction);
    }

    bool hasColdCapacity(FlowAdmission& admission, double rate, Millis now)
    {
        while (!admission.coldOpenings.empty() && now - admission.coldOpenings.front() >= admission.options.coldWindow)
            admission.coldOpenings.pop_front();
        return static_cast<double>(admission.coldOpenings.size()) + 1 <= rate;
    }

    // Which service an address is routed to is decided by the newer configuration of the two. Which service this upstream is of is
    // decided here alone.
    OpeningRefusal refusalByRoute(const FlowAdmission& admission, const RouteTable& routes, const OpeningRequest& request)
    {
        if (allowsService(routes, request.address, admission.upstream->service))
            return OpeningRefusal::None;
        if (routes.version >= request.balancerVersion)
            return OpeningRefusal::WrongService;
        return request.service.empty() ? OpeningRefusal::ViewInDoubt : OpeningRefusal::None;
    }

    // Whether the process at the upstream's address is known, and of the service that the opening is for. An idle connection alone does
    // not show it: the connection may have gone silent, so that its end never arrives.
    OpeningRefusal refusalByIdentity(const FlowAdmission& admission, const OpeningRequest& request, Millis now)
    {
        if (!isRunning(admission, now) || !isResponsive(admission.evidence, now))
            return OpeningRefusal::NoUpstream;
        if (!request.service.empty() && request.service != admission.upstream->service)
            return OpeningRefusal::WrongService;
        return OpeningRefusal::None;
    }

    OpeningRefusal refusalByState(const FlowAdmission& admission, const RouteTable& routes, const OutageView& outages, const OpeningRequest& request, Millis now)
    {
        if (admission.isLeaving)
            return OpeningRefusal::AgentLeaving;
        if (const OpeningRefusal refusal = refusalByIdentity(admission, request, now); refusal != OpeningRefusal::None)
            return refusal;
        if (admission.upstream->isDraining)
            return OpeningRefusal::UpstreamDraining;
        if (admission.mayViewBeStale)
            return OpeningRefusal::ViewInDoubt;
        if (isDataCentreOut(outages, admission.upstream->dataCentre))
            return OpeningRefusal::DataCentreOut;
        if (routes.version == 0 || outages.revision == 0)
            return OpeningRefusal::NoConfiguration;
        return refusalByRoute(admission, routes, request);
    }

}

bool isTransient(OpeningRefusal refusal)
{
    switch (refusal) {
    case OpeningRefusal::NoUpstream:
    case OpeningRefusal::ViewInDoubt:
    case OpeningRefusal::NoConfiguration:
    case OpeningRefusal::Cold:
    case OpeningRefusal::Busy:
    case OpeningRefusal::UpstreamFailing:
        return true;
    default:
        return false;
    }
}

OpeningRefusal decideOpening(FlowAdmission& admission, const RouteTable& routes, const OutageView& outages, const OpeningRequest& request, Millis now)
{
    if (const OpeningRefusal refusal = refusalByState(admission, routes, outages, request, now); refusal != OpeningRefusal::None)
        return refusal;
    const ServiceLimits* limits = findLimits(routes, admission.upstream->service);
    if (limits && limits->flowLimit > 0 && request.openFlows >= limits->flowLimit)
        return OpeningRefusal::FlowLimit;
    const double workPerSlot = request.needsFreeSlot ? 1.0 : admission.options.workPerSlot;
    if (request.atWork >= workPerSlot * admission.upstream->slots)
        return OpeningRefusal::Busy;
    // Without a configured rate only the limit on waiting work applies, since a cold upstream is merely slow. A rate chosen
    // by the agent itself would refuse nearly all openings for a whole warm-up after a power failure of every upstream.
    if (now < admission.coldUntil && limits && limits->coldRate > 0) {
        if (!hasColdCapacity(admission, limits->coldRate, now))
            return OpeningRefusal::Cold;
        admission.coldOpenings.push_back(now);
    }
    return OpeningRefusal::None;
}

OpeningRefusal decideCopy(const FlowAdmission& admission, const RouteTable& routes, const OpeningRequest& request, Millis now)
{
    if (const OpeningRefusal refusal = refusalByIdentity(admission, request, now); refusal != OpeningRefusal::None)
        return refusal;
    return refusalByRoute(admission, routes, request);
}

bool applyShutdownNotice(FlowAdmission& admission, std::string_view id)
{
    if (admission.displaced && admission.displaced->report.id == id)
        admission.displaced.reset();
    if (!admission.upstream || admission.upstream->id != id)
        return false;
    admission.upstream->isDraining = true;
    return true;
}

void recordUpstreamEnd(FlowAdmission& admission, Millis now)
{
    admission.endedAt = now;
    admission.displaced.reset();
}

bool isRunning(const FlowAdmission& admission, Millis now)
{
    return admission.upstream && !admission.endedAt && !isContested(admission, now) && isSameProcess(admission.evidence, now);
}

bool isReporting(const FlowAdmission& admission, Millis now)
{
    return now - admission.reportedAt <= admission.evidence.options.silenceLimit;
}

bool takesFlows(const FlowAdmission& admission)
{
    return admission.upstream && !admission.endedAt && !admission.upstream->isDraining;
}

bool isServing(const FlowAdmission& admission, Millis now)
{
    return takesFlows(admission) && isRunning(admission, now) && isResponsive(admission.evidence, now);
}

void assumeCold(FlowAdmission& admission, const RouteTable& routes, Millis now)
{
    if (!admission.upstream)
        return;
    const ServiceLimits* limits = findLimits(routes, admission.upstream->service);
    if (limits)
        admission.coldUntil = std::max(admission.coldUntil, now + limits->warmUp);
}

}
