#include "opengate.h"

#include <algorithm>

namespace kingcuptrail {

namespace {

    bool hasColdRoom(OpenGate& gate, double rate, Millis now)
    {
        while (!gate.coldOpenings.empty() && now - gate.coldOpenings.front() >= gate.options.coldWindow)
            gate.coldOpenings.pop_front();
        return static_cast<double>(gate.coldOpenings.size()) + 1 <= rate;
    }

    OpenRefusal refusalByState(const OpenGate& gate, const RouteTable& routes, const OutageView& outages, const OpenAttempt& attempt, Millis now)
    {
        if (gate.isLeaving)
            return OpenRefusal::AgentLeaving;
        if (!gate.upstream || now - gate.reportedAt > gate.options.reportLimit)
            return OpenRefusal::NoUpstream;
        if (gate.upstream->isDraining)
            return OpenRefusal::UpstreamDraining;
        if (gate.isViewInDoubt)
            return OpenRefusal::ViewInDoubt;
        if (isOut(outages, gate.upstream->dataCentre))
            return OpenRefusal::DataCentreOut;
        if (routes.version == 0 || outages.revision == 0)
            return OpenRefusal::NoConfiguration;
        // If the balancer has a newer configuration, its decision applies.
        const bool decidesHere = routes.version >= attempt.balancerVersion;
        if (decidesHere && !allowsService(routes, attempt.address, gate.upstream->service))
            return OpenRefusal::WrongService;
        return OpenRefusal::None;
    }

}

bool isPassing(OpenRefusal refusal)
{
    switch (refusal) {
    case OpenRefusal::NoUpstream:
    case OpenRefusal::ViewInDoubt:
    case OpenRefusal::NoConfiguration:
    case OpenRefusal::Cold:
    case OpenRefusal::Busy:
    case OpenRefusal::UpstreamFailing:
        return true;
    default:
        return false;
    }
}

OpenRefusal decideOpen(OpenGate& gate, const RouteTable& routes, const OutageView& outages, const OpenAttempt& attempt, Millis now)
{
    if (const OpenRefusal refusal = refusalByState(gate, routes, outages, attempt, now); refusal != OpenRefusal::None)
        return refusal;
    const ServiceLimits* limits = findLimits(routes, gate.upstream->service);
    if (limits && limits->flowLimit > 0 && attempt.openFlows >= limits->flowLimit)
        return OpenRefusal::FlowLimit;
    const double workPerSlot = attempt.needsFreeSlot ? 1.0 : gate.options.workPerSlot;
    if (attempt.atWork >= workPerSlot * gate.upstream->slots)
        return OpenRefusal::Busy;
    // Without a configured rate only the limit on waiting work applies, since a cold upstream is merely slow. A rate chosen
    // by the agent itself would refuse nearly all openings for a whole warm-up after a power failure of every upstream.
    if (now < gate.coldUntil && limits && limits->coldRate > 0) {
        if (!hasColdRoom(gate, limits->coldRate, now))
            return OpenRefusal::Cold;
        gate.coldOpenings.push_back(now);
    }
    return OpenRefusal::None;
}

ReportNews takeReport(OpenGate& gate, const UpstreamReport& report, Millis now)
{
    ReportNews news = ReportNews::Nothing;
    if (!gate.upstream) {
        news = ReportNews::Changed;
    } else {
        const UpstreamReport& known = *gate.upstream;
        if (report.born < known.born)
            return ReportNews::Stale;
        if (report.born > known.born || report.id != known.id)
            news = ReportNews::NewProcess;
        else if (report.sequence <= known.sequence)
            return ReportNews::Stale;
        else if (report.isDraining != known.isDraining || report.service != known.service || report.slots != known.slots)
            news = ReportNews::Changed;
    }
    gate.upstream = report;
    gate.reportedAt = now;
    gate.coldUntil = now + report.coldLeft;
    return news;
}

bool takeFarewell(OpenGate& gate, std::string_view id)
{
    if (!gate.upstream || gate.upstream->id != id)
        return false;
    gate.upstream->isDraining = true;
    return true;
}

bool isServing(const OpenGate& gate, Millis now)
{
    return gate.upstream && !gate.upstream->isDraining && now - gate.reportedAt <= gate.options.reportLimit;
}

void assumeCold(OpenGate& gate, const RouteTable& routes, Millis now)
{
    if (!gate.upstream)
        return;
    const ServiceLimits* limits = findLimits(routes, gate.upstream->service);
    if (limits)
        gate.coldUntil = std::max(gate.coldUntil, now + limits->warmUp);
}

}
