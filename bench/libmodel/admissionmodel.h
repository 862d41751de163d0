#pragma once

#include "libdecision/admissionqueue.h"
#include "libdecision/enumnames.h"

#include <vector>

namespace kingcuptrail {

/// The order in which an agent admits waiting openings.
enum class AdmissionOrder : std::uint8_t {
    /// In order of arrival.
    Arrival,
    /// Newest timely opening first; late openings take any remaining capacity of the upstream.
    NewestFirst,
    /// As NewestFirst, but late openings take idle slots only.
    LateInIdleSlots,
};

template <>
struct EnumNames<AdmissionOrder> {
    static constexpr std::array<std::string_view, 3> names { "arrival", "newestFirst", "lateInIdleSlots" };
};

/// Which waiting openings an agent includes in the load that it reports.
enum class LoadReportScope : std::uint8_t {
    AllWaiting,
    TimelyWaiting,
};

template <>
struct EnumNames<LoadReportScope> {
    static constexpr std::array<std::string_view, 2> names { "allWaiting", "timelyWaiting" };
};

/// Options of a model in which callers with deadlines and retries open flows at the agents of one service. Every request
/// opens a flow. All times are in milliseconds.
struct AdmissionModelOptions {
    std::uint64_t seed = 1;
    std::uint32_t upstreams = 42;
    std::uint32_t slots = 2;
    double meanWork = 33;
    /// Factor by which cold upstreams are slower, and the time after the start during which they are cold.
    double coldFactor = 1.0;
    Millis coldDuration = 0;
    Millis latencyTarget = 250;
    Millis deadline = 1500;
    std::uint32_t retries = 2;
    /// Offered load, as a fraction of the capacity of warm upstreams.
    double load = 0.5;
    /// Length of an outage that ends at the start. Callers whose request falls into it retransmit their opening packet by the
    /// usual schedule.
    Millis outage = 0;
    /// Fraction of the outage's callers that lost an open flow. Each opens a new flow, so that its request appears new to
    /// the agent.
    double lostFlowShare = 0.67;
    Millis duration = 4000;
    AdmissionOrder order = AdmissionOrder::LateInIdleSlots;
    LoadReportScope loadReport = LoadReportScope::TimelyWaiting;
    /// Limit of waiting openings for each slot of an agent, and the longest time that one may wait.
    std::uint32_t waitingPerSlot = AdmissionQueueOptions {}.waitingPerSlot;
    Millis maxWait = AdmissionQueueOptions {}.maxWait;
    /// Limit of admitted openings and requests for each slot of an upstream while timely openings wait.
    double workPerSlot = 2.0;
    /// Fraction of the latency target after which a waiting opening counts as late.
    double timelyShare = 0.5;
};

/// Numbers of requests made within one interval, by outcome.
struct AdmissionOutcome {
    std::uint32_t asked = 0;
    std::uint32_t inTime = 0;
    std::uint32_t late = 0;
    std::uint32_t lost = 0;
};

/// Runs the model and returns the outcomes for each half second from the start.
std::vector<AdmissionOutcome> runAdmissionModel(const AdmissionModelOptions&);

/// The sum of the outcomes.
AdmissionOutcome sumOf(const std::vector<AdmissionOutcome>&);

}
