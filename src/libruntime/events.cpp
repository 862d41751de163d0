#include "events.h"

#include <algorithm>
#include <array>
#include <spdlog/sinks/stdout_sinks.h>
#include <spdlog/spdlog.h>

namespace kingcuptrail {

namespace {

    constexpr auto table = std::to_array<EventInfo>({
        { Event::DaemonStarted, EventLevel::Info, "daemonStarted", "The daemon has read its settings and begins to work." },
        { Event::DaemonStopping, EventLevel::Info, "daemonStopping", "A graceful shutdown has begun." },
        { Event::DaemonStopped, EventLevel::Info, "daemonStopped", "The daemon ends; nothing it held is left." },
        { Event::SettingsRefused, EventLevel::Error, "settingsRefused", "The settings file has a fault; the daemon does not start." },
        { Event::ChildRestarted, EventLevel::Warning, "childRestarted", "A part of the daemon failed and is started again after a delay." },
        { Event::ChildGaveUp, EventLevel::Error, "childGaveUp", "A part of the daemon failed too often; the part above it fails too." },
        { Event::LinkUp, EventLevel::Info, "linkUp", "A link to a peer is established." },
        { Event::LinkLost, EventLevel::Warning, "linkLost", "A link to a peer ended without a goodbye." },
        { Event::LinkRefused, EventLevel::Warning, "linkRefused", "A connection was refused: a bad frame, a wrong protocol or an unexpected peer." },
        { Event::PeerLeaving, EventLevel::Info, "peerLeaving", "A peer said goodbye." },
        { Event::ConfigInForce, EventLevel::Info, "configInForce", "A newer configuration is in force on this daemon." },
        { Event::ConfigOlderIgnored, EventLevel::Info, "configOlderIgnored", "News of an older configuration arrived and was ignored." },
        { Event::DataCentreOut, EventLevel::Warning, "dataCentreOut", "Operators took a data centre out; its flows are given up." },
        { Event::DataCentreBack, EventLevel::Info, "dataCentreBack", "Operators brought a data centre back." },
        { Event::MemberJoined, EventLevel::Info, "memberJoined", "An upstream announced itself." },
        { Event::MemberChanged, EventLevel::Info, "memberChanged", "The state or incarnation of an upstream changed." },
        { Event::MemberLeft, EventLevel::Info, "memberLeft", "An upstream withdrew its announcement." },
        { Event::Announced, EventLevel::Info, "announced", "This agent's announcement stands in the platform." },
        { Event::Fenced, EventLevel::Error, "fenced", "Another process announced the same upstream later; this agent takes no new work." },
        { Event::PlatformTrouble, EventLevel::Warning, "platformTrouble", "Calls to the platform fail; the last known state stands." },
        { Event::PlatformBack, EventLevel::Info, "platformBack", "Calls to the platform succeed again." },
        { Event::UpstreamCold, EventLevel::Warning, "upstreamCold", "The upstream shows signs of a cold start; its limit is back at the start." },
        { Event::UpstreamWarm, EventLevel::Info, "upstreamWarm", "The upstream works at its full slots." },
        { Event::UpstreamHealthChanged, EventLevel::Warning, "upstreamHealthChanged", "The upstream's health endpoint answers differently than before." },
        { Event::Saturated, EventLevel::Warning, "saturated", "Requests are refused because the queue is full or the wait too long." },
        { Event::UpstreamUnreachable, EventLevel::Warning, "upstreamUnreachable", "The upstream accepts no connection; its agent takes no new work." },
        { Event::UpstreamReachable, EventLevel::Info, "upstreamReachable", "The upstream accepts connections again; it starts cold." },
        { Event::WrongServicePacket, EventLevel::Error, "wrongServicePacket", "A packet of another service arrived; it was refused before the upstream." },
        { Event::OutcomeUnknown, EventLevel::Error, "outcomeUnknown", "A request may have run, but its answer is lost." },
        { Event::FlowsGivenUp, EventLevel::Warning, "flowsGivenUp", "Flows were given up, because their data centre is out or they were silent." },
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
