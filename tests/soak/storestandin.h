#pragma once

#include "libhttp/httpserver.h"
#include "libplatform/delay.h"

#include <map>
#include <nlohmann/json.hpp>
#include <random>

namespace kingcuptrail {

/// Faults of the store stand-in.
enum class StoreFault : std::uint8_t {
    None,
    /// Answers no request.
    Silent,
    Busy,
    Reset,
    /// Takes 60 times as long as usual.
    Slow,
    /// Carries out all writes, but leaves a part of them unanswered.
    Lost,
};

template <>
struct EnumNames<StoreFault> {
    static constexpr std::array<std::string_view, 6> names { "none", "silent", "busy", "reset", "slow", "lost" };
};

/// The platform's metadata store in memory: objects, revisions, conditional writes, lists and watches. Each host connects to a
/// port of its own, so that a fault can be limited to one host.
class StoreStandIn {
public:
    StoreStandIn(asio::io_context& context, std::uint32_t seed);

    /// Opens a listening port for one host and returns its number.
    std::uint16_t openPort(const std::string& host, const asio::ip::address& address);

    /// Sets the fault for requests of one host, or of all hosts if the name is empty.
    void setFault(const std::string& host, StoreFault fault);
    /// Discards the change history: watches that start from an older revision are answered 410 and have to list again.
    void dropHistory();

    /// Writes an object as an operator does, without a condition; returns the new revision.
    std::uint64_t write(const std::string& kind, const std::string& name, const nlohmann::json& spec);
    /// Writes an object whose spec is this text, which need not be JSON that can be read.
    void writeText(const std::string& kind, const std::string& name, const std::string& spec);
    void remove(const std::string& kind, const std::string& name);

private:
    struct PendingRequest {
        std::shared_ptr<HttpResponder> responder;
        std::string host;
        std::string kind;
        std::uint64_t since = 0;
    };
    struct Event {
        std::uint64_t revision = 0;
        std::string kind;
        bool isDeleted = false;
        nlohmann::json object;
    };

    void handle(const std::string& host, const HttpRequest& request, const std::shared_ptr<HttpResponder>& responder);
    void answer(const std::string& host, const HttpRequest& request, const std::shared_ptr<HttpResponder>& responder);
    void answerRead(const std::string& host, const HttpRequest& request, const std::string& kind, const std::string& name, const std::shared_ptr<HttpResponder>& responder);
    HttpResponse response(int status, const nlohmann::json& body) const;
    HttpResponse applyWrite(const HttpRequest& request, const std::string& kind, std::string name);
    nlohmann::json store(const std::string& kind, const std::string& name, const nlohmann::json& spec);
    nlohmann::json eventsSince(const std::string& kind, std::uint64_t since) const;
    void answerPending();
    StoreFault faultOf(const std::string& host) const;

    asio::io_context& m_context;
    std::vector<std::unique_ptr<HttpServer>> m_servers;
    std::map<std::string, StoreFault> m_faults;
    std::map<std::string, std::map<std::string, nlohmann::json>> m_objects;
    std::vector<Event> m_events;
    /// Specs that are written as text, by the placeholder that stands for them in the objects.
    std::map<std::string, std::string> m_texts;
    std::vector<PendingRequest> m_pendingRequests;
    /// The delayed requests, by number.
    std::map<std::uint64_t, std::unique_ptr<Delay>> m_delays;
    std::uint64_t m_lastDelay = 0;
    std::uint64_t m_revision = 1;
    std::uint64_t m_historyFrom = 0;
    std::minstd_rand m_random;
};

}
