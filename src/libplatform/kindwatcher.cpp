#include "kindwatcher.h"

namespace kingcuptrail {

KindWatcher::KindWatcher(asio::io_context& context, const PlatformOptions& options, std::string kind, Handlers handlers, Millis pollInterval)
    : m_kind(std::move(kind))
    , m_handlers(std::move(handlers))
    , m_client(context, options)
    , m_delay(context)
    , m_backoff(options.minRetryDelay, options.maxRetryDelay)
    , m_pollInterval(pollInterval)
{
    m_delay.start(0, [this] { list(); });
}

void KindWatcher::restart()
{
    m_client.cancelAll();
    m_since.reset();
    m_delay.start(0, [this] { list(); });
}

void KindWatcher::list()
{
    const bool mayBeStale = m_pollInterval > 0 && m_since;
    const auto handleList = [this](const std::optional<ObjectList>& listed, PlatformError reason) {
        if (!listed) {
            retry(reason);
            return;
        }
        m_since = listed->version;
        m_lastError = PlatformError::None;
        m_backoff.reset();
        m_handlers.onList(*listed);
        if (m_pollInterval > 0)
            m_delay.start(m_pollInterval, [this] { list(); });
        else
            watch();
    };
    m_client.list(m_kind, handleList, mayBeStale ? ReadFreshness::MayBeStale : ReadFreshness::Current);
}

void KindWatcher::watch()
{
    m_client.watch(m_kind, *m_since, [this](const std::optional<ObjectList>& changes, PlatformError reason) {
        if (!changes) {
            // All objects are listed again when the store no longer has the history since that version, and when its answer cannot be
            // read: the same watch would get the same answer again.
            if (reason == PlatformError::Gone || reason == PlatformError::BadAnswer)
                m_since.reset();
            retry(reason);
            return;
        }
        m_lastError = PlatformError::None;
        m_backoff.reset();
        m_since = std::max(*m_since, changes->version);
        m_handlers.onChanges(*changes);
        watch();
    });
}

void KindWatcher::retry(PlatformError reason)
{
    m_lastError = reason;
    if (m_handlers.onError)
        m_handlers.onError(reason);
    m_delay.start(m_backoff.next(), [this] {
        if (m_since && m_pollInterval == 0)
            watch();
        else
            list();
    });
}

}
