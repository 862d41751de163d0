#include "explanations.h"

#include <algorithm>

namespace kingcuptrail {

namespace {

    struct EventAction {
        Event event;
        std::string_view action;
    };

    /// As docs/EVENTS.md has it; a test keeps both the same.
    constexpr auto actions = std::to_array<EventAction>({
        { Event::DaemonStarted, "Nothing." },
        { Event::DaemonStopping, "Nothing. A shutdown ends by itself within agent.drainLimitMs." },
        { Event::DaemonStopped, "Nothing." },
        { Event::SettingsRefused, "Mend the named field and start again; kingcuptraild --settings FILE --check lists every fault. See SETTINGS.md." },
        { Event::ChildRestarted, "Nothing at first. If it repeats for the same child, look at reason: bindFailed means the address is taken, connectFailed that the peer does not answer, platformFailed that the platform does not." },
        { Event::ChildGaveUp, "Look at the childRestarted events before it for the reason and mend that; /status shows the restarts of each child." },
        { Event::LinkUp, "Nothing." },
        { Event::LinkLost, "Nothing for one link: it is made again. If all links to one host are lost, look at that host; if a data centre's are, look at the network between." },
        { Event::LinkRefused, "Look at the named address. A bad frame or a wrong protocol means a foreign program or another release; notExpected that a process was started with wrong settings." },
        { Event::PeerLeaving, "Nothing. Its flows move to other balancers, or end at the agent that drains." },
        { Event::ConfigInForce, "Nothing. kingcuptrailctl status shows which daemons have it." },
        { Event::ConfigOlderIgnored, "Nothing. It is expected when news reaches daemons unevenly." },
        { Event::DataCentreOut, "Nothing if you took it out. Otherwise find out who applied that version." },
        { Event::DataCentreBack, "Nothing. Its upstreams warm up first; imbalance is expected for that time." },
        { Event::MemberJoined, "Nothing." },
        { Event::MemberChanged, "Nothing. A state lapsed that stays means the agent cannot renew its lease: look at the platform from its host." },
        { Event::MemberLeft, "Nothing if it was stopped on purpose." },
        { Event::Announced, "Nothing." },
        { Event::Fenced, "Two processes speak for one upstream, or this one was paused past its lease and replaced. Stop the older one; it finishes what it holds." },
        { Event::PlatformTrouble, "Look at the platform's service. Flows go on; changes of configuration and membership wait." },
        { Event::PlatformBack, "Nothing." },
        { Event::UpstreamCold, "Nothing for a restart you made. Otherwise look at the upstream: it sheds load or has become slow." },
        { Event::UpstreamWarm, "Nothing." },
        { Event::UpstreamHealthChanged, "Look at the upstream if it stays unhealthy. The endpoint is a hint only and lags." },
        { Event::Saturated, "Add upstreams, or bring a data centre back. Callers were told when to come back." },
        { Event::WrongServicePacket, "The upstream was spared. Look for two services on one address, or a balancer on a very old configuration: compare the versions in kingcuptrailctl status." },
        { Event::OutcomeUnknown, "The caller was told so. Where the work is not idempotent, have its owner check by the key whether it ran." },
        { Event::FlowsGivenUp, "Nothing if a data centre was taken out. Otherwise look for a network that loses track of connections." },
    });

}

std::string_view actionOf(Event event)
{
    const auto found = std::find_if(actions.begin(), actions.end(), [event](const EventAction& action) { return action.event == event; });
    return found == actions.end() ? std::string_view() : found->action;
}

}
