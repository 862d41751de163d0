#pragma once

#include "platformclient.h"

#include <map>

namespace kingcuptrail {

/// Writes and removes the immutable objects that manifests reference. One operation at a time. The client must outlive it.
///
/// An object that the accepted manifest references must never be removed, even if one apply removes an object that no
/// manifest has referenced for long while another apply writes the same content again. To guarantee this, an apply records the
/// versions of the objects to remove before it writes its manifest, and afterwards removes each only in the recorded version; an
/// apply that finds its object already there writes it once more, which changes the version. Each manifest is written on the
/// condition that the one read before is still current, so an apply that references the object again must have read the
/// manifest of the removing one, and wrote the object after the versions were recorded.
class ServiceObjects {
public:
    using Done = std::function<void(PlatformError)>;

    explicit ServiceObjects(PlatformClient& client);

    /// Writes each object, given by name and content. After an error some of them may have been written.
    void write(std::map<std::string, std::string> contents, Done done);

    /// Reads and records the versions of the objects to be removed.
    void recordVersions(std::vector<std::string> names, Done done);

    /// Removes the recorded objects, except those that have changed since. Objects left over after an error only take up space.
    void removeRecorded(Done done);

private:
    void writeNext();
    void putNext(ObjectVersion version);
    void overwriteExisting(const std::string& name);
    void recordNext();
    void removeNext();
    void finish(PlatformError error);

    PlatformClient& m_client;
    Done m_done;
    std::map<std::string, std::string> m_contents;
    std::vector<std::string> m_namesToRecord;
    std::vector<PlatformObject> m_recorded;
};

}
