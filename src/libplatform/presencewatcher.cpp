#include "presencewatcher.h"

#include "delay.h"
#include "leaserecord.h"
#include "libdecision/lease.h"

#include <algorithm>
#include <chrono>
#include <map>

namespace kingcuptrail {

namespace {

    /// Bounds of the interval between two lease checks, in milliseconds: short leases, as in tests, must not cause a busy loop,
    /// and long ones must not delay the check of a new upstream with a short lease.
    constexpr Millis minLeaseCheckInterval = 20;
    constexpr Millis maxLeaseCheckInterval = 7500;

    /// Maximum number of leases that are read individually; for more, all are listed in one call.
    constexpr std::size_t maxSingleReads = 16;

    Millis monotonicNow()
    {
        using namespace std::chrono;
        return duration_cast<milliseconds>(steady_clock::now().time_since_epoch()).count();
    }

}

struct PresenceWatcher::Private {
    Private(asio::io_context& context, const PlatformOptions& options, OnPresence handler, NeedsLeaseCheck leaseCheckFilter)
        : client(context, options)
        , delay(context)
        , leaseDelay(context)
        , backoff(options.minRetryDelay, options.maxRetryDelay)
        , watchPause(options.minRetryDelay)
        , onPresence(std::move(handler))
        , needsLeaseCheck(std::move(leaseCheckFilter))
    {
    }

    void list();
    void watch();
    void watchLater();
    void applyChanges(const ObjectList& list);
    void handleChange(const PlatformObject& object);
    void retry(PlatformError error, void (Private::*step)());
    void checkLeasesLater();
    void checkLeasesSooner();
    void checkLeases();
    void listLeases();
    void readLease(const std::string& name);
    void finishLeaseCheck(std::optional<PlatformError> failure);
    std::vector<std::string> upstreamsToCheck() const;
    void updateLeaseTimes(bool answered);
    void handleLeases(const ObjectList& list);
    Millis leaseCheckInterval() const;
    void report();

    PlatformClient client;
    Delay delay;
    Delay leaseDelay;
    Backoff backoff;
    Millis watchPause = 0;
    OnPresence onPresence;
    NeedsLeaseCheck needsLeaseCheck;
    std::map<std::string, Presence> announced;
    std::map<std::string, LeaseView> leases;
    std::vector<Presence> reported;
    bool hasReported = false;
    ObjectVersion watchedVersion = 0;
    /// Whether the platform responded to the last lease check.
    bool lastCheckAnswered = false;
    bool isChecking = false;
    /// The running lease check: pending individual reads, the lease objects read so far, and the error of a failed read.
    std::size_t pendingReads = 0;
    ObjectList leaseObjects;
    std::optional<PlatformError> readFailure;
    /// The delay before the next lease check, in milliseconds.
    Millis leaseCheckDelay = 0;
    /// The last error of the watch and of the lease checks; each is cleared when its own calls succeed again.
    PlatformError watchError = PlatformError::None;
    PlatformError leaseError = PlatformError::None;
};

void PresenceWatcher::Private::list()
{
    client.list(presenceKind, [this](const std::optional<ObjectList>& list, PlatformError error) {
        if (!list) {
            retry(error, &Private::list);
            return;
        }
        announced.clear();
        applyChanges(*list);
    });
}

void PresenceWatcher::Private::watch()
{
    client.watch(presenceKind, watchedVersion, [this](const std::optional<ObjectList>& list, PlatformError error) {
        if (!list) {
            retry(error, error == PlatformError::Gone ? &Private::list : &Private::watch);
            return;
        }
        applyChanges(*list);
    });
}

void PresenceWatcher::Private::applyChanges(const ObjectList& list)
{
    for (const PlatformObject& object : list.objects)
        handleChange(object);
    watchedVersion = list.version;
    watchError = PlatformError::None;
    backoff.reset();
    watchLater();
    checkLeasesSooner();
    report();
}

// When a rack fails or all daemons are restarted, hundreds of announcements change within a second, and each change would
// complete the watch of every watcher. The pause after each response batches the changes that follow; the first one is still
// reported without delay.
void PresenceWatcher::Private::watchLater()
{
    delay.start(watchPause, [this] { watch(); });
}

void PresenceWatcher::Private::handleChange(const PlatformObject& object)
{
    auto presence = object.value ? parsePresence(*object.value) : std::nullopt;
    if (!presence || presence->upstream != object.name) {
        announced.erase(object.name);
        leases.erase(object.name);
        return;
    }
    const auto known = announced.find(object.name);
    // A new incarnation starts with a full lease; time counted for the previous one does not apply.
    if (known != announced.end() && known->second.token != presence->token)
        leases.erase(object.name);
    announced.insert_or_assign(object.name, std::move(*presence));
}

void PresenceWatcher::Private::retry(PlatformError error, void (Private::*step)())
{
    watchError = error;
    delay.start(backoff.next(), [this, step] { (this->*step)(); });
}

void PresenceWatcher::Private::checkLeasesLater()
{
    leaseCheckDelay = leaseCheckInterval();
    leaseDelay.start(leaseCheckDelay, [this] { checkLeases(); });
}

// When an upstream with a short lease joins just after a check of long leases only, the delay computed from the long leases
// would be too long to detect an early death of its agent in time. The delay is therefore shortened.
void PresenceWatcher::Private::checkLeasesSooner()
{
    if (!isChecking && leaseCheckInterval() < leaseCheckDelay)
        checkLeasesLater();
}

void PresenceWatcher::Private::checkLeases()
{
    const std::vector<std::string> names = upstreamsToCheck();
    std::erase_if(leases, [&names](const auto& lease) { return std::ranges::find(names, lease.first) == names.end(); });
    if (needsLeaseCheck && names.empty()) {
        leaseError = PlatformError::None;
        lastCheckAnswered = false;
        checkLeasesLater();
        report();
        return;
    }
    isChecking = true;
    leaseObjects = {};
    readFailure.reset();
    if (!needsLeaseCheck || names.size() > maxSingleReads) {
        listLeases();
        return;
    }
    pendingReads = names.size();
    for (const std::string& name : names)
        readLease(name);
}

// With thousands of upstreams and hundreds of balancers, listing all leases every few seconds would be by far the largest part
// of a balancer's control traffic. Only a few upstreams are replaced or fail at any time, so their leases are read
// individually; beyond maxSingleReads one list takes fewer calls.
std::vector<std::string> PresenceWatcher::Private::upstreamsToCheck() const
{
    std::vector<std::string> names;
    for (const auto& [name, presence] : announced) {
        if (!needsLeaseCheck || needsLeaseCheck(presence))
            names.push_back(name);
    }
    return names;
}

void PresenceWatcher::Private::listLeases()
{
    client.list(leaseKind, [this](const std::optional<ObjectList>& list, PlatformError error) {
        if (list)
            leaseObjects = *list;
        finishLeaseCheck(list ? std::nullopt : std::optional(error));
    });
}

void PresenceWatcher::Private::readLease(const std::string& name)
{
    client.get(leaseKind, name, [this](const std::optional<PlatformObject>& object, PlatformError error) {
        if (object)
            leaseObjects.objects.push_back(*object);
        else if (error != PlatformError::NotFound)
            readFailure = error;
        if (--pendingReads == 0)
            finishLeaseCheck(readFailure);
    });
}

void PresenceWatcher::Private::finishLeaseCheck(std::optional<PlatformError> failure)
{
    isChecking = false;
    updateLeaseTimes(!failure);
    checkLeasesLater();
    leaseError = failure.value_or(PlatformError::None);
    if (!failure)
        handleLeases(leaseObjects);
}

// After an outage of the platform every lease would appear expired, all upstreams would lapse at once and no flow could be
// placed. The time before a failed check, and from it to the next response, is therefore not counted: agents could not renew.
void PresenceWatcher::Private::updateLeaseTimes(bool answered)
{
    const LeaseOptions options { .maxStep = 2 * leaseCheckInterval() };
    const Millis now = monotonicNow();
    for (auto& [name, lease] : leases)
        addObservedTime(lease, options, answered && lastCheckAnswered, now);
    lastCheckAnswered = answered;
}

// The version of the lease object serves as the counter of renewals, since each renewal is a separate write.
void PresenceWatcher::Private::handleLeases(const ObjectList& list)
{
    std::erase_if(leases, [this](const auto& lease) { return !announced.contains(lease.first); });
    std::map<std::string, ObjectVersion> versions;
    for (const PlatformObject& object : list.objects)
        versions.emplace(object.name, object.version);
    const Millis now = monotonicNow();
    for (const std::string& name : upstreamsToCheck()) {
        const Presence& presence = announced.at(name);
        const auto held = versions.find(name);
        const ObjectVersion version = held == versions.end() ? 0 : held->second;
        const auto known = leases.find(name);
        if (known == leases.end())
            leases.emplace(name, observeLease(presence.lease, version, now));
        else
            recordRenewal(known->second, version, now);
    }
    report();
}

Millis PresenceWatcher::Private::leaseCheckInterval() const
{
    Millis shortest = 2 * maxLeaseCheckInterval;
    for (const auto& [name, presence] : announced)
        shortest = std::min(shortest, presence.lease);
    return std::max(shortest / 2, minLeaseCheckInterval);
}

void PresenceWatcher::Private::report()
{
    std::vector<Presence> current;
    for (const auto& [name, presence] : announced) {
        current.push_back(presence);
        const auto lease = leases.find(name);
        if (lease != leases.end() && isLapsed(lease->second))
            current.back().state = MemberState::Lapsed;
    }
    if (hasReported && current == reported)
        return;
    hasReported = true;
    reported = std::move(current);
    // Must be the last action, and with copies, since the handler may destroy this watcher.
    const OnPresence handler = onPresence;
    const std::vector<Presence> presences = reported;
    handler(presences);
}

PresenceWatcher::PresenceWatcher(asio::io_context& context, const PlatformOptions& options, OnPresence onPresence, NeedsLeaseCheck needsLeaseCheck)
    : m_d(std::make_unique<Private>(context, options, std::move(onPresence), std::move(needsLeaseCheck)))
{
    m_d->list();
    m_d->checkLeases();
}

PresenceWatcher::~PresenceWatcher() = default;

PlatformError PresenceWatcher::lastError() const
{
    return m_d->watchError != PlatformError::None ? m_d->watchError : m_d->leaseError;
}

}
