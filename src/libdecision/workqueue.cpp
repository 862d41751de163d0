#include "workqueue.h"

#include <algorithm>

namespace kingcuptrail {

namespace {

    std::size_t indexOf(WorkClass workClass)
    {
        return static_cast<std::size_t>(workClass);
    }

    std::size_t otherIndex(WorkClass workClass)
    {
        return 1 - indexOf(workClass);
    }

    // A class that becomes active again while the other kept the slots busy could take every slot with the credit of its
    // idle time, or be kept out by its old debt. Its virtual time is limited to one largest request before or after the
    // other's, which is the most that non-preemptive service can owe.
    void boundLag(WorkQueue& queue, WorkClass workClass)
    {
        const double other = queue.virtualTime[otherIndex(workClass)];
        double& own = queue.virtualTime[indexOf(workClass)];
        own = std::clamp(own, other - queue.largestCharge, other + queue.largestCharge);
    }

    bool isOverdue(const WorkItem& item, Millis now)
    {
        return item.deadline <= now;
    }

}

std::deque<WorkItem>& classQueueOf(WorkQueue& queue, WorkClass workClass)
{
    return queue.classQueues[indexOf(workClass)];
}

const std::deque<WorkItem>& classQueueOf(const WorkQueue& queue, WorkClass workClass)
{
    return queue.classQueues[indexOf(workClass)];
}

std::size_t queueLength(const WorkQueue& queue)
{
    return queue.classQueues[0].size() + queue.classQueues[1].size();
}

void pushWork(WorkQueue& queue, const WorkItem& item)
{
    auto& classQueue = classQueueOf(queue, item.workClass);
    if (classQueue.empty())
        boundLag(queue, item.workClass);
    classQueue.push_back(item);
}

// Served in order of arrival, queries of milliseconds would wait behind uploads of seconds and miss their deadlines; with
// queries always first, an upload would wait until its deadline. Slot time is shared 3 to 1, queries first, since there are
// more of them and their deadlines are short. The remaining quarter lets every upload start that was queued within its
// expected wait.
std::optional<WorkClass> nextClass(const WorkQueue& queue, bool shortMayStart, bool longMayStart)
{
    const bool shortWaits = shortMayStart && !classQueueOf(queue, WorkClass::Short).empty();
    const bool longWaits = longMayStart && !classQueueOf(queue, WorkClass::Long).empty();
    if (shortWaits && longWaits)
        return queue.virtualTime[0] <= queue.virtualTime[1] ? WorkClass::Short : WorkClass::Long;
    if (shortWaits)
        return WorkClass::Short;
    if (longWaits)
        return WorkClass::Long;
    return std::nullopt;
}

void chargeSlotTime(WorkQueue& queue, WorkClass workClass, double serviceTime)
{
    const double charge = workClass == WorkClass::Short ? serviceTime / shortWorkWeight : serviceTime;
    queue.virtualTime[indexOf(workClass)] += charge;
    queue.largestCharge = std::max(queue.largestCharge, charge);
}

std::optional<WorkItem> popFirstUnexpired(WorkQueue& queue, WorkClass workClass, Millis now)
{
    auto& classQueue = classQueueOf(queue, workClass);
    const auto found = std::find_if(classQueue.begin(), classQueue.end(), [&](const WorkItem& item) {
        return !isOverdue(item, now);
    });
    if (found == classQueue.end())
        return std::nullopt;
    const WorkItem item = *found;
    classQueue.erase(found);
    return item;
}

std::vector<WorkItem> removeOverdue(WorkQueue& queue, Millis now)
{
    std::vector<WorkItem> overdue;
    for (auto& classQueue : queue.classQueues) {
        std::erase_if(classQueue, [&](const WorkItem& item) {
            if (isOverdue(item, now))
                overdue.push_back(item);
            return isOverdue(item, now);
        });
    }
    return overdue;
}

bool removeWork(WorkQueue& queue, std::uint64_t id)
{
    std::size_t removed = 0;
    for (auto& classQueue : queue.classQueues)
        removed += std::erase_if(classQueue, [&](const WorkItem& item) { return item.id == id; });
    return removed > 0;
}

std::vector<WorkItem> removeAll(WorkQueue& queue)
{
    std::vector<WorkItem> all;
    for (auto& classQueue : queue.classQueues) {
        all.insert(all.end(), classQueue.begin(), classQueue.end());
        classQueue.clear();
    }
    return all;
}

}
