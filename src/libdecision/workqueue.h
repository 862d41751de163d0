#pragma once

#include "enumnames.h"
#include "ids.h"

#include <deque>
#include <optional>
#include <vector>

namespace kingcuptrail {

/// Queries are short; uploads and other work whose length depends on its size are long.
enum class WorkClass : std::uint8_t {
    Short,
    Long,
};

template <>
struct EnumNames<WorkClass> {
    static constexpr std::array<std::string_view, 2> names { "short", "long" };
};

/// One request as admission sees it.
struct WorkItem {
    std::uint64_t id = 0;
    WorkClass workClass = WorkClass::Short;
    /// The time after which nobody waits for the answer, on the clock of `now`.
    Millis deadline = 0;
    Millis queuedAt = 0;
};

/// Requests that wait for a slot, short and long apart, each in order of arrival.
struct WorkQueue {
    std::array<std::deque<WorkItem>, 2> lines;
    /// Slot time each class has been given, divided by its weight; the class with less of it goes first.
    std::array<double, 2> virtualTime {};
    /// The largest charge so far: how far the classes' times may be apart when one of them comes back.
    double largestCharge = 0;
};

/// Short work gets this many times the slot time of long work when both wait.
constexpr double shortWeight = 3;

std::deque<WorkItem>& lineOf(WorkQueue&, WorkClass);
const std::deque<WorkItem>& lineOf(const WorkQueue&, WorkClass);

/// Requests waiting, of both classes.
std::size_t queueLength(const WorkQueue&);

/// Appends to the line of its class.
void pushWork(WorkQueue&, const WorkItem&);

/// The class whose turn it is, of those that wait and may start; nothing when there is none.
std::optional<WorkClass> classInTurn(const WorkQueue&, bool shortMayStart, bool longMayStart);

/// Books the slot time of a piece of work that starts, so that the other class has its turn.
/// Call it for work that starts without queueing too.
void chargeStart(WorkQueue&, WorkClass, double serviceTime);

/// Removes the first request of the class whose deadline is after `now`; nothing when there is none.
std::optional<WorkItem> popStartable(WorkQueue&, WorkClass, Millis now);

/// Removes every request whose deadline has come.
std::vector<WorkItem> takeOverdue(WorkQueue&, Millis now);

/// Removes the request with this id; false when it does not wait here.
bool removeWork(WorkQueue&, std::uint64_t id);

/// Removes all, short work first.
std::vector<WorkItem> takeAll(WorkQueue&);

}
