#pragma once

#include "libdecision/admission.h"
#include "libdecision/attempts.h"
#include "libdecision/closedflows.h"
#include "libdecision/drain.h"
#include "libdecision/ledger.h"
#include "libdecision/pausedetector.h"
#include "libdecision/redirects.h"
#include "modelcontext.h"
#include "modelstore.h"
#include "modelupstream.h"

#include <map>
#include <optional>
#include <set>
#include <vector>

namespace kingcuptrail {

/// The modelled agent of one upstream: owns its flows, admits their requests, and runs each once-only key once. All
/// decisions are made by libdecision; this class passes packets and the time to it and carries out its verdicts.
class ModelAgent {
public:
    ModelAgent(ModelContext& context, ModelStore& store, ModelUpstream& upstream, std::size_t index);

    /// Starts the process with empty state and announces it.
    void start();
    /// Starts with an announcement that the store already holds and a warmed-up limit, for runs that begin in the steady
    /// state.
    void startSteady(const OwnerToken& token);
    void kill();

    /// Starts draining: accepts no new flows and, if `mayExit`, exits when no flow is left.
    void drain(bool mayExit);
    /// Stops draining and accepts new flows again.
    void revokeDrain();

    /// Handles the loss of the link to a balancer.
    void handleLinkLoss(std::size_t balancer);

    const OwnerToken& token() const { return m_token; }
    std::size_t openFlows() const { return m_flows.size(); }
    std::uint32_t busyWork() const { return busy(m_admission); }
    bool isDraining() const { return m_isDraining; }
    bool isDataCentreOut() const;
    ConfigVersion configVersion() const { return m_config.version; }
    /// Called when a drained agent has exited.
    std::function<void()> onExit;
    /// Called when the agent closes a link on which nothing was received for too long.
    std::function<void(std::size_t balancer)> onLinkClosed;

private:
    struct Flow {
        std::size_t service = 0;
        std::size_t caller = 0;
        Millis lastReceivedAt = 0;
        /// When the latest request on the flow ended.
        Millis idleSince = 0;
        bool hasFeed = false;
        /// Requests that were received on the flow.
        std::set<RequestId> receivedRequests;
    };

    struct LinkState {
        Millis lastReceivedAt = 0;
        ConfigVersion configVersion = 0;
    };

    enum class WorkState : std::uint8_t {
        Asking,
        Queued,
        Running,
        Ended,
    };

    /// One attempt of a request, from its arrival until its final answer is acknowledged.
    struct Work {
        FlowId flow = 0;
        ModelRequest request;
        Millis deadline = 0;
        WorkState state = WorkState::Asking;
        EarlierAttempts earlier;
        Millis arrivedAt = 0;
        Millis startedAt = 0;
        FlowPacket finalPacket;
        std::uint32_t sends = 0;
    };

    void reset();
    void run();
    void announce();
    void schedule(Micros delay, EventLoop::Action action);

    void receive(Endpoint from, Message message);
    void receivePacket(std::size_t balancer, FlowPacket packet);
    void updateReturnWait();
    void detectPause();
    PacketFacts factsOf(const FlowPacket& packet) const;
    void forward(std::size_t balancer, FlowPacket packet);
    void openFlow(const FlowPacket& packet);
    void handleFlowPacket(const FlowPacket& packet);
    void closeFlow(FlowId flow, RefusalReason reason);
    void resetFlow(FlowId flow, RefusalReason reason);
    void reply(const FlowPacket& packet, ModelPacketKind kind, RefusalReason reason = RefusalReason::None);
    void sendToCaller(FlowPacket packet);
    std::optional<std::size_t> chooseBalancer();
    void sendToBalancer(std::size_t balancer, Message message);

    void handleRequest(const FlowPacket& packet);
    void queryEarlierOwners(Work& work);
    void decideEarlierAttempts(RequestId id);
    void admitWork(RequestId id);
    void startWork(RequestId id);
    void startNext();
    void scheduleWake();
    void handleWorkEnd(RequestId id, bool isWhole, std::uint64_t generation);
    void timeOut(RequestId id);
    void cancel(RequestId id);
    void cancelRunning(Work& work, WorkOutcome outcome, RefusalReason reason);
    void answer(Work& work);
    void refuse(Work& work, const RefusalVerdict& verdict, LedgerState outcome);
    void sendFinal(RequestId id);
    void answerLedgerQuery(const LedgerQueryMessage& query);
    void handleLedgerAnswer(const LedgerAnswerMessage& answer);

    void applyConfig(const ConfigMessage& config);
    void leaveDataCentre();
    void tick();
    void renew();
    void closeSilentLinks();
    void expire();
    void advanceDrain();
    void refuseWaiting();
    void sendRedirects();
    HistoryEvent makeEvent(HistoryKind kind) const;
    void recordIdle(FlowId flow);
    std::uint32_t pendingOf(FlowId flow) const;
    AdmissionOptions admissionOptions() const;
    Endpoint self() const { return { EndpointKind::Agent, m_index }; }
    const ServiceSpec& service() const;

    ModelContext& m_context;
    ModelStore& m_store;
    ModelUpstream& m_upstream;
    std::size_t m_index;
    std::size_t m_service;
    OwnerToken m_token;
    ConfigMessage m_config;
    AdmissionState m_admission;
    Ledger m_ledger;
    Redirects m_redirects;
    ClosedFlows m_closedFlows;
    PauseDetector m_pauseDetector;
    std::map<FlowId, Flow> m_flows;
    std::map<RequestId, Work> m_work;
    std::map<UpstreamId, RedirectMessage> m_redirectsToSend;
    /// Balancers with a link to this agent.
    std::map<std::size_t, LinkState> m_balancers;
    /// The version of the configuration that returned the data centre to service, until all linked balancers have it; 0
    /// otherwise.
    ConfigVersion m_returnVersion = 0;
    std::optional<Millis> m_wakeAt;
    DrainProgress m_drain;
    bool m_isDraining = false;
    bool m_mayExit = false;
    bool m_wasOut = false;
    std::uint64_t m_generation = 0;
};

}
