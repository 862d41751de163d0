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

/// Identifies a call; unique within its Caller.
using CallId = std::uint64_t;

/// Times in milliseconds.
struct CallerOptions {
    asio::ip::tcp::endpoint fabric;
    std::string name = "caller";
    /// Together with the name, seeds the generator of flow ids and of this caller's source address; 0 uses a random seed.
    std::uint64_t seed = 0;
    Millis probeInterval = 2000;
    Millis silenceLimit = 6000;
    Millis openLimit = 6000;
    /// Number of flows per service that are shared by all calls without a flow of their own.
    std::size_t sharedFlows = 4;
    RetryOptions retry;
    /// For tests only: when false, a retry does not list the owners of earlier tries.
    bool nameEarlierOwners = true;
};

struct CallSpec {
    ServiceAddress service = 0;
    /// The flow to use, from openFlow(); 0 uses a shared flow.
    FlowId flow = 0;
    /// Time limit for all tries together, in milliseconds. A stream must have begun by then and may last longer.
    Millis deadline = 10000;
    RequestSpec request;
};

struct CallHandlers {
    /// Called once, with the final result.
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
    /// Answers and refusals that arrived after their request had been abandoned.
    std::uint64_t lateAnswers = 0;
    std::uint64_t badMessages = 0;
    EnumCounters<CallerFlowEnd> flowEnds;
    EnumCounters<RefusalReason> refusals;
    EnumCounters<RetryReason> retries;
    EnumCounters<AnswerFault> answerFaults;
};

/// Reference implementation of a caller: one link to the fabric, many flows, requests with deadlines and retries.
/// All members must be called in the thread of the io_context. Handlers are called from the context, never from within a
/// member function.
class Caller {
public:
    Caller(asio::io_context& context, const CallerOptions& options, CallerHandlers handlers = {});
    ~Caller();
    Caller(const Caller&) = delete;
    Caller& operator=(const Caller&) = delete;

    /// Opens a flow, which lasts until it is closed or ends. All its requests go to the same upstream.
    FlowId openFlow(ServiceAddress service);

    /// Closes a flow and cancels the calls under way on it.
    void closeFlow(FlowId flow);

    /// Starts a call and returns its id.
    CallId call(CallSpec spec, CallHandlers handlers);

    /// Cancels a call. Its handler gets the final result at once, and a cancel message is sent to the upstream's agent.
    void cancel(CallId call);

    const CallerCounters& counters() const;
    std::size_t flowCount() const;
    std::uint64_t source() const;

    /// Closes every flow, and the link once all queued data has been written. Handlers of calls under way are not called.
    void shutDown();

private:
    struct Private;
    std::unique_ptr<Private> m_d;
};

}
