#include "objectstore.h"

namespace kingcuptrail {

std::optional<PlatformObject> ObjectStore::get(const std::string& kind, const std::string& name) const
{
    const Kind* found = findKind(kind);
    if (!found || !found->objects.contains(name))
        return std::nullopt;
    return found->objects.at(name);
}

ObjectList ObjectStore::list(const std::string& kind) const
{
    ObjectList list { .version = m_version, .objects = {} };
    if (const Kind* found = findKind(kind)) {
        for (const auto& [name, object] : found->objects)
            list.objects.push_back(object);
    }
    return list;
}

StoreResult ObjectStore::put(const std::string& kind, const std::string& name, std::string value, ObjectVersion ifVersion)
{
    Kind& known = m_kinds[kind];
    const auto found = known.objects.find(name);
    const ObjectVersion present = found == known.objects.end() ? 0 : found->second.version;
    if (present != ifVersion)
        return { .error = PlatformError::Conflict, .version = present };
    recordChange(known, name);
    known.objects.insert_or_assign(name, PlatformObject { .name = name, .version = m_version, .value = std::move(value) });
    return { .version = m_version };
}

StoreResult ObjectStore::remove(const std::string& kind, const std::string& name, ObjectVersion ifVersion)
{
    Kind& known = m_kinds[kind];
    const auto found = known.objects.find(name);
    if (found == known.objects.end())
        return { .error = PlatformError::NotFound };
    if (found->second.version != ifVersion)
        return { .error = PlatformError::Conflict, .version = found->second.version };
    recordChange(known, name);
    known.objects.erase(found);
    return { .version = m_version };
}

std::optional<ObjectList> ObjectStore::changesSince(const std::string& kind, ObjectVersion since) const
{
    const Kind* found = findKind(kind);
    if (since > m_version || (found && since < found->lastDiscarded))
        return std::nullopt;
    ObjectList list { .version = m_version, .objects = {} };
    std::set<std::string> seen;
    const std::deque<Change> none;
    const auto& changes = found ? found->changes : none;
    for (auto change = changes.rbegin(); change != changes.rend() && change->version > since; ++change) {
        if (seen.insert(change->name).second)
            list.objects.push_back(get(kind, change->name).value_or(PlatformObject { .name = change->name, .version = change->version, .value = {} }));
    }
    return list;
}

const ObjectStore::Kind* ObjectStore::findKind(const std::string& kind) const
{
    const auto found = m_kinds.find(kind);
    return found == m_kinds.end() ? nullptr : &found->second;
}

void ObjectStore::recordChange(Kind& kind, const std::string& name)
{
    kind.changes.push_back({ .version = ++m_version, .name = name });
    if (kind.changes.size() > m_keptChanges) {
        kind.lastDiscarded = kind.changes.front().version;
        kind.changes.pop_front();
    }
}

}
