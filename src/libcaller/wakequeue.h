#pragma once

#include "libdecision/ids.h"

#include <map>
#include <optional>
#include <set>

namespace kingcuptrail {

/// When each of many things next needs attention, so that thousands of flows share one timer.
template <typename Key>
class WakeQueue {
public:
    /// Sets the time of `key`; nothing takes it out.
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

    /// Takes out one key whose time has come.
    std::optional<Key> takeDue(Millis now)
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
