#include "datacentrehealth.h"

#include "ranking.h"

#include <algorithm>
#include <tuple>
#include <utility>

namespace kingcuptrail {

namespace {

    /// Pings that are kept for each data centre: eight rounds, after which any agent may be pinged again.
    constexpr std::size_t maxKeptPings = 32;
    /// Rerouted callers that are kept for each data centre; more change nothing.
    constexpr std::size_t maxKeptCallers = 64;

    std::size_t countAgents(std::span<const SentPing> pings)
    {
        const auto isFirst = [&](const SentPing& ping) { return &*std::ranges::find(pings, ping.agent, &SentPing::agent) == &ping; };
        return static_cast<std::size_t>(std::ranges::count_if(pings, isFirst));
    }

    void expireReroutedCallers(const DataCentreHealthOptions& options, DataCentreRecord& record, Millis now)
    {
        std::erase_if(record.reroutedCallers, [&](const auto& item) { return now - item.second > options.reroutedWindow; });
    }

    void changeState(const std::string& name, DataCentreRecord& record, DataCentreState state, DataCentreChangeCause cause, Millis now)
    {
        if (record.state == state)
            return;
        // Between two calls of updateStates() the state may change more than once.
        const DataCentreState from = record.change ? record.change->from : record.state;
        record.change = DataCentreChange {
            .dataCentre = name,
            .from = from,
            .to = state,
            .cause = cause,
            .sinceHeard = now - record.heardAt,
            .pings = record.pings.size(),
            .pingedAgents = countAgents(record.pings),
            .reroutedCallers = record.reroutedCallers.size(),
        };
        record.state = state;
    }

    void beginTimes(DataCentreRecord& record, Millis now)
    {
        record.silentFrom = now;
        record.pings.clear();
        record.reroutedCallers.clear();
    }

    bool isDoubted(const DataCentreHealthOptions& options, const DataCentreRecord& record, Millis now)
    {
        return now - record.silentFrom >= options.silence;
    }

    /// Whether messages from the own data centre show that this process receives. With several other data centres they do
    /// not: the own data centre may be cut off as a whole. A data centre that is doubted and has no agents has left.
    bool isOwnDataCentreWitness(const DataCentreHealth& health, Millis now)
    {
        const auto counts = [&](const auto& item) { return item.first != health.ownDataCentre && (item.second.knownAgents > 0 || !isDoubted(health.options, item.second, now)); };
        return std::ranges::count_if(health.dataCentres, counts) == 1;
    }

    /// When a data centre other than `excluded` was last heard; nothing if none was.
    std::optional<Millis> lastHeardElsewhere(const DataCentreHealth& health, const DataCentreRecord* excluded, Millis now)
    {
        const bool isOwnCounted = isOwnDataCentreWitness(health, now);
        std::optional<Millis> heardAt;
        for (const auto& [name, record] : health.dataCentres) {
            if (&record != excluded && (isOwnCounted || name != health.ownDataCentre))
                heardAt = std::max(heardAt.value_or(record.heardAt), record.heardAt);
        }
        return heardAt;
    }

    bool isIsolated(const DataCentreHealth& health, Millis now)
    {
        const DataCentreHealthOptions& options = health.options;
        const auto heardAt = lastHeardElsewhere(health, nullptr, now);
        return heardAt && now - *heardAt >= options.silence + options.pingInterval + options.pingTimeout;
    }

    /// Whether the data centre leaves pings unanswered while this process receives messages from elsewhere.
    bool isUnanswered(const DataCentreHealth& health, const DataCentreRecord& record, Millis now)
    {
        const DataCentreHealthOptions& options = health.options;
        if (!isDoubted(options, record, now) || record.knownAgents == 0)
            return false;
        const auto firstRecent = std::ranges::find_if(record.pings, [&](const SentPing& ping) { return now - ping.sentAt < options.pingTimeout; });
        const std::span<const SentPing> unanswered(record.pings.begin(), firstRecent);
        if (unanswered.size() < options.minPings || countAgents(unanswered) < std::min(options.minPingedAgents, record.knownAgents))
            return false;
        const auto heardAt = lastHeardElsewhere(health, &record, now);
        return heardAt && *heardAt >= unanswered[options.minPings - 1].sentAt;
    }

    void judge(DataCentreHealth& health, Millis now)
    {
        std::vector<std::string> unanswered;
        std::size_t silent = 0;
        for (auto& [name, record] : health.dataCentres) {
            // Its agents were removed from the directory, so it will not be heard again and must not count as a loss for ever.
            if (record.knownAgents == 0)
                changeState(name, record, DataCentreState::Reachable, DataCentreChangeCause::Removed, now);
            if (record.state != DataCentreState::Reachable)
                ++silent;
            else if (name != health.ownDataCentre && isUnanswered(health, record, now))
                unanswered.push_back(name);
        }
        if (unanswered.size() + silent > health.options.toleratedLosses) {
            resetAll(health, now);
            return;
        }
        for (const std::string& name : unanswered)
            changeState(name, health.dataCentres.at(name), DataCentreState::Silent, DataCentreChangeCause::NoAnswer, now);
        for (auto& [name, record] : health.dataCentres) {
            expireReroutedCallers(health.options, record, now);
            if (record.state == DataCentreState::Silent && record.reroutedCallers.size() >= health.options.minReroutedCallers)
                changeState(name, record, DataCentreState::Lost, DataCentreChangeCause::ReroutedCallers, now);
        }
    }

    /// The agents of one data centre for the next round of pings; those that were pinged least lately come first.
    std::vector<std::uint32_t> agentsForRound(const DataCentreHealthOptions& options, const DataCentreRecord& record, std::span<const std::uint32_t> agents, std::uint64_t seed)
    {
        struct Candidate {
            std::ptrdiff_t pings = 0;
            std::uint64_t weight = 0;
            std::uint32_t agent = 0;
        };
        std::vector<Candidate> candidates;
        for (const std::uint32_t agent : agents)
            candidates.push_back({ .pings = std::ranges::count(record.pings, agent, &SentPing::agent), .weight = rankWeight(seed, agent), .agent = agent });
        const std::size_t count = std::min(options.pingsPerRound, candidates.size());
        std::ranges::partial_sort(candidates, candidates.begin() + static_cast<std::ptrdiff_t>(count), {}, [](const Candidate& candidate) { return std::tuple(candidate.pings, candidate.weight); });
        std::vector<std::uint32_t> chosen;
        for (std::size_t index = 0; index < count; ++index)
            chosen.push_back(candidates[index].agent);
        return chosen;
    }

    bool isRoundDue(const DataCentreHealth& health, const std::string& name, const DataCentreRecord& record, Millis now)
    {
        const bool isDue = isDoubted(health.options, record, now) && now - record.lastRoundAt >= health.options.pingInterval;
        return isDue && (name != health.ownDataCentre || isOwnDataCentreWitness(health, now));
    }

}

void recordHeard(DataCentreHealth& health, std::string_view dataCentre, Millis now)
{
    if (health.options.toleratedLosses == 0)
        return;
    auto found = health.dataCentres.find(dataCentre);
    if (found == health.dataCentres.end())
        found = health.dataCentres.emplace(dataCentre, DataCentreRecord {}).first;
    DataCentreRecord& record = found->second;
    changeState(found->first, record, DataCentreState::Reachable, DataCentreChangeCause::Message, now);
    record.heardAt = now;
    beginTimes(record, now);
}

void recordPing(DataCentreHealth& health, std::string_view dataCentre, std::uint32_t agent, Millis now)
{
    const auto found = health.dataCentres.find(dataCentre);
    if (found == health.dataCentres.end())
        return;
    std::vector<SentPing>& pings = found->second.pings;
    if (pings.size() >= maxKeptPings)
        pings.erase(pings.begin());
    pings.push_back({ .agent = agent, .sentAt = now });
}

void recordReroutedCaller(DataCentreHealth& health, std::string_view dataCentre, std::uint32_t callerAddress, Millis now)
{
    const auto found = health.dataCentres.find(dataCentre);
    if (found == health.dataCentres.end() || found->second.state != DataCentreState::Silent)
        return;
    DataCentreRecord& record = found->second;
    if (record.reroutedCallers.size() >= maxKeptCallers)
        expireReroutedCallers(health.options, record, now);
    if (record.reroutedCallers.size() < maxKeptCallers)
        record.reroutedCallers[callerAddress] = now;
}

void resetAll(DataCentreHealth& health, Millis now)
{
    for (auto& [name, record] : health.dataCentres) {
        changeState(name, record, DataCentreState::Reachable, DataCentreChangeCause::Reset, now);
        beginTimes(record, now);
    }
}

std::vector<std::uint32_t> pingsDue(DataCentreHealth& health, const Directory& directory, std::uint64_t seed, Millis now)
{
    std::vector<std::uint32_t> pings;
    for (auto& [name, record] : health.dataCentres) {
        if (!isRoundDue(health, name, record, now))
            continue;
        const std::vector<std::uint32_t>& agents = membersOf(directory, name).allAgents;
        record.knownAgents = agents.size();
        record.lastRoundAt = now;
        const std::vector<std::uint32_t> chosen = agentsForRound(health.options, record, agents, seed);
        pings.insert(pings.end(), chosen.begin(), chosen.end());
    }
    return pings;
}

std::vector<DataCentreChange> updateStates(DataCentreHealth& health, Millis now)
{
    const Millis gap = now - std::exchange(health.lastUpdateAt, now).value_or(now);
    const bool isLate = gap > health.options.pingTimeout && !health.hasSkippedUpdate;
    health.hasSkippedUpdate = isLate;
    if (gap > health.options.silence || isIsolated(health, now))
        resetAll(health, now);
    else if (!isLate)
        judge(health, now);
    std::vector<DataCentreChange> changes;
    for (auto& [name, record] : health.dataCentres) {
        if (record.change && record.change->from != record.change->to)
            changes.push_back(std::move(*record.change));
        record.change.reset();
    }
    return changes;
}

DataCentreState stateOf(const DataCentreHealth& health, std::string_view dataCentre)
{
    const auto found = health.dataCentres.find(dataCentre);
    return found != health.dataCentres.end() ? found->second.state : DataCentreState::Reachable;
}

bool hasLostDataCentre(const DataCentreHealth& health)
{
    return std::ranges::any_of(health.dataCentres, [](const auto& item) { return item.second.state == DataCentreState::Lost; });
}

}
