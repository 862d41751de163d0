#pragma once

#include "libdecision/admissionqueue.h"
#include "libdecision/enumnames.h"

#include <vector>

namespace kingcuptrail {

/// In which order an agent admits openings that wait.
enum class AdmissionOrder : std::uint8_t {
    /// As they came.
    Arrival,
    /// The newest that can be answered in time first; late ones fill every place at the upstream that is left.
    NewestFirst,
    /// The same, but late ones get idle slots only.
    LateInIdleSlots,
};

template <>
struct EnumNames<AdmissionOrder> {
    static constexpr std::array<std::string_view, 3> names { "arrival", "newestFirst", "lateInIdleSlots" };
};

/// What an agent tells of the openings that wait.
enum class LoadNews : std::uint8_t {
    AllWaiting,
    TimelyWaiting,
};

template <>
struct EnumNames<LoadNews> {
    static constexpr std::array<std::string_view, 2> names { "allWaiting", "timelyWaiting" };
};

/// Callers with deadlines and retries before the agents of one service; every request opens a flow. All times in
/// milliseconds.
struct AdmissionModelOptions {
    std::uint64_t seed = 1;
    std::uint32_t upstreams = 42;
    std::uint32_t slots = 2;
    double meanWork = 33;
    /// How much slower upstreams work while they are cold, and for how long after the start.
    double coldFactor = 1.0;
    Millis coldFor = 0;
    Millis latencyTarget = 250;
    Millis deadline = 1500;
    std::uint32_t retries = 2;
    /// Work that is asked for, in parts of what warm upstreams can do.
    double load = 0.5;
    /// For how long before the start nobody was there: who asked meanwhile sends on by the schedule of copies.
    Millis outage = 0;
    /// Part of the outage's callers that held a flow which is lost: they open a new one, which looks as if they had just asked.
    double lostFlowShare = 0.67;
    Millis duration = 4000;
    AdmissionOrder order = AdmissionOrder::LateInIdleSlots;
    LoadNews news = LoadNews::TimelyWaiting;
    /// Openings that may wait at an agent for each slot, and for how long.
    std::uint32_t waitingPerSlot = AdmissionQueueOptions {}.waitingPerSlot;
    Millis longestWait = AdmissionQueueOptions {}.longestWait;
    /// Work that may be at an upstream for each of its slots while timely openings wait.
    double workPerSlot = 2.0;
    /// Part of the latency target after which an opening that still waits counts as late.
    double timelyShare = 0.5;
};

/// What became of the requests that were asked in one span of time.
struct AdmissionOutcome {
    std::uint32_t asked = 0;
    std::uint32_t inTime = 0;
    std::uint32_t late = 0;
    std::uint32_t lost = 0;
};

/// The outcome for each half second from the start.
std::vector<AdmissionOutcome> runAdmissionModel(const AdmissionModelOptions&);

/// All of them in one.
AdmissionOutcome sumOf(const std::vector<AdmissionOutcome>&);

}
