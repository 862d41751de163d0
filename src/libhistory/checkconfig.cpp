#include "checks.h"

#include <algorithm>

namespace kingcuptrail {

namespace {

    void checkOrder(const CheckContext& context, const std::string& process, const DaemonRecord& daemon)
    {
        const HistoryEvent* newest = nullptr;
        for (const HistoryEvent* config : daemon.configs) {
            if (newest && config->version < newest->version)
                context.report(Promise::ConfigNeverReverts, process + " reverted to an older configuration", { newest, config });
            else
                newest = config;
        }
    }

    /// The latest time at which the version must be in force on the daemon. Extended if the daemon started after the
    /// change was accepted, or if the platform was down meanwhile, so that no daemon could learn of the change.
    Millis deadlineFor(const CheckContext& context, const DaemonRecord& daemon, const HistoryEvent& accepted)
    {
        Millis begin = accepted.at;
        const bool isKnownBefore = !daemon.configs.empty() && daemon.configs.front()->at <= accepted.at;
        if (!daemon.starts.empty() && !isKnownBefore)
            begin = std::max(begin, daemon.starts.front()->at);
        for (const HistorySpan& span : context.index.platformFaults) {
            if (span.overlaps(begin, begin + context.options.configBound))
                begin = std::max(begin, span.until);
        }
        return begin + context.options.configBound;
    }

    bool wasAbsent(const DaemonRecord& daemon, Millis start, Millis end)
    {
        return std::ranges::any_of(daemon.absences, [&](const HistorySpan& span) { return span.overlaps(start, end); });
    }

    bool wasInForceInTime(const DaemonRecord& daemon, ConfigVersion version, Millis deadline)
    {
        return std::ranges::any_of(daemon.configs, [&](const HistoryEvent* config) { return config->version >= version && config->at <= deadline; });
    }

    void checkInForce(const CheckContext& context, const HistoryEvent& accepted)
    {
        if (accepted.version == 0)
            return;
        for (const auto& [process, daemon] : context.index.daemons) {
            if (daemon.configs.empty() && daemon.starts.empty())
                continue;
            const Millis deadline = deadlineFor(context, daemon, accepted);
            if (deadline > context.index.end || wasAbsent(daemon, accepted.at, deadline))
                continue;
            if (!wasInForceInTime(daemon, accepted.version, deadline))
                context.report(Promise::ConfigNeverReverts, process + " did not have version " + std::to_string(accepted.version) + " in force in time", { &accepted });
        }
    }

}

void checkConfigs(const CheckContext& context)
{
    for (const auto& [process, daemon] : context.index.daemons)
        checkOrder(context, process, daemon);
    for (const HistoryEvent* accepted : context.index.accepted)
        checkInForce(context, *accepted);
}

}
