#pragma once

#include "agentflows.h"

#include <deque>
#include <optional>
#include <span>
#include <vector>

namespace kingcuptrail {

/// A request that an agent's upstream has not answered yet, as the agent reports it to a balancer of another data centre.
struct PendingRequest {
    FlowKey flow;
    /// Address of the process that sent the flow's last packet to the agent, 0 if unknown.
    std::uint32_t balancer = 0;
    /// The caller's last acknowledgement; a reset must carry it for the caller to accept it.
    std::uint32_t acknowledged = 0;

    bool operator==(const PendingRequest&) const = default;
};

/// The most requests in one report: 1,000 bytes, so that the message with its header stays below one datagram of 1,300 bytes.
inline constexpr std::size_t maxPendingRequestsPerMessage = 50;

struct PendingReportOptions {
    /// A request is reported when it has been unanswered for this long, in milliseconds. Short requests need no report: if
    /// their data centre is lost, few of them are at work.
    Millis minAge = 20;
    /// Shortest time between two reports, in milliseconds.
    Millis interval = 20;
    /// Size of one request in a report, in bytes.
    double requestBytes = 20;
    /// Rate and burst of reported requests, in bytes per second and bytes. Together they limit an agent to 4 kB in any
    /// second, whatever the size of the deployment.
    double bytesPerSecond = 3000;
    double burstBytes = 1000;
    /// Requests that wait for their report. More could not be reported within a second, when most requests have ended.
    std::size_t maxWaiting = 200;
};

/// The requests at one agent that are to be reported to balancers of other data centres. When a data centre loses power,
/// balancer, agent and upstream of a flow may end together. A caller that waits for its answer then sends nothing and would
/// wait for its whole deadline, because no process that is left knows the flow.
struct PendingReports {
    PendingReportOptions options;
    struct Waiting {
        FlowKey flow;
        Millis beganAt = 0;
    };
    /// The unanswered requests that have not been reported, oldest first.
    std::deque<Waiting> waiting;
    double budgetBytes = PendingReportOptions {}.burstBytes;
    Millis budgetAt = 0;
    std::optional<Millis> reportedAt;
    /// Number of balancers that were chosen as receivers; a random initial value spreads the agents over the balancers.
    std::size_t receivers = 0;
    /// Requests that were not reported because too many waited.
    std::uint64_t leftOut = 0;
};

/// Records that a caller began to send a request. When too many requests wait, the new one is left out and counted.
void recordRequestBegan(PendingReports&, const FlowKey&, Millis now);

/// The requests to report now, oldest first; to be called every `interval` while any wait. Each request is returned at most
/// once, and only if the upstream has sent neither an answer's first data nor a reset, according to `flows`.
std::vector<PendingRequest> takeReport(PendingReports&, const AgentFlows& flows, Millis now);

/// The balancer that gets the next report; nothing when there is none. Balancers take turns, so that one that is dead but
/// still known loses only its share of the reports.
std::optional<std::uint32_t> nextReceiver(PendingReports&, std::span<const std::uint32_t> balancers);

}
