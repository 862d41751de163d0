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
        { Event::DaemonStarted, EventLevel::Info, "daemonStarted", "The daemon has read its settings and begins to work.",
            "Nothing." },
        { Event::DaemonStopping, EventLevel::Info, "daemonStopping", "A graceful shutdown has begun.",
            "Nothing. A shutdown ends by itself within agent.drainLimitMs." },
        { Event::DaemonStopped, EventLevel::Info, "daemonStopped", "The daemon ends; nothing it held is left.",
            "Nothing." },
        { Event::SettingsRefused, EventLevel::Error, "settingsRefused", "The settings file has a fault; the daemon does not start.",
            "Mend the named field and start again; kingcuptraild --settings FILE --check lists every fault. See SETTINGS.md." },
        { Event::SettingsReloaded, EventLevel::Info, "settingsReloaded", "The settings file was read again; seeds and the log level are in force as it says.",
            "Nothing. Where restart is yes, other fields differ too: they take effect at the next start." },
        { Event::ChildRestarted, EventLevel::Warning, "childRestarted", "A part of the daemon failed and is started again after a delay.",
            "Nothing at first. If it repeats for the same child, look at reason: bindFailed means the address is taken, connectFailed that the peer does not answer, platformFailed that the platform does not." },
        { Event::ChildGaveUp, EventLevel::Error, "childGaveUp", "A part of the daemon failed too often; the part above it fails too.",
            "Look at the childRestarted events before it for the reason and mend that; /status shows the restarts of each child." },
        { Event::LinkUp, EventLevel::Info, "linkUp", "A link to a peer is established.",
            "Nothing." },
        { Event::LinkLost, EventLevel::Warning, "linkLost", "A link to a peer ended without a goodbye.",
            "Nothing for one link: it is made again. If all links to one host are lost, look at that host; if a data centre's are, look at the network between." },
        { Event::LinkRefused, EventLevel::Warning, "linkRefused", "A connection was refused: a bad frame, a wrong protocol or an unexpected peer.",
            "Look at the named address. A bad frame or a wrong protocol means a foreign program or another release; notExpected that a process was started with wrong settings." },
        { Event::PeerLeaving, EventLevel::Info, "peerLeaving", "A peer said goodbye.",
            "Nothing. Its flows move to other balancers, or end at the agent that drains." },
        { Event::ConfigInForce, EventLevel::Info, "configInForce", "A newer configuration is in force on this daemon.",
            "Nothing. kingcuptrailctl status shows which daemons have it." },
        { Event::ConfigOlderIgnored, EventLevel::Info, "configOlderIgnored", "News of an older configuration arrived and was ignored.",
            "Nothing. It is expected when news reaches daemons unevenly." },
        { Event::DataCentreOut, EventLevel::Warning, "dataCentreOut", "Operators took a data centre out; its flows are given up.",
            "Nothing if you took it out. Otherwise find out who applied that version." },
        { Event::DataCentreBack, EventLevel::Info, "dataCentreBack", "Operators brought a data centre back.",
            "Nothing. Its upstreams warm up first; imbalance is expected for that time." },
        { Event::MemberJoined, EventLevel::Info, "memberJoined", "An upstream announced itself.",
            "Nothing." },
        { Event::MemberChanged, EventLevel::Info, "memberChanged", "The state or incarnation of an upstream changed.",
            "Nothing. A state lapsed that stays means the agent cannot renew its lease: look at the platform from its host." },
        { Event::MemberLeft, EventLevel::Info, "memberLeft", "An upstream withdrew its announcement.",
            "Nothing if it was stopped on purpose." },
        { Event::Announced, EventLevel::Info, "announced", "This agent's announcement stands in the platform.",
            "Nothing." },
        { Event::Fenced, EventLevel::Error, "fenced", "Another process announced the same upstream later; this agent takes no new work.",
            "Two processes speak for one upstream, or this one was paused past its lease and replaced. Stop the older one; it finishes what it holds." },
        { Event::PeerChanged, EventLevel::Info, "peerChanged", "A process announced itself, or its state changed.",
            "Nothing." },
        { Event::RoutesInForce, EventLevel::Info, "routesInForce", "A newer configuration of routes is in force on this process.",
            "Nothing. The metric kingcuptrail_routes_version shows which processes have it." },
        { Event::ForeignObject, EventLevel::Warning, "foreignObject", "An object in the store could not be read; it was passed over and the rest holds.",
            "Find out who wrote the named object." },
        { Event::ServiceLimitsInForce, EventLevel::Info, "serviceLimitsInForce", "What one upstream of a service bears, by the configuration in force. A coldRate of 0 means that none is set.",
            "Nothing." },
        { Event::StoreFollowed, EventLevel::Info, "storeFollowed", "This process began or ended to follow the store for the others.",
            "Nothing. Some processes do at any time; storeFollowed of all of them in a row means that they do not hear of each other." },
        { Event::DirectoryTaken, EventLevel::Info, "directoryTaken", "Announcements were taken together from the store or from a peer.",
            "Nothing." },
        { Event::LeftBehindRemoved, EventLevel::Info, "leftBehindRemoved", "An announcement was taken out of the store whose process had said that it is gone and could not withdraw it.",
            "Nothing, unless outcome names a reason again and again: the store turns removals away." },
        { Event::PlatformTrouble, EventLevel::Warning, "platformTrouble", "Calls to the platform fail; the last known state stands.",
            "Look at the platform's service. Flows go on; changes of configuration and membership wait." },
        { Event::PlatformBack, EventLevel::Info, "platformBack", "Calls to the platform succeed again.",
            "Nothing." },
        { Event::UpstreamCold, EventLevel::Warning, "upstreamCold", "The upstream shows signs of a cold start; its limit is back at the start.",
            "Nothing for a restart you made, nor once after the agent's start for an upstream that closes idle connections (outcome connectionLost). Otherwise look at the upstream: it sheds load or has become slow." },
        { Event::UpstreamWarm, EventLevel::Info, "upstreamWarm", "The upstream works at its full slots.",
            "Nothing." },
        { Event::UpstreamHealthChanged, EventLevel::Warning, "upstreamHealthChanged", "The upstream's health endpoint answers differently than before.",
            "Look at the upstream if it stays unhealthy. The endpoint is a hint only and lags." },
        { Event::Saturated, EventLevel::Warning, "saturated", "Requests are refused because the queue is full or the wait too long.",
            "Add upstreams, or bring a data centre back. Callers were told when to come back." },
        { Event::UpstreamUnreachable, EventLevel::Warning, "upstreamUnreachable", "The upstream accepts no connection; its agent takes no new work.",
            "Look at the upstream's process. Its requests were refused as not run and go to others." },
        { Event::UpstreamReachable, EventLevel::Info, "upstreamReachable", "The upstream accepts connections again; it starts cold.",
            "Nothing." },
        { Event::UpstreamReported, EventLevel::Info, "upstreamReported", "The upstream's report differs from the last one, or comes from a new process.",
            "Nothing." },
        { Event::UpstreamLeft, EventLevel::Info, "upstreamLeft", "The upstream said that it is gone.",
            "Nothing." },
        { Event::ForeignReport, EventLevel::Warning, "foreignReport", "A report to this agent could not be read; the last good one stands.",
            "Look for another program that reports to this agent's address." },
        { Event::ProcessPaused, EventLevel::Warning, "processPaused", "The process or its host stood still. No new flow is taken until news has come since.",
            "Look at the host if it repeats: it is suspended or starved." },
        { Event::UpstreamMissing, EventLevel::Warning, "upstreamMissing", "No upstream reports any more, or none has since this agent's start, and its address refuses connections or it stayed silent. No flow is held here.",
            "Look at the upstream's process, unless it was leaving when its host stopped." },
        { Event::UpstreamFailing, EventLevel::Warning, "upstreamFailing", "The upstream accepts flows and breaks off their requests, or leaves several without any answer for as long as callers want to wait; it gets no opening but a trial now and then. reason tells which.",
            "Look at the upstream's process. Callers of its open flows are cut or wait in vain; new ones go to others." },
        { Event::UpstreamAnswersAgain, EventLevel::Info, "upstreamAnswersAgain", "A failing upstream has answered a request; it gets openings again.",
            "Nothing." },
        { Event::WrongServicePacket, EventLevel::Error, "wrongServicePacket", "A packet of another service arrived; it was refused before the upstream.",
            "The upstream was spared. Look for two services on one address, or a balancer on a very old configuration: compare the versions in kingcuptrailctl status." },
        { Event::OutcomeUnknown, EventLevel::Error, "outcomeUnknown", "A request may have run, but its answer is lost.",
            "The caller was told so. Where the work is not idempotent, have its owner check by the key whether it ran." },
        { Event::FlowsGivenUp, EventLevel::Warning, "flowsGivenUp", "Flows were given up, because their data centre is out or they were silent.",
            "Nothing if a data centre was taken out. Otherwise look for a network that loses track of connections." },
        { Event::FlowOffered, EventLevel::Info, "flowOffered", "An opening was offered to an agent.",
            "Nothing. atWork and loadAge are what the choice was made by." },
        { Event::FlowRefused, EventLevel::Info, "flowRefused", "An opening was reset: there is no route, or no agent took it. The request has not run.",
            "Look at lastRefusal and at the agents' openingRefused lines for the same flow." },
        { Event::FlowAdmitted, EventLevel::Info, "flowAdmitted", "An opening was delivered to the upstream.",
            "Nothing." },
        { Event::OpeningRefused, EventLevel::Info, "openingRefused", "An agent did not admit an opening; the balancer offers it to the next.",
            "Nothing for a few. reason says what the agent knew." },
        { Event::HolderFound, EventLevel::Info, "holderFound", "The agent that holds a flow was found by asking.",
            "Nothing. It follows a change of balancers." },
        { Event::FlowLost, EventLevel::Info, "flowLost", "Every agent said that it does not hold the flow; its caller was told by a reset.",
            "Look for the process that held it: its flowAdmitted line names the upstream." },
        { Event::FlowLearnt, EventLevel::Info, "flowLearnt", "A restarted agent saw a flow that its upstream held before.",
            "Nothing." },
        { Event::LinesLeftOut, EventLevel::Warning, "linesLeftOut", "Lines about flows were left out, since more came than are written or the reader was slow.",
            "Nothing. The counters have every one." },
        { Event::SearchUncertain, EventLevel::Info, "searchUncertain", "Nobody said that it holds the flow, and not everybody that it does not; its caller was told nothing.",
            "Look at the agent in waitsFor: it is silent, or knows no upstream yet. Unconfirmed directories mend themselves." },
    });

    constexpr auto textPattern = "%Y-%m-%dT%H:%M:%S.%eZ %l %n %v";

    struct LogState {
        std::shared_ptr<spdlog::logger> logger;
        LogFormat format = LogFormat::Text;
        LineBudget flowLines;
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

    /// Before startLogging() only warnings and errors are written.
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

    /// Values come from peers and operators too: a line break or a quote in one must not forge a log line.
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

    void writeEvent(Event event, const FlowKey* flow, std::initializer_list<EventField> fields)
    {
        const EventInfo* info = findInfo(event);
        if (!info)
            return;
        const auto level = toLoggerLevel(info->level);
        const LogState& state = currentLog();
        if (!state.logger->should_log(level))
            return;
        if (state.format == LogFormat::Json)
            state.logger->log(level, "{}", jsonLine(*state.logger, *info, flow, fields));
        else
            state.logger->log(level, "{}", textLine(*info, flow, fields));
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
    LineBudget& budget = currentLog().flowLines;
    if (!budget.take(unixMillis()))
        return;
    if (const std::uint64_t leftOut = budget.takeLeftOut(); leftOut > 0)
        writeEvent(Event::LinesLeftOut, nullptr, { { "lines", leftOut } });
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
