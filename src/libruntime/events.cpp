#include "events.h"

#include <algorithm>
#include <array>
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
        { Event::PlatformTrouble, EventLevel::Warning, "platformTrouble", "Calls to the platform fail; the last known state stands.",
            "Look at the platform's service. Flows go on; changes of configuration and membership wait." },
        { Event::PlatformBack, EventLevel::Info, "platformBack", "Calls to the platform succeed again.",
            "Nothing." },
        { Event::UpstreamCold, EventLevel::Warning, "upstreamCold", "The upstream shows signs of a cold start; its limit is back at the start.",
            "Nothing for a restart you made. Otherwise look at the upstream: it sheds load or has become slow." },
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
        { Event::WrongServicePacket, EventLevel::Error, "wrongServicePacket", "A packet of another service arrived; it was refused before the upstream.",
            "The upstream was spared. Look for two services on one address, or a balancer on a very old configuration: compare the versions in kingcuptrailctl status." },
        { Event::OutcomeUnknown, EventLevel::Error, "outcomeUnknown", "A request may have run, but its answer is lost.",
            "The caller was told so. Where the work is not idempotent, have its owner check by the key whether it ran." },
        { Event::FlowsGivenUp, EventLevel::Warning, "flowsGivenUp", "Flows were given up, because their data centre is out or they were silent.",
            "Nothing if a data centre was taken out. Otherwise look for a network that loses track of connections." },
    });

    constexpr auto logPattern = "%Y-%m-%dT%H:%M:%S.%eZ %l %n %v";

    std::shared_ptr<spdlog::logger> makeLogger(std::string_view name)
    {
        auto logger = std::make_shared<spdlog::logger>(std::string(name), std::make_shared<spdlog::sinks::stderr_sink_mt>());
        logger->set_pattern(logPattern, spdlog::pattern_time_type::utc);
        logger->flush_on(spdlog::level::info);
        return logger;
    }

    /// Before startLogging() only warnings and errors are written.
    std::shared_ptr<spdlog::logger>& currentLogger()
    {
        static std::shared_ptr<spdlog::logger> logger = [] {
            auto made = makeLogger("kingcuptrail");
            made->set_level(spdlog::level::warn);
            return made;
        }();
        return logger;
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
{
}

void logEvent(Event event, std::initializer_list<EventField> fields)
{
    const EventInfo* info = findInfo(event);
    if (!info)
        return;
    const auto level = toLoggerLevel(info->level);
    const auto& logger = currentLogger();
    if (!logger->should_log(level))
        return;
    std::string line = fmt::format("E{} {}", static_cast<unsigned>(event), info->name);
    for (const EventField& field : fields) {
        line.append(" ").append(field.name).append("=");
        appendValue(line, field.value);
    }
    logger->log(level, "{}", line);
}

bool startLogging(std::string_view processName, std::string_view level)
{
    const auto parsed = parseLevel(level);
    if (!parsed)
        return false;
    auto logger = makeLogger(processName);
    logger->set_level(*parsed);
    currentLogger() = std::move(logger);
    return true;
}

}
