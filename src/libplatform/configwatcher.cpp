#include "configwatcher.h"

#include "configreader.h"
#include "delay.h"

namespace kingcuptrail {

struct ConfigWatcher::Private {
    Private(asio::io_context& context, const PlatformOptions& options, OnConfig handler, bool stopAfterFirst)
        : client(context, options)
        , reader(client)
        , delay(context)
        , backoff(options.minRetryDelay, options.maxRetryDelay)
        , watchPause(options.minRetryDelay)
        , onConfig(std::move(handler))
        , once(stopAfterFirst)
    {
    }

    void list();
    void watch();
    void watchLater();
    void handleManifests(const ObjectList& list);
    void handleConfig(const Config& config);
    void retry(PlatformError error, void (Private::*step)());

    PlatformClient client;
    ConfigReader reader;
    Delay delay;
    Backoff backoff;
    Millis watchPause = 0;
    OnConfig onConfig;
    bool once = false;
    ObjectVersion watchedVersion = 0;
    ConfigVersion reported = 0;
    PlatformError lastError = PlatformError::None;
};

void ConfigWatcher::Private::list()
{
    client.list(manifestKind, [this](const std::optional<ObjectList>& list, PlatformError error) {
        if (list)
            handleManifests(*list);
        else
            retry(error, &Private::list);
    });
}

// Pauses before the next watch, so that changes in quick succession, or a platform that responds to watches without waiting,
// do not cause back-to-back calls from every daemon. The pause is short compared to the seconds within which a change must be
// in force.
void ConfigWatcher::Private::watchLater()
{
    delay.start(watchPause, [this] { watch(); });
}

void ConfigWatcher::Private::watch()
{
    client.watch(manifestKind, watchedVersion, [this](const std::optional<ObjectList>& list, PlatformError error) {
        if (list)
            handleManifests(*list);
        else
            retry(error, error == PlatformError::Gone ? &Private::list : &Private::watch);
    });
}

// An older configuration can arrive late, from a slow read or from a store that was restored from a backup. A manifest whose
// version is not above the reported one is ignored, so that no daemon reverts to it.
void ConfigWatcher::Private::handleManifests(const ObjectList& list)
{
    watchedVersion = list.version;
    std::optional<Manifest> newest;
    for (const PlatformObject& object : list.objects) {
        if (object.name == manifestName && object.value)
            newest = parseManifest(*object.value);
    }
    if (!newest || newest->version <= reported) {
        lastError = PlatformError::None;
        backoff.reset();
        watchLater();
        return;
    }
    reader.read(std::move(*newest), [this](const std::optional<Config>& config, PlatformError error) {
        if (config)
            handleConfig(*config);
        else
            retry(error, &Private::list);
    });
}

void ConfigWatcher::Private::handleConfig(const Config& config)
{
    lastError = PlatformError::None;
    backoff.reset();
    reported = config.version;
    if (!once)
        watchLater();
    // Must be the last action, since the handler may destroy this watcher.
    const OnConfig handler = onConfig;
    handler(config);
}

void ConfigWatcher::Private::retry(PlatformError error, void (Private::*step)())
{
    lastError = error;
    delay.start(backoff.next(), [this, step] { (this->*step)(); });
}

ConfigWatcher::ConfigWatcher(asio::io_context& context, const PlatformOptions& options, OnConfig onConfig, bool once)
    : m_d(std::make_unique<Private>(context, options, std::move(onConfig), once))
{
    m_d->list();
}

ConfigWatcher::~ConfigWatcher() = default;

PlatformError ConfigWatcher::lastError() const
{
    return m_d->lastError;
}

}
