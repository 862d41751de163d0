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

std::deque<WorkItem>& lineOf(WorkQueue& queue, WorkClass workClass)
{
    return queue.lines[indexOf(workClass)];
}

const std::deque<WorkItem>& lineOf(const WorkQueue& queue, WorkClass workClass)
{
    return queue.lines[indexOf(workClass)];
}

std::size_t queueLength(const WorkQueue& queue)
{
    return queue.lines[0].size() + queue.lines[1].size();
}

void pushWork(WorkQueue& queue, const WorkItem& item)
{
    auto& line = lineOf(queue, item.workClass);
    if (line.empty())
        boundLag(queue, item.workClass);
    line.push_back(item);
}

// Served in order of arrival, queries of milliseconds would wait behind uploads of seconds and miss their deadlines; with
// queries always first, an upload would wait until its deadline. Slot time is shared 3 to 1, queries first, since there are
// more of them and their deadlines are short. The remaining quarter lets every upload start that was queued within its
// expected wait.
std::optional<WorkClass> classInTurn(const WorkQueue& queue, bool shortMayStart, bool longMayStart)
{
    const bool shortWaits = shortMayStart && !lineOf(queue, WorkClass::Short).empty();
    const bool longWaits = longMayStart && !lineOf(queue, WorkClass::Long).empty();
    if (shortWaits && longWaits)
        return queue.virtualTime[0] <= queue.virtualTime[1] ? WorkClass::Short : WorkClass::Long;
    if (shortWaits)
        return WorkClass::Short;
    if (longWaits)
        return WorkClass::Long;
    return std::nullopt;
}

void chargeStart(WorkQueue& queue, WorkClass workClass, double serviceTime)
{
    const double charge = workClass == WorkClass::Short ? serviceTime / shortWeight : serviceTime;
    queue.virtualTime[indexOf(workClass)] += charge;
    queue.largestCharge = std::max(queue.largestCharge, charge);
}

std::optional<WorkItem> popStartable(WorkQueue& queue, WorkClass workClass, Millis now)
{
    auto& line = lineOf(queue, workClass);
    const auto found = std::find_if(line.begin(), line.end(), [&](const WorkItem& item) {
        return !isOverdue(item, now);
    });
    if (found == line.end())
        return std::nullopt;
    const WorkItem item = *found;
    line.erase(found);
    return item;
}

std::vector<WorkItem> takeOverdue(WorkQueue& queue, Millis now)
{
    std::vector<WorkItem> overdue;
    for (auto& line : queue.lines) {
        std::erase_if(line, [&](const WorkItem& item) {
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
    for (auto& line : queue.lines)
        removed += std::erase_if(line, [&](const WorkItem& item) { return item.id == id; });
    return removed > 0;
}

std::vector<WorkItem> takeAll(WorkQueue& queue)
{
    std::vector<WorkItem> all;
    for (auto& line : queue.lines) {
        all.insert(all.end(), line.begin(), line.end());
        line.clear();
    }
    return all;
}

}
