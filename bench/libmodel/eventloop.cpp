#include "eventloop.h"

#include <algorithm>
#include <utility>

namespace kingcuptrail {

bool EventLoop::isLater(const Entry& left, const Entry& right)
{
    return left.time != right.time ? left.time > right.time : left.order > right.order;
}

void EventLoop::at(Micros time, Action action)
{
    m_heap.push_back({ .time = std::max(time, m_now), .order = m_scheduled++, .action = std::move(action) });
    std::push_heap(m_heap.begin(), m_heap.end(), isLater);
}

void EventLoop::runUntil(Micros end)
{
    while (!m_heap.empty() && m_heap.front().time <= end) {
        std::pop_heap(m_heap.begin(), m_heap.end(), isLater);
        Entry entry = std::move(m_heap.back());
        m_heap.pop_back();
        m_now = entry.time;
        ++m_executed;
        entry.action();
    }
    m_now = std::max(m_now, end);
}

}
