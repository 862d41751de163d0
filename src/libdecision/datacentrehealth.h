#pragma once

#include "directory.h"
#include "ids.h"

#include <optional>
#include <unordered_map>

namespace kingcuptrail {

/// What a balancer knows about the processes of another data centre.
enum class DataCentreState : std::uint8_t {
    /// Something was received recently, or the data centre is not yet suspected.
    Reachable,
    /// Nothing is received and pings are unanswered. A frozen, slow or cut-off data centre looks the same and keeps its
    /// flows.
    Silent,
    /// Silent, and the routers send its callers here because no balancer there is ready. Its flows are given up: no process
    /// that could carry them answers.
    Lost,
};

template <>
struct EnumNames<DataCentreState> {
    static constexpr std::array<std::string_view, 3> names { "reachable", "silent", "lost" };
};

/// Why the state of a data centre changed.
enum class DataCentreChangeCause : std::uint8_t {
    /// Its pings are unanswered.
    NoAnswer,
    ReroutedCallers,
    /// A process there sent a message.
    Message,
    /// This process was paused or isolated, or more data centres are silent than are tolerated.
    Reset,
    /// It has no agents any more.
    Removed,
};

template <>
struct EnumNames<DataCentreChangeCause> {
    static constexpr std::array<std::string_view, 5> names { "noAnswer", "reroutedCallers", "message", "reset", "removed" };
};

struct DataCentreHealthOptions {
    /// How many data centres may be lost at the same time. At 0 nothing is recorded and no state changes.
    std::size_t toleratedLosses = 0;
    /// Time without any message after which agents are pinged, in milliseconds. Routers stop sending to a data centre after
    /// two missed readiness checks (0.5 to 1 s), so the silence is known before its callers arrive.
    Millis silence = 300;
    /// Time between two rounds of pings to one data centre, in milliseconds, and the agents in each.
    Millis pingInterval = 100;
    std::size_t pingsPerRound = 4;
    /// Time after which a ping counts as unanswered, in milliseconds: several round trips between data centres, and some
    /// lateness of a busy agent.
    Millis pingTimeout = 60;
    /// A data centre is silent only after this many unanswered pings to at least this many different agents, or to all
    /// agents that it has. At a loss of 1% in each direction, six exchanges fail together once in 10^10 times.
    std::size_t minPings = 6;
    std::size_t minPingedAgents = 4;
    /// A silent data centre is lost when this many callers of its balancers arrive here within this time, in milliseconds.
    std::size_t minReroutedCallers = 3;
    Millis reroutedWindow = 500;
};

/// A ping to an agent that has been unanswered since.
struct SentPing {
    std::uint32_t agent = 0;
    Millis sentAt = 0;
};

/// A change of state with its inputs.
struct DataCentreChange {
    std::string dataCentre;
    DataCentreState from = DataCentreState::Reachable;
    DataCentreState to = DataCentreState::Reachable;
    DataCentreChangeCause cause = DataCentreChangeCause::Message;
    /// Time since the last message from there, in milliseconds; for a change by a message, since the one before.
    Millis sinceHeard = 0;
    /// Unanswered pings and the different agents that they went to.
    std::size_t pings = 0;
    std::size_t pingedAgents = 0;
    /// Callers' addresses within `reroutedWindow`.
    std::size_t reroutedCallers = 0;
};

/// What is known of one data centre that was heard at least once.
struct DataCentreRecord {
    DataCentreState state = DataCentreState::Reachable;
    /// The change that updateStates() has not returned yet.
    std::optional<DataCentreChange> change;
    Millis heardAt = 0;
    /// Start of the present silence: the last message, or a later resetAll().
    Millis silentFrom = 0;
    /// Pings since `silentFrom`, the oldest first; bounded.
    std::vector<SentPing> pings;
    Millis lastRoundAt = 0;
    /// Agents in the directory that may hold flows, as of the last round of pings.
    std::size_t knownAgents = 0;
    /// Callers of this data centre that arrived here while it was silent, by address, with the time of the last packet;
    /// bounded.
    std::unordered_map<std::uint32_t, Millis> reroutedCallers;
};

/// A balancer's soft knowledge of which other data centres answer. It answers the loss of power of a data centre: agents
/// there answer no query, balancers there reset no caller, and callers would wait for their whole deadlines.
struct DataCentreHealth {
    DataCentreHealthOptions options;
    std::string ownDataCentre;
    /// By name. The record of the own data centre shows, in a deployment of two data centres, that this process is not
    /// isolated; its state never changes.
    std::map<std::string, DataCentreRecord, std::less<>> dataCentres;
    std::optional<Millis> lastUpdateAt;
    bool hasSkippedUpdate = false;
};

/// Records that any valid message from a process of the data centre arrived. It is reachable from then on. A data centre is
/// judged only after its first message, since a process that has just started has heard nobody.
void recordHeard(DataCentreHealth&, std::string_view dataCentre, Millis now);

/// Records a ping to an agent of the data centre.
void recordPing(DataCentreHealth&, std::string_view dataCentre, std::uint32_t agent, Millis now);

/// Records that a packet arrived here from a caller that a balancer of the data centre served recently. Only counts while
/// the data centre is silent.
void recordReroutedCaller(DataCentreHealth&, std::string_view dataCentre, std::uint32_t callerAddress, Millis now);

/// Makes every data centre reachable and starts all times again: after a pause of this process, and while its view may be
/// stale.
void resetAll(DataCentreHealth&, Millis now);

/// The agents to ping now: of each data centre that has been silent for `silence`, a few that were not pinged lately. Their
/// number does not depend on the number of agents. The caller reports each of them to recordPing(). `seed` decides among
/// the agents. In a deployment of two data centres the own data centre is pinged as well when it is silent.
std::vector<std::uint32_t> pingsDue(DataCentreHealth&, const Directory&, std::uint64_t seed, Millis now);

/// Judges every data centre and returns the changes since the last call; to be called several times in `pingTimeout`. No
/// state worsens while this process may itself be cut off or behind with its work:
/// - after a gap of more than `silence` since the last call, all times start again, since the process was paused;
/// - while nothing arrives from any other data centre for as long as a verdict takes, all times start again, since the
///   process is isolated. With only one other data centre that has agents, messages from the own one count as well. A
///   verdict also needs a message from elsewhere that is newer than the pings which decide it;
/// - when more than `toleratedLosses` would be silent, all times start again;
/// - after a gap of more than `pingTimeout` answers may wait in the socket, and the next call judges.
std::vector<DataCentreChange> updateStates(DataCentreHealth&, Millis now);

/// The state of a data centre; reachable if nothing is known of it.
DataCentreState stateOf(const DataCentreHealth&, std::string_view dataCentre);

/// Whether any data centre is lost. Decisions for each packet ask this first, since it is cheap.
bool hasLostDataCentre(const DataCentreHealth&);

}
