#pragma once

#include "connectionadmission.h"
#include "flowverifier.h"

namespace kingcuptrail {

/// Decides what becomes of the flows and openings of an upstream whose process has ended, seems to have ended or was replaced.
class UpstreamLoss {
public:
    /// `announce` is called when the agent may have to announce another state.
    UpstreamLoss(AgentState& state, UntrackedFlows& untracked, ConnectionAdmission& admission, std::function<void()> announce);

    /// Another process reports for the upstream.
    void handleNewProcess(bool isOtherService);
    /// The upstream's address refuses connections.
    void handleEndSigns();
    /// No process has bound the upstream's port.
    void handlePortClosed();

    /// Begins to verify all open flows.
    void verifyFlows() { m_verifier.begin(); }
    /// The same unless they are being verified already: such reports may come in quick succession.
    void verifyContestedFlows();
    /// Handles a packet of this flow that the upstream has returned.
    void handleReturned(const FlowKey& flow) { m_verifier.handleReturned(flow); }

    void exposeMetrics(std::string& out) const;

private:
    /// What became of the flows of a process that seems to have ended.
    struct EndedFlows {
        std::size_t resets = 0;
        std::size_t verified = 0;
    };

    void recordEnd(const UpstreamEndDetection& signs, const EndedFlows& flows);

    AgentState& m_state;
    UntrackedFlows& m_untracked;
    ConnectionAdmission& m_admission;
    std::function<void()> m_announce;
    FlowVerifier m_verifier;
    std::uint64_t m_portsClosed = 0;
};

}
