#pragma once

#include <cstddef>
#include <iterator>
#include <list>
#include <unordered_map>
#include <utility>

namespace kingcuptrail {

/// A hash map that keeps its entries in the order in which they were last stored, oldest first, and removes the oldest entry
/// when it is full.
template <typename Key, typename Value>
class BoundedTable {
public:
    explicit BoundedTable(std::size_t maxEntries)
        : m_maxEntries(maxEntries)
    {
    }
    BoundedTable(const BoundedTable&) = delete;
    BoundedTable& operator=(const BoundedTable&) = delete;

    /// Stores an entry as the newest one, in place of an entry with the same key. Returns whether the oldest entry had to be
    /// removed for it.
    bool store(const Key& key, Value value)
    {
        if (const auto known = m_positions.find(key); known != m_positions.end()) {
            known->second->second = std::move(value);
            m_entries.splice(m_entries.end(), m_entries, known->second);
            return false;
        }
        m_entries.emplace_back(key, std::move(value));
        m_positions.emplace(key, std::prev(m_entries.end()));
        const bool isFull = m_entries.size() > m_maxEntries;
        if (isFull) {
            m_positions.erase(m_entries.front().first);
            m_entries.pop_front();
        }
        return isFull;
    }

    /// The value of a key, or null.
    const Value* find(const Key& key) const
    {
        const auto found = m_positions.find(key);
        return found != m_positions.end() ? &found->second->second : nullptr;
    }

    Value* find(const Key& key)
    {
        const auto found = m_positions.find(key);
        return found != m_positions.end() ? &found->second->second : nullptr;
    }

    /// Removes the entries whose value fulfils `predicate`.
    template <typename Predicate>
    void removeIf(Predicate predicate)
    {
        for (auto entry = m_entries.begin(); entry != m_entries.end();) {
            if (!predicate(entry->second)) {
                ++entry;
                continue;
            }
            m_positions.erase(entry->first);
            entry = m_entries.erase(entry);
        }
    }

    const std::list<std::pair<Key, Value>>& entries() const { return m_entries; }
    std::size_t size() const { return m_entries.size(); }

private:
    std::size_t m_maxEntries;
    std::list<std::pair<Key, Value>> m_entries;
    std::unordered_map<Key, typename std::list<std::pair<Key, Value>>::iterator> m_positions;
};

}
