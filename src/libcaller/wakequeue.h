#pragma once

#include "libdecision/ids.h"

#include <map>
#include <optional>
#include <set>

namespace kingcuptrail {

/// Queue of wake-up times by key, so that thousands of flows can share one timer.
template <typename Key>
class WakeQueue {
public:
    /// Sets the wake-up time of `key`; std::nullopt removes it.
    void set(Key key, std::optional<Millis> at)
    {
        const auto known = m_times.find(key);
        if (known != m_times.end()) {
            m_order.erase({ known->second, key });
            m_times.erase(known);
        }
        if (!at)
            return;
        m_times.emplace(key, *at);
        m_order.emplace(*at, key);
    }

    std::optional<Millis> next() const
    {
        return m_order.empty() ? std::nullopt : std::optional(m_order.begin()->first);
    }

    /// Removes and returns one key whose wake-up time is not after `now`.
    std::optional<Key> dequeueDue(Millis now)
    {
        if (m_order.empty() || m_order.begin()->first > now)
            return std::nullopt;
        const Key key = m_order.begin()->second;
        set(key, std::nullopt);
        return key;
    }

private:
    std::map<Key, Millis> m_times;
    std::set<std::pair<Millis, Key>> m_order;
};

}
