#pragma once

#include "libdecision/retry.h"
#include "modelcontext.h"

#include <functional>
#include <map>
#include <optional>
#include <vector>

namespace kingcuptrail {

/// All callers of a run, and the fabric that distributes packets over the balancers. Each caller keeps one flow open and
/// opens a new one when it is lost. Requests arrive at a given rate, each on the flow of a random caller.
class ModelCallers {
public:
    /// Returns why a flow was lost, from the actual state of its owner.
    using CauseOf = std::function<BreakCause(const OwnerToken& owner, RefusalReason reason)>;

    ModelCallers(ModelContext& context, CauseOf causeOf);

    /// Opens all flows during the warm-up and starts sending requests.
    void start();

    /// Sets whether the fabric sends packets to a balancer.
    void setReachable(std::size_t balancer, bool reachable);

    /// Multiplies the load of all services.
    void setLoadFactor(double factor) { m_loadFactor = factor; }
    /// Sets the probability that a request packet is preceded by a copy with the address of another service.
    void setStrayShare(double share) { m_strayShare = share; }
    /// Stops creating requests; those already made are still completed.
    void stopRequests() { m_isSendingRequests = false; }

private:
    struct Caller {
        std::size_t service = 0;
        FlowId flow = 0;
        OwnerToken owner;
        /// Set from Opened until the flow is lost or closed.
        bool isOpen = false;
        bool isWaitingForAck = false;
        bool hasFeed = false;
        std::uint64_t generation = 0;
    };

    /// A request with all its attempts, until its outcome.
    struct PendingRequest {
        std::size_t caller = 0;
        FlowId flow = 0;
        ModelRequest request;
        RequestId firstId = 0;
        Millis deadline = 0;
        Millis createdAt = 0;
        Micros sentAt = 0;
        std::uint32_t tries = 0;
        std::uint32_t sends = 0;
        bool isAcknowledged = false;
        bool isInFlight = false;
        /// Set when an attempt ended with an unknown outcome.
        bool mayHaveRun = false;
    };

    void receive(const FlowPacket& packet);
    void openFlow(std::size_t caller);
    void sendOpen(std::size_t caller, std::uint64_t generation, std::uint32_t sends);
    void handleOpened(const FlowPacket& packet);
    void closeFlow(std::size_t caller, std::uint64_t generation);
    void keepFlowAlive(std::size_t caller, std::uint64_t generation);
    void sendData(std::size_t caller, std::uint64_t generation, std::uint32_t sends);
    void handleFlowLoss(std::size_t caller, RefusalReason reason, bool isSilent);

    void generateRequests(std::size_t service);
    void makeRequest(std::size_t service);
    void submit(PendingRequest pending);
    void repeat(const PendingRequest& pending);
    std::optional<std::size_t> chooseOpenCaller(std::size_t service, const OwnerToken& excludedOwner);
    void sendAttempt(RequestId first);
    void retransmitAttempt(RequestId first, RequestId tried);
    void handleFinal(const FlowPacket& packet);
    void handleRefusal(PendingRequest& pending, const RefusalVerdict& verdict);
    void retryOrEnd(RequestId first, const AttemptResult& result);
    void handleDeadline(RequestId first);
    void end(RequestId first, RequestEnd outcome, std::uint64_t detail);
    void sendToFabric(FlowPacket packet);
    FlowPacket packetOf(std::size_t caller, ModelPacketKind kind) const;
    const std::string& serviceName(std::size_t service) const;
    RetryBudget& budgetOf(std::size_t caller);

    ModelContext& m_context;
    CauseOf m_causeOf;
    std::vector<Caller> m_callers;
    /// Index of the first caller of each service, followed by the number of callers.
    std::vector<std::size_t> m_firstOfService;
    /// Requests in progress by the id of their first attempt, and the id of the first attempt by that of the current one.
    std::map<RequestId, PendingRequest> m_pending;
    std::map<RequestId, RequestId> m_firstIdByAttempt;
    /// Owners at which each once-only key was attempted; every further attempt names them.
    std::map<WorkKey, std::vector<OwnerToken>> m_ownersByKey;
    std::vector<RetryBudget> m_budgets;
    std::vector<bool> m_reachable;
    double m_loadFactor = 1;
    double m_strayShare = 0;
    bool m_isSendingRequests = true;
};

}
