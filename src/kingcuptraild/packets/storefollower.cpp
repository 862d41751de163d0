#include "storefollower.h"

#include "libruntime/events.h"

#include <algorithm>

namespace kingcuptrail {

namespace {

    /// How often the agents' entries are read again, in milliseconds. Processes announce changes to each other at once; the
    /// store is only for processes that no peer has reached.
    constexpr Millis agentsInterval = 5000;
    /// Interval and timeout of the store's liveness check, in milliseconds. A store that does not answer is detected within
    /// 1.5 s and other processes take over within another second, so that a change is in force within the required 3 s. A
    /// store that is 80 times slower than usual still answers in time (0.3 s). Each of the three followers makes 120 calls a
    /// minute; they allow stale answers, which cost the store a tenth.
    constexpr Millis pulseInterval = 500;
    constexpr Millis pulseTimeout = 1000;

    PlatformOptions pulseOptions(PlatformOptions options)
    {
        options.connectTimeout = std::min(options.connectTimeout, pulseTimeout);
        options.callTimeout = std::min(options.callTimeout, pulseTimeout);
        return options;
    }

    void logForeignObject(std::string_view kind, const std::string& object, DecodeError error)
    {
        logEvent(Event::ForeignObject, { { "kind", kind }, { "object", object }, { "reason", nameOf(error) } });
    }

}

StoreFollower::StoreFollower(asio::io_context& context, const PlatformOptions& options, const DeploymentAdapter& adapter, PeerNetwork& network)
    : m_adapter(adapter)
    , m_network(network)
    , m_routes(context, options, std::string(adapter.routesKind), routesHandlers())
    , m_outages(context, options, std::string(adapter.outagesKind), outagesHandlers())
    , m_agents(context, options, agentKind, agentsHandlers(), agentsInterval)
    , m_pulse(context, pulseOptions(options), std::string(adapter.outagesKind), pulseHandlers(), pulseInterval)
    , m_cleaner(context, options)
{
}

PlatformError StoreFollower::lastReason() const
{
    for (const KindWatcher* watcher : { &m_routes, &m_outages, &m_agents, &m_pulse }) {
        if (watcher->lastReason() != PlatformError::None)
            return watcher->lastReason();
    }
    return PlatformError::None;
}

std::uint64_t StoreFollower::callsMade() const
{
    return m_routes.callsMade() + m_outages.callsMade() + m_agents.callsMade() + m_pulse.callsMade() + m_cleaner.callsMade();
}

KindWatcher::Handlers StoreFollower::routesHandlers()
{
    return {
        .onList = [this](const ObjectList& list) { takeRoutes(list); },
        .onChanges = [this](const ObjectList& changes) { takeRoutes(changes); },
        .onTrouble = [this](PlatformError) { noteTrouble(); },
    };
}

KindWatcher::Handlers StoreFollower::outagesHandlers()
{
    return {
        .onList = [this](const ObjectList& list) {
            m_out.clear();
            takeOutages(list); },
        .onChanges = [this](const ObjectList& changes) { takeOutages(changes); },
        .onTrouble = [this](PlatformError) { noteTrouble(); },
    };
}

KindWatcher::Handlers StoreFollower::agentsHandlers()
{
    return {
        .onList = [this](const ObjectList& list) { takeAgents(list); },
        .onChanges = [](const ObjectList&) {},
        .onTrouble = [this](PlatformError) { noteTrouble(); },
    };
}

// Watches that were pending while the store did not answer may never be answered, so they are restarted when it answers again.
KindWatcher::Handlers StoreFollower::pulseHandlers()
{
    return {
        .onList = [this](const ObjectList&) {
            noteAnswer();
            if (!std::exchange(m_isSilent, false))
                return;
            m_routes.restart();
            m_outages.restart(); },
        .onChanges = [](const ObjectList&) {},
        .onTrouble = [this](PlatformError) {
            m_isSilent = true;
            noteTrouble(); },
    };
}

void StoreFollower::takeRoutes(const ObjectList& objects)
{
    noteAnswer();
    for (const PlatformObject& object : objects.objects) {
        DecodeError error = DecodeError::None;
        if (auto routes = m_adapter.readRoutes(object, error))
            m_network.takeRoutes(std::move(*routes));
        else if (error != DecodeError::None)
            logForeignObject(m_adapter.routesKind, object.name, error);
    }
}

void StoreFollower::takeOutages(const ObjectList& changes)
{
    noteAnswer();
    for (const PlatformObject& object : changes.objects) {
        if (object.name.empty()) {
            logForeignObject(m_adapter.outagesKind, object.name, DecodeError::BadText);
            continue;
        }
        std::erase(m_out, object.name);
        if (object.value)
            m_out.push_back(object.name);
    }
    m_network.takeOutages({ .revision = changes.version, .out = m_out });
}

void StoreFollower::takeAgents(const ObjectList& objects)
{
    noteAnswer();
    std::vector<PeerEntry> entries;
    std::map<std::string, ObjectVersion> leftBehind;
    for (const PlatformObject& object : objects.objects) {
        const auto entry = object.value ? parsePeerEntry(*object.value) : std::nullopt;
        if (!entry || entry->name != object.name) {
            logForeignObject(agentKind, object.name, DecodeError::BadText);
            continue;
        }
        entries.push_back(*entry);
        if (isStaleListing(m_network.directory(), *entry))
            leftBehind[object.name] = object.version;
    }
    m_network.takeEntries(entries);
    removeLeftBehind(leftBehind);
}

// Removes only entries that two consecutive listings show with the same version: an agent that leaves withdraws its entry
// itself within seconds, and a listing may be some seconds old. The version condition keeps an entry that was written again.
void StoreFollower::removeLeftBehind(const std::map<std::string, ObjectVersion>& leftBehind)
{
    for (const auto& [name, version] : leftBehind) {
        const auto before = m_leftBehind.find(name);
        if (before == m_leftBehind.end() || before->second != version)
            continue;
        m_cleaner.remove(agentKind, name, version, [peer = name](const std::optional<ObjectVersion>&, PlatformError reason) {
            logEvent(Event::LeftBehindRemoved, { { "peer", peer }, { "outcome", nameOf(reason) } });
        });
    }
    m_leftBehind = leftBehind;
}

void StoreFollower::noteTrouble()
{
    const PlatformError reason = lastReason();
    if (reason == PlatformError::None || m_loggedTrouble != PlatformError::None)
        return;
    m_loggedTrouble = reason;
    logEvent(Event::PlatformTrouble, { { "reason", nameOf(reason) } });
}

void StoreFollower::noteAnswer()
{
    if (m_loggedTrouble == PlatformError::None)
        return;
    m_loggedTrouble = PlatformError::None;
    logEvent(Event::PlatformBack);
}

}
