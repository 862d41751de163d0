#pragma once

#include "libhttp/httpserver.h"
#include "libplatform/delay.h"
#include "objectstore.h"

#include <list>
#include <set>

namespace kingcuptrail {

/// The active faults of the stand-in.
struct PlatformFaults {
    /// Closes each connection without an answer or, with `hang`, keeps it open without an answer. Applies only to calls of
    /// the client `downFor` if that is set.
    bool down = false;
    bool hang = false;
    std::string downFor;
    /// Delay before a call takes effect, in milliseconds. Applies only to calls of the client `slowFor` if that is set.
    Millis delay = 0;
    std::string slowFor;
    /// Number of following writes that take effect but get no answer.
    unsigned loseAnswers = 0;
};

struct PlatformCalls {
    std::uint64_t reads = 0;
    std::uint64_t writes = 0;
    std::size_t waitingWatches = 0;
};

/// Stands in for the platform's object API: keeps objects in memory and simulates faults.
class PlatformServer {
public:
    using OnCall = std::function<void(const std::string& line)>;

    /// Null when the endpoint cannot be bound. `onCall` receives a JSON line for each call that took effect or was refused.
    static std::unique_ptr<PlatformServer> listen(asio::io_context& context, const asio::ip::tcp::endpoint& endpoint, OnCall onCall = {});

    explicit PlatformServer(asio::io_context& context, OnCall onCall);
    ~PlatformServer();
    PlatformServer(const PlatformServer&) = delete;
    PlatformServer& operator=(const PlatformServer&) = delete;

    asio::ip::tcp::endpoint endpoint() const { return m_server->localEndpoint(); }
    ObjectStore& store() { return m_store; }
    PlatformCalls calls() const;
    void setFaults(const PlatformFaults& faults);
    /// Answers the waiting watches of a kind that has changed; needed after a change made directly in store().
    void wakeWatches(const std::string& kind);

private:
    struct Call;
    struct Watch;

    void handle(HttpRequest request, const std::shared_ptr<HttpResponder>& responder);
    void handleControl(const Call& call);
    void handleDelayed(std::shared_ptr<Call> call);
    void perform(const Call& call);
    void performObject(const Call& call);
    void performWatch(const Call& call);
    void answerWrite(const Call& call, const StoreResult& result);
    void answer(const Call& call, int status, std::string body);
    bool answerWatch(Watch& watch);
    void dropWatches();

    asio::io_context& m_context;
    OnCall m_onCall;
    ObjectStore m_store;
    PlatformFaults m_faults;
    PlatformCalls m_calls;
    std::list<Watch> m_watches;
    std::set<std::shared_ptr<Delay>> m_delays;
    std::vector<std::shared_ptr<HttpResponder>> m_unansweredCalls;
    std::unique_ptr<HttpServer> m_server;
};

}
