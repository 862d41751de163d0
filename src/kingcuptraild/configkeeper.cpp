#include "configkeeper.h"

#include "libdecision/configorder.h"
#include "libruntime/events.h"

namespace kingcuptrail {

void ConfigKeeper::addListener(Listener listener)
{
    m_listeners.push_back(std::move(listener));
}

bool ConfigKeeper::offer(Config config)
{
    if (!supersedes(m_current.version, config.version)) {
        if (config.version < m_current.version) {
            ++m_olderIgnored;
            logEvent(Event::ConfigOlderIgnored, { { "held", m_current.version }, { "offered", config.version } });
        }
        return false;
    }
    const Config previous = std::move(m_current);
    m_current = std::move(config);
    m_document = toJson(m_current);
    logEvent(Event::ConfigInForce, { { "version", m_current.version }, { "previous", previous.version } });
    for (const Listener& listener : m_listeners)
        listener(m_current, previous);
    return true;
}

bool ConfigKeeper::offerDocument(std::string_view document)
{
    std::vector<Fault> faults;
    auto config = parseConfig(document, faults);
    return config && offer(std::move(*config));
}

}
