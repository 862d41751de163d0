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
        writeOver(0);
}

void ServiceObjects::writeOver(ObjectVersion version)
{
    const auto& [name, content] = *m_contents.begin();
    m_client.put(serviceObjectKind, name, content, version, [this, name = name](const std::optional<ObjectVersion>& written, PlatformError error) {
        if (written) {
            m_contents.erase(name);
            writeNext();
        } else if (error == PlatformError::Conflict) {
            lookAt(name);
        } else {
            finish(error);
        }
    });
}

void ServiceObjects::lookAt(const std::string& name)
{
    m_client.get(serviceObjectKind, name, [this](const std::optional<PlatformObject>& object, PlatformError error) {
        if (object)
            writeOver(object->version);
        else if (error == PlatformError::NotFound)
            writeOver(0);
        else
            finish(error);
    });
}

void ServiceObjects::noteVersions(std::vector<std::string> names, Done done)
{
    m_toNote = std::move(names);
    m_noted.clear();
    m_done = std::move(done);
    noteNext();
}

void ServiceObjects::noteNext()
{
    if (m_toNote.empty()) {
        finish(PlatformError::None);
        return;
    }
    m_client.get(serviceObjectKind, m_toNote.back(), [this](const std::optional<PlatformObject>& object, PlatformError error) {
        if (!object && error != PlatformError::NotFound) {
            finish(error);
            return;
        }
        m_toNote.pop_back();
        if (object)
            m_noted.push_back(*object);
        noteNext();
    });
}

void ServiceObjects::removeNoted(Done done)
{
    m_done = std::move(done);
    removeNext();
}

void ServiceObjects::removeNext()
{
    if (m_noted.empty()) {
        finish(PlatformError::None);
        return;
    }
    const PlatformObject object = std::move(m_noted.back());
    m_noted.pop_back();
    m_client.remove(serviceObjectKind, object.name, object.version, [this](std::optional<ObjectVersion>, PlatformError error) {
        const bool isGoing = error == PlatformError::None || error == PlatformError::Conflict || error == PlatformError::NotFound;
        if (isGoing)
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
