#pragma once

#include "enumnames.h"
#include "ids.h"

#include <deque>
#include <optional>
#include <vector>

namespace kingcuptrail {

/// Queries are short work; uploads and other requests whose duration depends on their size are long work.
enum class WorkClass : std::uint8_t {
    Short,
    Long,
};

template <>
struct EnumNames<WorkClass> {
    static constexpr std::array<std::string_view, 2> names { "short", "long" };
};

/// A request as seen by admission.
struct WorkItem {
    std::uint64_t id = 0;
    WorkClass workClass = WorkClass::Short;
    /// The time after which the caller no longer waits for the answer, on the clock of `now`.
    Millis deadline = 0;
    Millis queuedAt = 0;
};

/// Requests that wait for a slot, in one FIFO queue for each class.
struct WorkQueue {
    std::array<std::deque<WorkItem>, 2> classQueues;
    /// The slot time given to each class, divided by its weight. The class with less is served first.
    std::array<double, 2> virtualTime {};
    /// The largest charge so far, which bounds the difference between the classes when one of them becomes active again.
    double largestCharge = 0;
};

/// Short work gets this many times the slot time of long work when both are queued.
constexpr double shortWorkWeight = 3;

std::deque<WorkItem>& classQueueOf(WorkQueue&, WorkClass);
const std::deque<WorkItem>& classQueueOf(const WorkQueue&, WorkClass);

/// The number of queued requests of both classes.
std::size_t queueLength(const WorkQueue&);

/// Appends a request to the queue of its class.
void pushWork(WorkQueue&, const WorkItem&);

/// The class to serve next, among those that have queued requests and may start; nothing if there is none.
std::optional<WorkClass> nextClass(const WorkQueue&, bool shortMayStart, bool longMayStart);

/// Charges the slot time of a request that starts to its class. To be called also for a request that starts without
/// queueing.
void chargeSlotTime(WorkQueue&, WorkClass, double serviceTime);

/// Removes and returns the first request of the class whose deadline is after `now`; nothing if there is none.
std::optional<WorkItem> popFirstUnexpired(WorkQueue&, WorkClass, Millis now);

/// Removes and returns all requests whose deadline has passed.
std::vector<WorkItem> removeOverdue(WorkQueue&, Millis now);

/// Removes the request with this id. Returns false if it is not queued here.
bool removeWork(WorkQueue&, std::uint64_t id);

/// Removes and returns all requests, short work first.
std::vector<WorkItem> removeAll(WorkQueue&);

}
