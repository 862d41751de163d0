#pragma once

#include "libplatform/platformclient.h"

#include <deque>
#include <map>
#include <set>

namespace kingcuptrail {

/// The result of a conditional write.
struct StoreResult {
    PlatformError error = PlatformError::None;
    /// The object's version after the write or, after a conflict, its present version; 0 when there is no object.
    ObjectVersion version = 0;
};

/// Objects by kind and name. One version number counts all changes, and the last changes of each kind are kept for watches.
class ObjectStore {
public:
    /// `keptChanges`: number of changes of a kind that are kept, and so how far a watch may be behind.
    explicit ObjectStore(std::size_t keptChanges = 10000)
        : m_keptChanges(keptChanges)
    {
    }

    std::optional<PlatformObject> get(const std::string& kind, const std::string& name) const;
    ObjectList list(const std::string& kind) const;
    StoreResult put(const std::string& kind, const std::string& name, std::string value, ObjectVersion ifVersion);
    StoreResult remove(const std::string& kind, const std::string& name, ObjectVersion ifVersion);

    /// The present state of the objects that changed after `since`; nothing when these changes are no longer kept.
    std::optional<ObjectList> changesSince(const std::string& kind, ObjectVersion since) const;

    ObjectVersion version() const { return m_version; }

private:
    struct Change {
        ObjectVersion version = 0;
        std::string name;
    };

    struct Kind {
        std::map<std::string, PlatformObject> objects;
        std::deque<Change> changes;
        /// Version of the last change that was discarded.
        ObjectVersion lastDiscarded = 0;
    };

    const Kind* findKind(const std::string& kind) const;
    void recordChange(Kind& kind, const std::string& name);

    std::size_t m_keptChanges;
    std::map<std::string, Kind> m_kinds;
    ObjectVersion m_version = 0;
};

}
