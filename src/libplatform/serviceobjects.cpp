#include "serviceobjects.h"

#include "manifest.h"

namespace kingcuptrail {

ServiceObjects::ServiceObjects(PlatformClient& client)
    : m_client(client)
{
}

void ServiceObjects::write(std::map<std::string, std::string> contents, Done done)
{
    m_contents = std::move(contents);
    m_done = std::move(done);
    writeNext();
}

// Only one write is pending at a time, so that the platform's latency limits the rate. A first apply with thousands of
// services would otherwise use up the platform's capacity of several hundred writes per second, which lease renewals need.
void ServiceObjects::writeNext()
{
    if (m_contents.empty())
        finish(PlatformError::None);
    else
        putNext(0);
}

void ServiceObjects::putNext(ObjectVersion version)
{
    const auto& [name, content] = *m_contents.begin();
    m_client.put(serviceObjectKind, name, content, version, [this, name = name](const std::optional<ObjectVersion>& written, PlatformError error) {
        if (written) {
            m_contents.erase(name);
            writeNext();
        } else if (error == PlatformError::Conflict) {
            overwriteExisting(name);
        } else {
            finish(error);
        }
    });
}

void ServiceObjects::overwriteExisting(const std::string& name)
{
    m_client.get(serviceObjectKind, name, [this](const std::optional<PlatformObject>& object, PlatformError error) {
        if (object)
            putNext(object->version);
        else if (error == PlatformError::NotFound)
            putNext(0);
        else
            finish(error);
    });
}

void ServiceObjects::recordVersions(std::vector<std::string> names, Done done)
{
    m_namesToRecord = std::move(names);
    m_recorded.clear();
    m_done = std::move(done);
    recordNext();
}

void ServiceObjects::recordNext()
{
    if (m_namesToRecord.empty()) {
        finish(PlatformError::None);
        return;
    }
    m_client.get(serviceObjectKind, m_namesToRecord.back(), [this](const std::optional<PlatformObject>& object, PlatformError error) {
        if (!object && error != PlatformError::NotFound) {
            finish(error);
            return;
        }
        m_namesToRecord.pop_back();
        if (object)
            m_recorded.push_back(*object);
        recordNext();
    });
}

void ServiceObjects::removeRecorded(Done done)
{
    m_done = std::move(done);
    removeNext();
}

void ServiceObjects::removeNext()
{
    if (m_recorded.empty()) {
        finish(PlatformError::None);
        return;
    }
    const PlatformObject object = std::move(m_recorded.back());
    m_recorded.pop_back();
    m_client.remove(serviceObjectKind, object.name, object.version, [this](std::optional<ObjectVersion>, PlatformError error) {
        const bool canContinue = error == PlatformError::None || error == PlatformError::Conflict || error == PlatformError::NotFound;
        if (canContinue)
            removeNext();
        else
            finish(error);
    });
}

void ServiceObjects::finish(PlatformError error)
{
    const Done done = std::move(m_done);
    m_done = nullptr;
    done(error);
}

}
