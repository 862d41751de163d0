#pragma once

#include "modelagent.h"
#include "modelbalancer.h"
#include "modelcallers.h"
#include "modelcontext.h"
#include "modelstore.h"
#include "modelupstream.h"

#include <memory>
#include <optional>
#include <vector>

namespace kingcuptrail {

/// One run of an experiment under one policy: creates the processes, carries out the failure plan, and samples the
/// measured quantities over time.
class Simulation {
public:
    /// If `recordHistory`, every event is recorded for the checker.
    Simulation(const ExperimentSpec& experiment, const PolicyOptions& policy, bool recordHistory = false);

    void run();

    const Metrics& metrics() const { return m_metrics; }
    const HistoryRecorder& history() const { return m_history; }
    std::uint64_t eventsExecuted() const { return m_loop.executed(); }

private:
    /// Time from the end of a process until its peers' connections are reset.
    static constexpr Micros connectionResetDelay = 2 * microsPerMilli;

    /// A target that returned to service and doesn't hold its share of flows yet.
    struct PendingReturn {
        std::size_t target = 0;
        Millis since = 0;
    };

    void build();
    void setUpSteadyState();
    void schedule(const FailureSpec& failure);
    void begin(const FailureSpec& failure);
    void end(const FailureSpec& failure);
    void beginProcessFailure(const FailureSpec& failure);
    void beginUpstreamFailure(const FailureSpec& failure);
    void beginChange(const FailureSpec& failure);
    void beginStoreFailure(const FailureSpec& failure);
    void beginPacketFault(const FailureSpec& failure, double value);

    void killBalancer(std::size_t balancer);
    void startBalancer(std::size_t balancer);
    void freeze(Endpoint endpoint, bool frozen);
    void killAgent(std::size_t agent);
    void startAgent(std::size_t agent);
    void restartHost(std::size_t agent);
    void drain(std::size_t agent, bool mayExit);
    void applyDataCentreState(std::size_t dataCentre, bool out);
    void applyChange(ConfigVersion baseVersion, std::size_t dataCentre, bool out);

    BreakCause causeOf(const OwnerToken& owner, RefusalReason reason) const;
    std::optional<std::size_t> targetOf(const OwnerToken& owner) const;
    bool isInService(std::size_t target) const;
    double currentCapacity() const;
    void recordProcess(HistoryKind kind, Endpoint endpoint);
    void recordFault(HistoryKind kind, std::size_t target);
    void recordPlatform(HistoryKind kind);
    void recordUpstreamStart(std::size_t target);
    void sampleSecond();
    void sampleBusy();
    void updateReturns(std::size_t service, const std::vector<double>& flows, const std::vector<std::size_t>& targets);

    ExperimentSpec m_experiment;
    PolicyOptions m_policy;
    EventLoop m_loop;
    RandomSource m_random;
    Network m_network;
    Metrics m_metrics;
    HistoryRecorder m_history;
    ModelContext m_context;
    ModelStore m_store;
    std::vector<std::unique_ptr<ModelUpstream>> m_upstreams;
    std::vector<std::unique_ptr<ModelAgent>> m_agents;
    std::vector<std::unique_ptr<ModelBalancer>> m_balancers;
    std::unique_ptr<ModelCallers> m_callers;
    /// For each target, the sum of its busy slots over the samples in which it was in service, and the number of these samples.
    std::vector<double> m_busySum;
    std::vector<std::uint64_t> m_busySamples;
    std::vector<PendingReturn> m_returns;
};

}
