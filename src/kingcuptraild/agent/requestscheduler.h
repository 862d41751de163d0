#pragma once

#include "activerequest.h"
#include "answerstore.h"
#include "earlierownerqueries.h"
#include "libdecision/admission.h"
#include "libdecision/ledger.h"
#include "libhttp/httpclient.h"
#include "libruntime/clock.h"
#include "libruntime/logthrottle.h"
#include "requestmetrics.h"

#include <functional>
#include <map>
#include <memory>
#include <unordered_map>

namespace kingcuptrail {

struct RequestSchedulerOptions {
    asio::ip::tcp::endpoint upstream;
    std::string service;
    /// Size limit for the body of one request. The whole body is kept in memory, since its hash is checked before the
    /// request runs.
    std::size_t maxBodyBytes = std::size_t { 16 } * 1024 * 1024;
    /// Size limit for all bodies and answers in memory at once: four times the largest body, so that one slow sender cannot
    /// block others, and far below the memory of the host.
    std::size_t maxHeldBytes = std::size_t { 64 } * 1024 * 1024;
    /// Time allowed for a request that names no deadline, in milliseconds.
    Millis defaultDeadline = 30000;
    LedgerOptions ledger;
};

/// Handles the requests of all flows from receipt to answer: the queries to earlier owners, admission, the call to the
/// upstream and the reply. Decisions are made by libdecision; this class connects them to the upstream and the flows.
class RequestScheduler {
public:
    struct Hooks {
        /// Queues a message on a flow; false when the flow's send queue is full. handleFlowWritable() then tries again.
        std::function<bool(FlowId, Bytes)> send;
        /// Reports whether the upstream accepted the connection of a request.
        std::function<void(bool isConnected)> onConnectAttempt;
        /// Sends a query about a key to an earlier owner; the answer is passed to handleLedgerAnswer().
        std::function<void(std::uint64_t query, const OwnerToken& holder, const std::string& key)> sendLedgerQuery;
    };

    RequestScheduler(asio::io_context& context, const Clock& clock, RequestSchedulerOptions options, Hooks hooks);
    ~RequestScheduler();
    RequestScheduler(const RequestScheduler&) = delete;
    RequestScheduler& operator=(const RequestScheduler&) = delete;

    /// Sets the slots and queue limits of the service, from the configuration in force.
    void setAdmission(const AdmissionOptions& options) { m_admissionOptions = options; }
    void setOwnToken(const OwnerToken& token) { m_ownToken = token; }

    /// Refuses waiting and new requests for this reason, as not run, until it is set to None.
    void setRefuseNew(RefusalReason reason);

    /// Handles a message from a caller; false when its kind is not one that a caller may send.
    bool handleMessage(FlowId flow, const wire::Message& message);
    /// Refuses all requests that wait for a slot, as not run.
    void refuseWaiting(RefusalReason reason);
    /// Resumes sending on a flow whose send queue has space again.
    void handleFlowWritable(FlowId flow);
    /// Cancels the requests of a flow that has ended. A non-idempotent request that is running is left to finish, so that
    /// its outcome is known to later queries.
    void handleFlowEnded(FlowId flow);

    LedgerReply answerLedgerQuery(const std::string& key);
    void handleLedgerAnswer(std::uint64_t query, const LedgerReply& reply) { m_earlierOwners.handleAnswer(query, reply); }

    void applyHint(const UpstreamHint& hint);
    void restartWarmUp() { kingcuptrail::restartWarmUp(m_admission, m_clock.now()); }
    void tick();

    bool hasRequests(FlowId flow) const;
    std::size_t requestCount() const { return m_requests.size(); }
    const AdmissionState& admission() const { return m_admission; }
    std::size_t ledgerSize() const;
    std::size_t heldBytes() const { return m_heldBytes; }
    void exposeMetrics(std::string& out) const;

private:
    using RequestPtr = std::shared_ptr<ActiveRequest>;

    EarlierOwnerQueries::Hooks earlierOwnerHooks();
    void receiveHead(FlowId flow, const wire::RequestHead& head);
    void receiveChunk(FlowId flow, const wire::BodyChunk& chunk);
    void cancel(FlowId flow, std::uint64_t request);
    std::optional<RefusalVerdict> checkHead(const ActiveRequest& request) const;
    void handleBodyComplete(const RequestPtr& request);
    void enterLedger(const RequestPtr& request);
    void sendStoredAnswer(const RequestPtr& request, const StoredAnswer& stored);
    void submit(const RequestPtr& request);
    void startRunnable();
    void run(const RequestPtr& request);
    void handleHead(const RequestPtr& request, const HttpResponse& head);
    void handleStreamChunk(const RequestPtr& request, std::string_view chunk);
    void handleDone(const RequestPtr& request, std::optional<HttpResponse> response, const HttpOutcome& outcome);
    void endStream(const RequestPtr& request);
    void handleLostFeed();
    void finishSlot(const RequestPtr& request, WorkOutcome outcome);
    void answer(const RequestPtr& request, int status, const std::string& body);
    void refuse(const RequestPtr& request, const RefusalVerdict& verdict);
    void logSaturation(RefusalReason reason);
    void recordOutcome(const RequestPtr& request, LedgerState outcome);
    void flushOutbox(const RequestPtr& request);
    void withdrawRequest(const RequestPtr& request);
    void cancelAbandoned(const RequestPtr& request);
    void removeRequest(const RequestPtr& request);
    void expireDeadlines(Millis now);
    void countHeldBytes(ActiveRequest& request, std::size_t bytes);
    RequestPtr find(FlowId flow, std::uint64_t request) const;

    asio::io_context& m_context;
    const Clock& m_clock;
    RequestSchedulerOptions m_options;
    Hooks m_hooks;
    OwnerToken m_ownToken;
    AdmissionOptions m_admissionOptions;
    AdmissionState m_admission;
    std::unique_ptr<Ledger> m_ledger;
    AnswerStore m_answers;
    std::map<std::pair<FlowId, std::uint64_t>, RequestPtr> m_requests;
    std::unordered_map<std::uint64_t, RequestPtr> m_byWork;
    EarlierOwnerQueries m_earlierOwners;
    std::uint64_t m_lastWork = 0;
    std::size_t m_heldBytes = 0;
    LogThrottle m_saturationLog { 10000 };
    RefusalReason m_refuseNew = RefusalReason::None;
    RequestMetrics m_metrics;
};

}
