#include "storefollower.h"

#include "libdecision/gossipsize.h"
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
    constexpr Millis livenessInterval = 500;
    constexpr Millis livenessTimeout = 1000;

    PlatformOptions livenessOptions(PlatformOptions options)
    {
        options.connectTimeout = std::min(options.connectTimeout, livenessTimeout);
        options.callTimeout = std::min(options.callTimeout, livenessTimeout);
        return options;
    }

    /// Foreign objects that are remembered as logged, and how much of their names is logged. Names are the other program's choice.
    constexpr std::size_t maxLoggedObjects = 100;
    constexpr std::size_t maxLoggedName = 100;

}

StoreFollower::StoreFollower(asio::io_context& context, const PlatformOptions& options, const DeploymentAdapter& adapter, PeerNetwork& network)
    : m_adapter(adapter)
    , m_network(network)
    , m_routes(context, options, std::string(adapter.routesKind), routesHandlers())
    , m_outages(context, options, std::string(adapter.outagesKind), outagesHandlers())
    , m_agents(context, options, agentKind, agentsHandlers(), agentsInterval)
    , m_livenessCheck(context, livenessOptions(options), std::string(adapter.outagesKind), livenessHandlers(), livenessInterval)
    , m_verificationClient(context, livenessOptions(options))
    , m_removalClient(context, options)
{
}

PlatformError StoreFollower::lastError() const
{
    for (const KindWatcher* watcher : { &m_routes, &m_outages, &m_agents, &m_livenessCheck }) {
        if (watcher->lastError() != PlatformError::None)
            return watcher->lastError();
    }
    return PlatformError::None;
}

std::uint64_t StoreFollower::callsMade() const
{
    return m_routes.callsMade() + m_outages.callsMade() + m_agents.callsMade() + m_livenessCheck.callsMade() + m_verificationClient.callsMade() + m_removalClient.callsMade();
}

KindWatcher::Handlers StoreFollower::routesHandlers()
{
    return {
        .onList = [this](const ObjectList& list) { updateRoutes(list); },
        .onChanges = [this](const ObjectList& changes) { updateRoutes(changes); },
        .onError = [this](PlatformError) { recordStoreFailure(); },
    };
}

KindWatcher::Handlers StoreFollower::outagesHandlers()
{
    return {
        .onList = [this](const ObjectList& list) {
            m_outDataCentres.clear();
            updateOutages(list); },
        .onChanges = [this](const ObjectList& changes) { updateOutages(changes); },
        .onError = [this](PlatformError) { recordStoreFailure(); },
    };
}

KindWatcher::Handlers StoreFollower::agentsHandlers()
{
    return {
        .onList = [this](const ObjectList& list) { updateAgents(list); },
        .onChanges = [](const ObjectList&) {},
        .onError = [this](PlatformError) { recordStoreFailure(); },
    };
}

// Watches that were pending while the store did not answer may never be answered, so they are restarted when it answers again.
KindWatcher::Handlers StoreFollower::livenessHandlers()
{
    return {
        .onList = [this](const ObjectList& list) {
            recordStoreAnswer();
            if (!std::exchange(m_isUnresponsive, false)) {
                verifyOutages(list);
                verifyRoutes(list.version);
                return;
            }
            m_routes.restart();
            m_outages.restart(); },
        .onChanges = [](const ObjectList&) {},
        .onError = [this](PlatformError) {
            m_isUnresponsive = true;
            recordStoreFailure(); },
    };
}

void StoreFollower::updateRoutes(const ObjectList& objects)
{
    recordStoreAnswer();
    for (const PlatformObject& object : objects.objects) {
        DecodeError error = DecodeError::None;
        if (auto routes = m_adapter.decodeRoutes(object, error))
            m_network.updateRoutes(std::move(*routes));
        else if (error != DecodeError::None)
            logForeignObject(m_adapter.routesKind, object, error);
    }
}

void StoreFollower::updateOutages(const ObjectList& changes)
{
    recordStoreAnswer();
    for (const PlatformObject& object : changes.objects) {
        if (object.name.empty()) {
            logForeignObject(m_adapter.outagesKind, object, DecodeError::BadText);
            continue;
        }
        m_outDataCentres.erase(object.name);
        if (object.value)
            m_outDataCentres.emplace(object.name, object.version);
    }
    std::vector<std::string> names;
    for (const auto& [name, version] : m_outDataCentres)
        names.push_back(name);
    OutageSelection selection = selectOutages(std::move(names), m_network.directory());
    for (const std::string& name : selection.dropped)
        logForeignObject(m_adapter.outagesKind, { .name = name, .version = m_outDataCentres.at(name), .value = {} }, DecodeError::OutOfRange);
    m_network.updateOutages({ .revision = changes.version, .out = std::move(selection.taken) });
}

// The list may be older than what the watch has reported.
void StoreFollower::verifyOutages(const ObjectList& listed)
{
    if (!m_outages.isCurrent() || listed.version <= m_outages.version())
        return;
    std::map<std::string, ObjectVersion> out;
    for (const PlatformObject& object : listed.objects) {
        if (!object.name.empty())
            out.emplace(object.name, object.version);
    }
    if (out == m_outDataCentres)
        return;
    logEvent(Event::WatchSilent, { { "kind", m_adapter.outagesKind }, { "revision", listed.version }, { "watchRevision", m_outages.version() } });
    m_outDataCentres.clear();
    updateOutages(listed);
    m_outages.restart();
}

// The routes are large, so they are not listed. Their changes are asked for only after the store has changed since they were last known
// to be complete. The watch gets until the next liveness check to report the change itself.
void StoreFollower::verifyRoutes(ObjectVersion storeVersion)
{
    const ObjectVersion verified = std::max(m_verifiedVersion, m_routes.version());
    const bool isOverdue = std::exchange(m_seenVersion, storeVersion) > verified;
    if (!isOverdue || !m_routes.isCurrent() || m_isVerifying)
        return;
    m_isVerifying = true;
    m_verificationClient.changesSince(std::string(m_adapter.routesKind), verified, [this](const std::optional<ObjectList>& changes, PlatformError reason) { handleVerification(changes, reason); });
}

void StoreFollower::handleVerification(const std::optional<ObjectList>& changes, PlatformError reason)
{
    m_isVerifying = false;
    if (!changes) {
        // Calls that get no answer are repeated after a later liveness check.
        if (reason == PlatformError::Gone || reason == PlatformError::BadAnswer)
            m_routes.restart();
        return;
    }
    m_verifiedVersion = std::max(m_verifiedVersion, changes->version);
    const auto isMissed = [this](const PlatformObject& object) { return object.version > m_routes.version(); };
    if (!m_routes.isCurrent() || std::ranges::none_of(changes->objects, isMissed))
        return;
    logEvent(Event::WatchSilent, { { "kind", m_adapter.routesKind }, { "revision", changes->version }, { "watchRevision", m_routes.version() } });
    updateRoutes(*changes);
    m_routes.restart();
}

void StoreFollower::updateAgents(const ObjectList& objects)
{
    recordStoreAnswer();
    std::vector<PeerEntry> entries;
    std::map<std::string, ObjectVersion> staleListings;
    for (const PlatformObject& object : objects.objects) {
        const auto entry = parseStoredEntry(object);
        if (!entry) {
            logForeignObject(agentKind, object, DecodeError::BadText);
            continue;
        }
        entries.push_back(*entry);
        if (isStaleListing(m_network.directory(), *entry))
            staleListings[object.name] = object.version;
    }
    m_network.updateEntries(entries);
    removeStaleListings(staleListings);
}

// Entries are listed every few seconds, so each version of an object is logged once.
void StoreFollower::logForeignObject(std::string_view kind, const PlatformObject& object, DecodeError error)
{
    const std::string name = object.name.substr(0, maxLoggedName);
    if (m_loggedObjects.size() >= maxLoggedObjects)
        m_loggedObjects.clear();
    if (m_loggedObjects.insert({ std::string(kind) + "/" + name, object.version }).second)
        logEvent(Event::ForeignObject, { { "kind", kind }, { "object", name }, { "revision", object.version }, { "reason", nameOf(error) } });
}

// Removes only entries that two consecutive listings show with the same version: an agent that leaves withdraws its entry
// itself within seconds, and a listing may be some seconds old. The version condition keeps an entry that was written again.
void StoreFollower::removeStaleListings(const std::map<std::string, ObjectVersion>& staleListings)
{
    for (const auto& [name, version] : staleListings) {
        const auto before = m_staleListings.find(name);
        if (before == m_staleListings.end() || before->second != version)
            continue;
        m_removalClient.remove(agentKind, name, version, [peer = name](const std::optional<ObjectVersion>&, PlatformError reason) {
            logEvent(Event::LeftBehindRemoved, { { "peer", peer }, { "outcome", nameOf(reason) } });
        });
    }
    m_staleListings = staleListings;
}

void StoreFollower::recordStoreFailure()
{
    const PlatformError reason = lastError();
    if (reason == PlatformError::None || m_loggedError != PlatformError::None)
        return;
    m_loggedError = reason;
    logEvent(Event::PlatformTrouble, { { "reason", nameOf(reason) } });
}

void StoreFollower::recordStoreAnswer()
{
    if (m_loggedError == PlatformError::None)
        return;
    m_loggedError = PlatformError::None;
    logEvent(Event::PlatformBack);
}

}
