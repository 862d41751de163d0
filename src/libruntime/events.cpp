#include "events.h"

#include "clock.h"
#include "logsink.h"

#include <algorithm>
#include <array>
#include <nlohmann/json.hpp>
#include <spdlog/sinks/stdout_sinks.h>
#include <spdlog/spdlog.h>

namespace kingcuptrail {

namespace {

    constexpr auto table = std::to_array<EventInfo>({
        { Event::DaemonStarted, EventLevel::Info, "daemonStarted", "The daemon has read its settings and is starting.",
            "Nothing." },
        { Event::DaemonStopping, EventLevel::Info, "daemonStopping", "A graceful shutdown has begun.",
            "Nothing. The shutdown completes within agent.drainLimitMs." },
        { Event::DaemonStopped, EventLevel::Info, "daemonStopped", "The daemon has stopped; it holds no flow or request any more.",
            "Nothing." },
        { Event::SettingsRefused, EventLevel::Error, "settingsRefused", "The settings file is invalid; the daemon does not start.",
            "Correct the named field and start again; kingcuptraild --settings FILE --check lists every fault. See SETTINGS.md." },
        { Event::SettingsReloaded, EventLevel::Info, "settingsReloaded", "The settings file was read again; its seeds and log level are now in force.",
            "Nothing. If restart is yes, other fields have changed too; they take effect at the next start." },
        { Event::ChildRestarted, EventLevel::Warning, "childRestarted", "A component of the daemon failed and is restarted after a delay.",
            "Nothing at first. If it repeats for the same child, check reason: bindFailed means that the address is in use, connectFailed that the peer does not answer, platformFailed that the platform does not answer." },
        { Event::ChildGaveUp, EventLevel::Error, "childGaveUp", "A component of the daemon failed too often; its supervisor reports a failure too.",
            "Find the reason in the preceding childRestarted events and correct it; /status shows the restarts of each child." },
        { Event::LinkUp, EventLevel::Info, "linkUp", "A link to a peer is established.",
            "Nothing." },
        { Event::LinkLost, EventLevel::Warning, "linkLost", "A link to a peer ended without a goodbye.",
            "Nothing for a single link: it is established again. If all links to a host are lost, check that host; if all links to a data centre are lost, check the network in between." },
        { Event::LinkRefused, EventLevel::Warning, "linkRefused", "A connection was refused because of a malformed frame, a different protocol version or an unexpected peer.",
            "Check the process at the named address. A malformed frame or a different protocol version means another program or another release; notExpected means that a process was started with wrong settings." },
        { Event::PeerLeaving, EventLevel::Info, "peerLeaving", "A peer closed its link with a goodbye.",
            "Nothing. The flows of a balancer move to other balancers; those of an agent end as it drains." },
        { Event::ConfigInForce, EventLevel::Info, "configInForce", "A newer configuration is in force on this daemon.",
            "Nothing. kingcuptrailctl status shows the configuration version of each daemon." },
        { Event::ConfigOlderIgnored, EventLevel::Info, "configOlderIgnored", "A configuration older than the one in force was received and ignored.",
            "Nothing. This is expected while a configuration change propagates between daemons." },
        { Event::DataCentreOut, EventLevel::Warning, "dataCentreOut", "A data centre was taken out of service; its flows are ended.",
            "Nothing if this was intended. Otherwise find out who applied that configuration version." },
        { Event::DataCentreBack, EventLevel::Info, "dataCentreBack", "A data centre was brought back into service.",
            "Nothing. Its upstreams warm up first; the load is uneven until then." },
        { Event::MemberJoined, EventLevel::Info, "memberJoined", "An upstream announced itself.",
            "Nothing." },
        { Event::MemberChanged, EventLevel::Info, "memberChanged", "The state or incarnation of an upstream changed.",
            "Nothing. If the state remains lapsed, the agent cannot renew its lease: check the platform's reachability from its host." },
        { Event::MemberLeft, EventLevel::Info, "memberLeft", "An upstream withdrew its announcement.",
            "Nothing if it was stopped on purpose." },
        { Event::Announced, EventLevel::Info, "announced", "This agent's announcement is stored in the platform.",
            "Nothing." },
        { Event::Fenced, EventLevel::Error, "fenced", "Another process announced the same upstream later; this agent accepts no new requests.",
            "Either two agents run for one upstream, or this agent was paused beyond its lease and replaced. Stop the older one; it finishes its open requests." },
        { Event::PeerChanged, EventLevel::Info, "peerChanged", "A process announced itself, or its announced state changed.",
            "Nothing." },
        { Event::RoutesInForce, EventLevel::Info, "routesInForce", "A newer route configuration is in force on this process.",
            "Nothing. The metric kingcuptrail_routes_version shows the version in force on each process." },
        { Event::ForeignObject, EventLevel::Warning, "foreignObject", "An object in the store could not be decoded; it was skipped, and the other objects are used.",
            "Find out which program wrote the named object." },
        { Event::ServiceLimitsInForce, EventLevel::Info, "serviceLimitsInForce", "The limits of each upstream of a service in the configuration in force. A coldRate of 0 means that none is set.",
            "Nothing." },
        { Event::StoreFollowed, EventLevel::Info, "storeFollowed", "This process began or stopped following the store on behalf of the other processes.",
            "Nothing. A few processes follow the store at any time; if all of them log storeFollowed in succession, they do not receive each other's gossip." },
        { Event::DirectoryTaken, EventLevel::Info, "directoryTaken", "A set of announcements was received together from the store or from a peer.",
            "Nothing." },
        { Event::LeftBehindRemoved, EventLevel::Info, "leftBehindRemoved", "The announcement of a process that had reported its shutdown but could not withdraw its announcement was removed from the store.",
            "Nothing, unless outcome repeatedly names a reason: the store then rejects removals." },
        { Event::PeerTraffic, EventLevel::Info, "peerTraffic", "What this process has exchanged with others since its start, logged every ten seconds and when it stops: gossip, digests and views keep all processes' views equal; the rest are messages about flows.",
            "Nothing. The metrics kingcuptrail_peer_bytes_sent_total and kingcuptrail_peer_messages_sent_total have all kinds." },
        { Event::PlatformTrouble, EventLevel::Warning, "platformTrouble", "Calls to the platform fail; the last known state remains in use.",
            "Check the platform's service. Flows continue; changes of configuration and membership are delayed." },
        { Event::PlatformBack, EventLevel::Info, "platformBack", "Calls to the platform succeed again.",
            "Nothing." },
        { Event::AddressReused, EventLevel::Info, "addressReused", "A process announced itself at an address that another name was announced for. The name with the higher epoch is that of the process that runs there.",
            "Nothing for a host that was replaced. If peerChanged lines of both names follow in turns, two hosts have the same address." },
        { Event::WatchSilent, EventLevel::Warning, "watchSilent", "The store has changed, and the answer to this process's waiting watch has not arrived. The change was taken from another call, and the watch is begun anew.",
            "Nothing for single lines. If they repeat, something between this host and the store drops answers or connections." },
        { Event::DataCentreSilent, EventLevel::Warning, "dataCentreSilent", "Nothing was received from a data centre and pings to its agents are unanswered. Openings go to other data centres first; its flows are kept.",
            "Check the network to that data centre and its power. All balancers name it when it has failed; a single balancer names it when its own link is faulty." },
        { Event::DataCentreLost, EventLevel::Error, "dataCentreLost", "A silent data centre is lost: the routers send its callers here, since no balancer there is ready. Openings and searches skip its agents.",
            "Check the power of that data centre. When it returns, its processes are heard and nothing has to be done here." },
        { Event::DataCentreHeard, EventLevel::Info, "dataCentreHeard", "A silent or lost data centre counts as reachable again. cause says whether a message arrived, its agents were removed from the directory, or this process started its judgement anew.",
            "Nothing for message and removed. With reset, this process was paused or isolated, or more data centres were silent than packets.toleratedDataCentreLosses." },
        { Event::CallersNotified, EventLevel::Info, "callersNotified", "The callers of a lost data centre whose flows are known here are sent resets, so that they try again at once. records are requests that agents there had reported as unanswered, cachedFlows flows that this balancer had sent there.",
            "Nothing. The resets are counted in kingcuptrail_flow_resets_total, reason dataCentreLost." },
        { Event::UpstreamCold, EventLevel::Warning, "upstreamCold", "The upstream appears to have started cold; its concurrency limit was reset to the initial value.",
            "Nothing after an intended restart, nor once after the agent's start for an upstream that closes idle connections (outcome connectionLost). Otherwise check the upstream: it sheds load or has become slow." },
        { Event::UpstreamWarm, EventLevel::Info, "upstreamWarm", "The upstream has warmed up; its full number of slots is available.",
            "Nothing." },
        { Event::UpstreamHealthChanged, EventLevel::Warning, "upstreamHealthChanged", "The answer of the upstream's health endpoint changed.",
            "Check the upstream if it stays unhealthy. The endpoint is only a hint and may lag behind the real state." },
        { Event::Saturated, EventLevel::Warning, "saturated", "Requests are refused because the queue is full or the wait is too long.",
            "Add upstreams, or bring a data centre back into service. The refusals told callers when to retry." },
        { Event::UpstreamUnreachable, EventLevel::Warning, "upstreamUnreachable", "The upstream accepts no connections; its agent accepts no new requests.",
            "Check the upstream's process. Its requests were refused as not run and are retried on other upstreams." },
        { Event::UpstreamReachable, EventLevel::Info, "upstreamReachable", "The upstream accepts connections again; it is treated as cold.",
            "Nothing." },
        { Event::UpstreamReported, EventLevel::Info, "upstreamReported", "The upstream's report differs from the previous one or comes from a new process.",
            "Nothing." },
        { Event::UpstreamLeft, EventLevel::Info, "upstreamLeft", "The upstream sent a shutdown notice.",
            "Nothing." },
        { Event::ForeignReport, EventLevel::Warning, "foreignReport", "A report to this agent could not be decoded; the last valid report remains in use.",
            "Find the program that sends other reports to this agent's address." },
        { Event::ProcessPaused, EventLevel::Warning, "processPaused", "The process or its host was paused. No new flow is accepted until gossip has been received after the pause.",
            "Check the host if it repeats: it is being suspended or lacks processor time." },
        { Event::UpstreamMissing, EventLevel::Warning, "upstreamMissing", "The upstream has stopped reporting, or has not reported since this agent's start, and its address refuses connections or gives no answer. This agent holds no flow.",
            "Check the upstream's process, unless it was shutting down when its host stopped." },
        { Event::UpstreamFailing, EventLevel::Warning, "upstreamFailing", "The upstream accepts flows but aborts their requests, or leaves several of them unanswered for as long as callers wait; it gets no openings except an occasional trial. reason says which of the two.",
            "Check the upstream's process. Requests on its open flows are aborted or get no answer; new flows go to other upstreams." },
        { Event::UpstreamAnswersAgain, EventLevel::Info, "upstreamAnswersAgain", "A failing upstream answered a request; it gets openings again.",
            "Nothing." },
        { Event::UpstreamEnded, EventLevel::Warning, "upstreamEnded", "The upstream's process seems to have ended without a notice: its address refuses connections, or no process has bound its port. Openings that it had not answered were handed back. With a closed port its flows were reset (resets); otherwise they are verified one by one (verified).",
            "Check why the upstream's process ended; its host or supervisor has to start it again. New flows go to other upstreams until a new process reports." },
        { Event::StaleReport, EventLevel::Info, "staleReport", "A report of the upstream was not taken: it is older than the last one, or from a process that has been replaced or has ended.",
            "Nothing for single lines. If they repeat for a process that runs, compare born and knownBorn: the clock of its host may have been set back." },
        { Event::FlowsVerified, EventLevel::Info, "flowsVerified", "Another process reports for the upstream (reason newProcess), or seems to (contradictingReport). A packet of each open flow is delivered again, and the flows that the upstream returns are reset.",
            "Nothing. The flowReset lines name the flows that the previous process held." },
        { Event::ContradictingReport, EventLevel::Warning, "contradictingReport", "A report of the upstream was not taken: packets, reports or a connection show that another process runs at its address. While no packet of a flow shows it and the report names another service, the upstream gets no openings until one of them reports again. packets, connected, knownAge and evidenceAge say what shows that the known process runs, and how old that is; displaced names a process that may come back.",
            "Nothing for single lines: the report was late, or the address was used again. If they repeat, another program or upstream reports to this agent, or addressReuseSeconds is longer than the time after which addresses are used again." },
        { Event::IdleFlowsDropped, EventLevel::Warning, "idleFlowsDropped", "More flows are open than the process keeps: those without packets for the longest were dropped from its table. An agent delivers their next packets to find out whether the upstream holds them; a balancer searches for their agents.",
            "If the lines repeat, lower the idle limit of the configuration (idleLimit) or add hosts." },
        { Event::ReplacementDisproved, EventLevel::Warning, "replacementDisproved", "A packet of an old flow showed that the process which another one's report had replaced still runs. It is the known one again; reports of others are not taken while it is proven to run.",
            "Find the program that sends other reports to this agent's address; reported is the id that it gave." },
        { Event::ReplacementConfirmed, EventLevel::Info, "replacementConfirmed", "The process whose report replaced the former one is the upstream: the former one has not been heard for age milliseconds. The agent denies flows that it has not seen.",
            "Nothing." },
        { Event::WrongServicePacket, EventLevel::Error, "wrongServicePacket", "A packet for another service arrived; the agent refused it and did not pass it to the upstream.",
            "Check whether two services share one address, or whether a balancer uses a very old configuration: compare the versions in kingcuptrailctl status." },
        { Event::OutcomeUnknown, EventLevel::Error, "outcomeUnknown", "A request may have run, but its answer was lost.",
            "The caller was informed. If the request is not idempotent, its owner should check by its key whether it ran." },
        { Event::FlowsGivenUp, EventLevel::Warning, "flowsGivenUp", "Flows were ended because their data centre is out of service or they were silent for too long.",
            "Nothing if a data centre was taken out of service. Otherwise look for a network device that drops connection state." },
        { Event::FlowOffered, EventLevel::Info, "flowOffered", "An opening was offered to an agent.",
            "Nothing. The agent was chosen by atWork and loadAge." },
        { Event::FlowRefused, EventLevel::Info, "flowRefused", "An opening was reset because there is no route, no agent admitted it, or the balancer's link is full. The request has not run.",
            "With reason linkFull, compare received with link. Otherwise check lastRefusal and the agents' openingRefused lines for the same flow." },
        { Event::FlowAdmitted, EventLevel::Info, "flowAdmitted", "An opening was delivered to the upstream.",
            "Nothing." },
        { Event::OpeningRefused, EventLevel::Info, "openingRefused", "An agent refused an opening; the balancer offers it to the next agent.",
            "Nothing for single cases. reason says why the agent refused." },
        { Event::HolderFound, EventLevel::Info, "holderFound", "The agent that holds a flow was found by querying the agents.",
            "Nothing. It is expected after a change of balancers." },
        { Event::FlowLost, EventLevel::Info, "flowLost", "Every agent answered that it does not hold the flow; the caller was sent a reset.",
            "Find the process that held it: its flowAdmitted line names the upstream." },
        { Event::FlowLearnt, EventLevel::Info, "flowLearnt", "A restarted agent learnt of a flow that its upstream already held.",
            "Nothing." },
        { Event::LinesLeftOut, EventLevel::Warning, "linesLeftOut", "Log lines were left out: lines about flows exceeded the rate limit, or the reader of the log was slow.",
            "Nothing. The metrics count every flow." },
        { Event::SearchUncertain, EventLevel::Info, "searchUncertain", "No agent answered that it holds the flow, and not every agent answered that it does not; nothing was sent to the caller.",
            "Check the agent in waitsFor: it does not answer, or does not know its upstream yet. Unconfirmed directories are confirmed again without action." },
        { Event::BulkOpeningHeld, EventLevel::Info, "bulkOpeningHeld", "An opening of a route with large uploads waits at the balancer, because as many as the link may carry at once are active or the link is full.",
            "Nothing for single cases: the opening is admitted or refused within maxWait. If it is frequent, the balancers' links are too small for the uploads." },
        { Event::FlowReset, EventLevel::Info, "flowReset", "An agent reset an open flow because its upstream does not hold it any more. The ages say when the flow was opened, when its last packets passed and when the upstream last reported.",
            "Nothing after the end of an upstream's process. Otherwise compare upstream with the process that the flow was opened at (flowAdmitted)." },
    });

    constexpr auto textPattern = "%Y-%m-%dT%H:%M:%S.%eZ %l %n %v";

    struct LogState {
        std::shared_ptr<spdlog::logger> logger;
        LogFormat format = LogFormat::Text;
        LogRateLimiter flowLineLimiter;
        /// Lines that were omitted or dropped and that no linesLeftOut line has counted yet.
        std::uint64_t linesLeftOut = 0;
    };

    std::shared_ptr<spdlog::logger> makeLogger(std::string_view name, LogFormat format)
    {
        std::shared_ptr<spdlog::sinks::sink> sink;
        if (format == LogFormat::Json)
            sink = std::make_shared<NonBlockingSink>();
        else
            sink = std::make_shared<spdlog::sinks::stderr_sink_mt>();
        auto logger = std::make_shared<spdlog::logger>(std::string(name), std::move(sink));
        logger->set_pattern(format == LogFormat::Json ? "%v" : textPattern, spdlog::pattern_time_type::utc);
        logger->flush_on(spdlog::level::info);
        return logger;
    }

    /// The state of this process's log. Before startLogging(), only warnings and errors are written.
    LogState& currentLog()
    {
        static LogState state = [] {
            LogState made { .logger = makeLogger("kingcuptrail", LogFormat::Text) };
            made.logger->set_level(spdlog::level::warn);
            return made;
        }();
        return state;
    }

    spdlog::level::level_enum toLoggerLevel(EventLevel level)
    {
        switch (level) {
        case EventLevel::Info:
            return spdlog::level::info;
        case EventLevel::Warning:
            return spdlog::level::warn;
        case EventLevel::Error:
            break;
        }
        return spdlog::level::err;
    }

    std::optional<spdlog::level::level_enum> parseLevel(std::string_view name)
    {
        if (name == "info")
            return spdlog::level::info;
        if (name == "warning")
            return spdlog::level::warn;
        if (name == "error")
            return spdlog::level::err;
        if (name == "off")
            return spdlog::level::off;
        return std::nullopt;
    }

    const EventInfo* findInfo(Event event)
    {
        const auto found = std::ranges::lower_bound(table, event, {}, &EventInfo::event);
        return found != table.end() && found->event == event ? &*found : nullptr;
    }

    /// Appends a value, quoted and escaped if necessary. Values may come from peers and operators; a line break or quote in
    /// a value must not forge a log line.
    void appendValue(std::string& line, std::string_view value)
    {
        const bool isPlain = !value.empty() && std::ranges::all_of(value, [](unsigned char c) { return c > ' ' && c < 0x7f && c != '"' && c != '\\'; });
        if (isPlain) {
            line.append(value);
            return;
        }
        line.push_back('"');
        for (const unsigned char c : value) {
            if (c < ' ' || c >= 0x7f)
                line.append(fmt::format("\\x{:02x}", c));
            else if (c == '"' || c == '\\')
                line.append({ '\\', static_cast<char>(c) });
            else
                line.push_back(static_cast<char>(c));
        }
        line.push_back('"');
    }

    std::string textLine(const EventInfo& info, const FlowKey* flow, std::initializer_list<EventField> fields)
    {
        std::string line = fmt::format("E{} {}", static_cast<unsigned>(info.event), info.name);
        if (flow)
            line.append(" flow=").append(toString(*flow));
        for (const EventField& field : fields) {
            line.append(" ").append(field.name).append("=");
            appendValue(line, field.value);
        }
        return line;
    }

    std::string jsonLine(const spdlog::logger& logger, const EventInfo& info, const FlowKey* flow, std::initializer_list<EventField> fields)
    {
        nlohmann::ordered_json line {
            { "time", unixMillis() },
            { "level", spdlog::level::to_string_view(toLoggerLevel(info.level)).data() },
            { "process", logger.name() },
            { "event", static_cast<unsigned>(info.event) },
            { "name", info.name },
        };
        if (flow)
            line["flow"] = toString(*flow);
        for (const EventField& field : fields) {
            if (field.number)
                line[std::string(field.name)] = *field.number;
            else
                line[std::string(field.name)] = field.value;
        }
        return line.dump(-1, ' ', true, nlohmann::ordered_json::error_handler_t::replace);
    }

    std::uint64_t droppedLines(const LogState& state)
    {
        const auto* sink = dynamic_cast<const NonBlockingSink*>(state.logger->sinks().front().get());
        return sink ? sink->droppedLines() : 0;
    }

    /// Whether the line was written, and not dropped because the reader of the log is slow.
    bool writeLine(const LogState& state, const EventInfo& info, const FlowKey* flow, std::initializer_list<EventField> fields)
    {
        const auto level = toLoggerLevel(info.level);
        const std::uint64_t droppedBefore = droppedLines(state);
        if (state.format == LogFormat::Json)
            state.logger->log(level, "{}", jsonLine(*state.logger, info, flow, fields));
        else
            state.logger->log(level, "{}", textLine(info, flow, fields));
        return droppedLines(state) == droppedBefore;
    }

    void reportLinesLeftOut(LogState& state)
    {
        const EventInfo* info = findInfo(Event::LinesLeftOut);
        if (state.linesLeftOut == 0 || !state.logger->should_log(toLoggerLevel(info->level)))
            return;
        if (writeLine(state, *info, nullptr, { { "lines", state.linesLeftOut } }))
            state.linesLeftOut = 0;
    }

    void writeEvent(Event event, const FlowKey* flow, std::initializer_list<EventField> fields)
    {
        const EventInfo* info = findInfo(event);
        LogState& state = currentLog();
        if (!info || !state.logger->should_log(toLoggerLevel(info->level)))
            return;
        // The count follows the first line that is written again.
        if (writeLine(state, *info, flow, fields))
            reportLinesLeftOut(state);
        else
            ++state.linesLeftOut;
    }

}

std::span<const EventInfo> eventTable()
{
    return table;
}

EventField::EventField(std::string_view fieldName, std::string_view fieldValue)
    : name(fieldName)
    , value(fieldValue)
{
}

EventField::EventField(std::string_view fieldName, std::uint64_t fieldValue)
    : name(fieldName)
    , value(std::to_string(fieldValue))
    , number(fieldValue)
{
}

void logEvent(Event event, std::initializer_list<EventField> fields)
{
    writeEvent(event, nullptr, fields);
}

void logFlowEvent(Event event, const FlowKey& flow, std::initializer_list<EventField> fields)
{
    LogState& state = currentLog();
    if (!state.flowLineLimiter.tryTakeToken(unixMillis()))
        return;
    if (const std::uint64_t omitted = state.flowLineLimiter.takeOmittedCount(); omitted > 0) {
        state.linesLeftOut += omitted;
        reportLinesLeftOut(state);
    }
    writeEvent(event, &flow, fields);
}

bool startLogging(std::string_view processName, std::string_view level, LogFormat format)
{
    const auto parsed = parseLevel(level);
    if (!parsed)
        return false;
    LogState& state = currentLog();
    state.logger = makeLogger(processName, format);
    state.logger->set_level(*parsed);
    state.format = format;
    return true;
}

}
