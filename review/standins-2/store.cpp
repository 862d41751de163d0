#include "store.h"

namespace review {

using namespace kingcuptrail;
using nlohmann::json;

namespace {

    constexpr Millis watchCheckInterval = 50;
    constexpr Millis longestWatch = 30000;

    HttpResponse reply(int status, const json& body)
    {
        return { .status = status, .headers = { { .name = "Content-Type", .value = "application/json" } }, .body = body.dump() };
    }

}

Store::Store(asio::io_context& context, const asio::ip::tcp::endpoint& endpoint, Record& record)
    : m_context(context)
    , m_record(record)
    , m_watchTimer(context)
{
    asio::error_code error;
    m_server = HttpServer::listen(
        context, endpoint, { .requestTimeout = 3000 }, [this](const HttpRequest& request, const std::shared_ptr<HttpResponder>& responder) { handle(request, responder); }, error);
    answerWatches();
}

void Store::handle(const HttpRequest& request, const std::shared_ptr<HttpResponder>& responder)
{
    constexpr std::string_view prefix = "/objects/";
    const std::string_view path = pathOf(request.target);
    if (!path.starts_with(prefix)) {
        respond(responder, reply(404, json::object()));
        return;
    }
    const std::string_view rest = path.substr(prefix.size());
    const auto slash = rest.find('/');
    const std::string kind = percentDecode(rest.substr(0, slash));
    const std::string name = slash == std::string_view::npos ? "" : percentDecode(rest.substr(slash + 1));
    const std::string watch = queryValue(request.target, "watch");
    if (request.method == "GET" && !watch.empty()) {
        const std::string wait = queryValue(request.target, "wait-ms");
        const Millis time = wait.empty() ? 0 : std::min<Millis>(std::stoll(wait), longestWatch);
        m_watches.push_back({ .responder = responder, .kind = kind, .since = std::stoull(watch), .until = m_record.now() + time });
        answerWatches();
        return;
    }
    respond(responder, request.method == "GET" ? read(kind, name) : change(request, kind, name));
    answerWatches();
}

HttpResponse Store::read(const std::string& kind, const std::string& name)
{
    const auto& objects = m_objects[kind];
    if (!name.empty()) {
        const auto found = objects.find(name);
        return found == objects.end() ? reply(404, json::object()) : reply(200, found->second);
    }
    ++m_lists[kind];
    json items = json::array();
    for (const auto& [objectName, object] : objects)
        items.push_back(object);
    return reply(200, { { "items", items }, { "has-more", false }, { "as-of", m_revision } });
}

HttpResponse Store::change(const HttpRequest& request, const std::string& kind, std::string name)
{
    const json body = json::parse(request.body, nullptr, false);
    if (request.method == "POST")
        name = body.at("meta").at("name").get<std::string>();
    auto& objects = m_objects[kind];
    const auto found = objects.find(name);
    if (request.method == "POST")
        return found != objects.end() ? reply(409, found->second) : reply(200, put(kind, name, body.at("spec")));
    if (found == objects.end())
        return reply(404, json::object());
    const auto stored = found->second.at("meta").at("revision").get<std::uint64_t>();
    std::string condition = queryValue(request.target, "revision");
    if (request.method == "PUT" && body.contains("meta") && body["meta"].contains("revision"))
        condition = std::to_string(body["meta"]["revision"].get<std::uint64_t>());
    if (!condition.empty() && std::stoull(condition) != stored)
        return reply(409, found->second);
    if (request.method == "DELETE")
        return reply(200, erase(kind, name));
    const bool isSame = found->second.at("spec") == body.at("spec");
    return reply(200, isSame ? found->second : put(kind, name, body.at("spec")));
}

json Store::put(const std::string& kind, const std::string& name, const json& spec)
{
    json object { { "meta", { { "name", name }, { "revision", ++m_revision } } }, { "spec", spec } };
    m_objects[kind][name] = object;
    m_events.push_back({ .revision = m_revision, .kind = kind, .isDeleted = false, .object = object });
    return object;
}

json Store::erase(const std::string& kind, const std::string& name)
{
    json object = m_objects[kind][name];
    object["meta"]["revision"] = ++m_revision;
    m_objects[kind].erase(name);
    m_events.push_back({ .revision = m_revision, .kind = kind, .isDeleted = true, .object = object });
    return object;
}

void Store::write(const std::string& kind, const std::string& name, const json& spec)
{
    put(kind, name, spec);
    m_record.add("operator: " + kind + "/" + name + " confirmed, revision " + std::to_string(m_revision));
    answerWatches();
}

void Store::remove(const std::string& kind, const std::string& name)
{
    erase(kind, name);
    m_record.add("operator: removal of " + kind + "/" + name + " confirmed, revision " + std::to_string(m_revision));
    answerWatches();
}

std::size_t Store::waitingWatches()
{
    std::erase_if(m_watches, [](const Watch& watch) { return !watch.responder->isOpen(); });
    return m_watches.size();
}

std::size_t Store::listsOf(const std::string& kind) const
{
    const auto found = m_lists.find(kind);
    return found == m_lists.end() ? 0 : found->second;
}

void Store::loseAnswers(Millis time)
{
    m_record.add("store: answers to the system are lost for " + std::to_string(time) + " ms; " + std::to_string(waitingWatches()) + " watches wait");
    m_losesUntil = m_record.now() + time;
    m_answersDue = 0;
    m_lost.clear();
}

void Store::respond(const std::shared_ptr<HttpResponder>& responder, const HttpResponse& response)
{
    ++m_answersDue;
    if (m_record.now() >= m_losesUntil) {
        responder->respond(response);
        return;
    }
    m_record.add("store: an answer is lost");
    m_lost.push_back(responder);
}

// Answers the watches that have an event and those whose time is over.
void Store::answerWatches()
{
    std::erase_if(m_watches, [this](const Watch& watch) {
        if (!watch.responder->isOpen())
            return true;
        json events = json::array();
        for (const Event& event : m_events) {
            if (event.kind == watch.kind && event.revision > watch.since)
                events.push_back({ { "deleted", event.isDeleted }, { "object", event.object } });
        }
        if (events.empty() && m_record.now() < watch.until)
            return false;
        respond(watch.responder, reply(200, { { "events", events }, { "as-of", m_revision } }));
        return true;
    });
    m_watchTimer.start(watchCheckInterval, [this] { answerWatches(); });
}

}
