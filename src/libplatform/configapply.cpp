#include "configapply.h"

#include "configreader.h"
#include "delay.h"
#include "manifest.h"
#include "randomid.h"
#include "serviceobjects.h"

#include <algorithm>
#include <set>

namespace kingcuptrail {

namespace {

    /// How often a fetch reads the manifest before it gives up because service objects that it names were removed meanwhile.
    constexpr unsigned maxFetchRounds = 5;

    std::vector<DataCentreConfig> withState(std::vector<DataCentreConfig> dataCentres, const std::string& name, bool out)
    {
        for (DataCentreConfig& dataCentre : dataCentres) {
            if (dataCentre.name == name)
                dataCentre.out = out;
        }
        return dataCentres;
    }

}

/// The steps of a change: read the manifest, compute the next one, write the missing service objects, write the manifest.
/// After a failure that leaves the outcome unknown it starts again with reading the manifest.
struct ConfigApply::Private {
    Private(asio::io_context& context, const PlatformOptions& options, ApplyOptions changeOptions)
        : client(context, options)
        , objects(client)
        , delay(context)
        , limit(context)
        , backoff(options.minRetryDelay, options.maxRetryDelay)
        , applyOptions(std::move(changeOptions))
    {
        if (applyOptions.applyId.empty())
            applyOptions.applyId = makeRandomId();
    }

    void start(Handler onDone);
    void readManifest();
    void handleManifest(const PlatformObject& object);
    /// The manifest to write next; nothing when the change has finished without a write.
    std::optional<Manifest> makeNextManifest(const Manifest& current);
    std::optional<Manifest> makeManifestForConfig(const Manifest& current);
    std::optional<Manifest> makeManifestForState(const Manifest& current);
    void writeServices();
    void recordRemovableVersions();
    void writeManifest();
    void handleAccepted(ConfigVersion version);
    void handlePlatformError(PlatformError error);
    void handleLimit();
    void finish(ApplyError error, ConfigVersion version, bool changed = false);

    PlatformClient client;
    ServiceObjects objects;
    Delay delay;
    Delay limit;
    Backoff backoff;
    ApplyOptions applyOptions;
    Handler handler;

    /// The requested change: a whole configuration, or, if that is unset, the state of one data centre.
    std::optional<Config> wanted;
    std::string dataCentre;
    bool out = false;

    /// Version of the manifest object that this change is based on: the first one read.
    std::optional<ObjectVersion> baseManifestVersion;
    Manifest next;
    ObjectVersion currentManifestVersion = 0;
    std::map<std::string, std::string> servicesToWrite;
    /// Set once the manifest is written and only the removal of old service objects remains.
    std::optional<ConfigVersion> accepted;
    /// Whether a write of the manifest got no response and may have taken effect.
    bool isOutcomeUnknown = false;
    PlatformError platformError = PlatformError::None;
};

void ConfigApply::Private::start(Handler onDone)
{
    handler = std::move(onDone);
    limit.start(applyOptions.limit, [this] { handleLimit(); });
    readManifest();
}

void ConfigApply::Private::readManifest()
{
    client.get(manifestKind, manifestName, [this](const std::optional<PlatformObject>& object, PlatformError error) {
        if (object)
            handleManifest(*object);
        else if (error == PlatformError::NotFound)
            handleManifest({ .name = manifestName, .version = 0, .value = toJson(Manifest {}) });
        else
            handlePlatformError(error);
    });
}

// If the response to the write of the manifest is lost after it took effect, a second write would fail as a conflict with the
// first. This change's id among the manifest's recent applies shows that it was accepted, even if others were accepted since.
void ConfigApply::Private::handleManifest(const PlatformObject& object)
{
    const auto current = object.value ? parseManifest(*object.value) : std::nullopt;
    if (!current) {
        finish(ApplyError::BadManifest, 0);
        return;
    }
    if (const auto version = current->versionOf(applyOptions.applyId)) {
        handleAccepted(*version);
        return;
    }
    if (!baseManifestVersion)
        baseManifestVersion = object.version;
    currentManifestVersion = object.version;
    auto candidate = makeNextManifest(*current);
    if (!candidate)
        return;
    next = std::move(*candidate);
    writeServices();
}

std::optional<Manifest> ConfigApply::Private::makeNextManifest(const Manifest& current)
{
    auto candidate = wanted ? makeManifestForConfig(current) : makeManifestForState(current);
    if (!candidate)
        return std::nullopt;
    if (candidate->services == current.services && candidate->dataCentres == current.dataCentres && current.version > 0) {
        finish(ApplyError::None, current.version);
        return std::nullopt;
    }
    if (areAllDataCentresOut(candidate->dataCentres)) {
        finish(ApplyError::AllOut, current.version);
        return std::nullopt;
    }
    return candidate;
}

std::optional<Manifest> ConfigApply::Private::makeManifestForConfig(const Manifest& current)
{
    if (currentManifestVersion != baseManifestVersion) {
        finish(ApplyError::Conflict, current.version);
        return std::nullopt;
    }
    const Config config = normalised(withInheritedStates(*wanted, current.dataCentres));
    const std::set<ManifestService, decltype([](const ManifestService& a, const ManifestService& b) { return a.object < b.object; })> known(current.services.begin(), current.services.end());
    Manifest candidate = nextManifest(current, config, applyOptions.applyId);
    servicesToWrite.clear();
    for (std::size_t index = 0; index < candidate.services.size(); ++index) {
        if (!known.contains(candidate.services[index]))
            servicesToWrite.emplace(candidate.services[index].object, toJson(config.services[index]));
    }
    return candidate;
}

// Sets the state in the manifest as last read, so that a concurrent change by another operator is kept. If that change set
// the same state, makeNextManifest() finds nothing to write.
std::optional<Manifest> ConfigApply::Private::makeManifestForState(const Manifest& current)
{
    if (current.version == 0) {
        finish(ApplyError::NoConfig, 0);
        return std::nullopt;
    }
    if (!current.findDataCentre(dataCentre)) {
        finish(ApplyError::UnknownDataCentre, current.version);
        return std::nullopt;
    }
    return nextManifest(current, current.services, withState(current.dataCentres, dataCentre, out), applyOptions.applyId);
}

void ConfigApply::Private::writeServices()
{
    objects.write(std::move(servicesToWrite), [this](PlatformError error) {
        if (error == PlatformError::None)
            recordRemovableVersions();
        else
            handlePlatformError(error);
    });
}

/// A change of one data centre's state is urgent and therefore removes no old objects.
void ConfigApply::Private::recordRemovableVersions()
{
    auto removable = wanted ? extractRemovableObjects(next) : std::vector<std::string> {};
    objects.recordVersions(std::move(removable), [this](PlatformError error) {
        if (error == PlatformError::None)
            writeManifest();
        else
            handlePlatformError(error);
    });
}

void ConfigApply::Private::writeManifest()
{
    client.put(manifestKind, manifestName, toJson(next), currentManifestVersion, [this](const std::optional<ObjectVersion>& version, PlatformError error) {
        if (version) {
            handleAccepted(next.version);
            return;
        }
        if (error == PlatformError::NoAnswer)
            isOutcomeUnknown = true;
        if (error == PlatformError::Conflict)
            readManifest();
        else
            handlePlatformError(error);
    });
}

void ConfigApply::Private::handleAccepted(ConfigVersion version)
{
    accepted = version;
    objects.removeRecorded([this](PlatformError) { finish(ApplyError::None, *accepted, true); });
}

void ConfigApply::Private::handlePlatformError(PlatformError error)
{
    platformError = error;
    if (error == PlatformError::Refused) {
        finish(ApplyError::Refused, 0);
        return;
    }
    delay.start(backoff.next(), [this] { readManifest(); });
}

void ConfigApply::Private::handleLimit()
{
    if (accepted)
        finish(ApplyError::None, *accepted, true);
    else
        finish(isOutcomeUnknown ? ApplyError::OutcomeUnknown : ApplyError::PlatformUnreachable, 0);
}

void ConfigApply::Private::finish(ApplyError error, ConfigVersion version, bool changed)
{
    delay.cancel();
    limit.cancel();
    client.cancelAll();
    const Handler done = std::move(handler);
    handler = nullptr;
    if (done)
        done({ .error = error, .platformError = platformError, .version = version, .changed = changed });
}

ConfigApply::ConfigApply(asio::io_context& context, const PlatformOptions& options, ApplyOptions applyOptions)
    : m_d(std::make_unique<Private>(context, options, std::move(applyOptions)))
{
}

ConfigApply::~ConfigApply() = default;

void ConfigApply::apply(Config wanted, Handler handler)
{
    m_d->wanted = std::move(wanted);
    m_d->start(std::move(handler));
}

void ConfigApply::setDataCentreOut(std::string dataCentre, bool out, Handler handler)
{
    m_d->dataCentre = std::move(dataCentre);
    m_d->out = out;
    m_d->start(std::move(handler));
}

struct ConfigFetch::Private {
    Private(asio::io_context& context, const PlatformOptions& options, Handler onDone)
        : client(context, options)
        , reader(client)
        , handler(std::move(onDone))
    {
    }

    void fetch();
    void handleManifest(const PlatformObject& object);
    void finish(std::optional<Config> config, PlatformError error);

    PlatformClient client;
    ConfigReader reader;
    Handler handler;
    unsigned rounds = 0;
};

void ConfigFetch::Private::fetch()
{
    ++rounds;
    client.get(manifestKind, manifestName, [this](const std::optional<PlatformObject>& object, PlatformError error) {
        if (object)
            handleManifest(*object);
        else
            finish(std::nullopt, error);
    });
}

void ConfigFetch::Private::handleManifest(const PlatformObject& object)
{
    auto manifest = object.value ? parseManifest(*object.value) : std::nullopt;
    if (!manifest) {
        finish(std::nullopt, PlatformError::BadAnswer);
        return;
    }
    reader.read(std::move(*manifest), [this](std::optional<Config> config, PlatformError error) {
        if (!config && error == PlatformError::NotFound && rounds < maxFetchRounds)
            fetch();
        else
            finish(std::move(config), error == PlatformError::NotFound ? PlatformError::BadAnswer : error);
    });
}

void ConfigFetch::Private::finish(std::optional<Config> config, PlatformError error)
{
    const Handler done = std::move(handler);
    done(std::move(config), error);
}

ConfigFetch::ConfigFetch(asio::io_context& context, const PlatformOptions& options, Handler handler)
    : m_d(std::make_unique<Private>(context, options, std::move(handler)))
{
    m_d->fetch();
}

ConfigFetch::~ConfigFetch() = default;

}
