#pragma once

#include "libdecision/upstreamreports.h"
#include "libhttp/http.h"
#include "upstreamloss.h"

#include <functional>
#include <optional>

namespace kingcuptrail {

/// Handles the calls of the upstream, its reports and its notice that it shuts down, and carries out what follows from them for the
/// agent's flows. Other programs may call as well.
class ReportHandler {
public:
    /// `announce` is called when the agent may have to announce another state.
    ReportHandler(AgentState& state, UntrackedFlows& untracked, UpstreamLoss& loss, std::function<void()> announce);

    HttpResponse handleRequest(const HttpRequest& request);
    /// Handles a packet of a flow that the process at the upstream's address holds.
    void handleFlowPacket(const FlowKey& flow, Millis now);
    /// Checks whether the process that reported last has replaced the one before; to be called several times a second.
    void checkReplacement(Millis now);

    void exposeMetrics(std::string& out) const;

private:
    ReportEffect handleReport(const UpstreamReport& report);
    void logReport(const UpstreamReport& report, const UpstreamReport& previous, std::uint64_t previousAge, const UpstreamEvidence& evidence, ReportEffect effect) const;

    AgentState& m_state;
    UntrackedFlows& m_untracked;
    UpstreamLoss& m_loss;
    std::function<void()> m_announce;
    /// When the process was displaced whose flows were verified last.
    std::optional<Millis> m_verifiedReplacement;
    EnumCounters<ReportEffect> m_reports;
    EnumCounters<DecodeError> m_malformedRequests;
};

}
