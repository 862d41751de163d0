#include "announcer.h"

#include "delay.h"
#include "jsontext.h"
#include "leaserecord.h"
#include "randomid.h"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace kingcuptrail {

namespace {

    using nlohmann::json;

    /// Renewals in each lease duration. With three, the lease survives two lost renewals.
    constexpr Millis renewalsPerLease = 3;

    /// A presence object and the id of the process that wrote it, which other readers ignore.
    struct PresenceRecord {
        Presence presence;
        std::string announceId;
    };

    std::string toJson(const PresenceRecord& record)
    {
        json document = json::parse(toJson(record.presence));
        document["announceId"] = record.announceId;
        return document.dump();
    }

    std::optional<PresenceRecord> parseRecord(const std::optional<std::string>& text)
    {
        auto presence = text ? parsePresence(*text) : std::nullopt;
        if (!presence)
            return std::nullopt;
        const json document = parseJson(*text);
        return PresenceRecord { .presence = std::move(*presence), .announceId = document.value("announceId", std::string()) };
    }

}

/// Makes one platform call at a time: step() starts the next call that the known state requires. A failed write
/// resets the known versions, so that the next steps read the objects before they write again; this also resolves writes
/// whose response was lost.
struct Announcer::Private {
    Private(asio::io_context& ioContext, const PlatformOptions& platformOptions, Presence wantedPresence, Handlers announcerHandlers)
        : client(ioContext, platformOptions)
        , delay(ioContext)
        , limit(ioContext)
        , backoff(platformOptions.minRetryDelay, std::clamp<Millis>(wantedPresence.lease / 6, 1, platformOptions.maxRetryDelay))
        , wanted(std::move(wantedPresence))
        , handlers(std::move(announcerHandlers))
        , announceId(makeRandomId())
    {
        wanted.token.incarnation = 0;
    }

    void step();
    void stepSoon()
    {
        delay.start(0, [this] { step(); });
    }
    void readLease();
    void handleLease(const LeaseRecord& lease, ObjectVersion version);
    void readPresence();
    void handlePresence(const std::optional<PresenceRecord>& record, ObjectVersion version);
    void writePresence();
    void writeLease();
    void removePresence();
    void renewLater();
    void retry(PlatformError error);
    void handleSuccess();
    void fence(const OwnerToken& newer);
    void finishWithdrawal();

    bool isOwnLease(const LeaseRecord& lease) const { return lease.announceId == announceId; }

    PlatformClient client;
    Delay delay;
    Delay limit;
    Backoff backoff;
    Presence wanted;
    Handlers handlers;
    std::string announceId;
    std::function<void()> onWithdrawn;

    /// Versions of the two objects as last read or written; unset when the object must be read before the next write.
    std::optional<ObjectVersion> presenceVersion;
    std::optional<ObjectVersion> leaseVersion;
    /// The content of the presence object, if this process wrote it.
    std::optional<Presence> written;
    /// The highest incarnation that any process has allocated, as far as read.
    Incarnation highest = 0;
    std::uint64_t renewals = 0;
    Millis renewalsSinceCheck = 0;
    bool hasLease = false;
    bool isRenewalDue = false;
    /// Whether the only pending action is the next renewal.
    bool isIdle = false;
    bool isWithdrawing = false;
    bool isStopped = false;
    PlatformError lastError = PlatformError::None;
};

void Announcer::Private::step()
{
    isIdle = false;
    if (isStopped)
        return;
    if (!leaseVersion)
        readLease();
    else if (!presenceVersion)
        readPresence();
    else if (isWithdrawing && !written)
        finishWithdrawal();
    else if (isWithdrawing && hasLease)
        removePresence();
    else if (!written || (!isWithdrawing && written->state != wanted.state))
        writePresence();
    else if (!hasLease || isRenewalDue)
        writeLease();
    else
        renewLater();
}

void Announcer::Private::readLease()
{
    client.get(leaseKind, wanted.upstream, [this](const std::optional<PlatformObject>& object, PlatformError error) {
        if (!object && error != PlatformError::NotFound) {
            retry(error);
            return;
        }
        const auto lease = object && object->value ? parseLease(*object->value) : std::nullopt;
        handleLease(lease.value_or(LeaseRecord {}), object ? object->version : 0);
    });
}

void Announcer::Private::handleLease(const LeaseRecord& lease, ObjectVersion version)
{
    leaseVersion = version;
    highest = std::max(highest, lease.incarnation);
    hasLease = isOwnLease(lease) && lease.incarnation == wanted.token.incarnation;
    // A larger incarnation in the lease means that this process was paused for longer than its lease and another process
    // has announced the upstream since. Continuing would give the upstream two owners.
    if (wanted.token.incarnation != 0 && lease.incarnation > wanted.token.incarnation)
        fence({ wanted.token.upstream, lease.incarnation });
    else
        step();
}

void Announcer::Private::readPresence()
{
    client.get(presenceKind, wanted.upstream, [this](const std::optional<PlatformObject>& object, PlatformError error) {
        if (!object && error != PlatformError::NotFound) {
            retry(error);
            return;
        }
        handlePresence(object ? parseRecord(object->value) : std::nullopt, object ? object->version : 0);
    });
}

void Announcer::Private::handlePresence(const std::optional<PresenceRecord>& record, ObjectVersion version)
{
    presenceVersion = version;
    renewalsSinceCheck = 0;
    const bool isOurs = record && record->announceId == announceId;
    if (record)
        highest = std::max(highest, record->presence.token.incarnation);
    if (record && !isOurs && wanted.token.incarnation != 0 && record->presence.token.incarnation >= wanted.token.incarnation) {
        fence(record->presence.token);
        return;
    }
    const bool isNew = isOurs && wanted.token.incarnation == 0;
    if (isOurs) {
        wanted.token.incarnation = record->presence.token.incarnation;
        written = record->presence;
    } else {
        written.reset();
    }
    stepSoon();
    if (isNew && handlers.onAnnounced)
        handlers.onAnnounced(*written);
}

// Allocates the incarnation: one above the highest that was read, written on the condition that the object has not changed
// since. Of two processes that read the same version, one fails the condition and reads again. Once allocated, the
// incarnation is kept: a deleted announcement is written again unchanged, since flows refer to its token.
void Announcer::Private::writePresence()
{
    const bool isFirst = wanted.token.incarnation == 0;
    PresenceRecord record { .presence = wanted, .announceId = announceId };
    if (isFirst)
        record.presence.token.incarnation = highest + 1;
    const std::string value = toJson(record);
    client.put(presenceKind, wanted.upstream, value, *presenceVersion, [this, isFirst, presence = record.presence](const std::optional<ObjectVersion>& version, PlatformError error) {
        if (!version) {
            presenceVersion.reset();
            leaseVersion.reset();
            retry(error);
            return;
        }
        presenceVersion = version;
        wanted.token = presence.token;
        written = presence;
        handleSuccess();
        if (isFirst && handlers.onAnnounced)
            handlers.onAnnounced(presence);
    });
}

void Announcer::Private::writeLease()
{
    const LeaseRecord lease { .incarnation = wanted.token.incarnation, .renewals = renewals, .announceId = announceId };
    client.put(leaseKind, wanted.upstream, toJson(lease), *leaseVersion, [this](const std::optional<ObjectVersion>& version, PlatformError error) {
        if (!version) {
            leaseVersion.reset();
            presenceVersion.reset();
            retry(error);
            return;
        }
        leaseVersion = version;
        hasLease = true;
        isRenewalDue = false;
        ++renewals;
        // Once per lease duration the presence object is read as well, to detect that it was deleted.
        if (++renewalsSinceCheck >= renewalsPerLease)
            presenceVersion.reset();
        handleSuccess();
    });
}

void Announcer::Private::removePresence()
{
    client.remove(presenceKind, wanted.upstream, *presenceVersion, [this](const std::optional<ObjectVersion>& version, PlatformError error) {
        if (version || error == PlatformError::NotFound) {
            finishWithdrawal();
            return;
        }
        presenceVersion.reset();
        retry(error);
    });
}

void Announcer::Private::renewLater()
{
    isIdle = true;
    delay.start(std::max<Millis>(wanted.lease / renewalsPerLease, 1), [this] {
        isRenewalDue = true;
        step();
    });
}

void Announcer::Private::retry(PlatformError error)
{
    lastError = error;
    delay.start(backoff.next(), [this] { step(); });
}

void Announcer::Private::handleSuccess()
{
    lastError = PlatformError::None;
    backoff.reset();
    stepSoon();
}

void Announcer::Private::fence(const OwnerToken& newer)
{
    if (isWithdrawing) {
        finishWithdrawal();
        return;
    }
    isStopped = true;
    delay.cancel();
    if (handlers.onFenced)
        handlers.onFenced(newer);
}

void Announcer::Private::finishWithdrawal()
{
    isStopped = true;
    delay.cancel();
    limit.cancel();
    client.cancelAll();
    const auto done = std::move(onWithdrawn);
    onWithdrawn = nullptr;
    if (done)
        done();
}

Announcer::Announcer(asio::io_context& context, const PlatformOptions& options, Presence wanted, Handlers handlers)
    : m_d(std::make_unique<Private>(context, options, std::move(wanted), std::move(handlers)))
{
    m_d->step();
}

Announcer::~Announcer() = default;

void Announcer::setState(MemberState state)
{
    m_d->wanted.state = state;
    // A pending call runs the next step itself; only the wait for the next renewal has to be cut short.
    if (m_d->isIdle && m_d->written && m_d->written->state != state)
        m_d->stepSoon();
}

void Announcer::withdraw(Millis limit, std::function<void()> done)
{
    m_d->onWithdrawn = std::move(done);
    if (m_d->isStopped) {
        m_d->delay.start(0, [this] { m_d->finishWithdrawal(); });
        return;
    }
    m_d->isWithdrawing = true;
    m_d->limit.start(limit, [this] { m_d->finishWithdrawal(); });
    // A cancelled write may still take effect, so both objects are read again first.
    m_d->client.cancelAll();
    m_d->presenceVersion.reset();
    m_d->leaseVersion.reset();
    m_d->stepSoon();
}

PlatformError Announcer::lastError() const
{
    return m_d->lastError;
}

}
