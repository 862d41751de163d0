#include "reporthandler.h"

#include "libruntime/events.h"

namespace kingcuptrail {

namespace {

    HttpResponse jsonReply(int status, std::string body)
    {
        return { .status = status, .headers = { { "Content-Type", "application/json" } }, .body = std::move(body) };
    }

    std::uint64_t ageOf(Millis time, Millis now)
    {
        return static_cast<std::uint64_t>(now - time);
    }

}

ReportHandler::ReportHandler(AgentState& state, UntrackedFlows& untracked, UpstreamLoss& loss, std::function<void()> announce)
    : m_state(state)
    , m_untracked(untracked)
    , m_loss(loss)
    , m_announce(std::move(announce))
{
}

HttpResponse ReportHandler::handleRequest(const HttpRequest& request)
{
    const UpstreamRequest call = m_state.adapter.decodeUpstreamRequest(request);
    switch (call.kind) {
    case UpstreamRequest::Kind::Report:
        if (!call.report) {
            m_malformedRequests.increment(call.error);
            logEvent(Event::ForeignReport, { { "reason", nameOf(call.error) }, { "id", call.id } });
            return jsonReply(400, "{}");
        }
        // An upstream takes the answer for the confirmation that it gets no openings any more.
        if (isIgnored(handleReport(*call.report)) && call.report->isDraining)
            return jsonReply(503, "{}");
        return jsonReply(200, "{}");
    case UpstreamRequest::Kind::ShutdownNotice:
        if (applyShutdownNotice(m_state.flowAdmission, call.id)) {
            logEvent(Event::UpstreamLeft, { { "upstream", call.id } });
            recordShutdown(m_untracked);
            m_state.flows.isComplete = knowsEveryFlow(m_untracked);
            m_announce();
        }
        return jsonReply(200, "{}");
    case UpstreamRequest::Kind::Unknown:
        break;
    }
    return jsonReply(404, "{}");
}

ReportEffect ReportHandler::handleReport(const UpstreamReport& report)
{
    m_state.upstreamSocket->handleRefusal();
    const Millis now = m_state.role.clock.now();
    checkReplacement(now);
    const UpstreamReport previous = m_state.flowAdmission.upstream.value_or(UpstreamReport {});
    const auto previousAge = static_cast<std::uint64_t>(now - m_state.flowAdmission.reportedAt);
    const UpstreamEvidence evidence = m_state.flowAdmission.evidence;
    const bool wasNamed = isNamedService(m_state.network.routes(), previous.service);
    const ReportEffect effect = applyReport(m_state.flowAdmission, m_state.network.routes(), report, now);
    m_reports.increment(effect);
    logReport(report, previous, previousAge, evidence, effect);
    if (!isIgnored(effect)) {
        // A report of a service that the configuration does not name says nothing about flows.
        if (isNamedService(m_state.network.routes(), report.service))
            recordReport(m_untracked, report, effect == ReportEffect::NewProcess && wasNamed && !m_state.flowAdmission.displaced);
        else
            recordFlowPacket(m_untracked);
        recordUpstreamReport(m_state.upstreamEnd);
    }
    if (effect == ReportEffect::NewProcess || effect == ReportEffect::Restored)
        m_loss.handleNewProcess(wasNamed && previous.service != report.service);
    else if (effect == ReportEffect::Contradicting && !isProven(m_state.flowAdmission.evidence, now))
        m_loss.verifyContestedFlows();
    m_state.flows.isComplete = knowsEveryFlow(m_untracked);
    m_announce();
    return effect;
}

void ReportHandler::logReport(const UpstreamReport& report, const UpstreamReport& previous, std::uint64_t previousAge, const UpstreamEvidence& evidence, ReportEffect effect) const
{
    const Millis now = m_state.role.clock.now();
    const std::uint64_t evidenceAge = ageOf(evidence.runningAt, now);
    const std::string_view hasPackets = isProven(evidence, now) ? "yes" : "no";
    const std::optional<DisplacedProcess>& displaced = m_state.flowAdmission.displaced;
    if (isIgnored(effect))
        logEvent(effect == ReportEffect::Stale ? Event::StaleReport : Event::ContradictingReport, { { "upstream", report.id }, { "service", report.service }, { "born", report.born }, { "sequence", report.sequence }, { "known", previous.id }, { "knownBorn", previous.born }, { "knownService", previous.service }, { "knownSequence", previous.sequence }, { "knownAge", previousAge }, { "evidenceAge", evidenceAge }, { "packets", hasPackets }, { "connected", evidence.isConnected ? "yes" : "no" }, { "displaced", displaced ? displaced->report.id : "" }, { "falseReports", m_state.flowAdmission.hasFoundFalseReport ? "yes" : "no" } });
    else if (effect != ReportEffect::Nothing)
        logEvent(Event::UpstreamReported, { { "upstream", report.id }, { "news", nameOf(effect) }, { "service", report.service }, { "slots", report.slots }, { "draining", report.isDraining ? "yes" : "no" }, { "born", report.born }, { "sequence", report.sequence }, { "coldLeft", static_cast<std::uint64_t>(report.coldLeft) }, { "previous", previous.id }, { "previousBorn", previous.born }, { "previousAge", previousAge }, { "evidenceAge", evidenceAge }, { "packets", hasPackets }, { "open", m_state.flows.open } });
}

// Decides whether the report by which a process replaced the one before it was of the upstream.
void ReportHandler::checkReplacement(Millis now)
{
    const std::optional<DisplacedProcess>& displaced = m_state.flowAdmission.displaced;
    // The answers to the first copies may have been under way when the report was read.
    if (displaced && m_verifiedReplacement != displaced->displacedAt && earliestSending(m_state.flowAdmission.evidence, now) > displaced->displacedAt) {
        m_verifiedReplacement = displaced->displacedAt;
        m_loss.verifyFlows();
    }
    const std::string former = displaced ? displaced->report.id : "";
    const std::uint64_t displacedAge = displaced ? ageOf(displaced->displacedAt, now) : 0;
    if (confirmReplacement(m_state.flowAdmission, now)) {
        logEvent(Event::ReplacementConfirmed, { { "upstream", m_state.flowAdmission.upstream->id }, { "former", former }, { "age", displacedAge } });
        recordReplacement(m_untracked);
        m_state.flows.isComplete = knowsEveryFlow(m_untracked);
    }
}

// A packet of a flow that the process at the upstream's address holds.
void ReportHandler::handleFlowPacket(const FlowKey& flow, Millis now)
{
    FlowAdmission& admission = m_state.flowAdmission;
    recordFlowEvidence(admission.evidence, now);
    const UpstreamReport reported = admission.upstream.value_or(UpstreamReport {});
    const Millis displacedAt = admission.displaced ? admission.displaced->displacedAt : now;
    const Millis openedAt = m_state.flows.flows.at(flow).openedAt;
    if (!applyFlowPacket(admission, openedAt, now))
        return;
    logFlowEvent(Event::ReplacementDisproved, flow, { { "upstream", admission.upstream->id }, { "reported", reported.id }, { "reportedBorn", reported.born }, { "reportedService", reported.service }, { "openedAge", ageOf(openedAt, now) }, { "displacedAge", ageOf(displacedAt, now) }, { "reportAge", ageOf(admission.reportedAt, now) } });
    m_announce();
}

void ReportHandler::exposeMetrics(std::string& out) const
{
    exposeCounters(out, "kingcuptrail_upstream_reports_total", "Reports of the upstream by what they changed.", m_reports);
    exposeCounters(out, "kingcuptrail_upstream_calls_malformed_total", "Calls of the upstream that could not be read, by reason.", m_malformedRequests);
}

}
