#include "explanations.h"

#include <charconv>

namespace kingcuptrail {

namespace {

    template <typename Enum>
    using Table = std::array<Explanation, EnumNames<Enum>::names.size()>;

    constexpr std::string_view nothing = "Nothing.";

    constexpr Table<RefusalReason> refusals { {
        { "No refusal.", nothing },
        { "The upstream's queue was full. The request did not run.", "Look at the upstream's busy slots and limit in status; add upstreams, or raise queueLimit if the waits are short." },
        { "The request would have waited longer than it may. It did not run.", "As for queueFull: the upstream gets more work than it finishes." },
        { "The caller's deadline had passed before the request could run. It did not run.", "If many: look for a slow upstream, or for callers with deadlines shorter than the work takes." },
        { "The upstream is leaving and takes no new work. The request did not run.", "Nothing during a planned drain: callers come back on another upstream." },
        { "The data centre was taken out by operators, and the flow ended with it.", "Nothing if it was meant; bring-back ends it." },
        { "No service has the address that the packet was sent to.", "Compare the address with status; a new service may not be in force yet on that balancer." },
        { "The packet reached an upstream of another service and was refused before it.", "Look for balancers on an old configuration in status. Event 500 names the upstream." },
        { "No upstream of the service takes new flows.", "Look at the upstreams of the service in status: announced, serving, and in a data centre that is in?" },
        { "No agent holds the flow. Nothing of this request ran there.", "Expected after an agent was killed. If not, look for restarts and event 321." },
        { "The agent that held the flow is gone. What it ran is not known.", "Find why the agent or its host ended; callers must ask for the outcome of what they had sent." },
        { "The request named another owner than the one it reached. It did not run.", "Expected for a moment after an agent's restart." },
        { "The upstream itself turned the request away before running it.", "The upstream sheds load: add upstreams or lower its slots." },
        { "The agent could not connect to its upstream. The request did not run.", "Is the upstream process running, and at the address in the agent's settings?" },
        { "The connection to the upstream broke in the middle of the request. It may have run.", "Look at the upstream's own log at that time." },
        { "The upstream did not answer in time. It may have run.", "Look at the upstream's latency; compare the deadline with what the work takes." },
        { "The same request is running already; it was not started again.", nothing },
        { "The same request ran before; it was not run again.", "Nothing: this is how a repeated request is kept from running twice." },
        { "An earlier attempt of this request may have run, and nobody could say. It was not run again.", "The caller must look up whether the first attempt took effect." },
        { "The request's key was declared closed by a later attempt elsewhere. It did not run here.", nothing },
        { "The caller cancelled it.", nothing },
        { "The body's checksum or length did not fit. It did not run.", "If it repeats: look for a faulty path or sender." },
        { "The body is larger than allowed. It did not run.", "Tell the app makers the limit." },
        { "The upstream holds as many flows as flowLimit allows.", "Add upstreams, or raise flowLimit if their memory bears it." },
        { "The flow said nothing for too long and was given up.", "Expected for callers that vanished. If many at once: look for something on the path that drops connections." },
        { "The request was malformed. It did not run.", "If it repeats: look at the sender's version." },
    } };

    constexpr Table<LinkError> links { {
        { "The link had no trouble.", nothing },
        { "No connection could be made.", "Is the peer running and its address right? Look for a firewall in between." },
        { "The connection was not made in time.", "Is the peer's host up and the path to it open?" },
        { "The peer connected and did not introduce itself in time.", "Something other than a daemon may be connecting to this port." },
        { "The peer closed the connection without a goodbye.", "Expected when a process is killed. Otherwise look at the peer's log." },
        { "Nothing came over the link for too long, heartbeats included.", "The path has lost track of the connection, or the peer is stopped. The link is made anew." },
        { "The peer took no bytes for too long.", "The peer is overloaded or stopped; look at its processor time." },
        { "One frame took too long to arrive.", "A very slow path, or a peer that sends a byte now and then on purpose." },
        { "What came was not a frame of this protocol.", "Something else speaks to this port, or the versions differ." },
        { "A frame was larger than allowed.", "As for badFrame." },
        { "The peer is not who was expected at this address.", "An address was given to another process: check the settings and presence of both." },
        { "The peer said goodbye.", nothing },
        { "The link was closed from this side.", nothing },
        { "The peer's host is up and nothing listens at the address.", "The peer has ended: expected after a kill or a stop. Start it again, or forget it." },
    } };

    constexpr Table<PlatformError> platforms { {
        { "The platform answers.", nothing },
        { "No connection to the platform: nothing was written.", "Is the platform up and the address right? The last known state stands meanwhile." },
        { "The platform took the call and gave no answer: a write may or may not have taken effect.", "Nothing: it is settled by reading back. If it lasts, the platform is slow or down." },
        { "The object had changed since it was read: nothing was written.", nothing },
        { "There is no such object.", "Before the first apply there is no manifest: apply a configuration." },
        { "The watch was too far behind.", "Nothing: everything is listed again." },
        { "The platform answered with something that is not its API.", "Is the address that of the platform?" },
        { "The platform refused the call.", "A value over the size limit, or missing rights." },
    } };

    constexpr Table<HttpError> https { {
        { "The exchange was whole.", nothing },
        { "No connection could be made.", "Is the process running, and is the address right?" },
        { "The connection was not made in time.", "Is the host up and the path to it open?" },
        { "The exchange was not done in time.", "The process is overloaded or stopped." },
        { "The answer began, and then nothing more came.", "The path has lost track of the connection, or the process is stopped." },
        { "The connection ended before the answer was whole.", "The process ended or was restarted at that moment." },
        { "The answer was not whole HTTP.", "Is the address that of the right process?" },
        { "The answer was larger than allowed.", nothing },
        { "The exchange was given up from this side.", nothing },
    } };

    constexpr Table<ApplyError> applies { {
        { "The change was accepted.", nothing },
        { "The platform could not be reached; nothing was changed.", "Try again when the platform is back. The daemons keep what is in force." },
        { "No answer came from the platform: the change may or may not be accepted.", "Run the same command again: it finds out, and does nothing twice." },
        { "Another change was accepted in between; nothing was changed.", "Look at diff, and apply again if it is still right." },
        { "No configuration was accepted yet.", "Apply one." },
        { "No data centre has this name.", "status lists them." },
        { "No data centre would be left to serve.", "Bring another one back first." },
        { "The platform holds something that is not a configuration.", "Somebody has written to the manifest by other means: remove the object manifest/current and apply the file again." },
        { "The platform refused the write.", "Is the configuration over the platform's size limit?" },
    } };

    constexpr Table<OpenRefusal> openings { {
        { "No refusal.", nothing },
        { "The agent has no report of a living upstream, or none for too long.", "Look at the upstream's process; reportAge in the agent's lines says since when it is silent." },
        { "The upstream is leaving.", "Nothing during a planned drain." },
        { "The agent's own process is stopping.", "Nothing during a restart." },
        { "Operators have taken the data centre out.", "Nothing if it was meant; bring-back ends it." },
        { "The agent's process stood still and has not heard since what changed.", "Look for processPaused of that agent." },
        { "The agent knows no configuration yet.", "Expected for a moment after its start; else look at platformTrouble and whether its peers reach it." },
        { "The configuration in force does not send the address to this agent's service.", "Compare the versions in the lines of balancer and agent." },
        { "A cold upstream already gets what it bears.", "Nothing: it passes with the warm-up." },
        { "The upstream holds as many flows as it may.", "Add upstreams, or raise the limit if their memory bears it." },
        { "The upstream's slots are full.", "Nothing for a few; if many, add upstreams." },
        { "The upstream handed the opening back.", "It is leaving or full: look at its own log." },
        { "The opening waited at the agent for as long as its caller does.", "Add upstreams: more work comes than is done." },
        { "The upstream accepts flows and resets them with their requests; the opening goes to another agent.", "Look at that upstream's process, and at the agent's upstreamFailing line." },
    } };

    constexpr Table<ChildFailure> children { {
        { "The part has not failed.", nothing },
        { "It could not listen on its address.", "Another process has the port, or the address is not this host's." },
        { "It could not connect.", "Is the peer running and its address right?" },
        { "Its link was lost.", "Nothing if it came back; else as for the link's reason." },
        { "Its peer refused it.", "Compare versions and settings of both." },
        { "The platform failed it.", "Nothing while the platform is down; it goes on by itself." },
        { "A part below it failed too often.", "Look at the reasons of the parts below in the daemon's status." },
        { "A fault of the program.", "Report it with the log." },
    } };

    template <typename Enum>
    Explanation entryOf(const Table<Enum>& table, Enum value)
    {
        const auto index = static_cast<std::size_t>(value);
        return index < table.size() ? table[index] : Explanation {};
    }

    template <typename Enum>
    void findIn(std::string_view name, std::string_view subject, std::vector<FoundExplanation>& found)
    {
        if (const auto value = fromName<Enum>(name))
            found.push_back({ .subject = std::string(subject), .name = std::string(name), .explanation = explanationOf(*value) });
    }

    std::optional<unsigned> numberOf(std::string_view text)
    {
        if (text.starts_with('E'))
            text.remove_prefix(1);
        unsigned number = 0;
        const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), number);
        if (error != std::errc() || end != text.data() + text.size())
            return std::nullopt;
        return number;
    }

    void findEvent(std::string_view codeOrName, std::vector<FoundExplanation>& found)
    {
        const auto number = numberOf(codeOrName);
        for (const EventInfo& info : eventTable()) {
            const auto code = static_cast<unsigned>(info.event);
            if (info.name == codeOrName || number == code)
                found.push_back({ .subject = "event " + std::to_string(code), .name = std::string(info.name), .explanation = { info.meaning, info.action } });
        }
    }

}

Explanation explanationOf(RefusalReason reason)
{
    return entryOf(refusals, reason);
}

Explanation explanationOf(OpenRefusal refusal)
{
    return entryOf(openings, refusal);
}

Explanation explanationOf(LinkError error)
{
    return entryOf(links, error);
}

Explanation explanationOf(PlatformError error)
{
    return entryOf(platforms, error);
}

Explanation explanationOf(HttpError error)
{
    return entryOf(https, error);
}

Explanation explanationOf(ApplyError error)
{
    return entryOf(applies, error);
}

Explanation explanationOf(ChildFailure failure)
{
    return entryOf(children, failure);
}

std::vector<FoundExplanation> findExplanations(std::string_view codeOrName)
{
    std::vector<FoundExplanation> found;
    findEvent(codeOrName, found);
    findIn<RefusalReason>(codeOrName, "refusal", found);
    findIn<OpenRefusal>(codeOrName, "opening", found);
    findIn<LinkError>(codeOrName, "link", found);
    findIn<PlatformError>(codeOrName, "platform", found);
    findIn<ApplyError>(codeOrName, "apply", found);
    findIn<HttpError>(codeOrName, "exchange", found);
    findIn<ChildFailure>(codeOrName, "part of a daemon", found);
    return found;
}

}
