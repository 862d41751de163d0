#pragma once

#include "eventloop.h"
#include "libdecision/enumnames.h"
#include "libdecision/ids.h"

#include <vector>

namespace kingcuptrail {

/// What a history tells. Each comment says what the fields of HistoryEvent hold beside the time.
enum class HistoryKind : std::uint8_t {
    /// actor: agent; flow; service of the packet.
    FlowOpened,
    /// actor: agent; flow; service of the packet. A packet was taken for a flow held there.
    PacketTaken,
    /// actor: agent. Any packet arrived at the process, whatever became of it.
    PacketArrived,
    /// actor: agent that owned it; flow; owner; value: RefusalReason the caller saw.
    FlowLost,
    /// actor: target; request; key, 0 for idempotent work; value: requests running, itself included; other: requests
    /// it bears, in thousandths.
    WorkStarted,
    /// request; value: RequestEnd; other: hash of the answer, or RefusalReason.
    RequestEnded,
    /// request; other: hash of the answer that belongs to it.
    RequestMade,
    /// actor: agent.
    AgentKilled,
    AgentFrozen,
    AgentThawed,
    DrainAccepted,
    DrainRevoked,
    /// actor: agent; value: requests it cut.
    AgentStopped,
    /// actor: target. It restarted and everybody was told.
    UpstreamRestarted,
    /// actor: target. It turned cold and nobody was told.
    UpstreamTurnedCold,
    /// actor: data centre; value: version.
    DataCentreOut,
    DataCentreBack,
    /// value: version.
    ConfigAccepted,
    /// actor: process, balancers first, then agents; value: version.
    ConfigInForce,
    /// actor: process. It runs anew, or stands still from now on, or goes on.
    ProcessStarted,
    ProcessStopped,
    /// The last event.
    RunEnded,
};

template <>
struct EnumNames<HistoryKind> {
    static constexpr std::array<std::string_view, 22> names {
        "flowOpened",
        "packetTaken",
        "packetArrived",
        "flowLost",
        "workStarted",
        "requestEnded",
        "requestMade",
        "agentKilled",
        "agentFrozen",
        "agentThawed",
        "drainAccepted",
        "drainRevoked",
        "agentStopped",
        "upstreamRestarted",
        "upstreamTurnedCold",
        "dataCentreOut",
        "dataCentreBack",
        "configAccepted",
        "configInForce",
        "processStarted",
        "processStopped",
        "runEnded",
    };
};

struct HistoryEvent {
    HistoryKind kind = HistoryKind::RunEnded;
    std::size_t actor = 0;
    std::size_t service = 0;
    FlowId flow = 0;
    std::uint64_t request = 0;
    std::uint64_t key = 0;
    std::uint64_t value = 0;
    std::uint64_t other = 0;
    Micros at = 0;
};

/// What was seen in one run, in order. Keeps nothing unless it is switched on: long runs see millions of events.
class History {
public:
    History(const EventLoop& loop, bool isKept)
        : m_loop(loop)
        , m_isKept(isKept)
    {
    }

    void record(HistoryEvent event)
    {
        if (!m_isKept)
            return;
        event.at = m_loop.now();
        m_events.push_back(event);
    }

    const std::vector<HistoryEvent>& events() const { return m_events; }

private:
    const EventLoop& m_loop;
    bool m_isKept;
    std::vector<HistoryEvent> m_events;
};

/// A number that two runs share only when they saw the same events in the same order.
std::uint64_t fingerprint(const std::vector<HistoryEvent>& events);

}
