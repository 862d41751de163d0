#pragma once

#include "flowadmission.h"

namespace kingcuptrail {

/// The effect of a report on the agent's state.
enum class ReportEffect : std::uint8_t {
    /// From a process that has been replaced or has ended, or older than the last report.
    Stale,
    /// What shows that the known process runs outweighs the report. It is late, or of another program.
    Contradicting,
    Nothing,
    /// Draining state, service or slots differ.
    Changed,
    /// A new process reports for the upstream. It may have accepted flows before this report.
    NewProcess,
    /// The process that was replaced before runs: the report that replaced it was not of the upstream.
    Restored,
};

template <>
struct EnumNames<ReportEffect> {
    static constexpr std::array<std::string_view, 6> names { "stale", "contradicting", "nothing", "changed", "newProcess", "restored" };
};

/// Whether a report with this effect was not taken.
bool isIgnored(ReportEffect);

/// Whether the configuration names this service. Without a configuration every service counts as named.
bool isNamedService(const RouteTable&, std::string_view service);

/// Applies a heartbeat of the upstream. Any program may have sent it. One of another service does not replace a process that packets or
/// its own reports show to run. One of the same service does, since upstreams are restarted; the process before comes back when it
/// turns out to run.
ReportEffect applyReport(FlowAdmission&, const RouteTable&, const UpstreamReport&, Millis now);

/// Applies a packet of a flow that the process at the upstream's address holds and that was opened at `openedAt`. Returns true when it
/// shows that the process which was replaced runs; that process is then the known one again.
bool applyFlowPacket(FlowAdmission&, Millis openedAt, Millis now);

/// Returns true, once, when the process before the known one has given no sign of running for so long that it was certainly replaced.
bool confirmReplacement(FlowAdmission&, Millis now);

}
