#pragma once

#include "callerflow.h"
#include "callprogress.h"
#include "libruntime/metrics.h"
#include "requestcall.h"

#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <functional>
#include <memory>

namespace kingcuptrail {

/// Names one call at its Caller.
using CallId = std::uint64_t;

/// Times in milliseconds.
struct CallerOptions {
    asio::ip::tcp::endpoint fabric;
    std::string name = "caller";
    /// Seeds, with the name, flow ids and this caller's source; 0 takes random ones.
    std::uint64_t seed = 0;
    Millis probeInterval = 2000;
    Millis silenceLimit = 6000;
    Millis openLimit = 6000;
    /// Flows of one service that calls without a flow of their own share.
    std::size_t sharedFlows = 4;
    RetryOptions retry;
    /// Test only: off, a retry does not name the earlier owners.
    bool nameEarlierOwners = true;
};

struct CallSpec {
    ServiceAddress service = 0;
    /// The flow to use, from openFlow(); 0 takes a shared one.
    FlowId flow = 0;
    /// Time for all tries together, in milliseconds. A stream must have begun by then and may last longer.
    Millis deadline = 10000;
    RequestSpec request;
};

struct CallHandlers {
    /// Called once.
    std::function<void(CallResult)> onDone;
    /// Called for each piece of a stream, in order and without gaps.
    std::function<void(std::string_view)> onChunk;
};

struct CallerHandlers {
    std::function<void(FlowId, const OwnerToken&)> onFlowOpened;
    std::function<void(FlowId, CallerFlowEnd, RefusalReason)> onFlowEnded;
};

struct CallerCounters {
    std::uint64_t flowsOpened = 0;
    std::uint64_t calls = 0;
    std::uint64_t tries = 0;
    /// Answers and refusals that came after their request was given up.
    std::uint64_t lateAnswers = 0;
    std::uint64_t badMessages = 0;
    EnumCounters<CallerFlowEnd> flowEnds;
    EnumCounters<RefusalReason> refusals;
    EnumCounters<RetryReason> retries;
    EnumCounters<AnswerFault> answerFaults;
};

/// The reference end of an app maker's caller: one link to the fabric, many flows, requests with deadlines and retries.
/// Lives in one io_context's thread. Handlers are called from the context, never from within a member function.
class Caller {
public:
    Caller(asio::io_context& context, const CallerOptions& options, CallerHandlers handlers = {});
    ~Caller();
    Caller(const Caller&) = delete;
    Caller& operator=(const Caller&) = delete;

    /// Opens a flow that stays until it is closed or ends; its requests all go to the same upstream.
    FlowId openFlow(ServiceAddress service);

    /// Closes a flow; what is under way on it is given up.
    void closeFlow(FlowId flow);

    CallId call(CallSpec spec, CallHandlers handlers);

    /// Gives a call up. Its handler gets the final result at once, and the upstream is told to stop.
    void cancel(CallId call);

    const CallerCounters& counters() const;
    std::size_t flowCount() const;
    std::uint64_t source() const;

    /// Closes every flow and the link, after what is queued was written. Calls under way get no result.
    void shutDown();

private:
    struct Private;
    std::unique_ptr<Private> m_d;
};

}
