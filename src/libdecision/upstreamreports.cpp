#include "upstreamreports.h"

#include <algorithm>

namespace kingcuptrail {

namespace {

    template <typename Process>
    bool isSender(const Process& process, const UpstreamReport& report)
    {
        return process.id == report.id && process.born == report.born;
    }

    bool isLateReport(const FlowAdmission& admission, const UpstreamReport& report, Millis now)
    {
        return std::ranges::any_of(admission.replaced, [&](const ReplacedProcess& process) {
            return isSender(process, report) && now - process.replacedAt < admission.options.lateReportLimit;
        });
    }

    const AddressClaim* findClaim(const FlowAdmission& admission, const UpstreamReport& report)
    {
        const auto found = std::ranges::find_if(admission.claims, [&](const AddressClaim& claim) { return isSender(claim, report); });
        return found != admission.claims.end() ? &*found : nullptr;
    }

    bool continuesSeries(const ReportSeries& series, std::uint64_t sequence, Millis maxGap, Millis now)
    {
        return series.reports > 0 && sequence > series.sequence && now - series.lastAt <= maxGap;
    }

    void addReport(ReportSeries& series, std::uint64_t sequence, Millis maxGap, Millis now)
    {
        if (!continuesSeries(series, sequence, maxGap, now))
            series = { .since = now };
        series.sequence = sequence;
        series.lastAt = now;
        ++series.reports;
    }

    /// Whether a report with this sequence, added to the series, shows that its sender runs.
    bool showsRunning(const ReportSeries& series, std::uint64_t sequence, Millis maxGap, Millis now)
    {
        return continuesSeries(series, sequence, maxGap, now) && series.reports + 1 >= minRunningReports && now - series.since > maxGap;
    }

    /// Whether the process that was displaced may still run: it goes on reporting, or it is too early to tell.
    bool mayDisplacedRun(const FlowAdmission& admission, Millis now)
    {
        return admission.displaced && now - std::max(admission.displaced->displacedAt, admission.displaced->series.lastAt) <= admission.evidence.options.silenceLimit;
    }

    bool hasStoppedReporting(const FlowAdmission& admission, Millis now)
    {
        return now - admission.reportedAt >= std::max(admission.options.lateReportLimit, admission.evidence.options.silenceLimit);
    }

    bool replacesSilentProcess(const FlowAdmission& admission, const UpstreamReport& report, Millis now)
    {
        const AddressClaim* claim = findClaim(admission, report);
        return claim && hasStoppedReporting(admission, now) && showsRunning(claim->series, report.sequence, admission.evidence.options.silenceLimit, now);
    }

    void recordContradiction(FlowAdmission& admission, Millis now)
    {
        const bool isSeries = admission.contestedSince && now - admission.contestedAt <= 2 * admission.options.lateReportLimit;
        if (!isSeries)
            admission.contestedSince = now;
        admission.contestedAt = now;
    }

    ReportEffect ignore(FlowAdmission& admission, const UpstreamReport& report, ReportEffect effect, Millis now)
    {
        const bool isContradiction = effect == ReportEffect::Contradicting && report.service != admission.upstream->service;
        const AddressClaim* known = findClaim(admission, report);
        AddressClaim claim { .id = report.id, .born = report.born, .series = known ? known->series : ReportSeries {}, .isContradiction = isContradiction };
        addReport(claim.series, report.sequence, admission.evidence.options.silenceLimit, now);
        std::erase_if(admission.claims, [&](const AddressClaim& other) { return isSender(other, report); });
        admission.claims.push_back(std::move(claim));
        if (admission.claims.size() > maxAddressClaims)
            admission.claims.pop_front();
        if (isContradiction)
            recordContradiction(admission, now);
        return effect;
    }

    ReportEffect take(FlowAdmission& admission, const UpstreamReport& report, ReportEffect effect, Millis now)
    {
        admission.endedAt.reset();
        admission.upstream = report;
        admission.reportedAt = now;
        recordHeard(admission.evidence, now);
        admission.coldUntil = now + report.coldLeft;
        // Until it is certain that a new process has taken over, the rate is the one that both can bear.
        if (admission.displaced)
            admission.coldUntil = std::max(admission.coldUntil, admission.displaced->coldUntil);
        return effect;
    }

    // A process that reports for so long after another one has claimed its address has not been replaced by that one.
    void checkContradiction(FlowAdmission& admission, Millis now)
    {
        if (admission.contestedSince && now - *admission.contestedSince >= admission.options.lateReportLimit)
            admission.hasFoundFalseReport = true;
        for (AddressClaim& claim : admission.claims)
            claim.isContradiction = false;
    }

    void rememberReplaced(FlowAdmission& admission, Millis now)
    {
        admission.replaced.push_back({ .id = admission.upstream->id, .born = admission.upstream->born, .replacedAt = now });
        if (admission.replaced.size() > maxReplacedProcesses)
            admission.replaced.pop_front();
    }

    ReportEffect takeNewProcess(FlowAdmission& admission, const UpstreamReport& report, Millis now)
    {
        rememberReplaced(admission, now);
        const bool mayRun = !admission.endedAt && report.service == admission.upstream->service && isSameProcess(admission.evidence, now);
        if (!mayRun)
            admission.displaced.reset();
        else if (!admission.displaced)
            admission.displaced = DisplacedProcess { .report = *admission.upstream, .reportedAt = admission.reportedAt, .displacedAt = now, .coldUntil = admission.coldUntil };
        admission.hasFoundFalseReport = false;
        admission.contestedSince.reset();
        admission.claims.clear();
        recordReplaced(admission.evidence);
        return take(admission, report, ReportEffect::NewProcess, now);
    }

    void restoreDisplaced(FlowAdmission& admission, Millis now)
    {
        rememberReplaced(admission, now);
        const DisplacedProcess displaced = std::move(*admission.displaced);
        admission.displaced.reset();
        std::erase_if(admission.replaced, [&](const ReplacedProcess& process) { return isSender(process, displaced.report); });
        admission.hasFoundFalseReport = true;
        admission.endedAt.reset();
        admission.claims.clear();
        admission.upstream = displaced.report;
        admission.reportedAt = displaced.reportedAt;
        admission.coldUntil = displaced.coldUntil;
    }

    ReportEffect applyReportOfDisplaced(FlowAdmission& admission, const UpstreamReport& report, Millis now)
    {
        DisplacedProcess& displaced = *admission.displaced;
        const Millis maxGap = admission.evidence.options.silenceLimit;
        const bool mayBeLate = now - displaced.displacedAt < admission.options.lateReportLimit;
        const bool isRunning = !mayBeLate && showsRunning(displaced.series, report.sequence, maxGap, now);
        addReport(displaced.series, report.sequence, maxGap, now);
        if (!isRunning)
            return ReportEffect::Stale;
        restoreDisplaced(admission, now);
        return take(admission, report, ReportEffect::Restored, now);
    }

    ReportEffect applyReportOfKnown(FlowAdmission& admission, const RouteTable& routes, const UpstreamReport& report, Millis now)
    {
        const UpstreamReport& known = *admission.upstream;
        if (admission.endedAt && now - *admission.endedAt < admission.options.lateReportLimit)
            return ignore(admission, report, ReportEffect::Stale, now);
        // A process keeps its service and its data centre.
        const bool isSamePlace = report.service == known.service && report.dataCentre == known.dataCentre;
        const bool namesService = isNamedService(routes, report.service) && !isNamedService(routes, known.service);
        if (!isSamePlace && !namesService && isSameProcess(admission.evidence, now))
            return ignore(admission, report, ReportEffect::Contradicting, now);
        if (!namesService && report.sequence <= known.sequence && !replacesSilentProcess(admission, report, now))
            return ignore(admission, report, ReportEffect::Stale, now);
        checkContradiction(admission, now);
        // The flows of an ended process were given up, so one that turns out to be running counts as changed.
        const bool isChanged = admission.endedAt || !isSamePlace || report.isDraining != known.isDraining || report.slots != known.slots;
        return take(admission, report, isChanged ? ReportEffect::Changed : ReportEffect::Nothing, now);
    }

    ReportEffect applyReportOfSameService(FlowAdmission& admission, const UpstreamReport& report, Millis now)
    {
        if (replacesSilentProcess(admission, report, now))
            return takeNewProcess(admission, report, now);
        if (report.born < admission.upstream->born)
            return ignore(admission, report, ReportEffect::Stale, now);
        if (admission.hasFoundFalseReport && !admission.endedAt && isReporting(admission, now)) {
            // It may be the upstream's new process all the same, which would be cold.
            admission.coldUntil = std::max(admission.coldUntil, now + report.coldLeft);
            return ignore(admission, report, ReportEffect::Contradicting, now);
        }
        return takeNewProcess(admission, report, now);
    }

    ReportEffect applyReportOfOtherService(FlowAdmission& admission, const RouteTable& routes, const UpstreamReport& report, Millis now)
    {
        const AddressClaim* claim = findClaim(admission, report);
        const bool hasLastingClaim = claim && report.sequence > claim->series.sequence && now - claim->series.since >= admission.options.minClaimTime;
        if (isNamedService(routes, report.service) && !isNamedService(routes, admission.upstream->service)) {
            // The known process may be of a service that a later configuration names, and the report a late one of its predecessor.
            const bool mayBeLate = report.born < admission.upstream->born && !hasLastingClaim;
            return mayBeLate ? ignore(admission, report, ReportEffect::Stale, now) : takeNewProcess(admission, report, now);
        }
        if (mayDisplacedRun(admission, now))
            return ignore(admission, report, ReportEffect::Contradicting, now);
        if (isProven(admission.evidence, now))
            return ignore(admission, report, ReportEffect::Contradicting, now);
        // Without packets it may be the last report that was late, or the idle connection that has gone silent.
        if (isSameProcess(admission.evidence, now) && (isReporting(admission, now) || !hasLastingClaim))
            return ignore(admission, report, ReportEffect::Contradicting, now);
        if (report.born < admission.upstream->born && !replacesSilentProcess(admission, report, now))
            return ignore(admission, report, ReportEffect::Stale, now);
        return takeNewProcess(admission, report, now);
    }

}

bool isIgnored(ReportEffect effect)
{
    return effect == ReportEffect::Stale || effect == ReportEffect::Contradicting;
}

bool isNamedService(const RouteTable& routes, std::string_view service)
{
    if (routes.version == 0 || findLimits(routes, service))
        return true;
    return std::ranges::any_of(routes.routes, [&](const FlowRoute& route) { return std::ranges::find(route.shares, service, &RouteShare::service) != route.shares.end(); });
}

ReportEffect applyReport(FlowAdmission& admission, const RouteTable& routes, const UpstreamReport& report, Millis now)
{
    if (mayDisplacedRun(admission, now) && isSender(admission.displaced->report, report))
        return applyReportOfDisplaced(admission, report, now);
    if (!admission.upstream)
        return take(admission, report, ReportEffect::Changed, now);
    if (isLateReport(admission, report, now))
        return ignore(admission, report, ReportEffect::Stale, now);
    if (isSender(*admission.upstream, report))
        return applyReportOfKnown(admission, routes, report, now);
    return report.service == admission.upstream->service ? applyReportOfSameService(admission, report, now) : applyReportOfOtherService(admission, routes, report, now);
}

// Reports may arrive late, so a flow counts as held by the replaced process only if it was opened long before that one's last report.
bool applyFlowPacket(FlowAdmission& admission, Millis openedAt, Millis now)
{
    if (!admission.displaced)
        return false;
    const bool isOfDisplaced = openedAt + admission.options.lateReportLimit < admission.displaced->reportedAt;
    if (!isOfDisplaced || earliestSending(admission.evidence, now) <= admission.displaced->displacedAt)
        return false;
    restoreDisplaced(admission, now);
    return true;
}

bool confirmReplacement(FlowAdmission& admission, Millis now)
{
    if (!admission.displaced || mayDisplacedRun(admission, now))
        return false;
    admission.displaced.reset();
    return true;
}

}
