#pragma once

#include "caller.h"
#include "fabriclink.h"
#include "libruntime/clock.h"
#include "wakequeue.h"

#include <asio/steady_timer.hpp>
#include <deque>
#include <random>
#include <set>
#include <unordered_map>

namespace kingcuptrail {

/// A call and the state of its current try.
struct PendingCall {
    CallSpec spec;
    CallHandlers handlers;
    std::shared_ptr<const RequestSpec> request;
    CallProgress progress;
    Millis startedAt = 0;
    /// The flow of the current try, and whether it was opened for this try alone.
    FlowId flow = 0;
    bool ownsFlow = false;
    RequestId requestId = 0;
    std::optional<RequestSender> sender;
    std::optional<AnswerAssembly> answer;
    /// When the next try starts; not set while a try is under way.
    std::optional<Millis> retryAt;
    bool retryOnNewFlow = false;
    /// Whether the flow of the current try was found suspect. A retry for this reason is considered once per try.
    bool suspectHandled = false;
    RefusalReason lastReason = RefusalReason::None;
    Millis lastRetryAfter = 0;
    OwnerToken lastOwner;
    /// The owners of the flows of all earlier tries.
    std::vector<OwnerToken> triedOwners;

    bool bodySent() const { return sender && sender->isDone(); }
};

/// A flow and the calls on it.
struct FlowEntry {
    explicit FlowEntry(const CallerFlowOptions& options, Millis now)
        : flow(options, now)
    {
    }

    CallerFlow flow;
    /// Calls with messages left to send, served round-robin.
    std::deque<CallId> senders;
    std::set<CallId> calls;
    std::deque<Bytes> cancels;
    bool wasOpen = false;
    /// Accepts no further calls and closes when its last call ends.
    bool isRetiring = false;
};

/// The state of a Caller. callerflows.cpp implements the handling of flows, callercalls.cpp that of calls.
struct Caller::Private {
    Private(asio::io_context& ioContext, const CallerOptions& callerOptions, CallerHandlers callerHandlers);

    FlowId openFlow(ServiceAddress service);
    void closeFlow(FlowEntry& flow);
    void retireIfUnused(FlowEntry& flow);
    std::vector<FlowId>& usableSharedFlows(ServiceAddress service);
    FlowId sharedFlow(ServiceAddress service);
    FlowId openSharedFlow(ServiceAddress service);
    FlowId chooseFlowToOtherOwner(PendingCall& call);
    FlowEntry* findFlow(FlowId id);

    CallId startCall(CallSpec spec, CallHandlers handlers);
    void startTry(CallId id, PendingCall& call);
    FlowId chooseFlowForTry(PendingCall& call);
    void endTry(CallId id, PendingCall& call, const AttemptResult& result);
    bool retryIfAllowed(CallId id, PendingCall& call, const AttemptResult& result, bool sendCancel);
    void retryCallsOfSuspectFlow(FlowEntry& flow);
    void detachFromFlow(CallId id, PendingCall& call, bool sendCancel);
    void abandonCall(CallId id, bool byDeadline);
    void finish(CallId id, CallOutcome outcome);
    void scheduleCall(CallId id, const PendingCall& call);

    void handleLinkUp();
    void handlePacket(const wire::Packet& packet);
    void handleMessage(const wire::Message& message);
    template <typename Body, typename Apply>
    void handleAnswer(const Body* body, Apply apply);
    void handleAnswerState(CallId id, PendingCall& call);
    void deliverChunk(PendingCall& call, std::string_view bytes);

    void pump(FlowEntry& flow);
    void queueMessages(FlowEntry& flow);
    void sendDue(FlowEntry& flow);
    void handleFlowEnd(FlowEntry& flow);
    void armTimer();
    void handleDue();

    asio::io_context& context;
    CallerOptions options;
    CallerHandlers handlers;
    CallerCounters counters;
    RetryBudget budget;
    Clock clock;
    std::mt19937_64 random;
    std::uint64_t source;
    FabricLink link;
    asio::steady_timer timer;
    WakeQueue<FlowId> flowWakes;
    WakeQueue<CallId> callWakes;
    std::optional<Millis> timerExpiresAt;
    std::unordered_map<FlowId, std::unique_ptr<FlowEntry>> flows;
    std::unordered_map<CallId, PendingCall> calls;
    std::unordered_map<RequestId, CallId> requests;
    std::unordered_map<ServiceAddress, std::vector<FlowId>> sharedFlows;
    std::uint64_t nextCall = 1;
    std::uint64_t nextRequest = 1;
    std::size_t nextShared = 0;
    std::shared_ptr<void> alive = std::make_shared<char>();
};

}
