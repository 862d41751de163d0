#pragma once

#include "libhttp/httpserver.h"
#include "libplatform/delay.h"
#include "record.h"

#include <map>
#include <nlohmann/json.hpp>

namespace review {

/// The platform's metadata store: objects by kind and name, one revision counter, conditional writes, lists and watches. Keeps
/// all of its history.
class Store {
public:
    Store(asio::io_context& context, const asio::ip::tcp::endpoint& endpoint, Record& record);

    asio::ip::tcp::endpoint endpoint() const { return m_server->localEndpoint(); }
    bool isListening() const { return m_server != nullptr; }

    /// Write and remove as the operator does. They are confirmed when they return.
    void write(const std::string& kind, const std::string& name, const nlohmann::json& spec);
    void remove(const std::string& kind, const std::string& name);

    /// From now on the answers to the processes of the system are lost for this long: calls are executed, and the channels on which
    /// their answers were due return nothing further.
    void loseAnswers(Millis time);

    /// How many answers to the system were due and how many of them were lost since loseAnswers().
    std::size_t answersDue() const { return m_answersDue; }
    std::size_t answersLost() const { return m_lost.size(); }

    /// The number of watches that wait for an event now.
    std::size_t waitingWatches();
    std::size_t listsOf(const std::string& kind) const;

private:
    struct Event {
        std::uint64_t revision = 0;
        std::string kind;
        bool isDeleted = false;
        nlohmann::json object;
    };
    struct Watch {
        std::shared_ptr<kingcuptrail::HttpResponder> responder;
        std::string kind;
        std::uint64_t since = 0;
        Millis until = 0;
    };

    void handle(const kingcuptrail::HttpRequest& request, const std::shared_ptr<kingcuptrail::HttpResponder>& responder);
    kingcuptrail::HttpResponse read(const std::string& kind, const std::string& name);
    kingcuptrail::HttpResponse change(const kingcuptrail::HttpRequest& request, const std::string& kind, std::string name);
    nlohmann::json put(const std::string& kind, const std::string& name, const nlohmann::json& spec);
    nlohmann::json erase(const std::string& kind, const std::string& name);
    void respond(const std::shared_ptr<kingcuptrail::HttpResponder>& responder, const kingcuptrail::HttpResponse& response);
    void answerWatches();

    asio::io_context& m_context;
    Record& m_record;
    std::unique_ptr<kingcuptrail::HttpServer> m_server;
    kingcuptrail::Delay m_watchTimer;
    std::map<std::string, std::map<std::string, nlohmann::json>> m_objects;
    std::map<std::string, std::size_t> m_lists;
    std::vector<Event> m_events;
    std::vector<Watch> m_watches;
    std::uint64_t m_revision = 1;
    Millis m_losesUntil = 0;
    std::size_t m_answersDue = 0;
    /// The channels on which an answer was lost.
    std::vector<std::shared_ptr<kingcuptrail::HttpResponder>> m_lost;
};

}
