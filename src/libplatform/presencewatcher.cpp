#include "presencewatcher.h"

#include "delay.h"
#include "leaserecord.h"
#include "libdecision/lease.h"

#include <algorithm>
#include <chrono>
#include <map>

namespace kingcuptrail {

namespace {

    /// Bounds of the time between two looks at the leases, in milliseconds: short leases, as in tests, must not make a
    /// busy loop, and long ones must not hide a new upstream with a short lease.
    constexpr Millis minLeaseCheck = 20;
    constexpr Millis maxLeaseCheck = 7500;

    Millis monotonicNow()
    {
        using namespace std::chrono;
        return duration_cast<milliseconds>(steady_clock::now().time_since_epoch()).count();
    }

}

struct PresenceWatcher::Private {
    Private(asio::io_context& context, const PlatformOptions& options, OnPresence handler)
        : client(context, options)
        , delay(context)
        , leaseDelay(context)
        , backoff(options.retryFirst, options.retryMax)
        , watchPause(options.retryFirst)
        , onPresence(std::move(handler))
    {
    }

    void list();
    void watch();
    void watchLater();
    void handleChange(const PlatformObject& object);
    void retry(PlatformError error, void (Private::*step)());
    void checkLeasesLater();
    void checkLeasesSooner();
    void checkLeases();
    void countLeaseTime(bool answered);
    void handleLeases(const ObjectList& list);
    Millis leaseCheckInterval() const;
    void report();

    PlatformClient client;
    Delay delay;
    Delay leaseDelay;
    Backoff backoff;
    Millis watchPause = 0;
    OnPresence onPresence;
    std::map<std::string, Presence> announced;
    std::map<std::string, LeaseView> leases;
    std::vector<Presence> reported;
    bool hasReported = false;
    ObjectVersion seen = 0;
    /// Whether the last look at the leases was answered.
    bool lastLookAnswered = false;
    bool isChecking = false;
    /// The wait for the next look, in milliseconds.
    Millis checkingAfter = 0;
    /// The last trouble of either chain of calls; each is cleared by its own success.
    PlatformError watchReason = PlatformError::None;
    PlatformError leaseReason = PlatformError::None;
};

void PresenceWatcher::Private::list()
{
    client.list(presenceKind, [this](const std::optional<ObjectList>& list, PlatformError error) {
        if (!list) {
            retry(error, &Private::list);
            return;
        }
        announced.clear();
        for (const PlatformObject& object : list->objects)
            handleChange(object);
        seen = list->version;
        watchReason = PlatformError::None;
        backoff.reset();
        watchLater();
        checkLeasesSooner();
        report();
    });
}

void PresenceWatcher::Private::watch()
{
    client.watch(presenceKind, seen, [this](const std::optional<ObjectList>& list, PlatformError error) {
        if (!list) {
            retry(error, error == PlatformError::Gone ? &Private::list : &Private::watch);
            return;
        }
        for (const PlatformObject& object : list->objects)
            handleChange(object);
        seen = list->version;
        watchReason = PlatformError::None;
        backoff.reset();
        watchLater();
        checkLeasesSooner();
        report();
    });
}

// Load: a rack ends, or a fleet is restarted, and hundreds of announcements change within a second. Harm: each change
// would wake every watcher by itself. Limit: a pause after each answer, in which changes gather for the next one; the
// first change is still seen at once.
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
    // A new incarnation has a whole lease ahead of it, whatever the one before left.
    if (known != announced.end() && known->second.token != presence->token)
        leases.erase(object.name);
    announced.insert_or_assign(object.name, std::move(*presence));
}

void PresenceWatcher::Private::retry(PlatformError error, void (Private::*step)())
{
    watchReason = error;
    delay.start(backoff.next(), [this, step] { (this->*step)(); });
}

void PresenceWatcher::Private::checkLeasesLater()
{
    checkingAfter = leaseCheckInterval();
    leaseDelay.start(checkingAfter, [this] { checkLeases(); });
}

// Failure: an upstream with a short lease joins just after a look that found only long ones, and if its agent dies at
// once nobody notices for as long as those take. The wait is cut short.
void PresenceWatcher::Private::checkLeasesSooner()
{
    if (!isChecking && leaseCheckInterval() < checkingAfter)
        checkLeasesLater();
}

void PresenceWatcher::Private::checkLeases()
{
    isChecking = true;
    client.list(leaseKind, [this](const std::optional<ObjectList>& list, PlatformError error) {
        isChecking = false;
        countLeaseTime(list.has_value());
        checkLeasesLater();
        leaseReason = error;
        if (list)
            handleLeases(*list);
    });
}

// Failure: after an outage every lease looks old, all upstreams lapse at once and no flow can be placed. The time up to
// a failed look is not counted, and neither is the time from it to the next answer, in which holders could not renew.
void PresenceWatcher::Private::countLeaseTime(bool answered)
{
    const LeaseOptions options { .longestStep = 2 * leaseCheckInterval() };
    const Millis now = monotonicNow();
    for (auto& [name, lease] : leases)
        watchTime(lease, options, answered && lastLookAnswered, now);
    lastLookAnswered = answered;
}

// The version of the lease object stands for the counter of renewals: each renewal is a write of its own.
void PresenceWatcher::Private::handleLeases(const ObjectList& list)
{
    std::erase_if(leases, [this](const auto& lease) { return !announced.contains(lease.first); });
    std::map<std::string, ObjectVersion> versions;
    for (const PlatformObject& object : list.objects)
        versions.emplace(object.name, object.version);
    const Millis now = monotonicNow();
    for (const auto& [name, presence] : announced) {
        const auto found = versions.find(name);
        const ObjectVersion version = found == versions.end() ? 0 : found->second;
        const auto known = leases.find(name);
        if (known == leases.end())
            leases.emplace(name, watchLease(presence.lease, version, now));
        else
            noteRenewal(known->second, version, now);
    }
    report();
}

Millis PresenceWatcher::Private::leaseCheckInterval() const
{
    Millis shortest = 2 * maxLeaseCheck;
    for (const auto& [name, presence] : announced)
        shortest = std::min(shortest, presence.lease);
    return std::max(shortest / 2, minLeaseCheck);
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
    // Last, and with copies, since the handler may destroy this watcher.
    const OnPresence handler = onPresence;
    const std::vector<Presence> presences = reported;
    handler(presences);
}

PresenceWatcher::PresenceWatcher(asio::io_context& context, const PlatformOptions& options, OnPresence onPresence)
    : m_d(std::make_unique<Private>(context, options, std::move(onPresence)))
{
    m_d->list();
    m_d->checkLeases();
}

PresenceWatcher::~PresenceWatcher() = default;

PlatformError PresenceWatcher::lastReason() const
{
    return m_d->watchReason != PlatformError::None ? m_d->watchReason : m_d->leaseReason;
}

}
