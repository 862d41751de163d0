#pragma once

#include "platformclient.h"

#include <map>

namespace kingcuptrail {

/// Writes and clears away the immutable objects that manifests name. One operation at a time; lives and dies with its
/// client.
///
/// Failure guarded against: one operator's apply clears away an object that no manifest has named for long, while
/// another's brings the same content back. Its manifest would name an object that is gone, and no daemon could read the
/// configuration. The guard: versions are noted before the manifest is written, objects are removed after it and only
/// in the version noted, and a writer that finds its object there writes it once more, which changes the version. As
/// each manifest is written on the condition of the one read before, a writer that could meet the remover has read the
/// remover's manifest, so that it wrote after the noting.
class ServiceObjects {
public:
    using Done = std::function<void(PlatformError)>;

    explicit ServiceObjects(PlatformClient& client);

    /// Makes sure that each object is there, by name and content. On an error some may be written.
    void write(std::map<std::string, std::string> contents, Done done);

    /// Looks up the versions of objects that are to be removed.
    void noteVersions(std::vector<std::string> names, Done done);

    /// Removes what was noted, but for objects that have changed since. What an error leaves behind takes space alone.
    void removeNoted(Done done);

private:
    void writeNext();
    void writeOver(ObjectVersion version);
    void lookAt(const std::string& name);
    void noteNext();
    void removeNext();
    void finish(PlatformError error);

    PlatformClient& m_client;
    Done m_done;
    std::map<std::string, std::string> m_contents;
    std::vector<std::string> m_toNote;
    std::vector<PlatformObject> m_noted;
};

}
