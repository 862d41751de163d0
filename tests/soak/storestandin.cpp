#include "storestandin.h"

#include <asio/post.hpp>

namespace kingcuptrail {

using nlohmann::json;

namespace {

    constexpr Millis usualDelay = 4;
    constexpr Millis slowDelay = 240;

    struct Target {
        std::string kind;
        std::string name;
    };

    Target targetOf(const HttpRequest& request)
    {
        std::string path(pathOf(request.target));
        path.erase(0, std::string("/objects/").size());
        const auto slash = path.find('/');
        if (slash == std::string::npos)
            return { .kind = path, .name = {} };
        return { .kind = path.substr(0, slash), .name = percentDecode(path.substr(slash + 1)) };
    }

}

StoreStandIn::StoreStandIn(asio::io_context& context, std::uint32_t seed)
    : m_context(context)
    , m_random(seed)
{
}

std::uint16_t StoreStandIn::openPort(const std::string& host, const asio::ip::address& address)
{
    asio::error_code error;
    m_servers.push_back(HttpServer::listen(
        m_context, { address, 0 }, {}, [this, host](const HttpRequest& request, const std::shared_ptr<HttpResponder>& responder) { handle(host, request, responder); }, error));
    return m_servers.back()->localEndpoint().port();
}

void StoreStandIn::setFault(const std::string& host, StoreFault fault)
{
    m_faults[host] = fault;
}

StoreFault StoreStandIn::faultOf(const std::string& host) const
{
    const auto hostFault = m_faults.find(host);
    if (hostFault != m_faults.end() && hostFault->second != StoreFault::None)
        return hostFault->second;
    const auto allHostsFault = m_faults.find("");
    return allHostsFault != m_faults.end() ? allHostsFault->second : StoreFault::None;
}

void StoreStandIn::dropHistory()
{
    m_historyFrom = m_revision;
    m_events.clear();
}

void StoreStandIn::handle(const std::string& host, const HttpRequest& request, const std::shared_ptr<HttpResponder>& responder)
{
    const StoreFault fault = faultOf(host);
    if (fault == StoreFault::Reset) {
        responder->abort();
        return;
    }
    if (fault == StoreFault::Busy) {
        responder->respond(response(503, json::object()));
        return;
    }
    const std::uint64_t id = ++m_lastDelay;
    auto delay = std::make_unique<Delay>(m_context);
    Delay& timer = *delay;
    m_delays.emplace(id, std::move(delay));
    timer.start(fault == StoreFault::Slow ? slowDelay : usualDelay, [this, id, host, request, responder] {
        // The removal is posted, because a timer must not be destroyed while its handler runs.
        asio::post(m_context, [this, id] { m_delays.erase(id); });
        answer(host, request, responder);
    });
}

void StoreStandIn::answer(const std::string& host, const HttpRequest& request, const std::shared_ptr<HttpResponder>& responder)
{
    const Target target = targetOf(request);
    const StoreFault fault = faultOf(host);
    if (request.method == "GET") {
        if (fault == StoreFault::Silent)
            m_pendingRequests.push_back({ .responder = responder, .host = host, .kind = "(silent)", .since = 0 });
        else
            answerRead(host, request, target.kind, target.name, responder);
        return;
    }
    const bool isLost = fault == StoreFault::Lost && m_random() % 3 == 0;
    if (fault == StoreFault::Silent) {
        m_pendingRequests.push_back({ .responder = responder, .host = host, .kind = "(silent)", .since = 0 });
        return;
    }
    const HttpResponse written = applyWrite(request, target.kind, target.name);
    if (isLost)
        m_pendingRequests.push_back({ .responder = responder, .host = host, .kind = "(lost)", .since = 0 });
    else
        responder->respond(written);
    answerPending();
}

void StoreStandIn::answerRead(const std::string& host, const HttpRequest& request, const std::string& kind, const std::string& name, const std::shared_ptr<HttpResponder>& responder)
{
    if (!name.empty()) {
        const auto& objects = m_objects[kind];
        const auto found = objects.find(name);
        responder->respond(found == objects.end() ? response(404, json::object()) : response(200, found->second));
        return;
    }
    const std::string watch = queryValue(request.target, "watch");
    if (watch.empty()) {
        json items = json::array();
        for (const auto& [objectName, object] : m_objects[kind])
            items.push_back(object);
        responder->respond(response(200, { { "items", items }, { "has-more", false }, { "as-of", m_revision } }));
        return;
    }
    const std::uint64_t since = std::stoull(watch);
    if (since < m_historyFrom)
        responder->respond(response(410, json::object()));
    else
        m_pendingRequests.push_back({ .responder = responder, .host = host, .kind = kind, .since = since });
    answerPending();
}

HttpResponse StoreStandIn::applyWrite(const HttpRequest& request, const std::string& kind, std::string name)
{
    const json body = json::parse(request.body, nullptr, false);
    if (request.method == "POST")
        name = body.at("meta").at("name").get<std::string>();
    auto& objects = m_objects[kind];
    const auto found = objects.find(name);
    if (request.method == "POST")
        return found != objects.end() ? response(409, found->second) : response(200, store(kind, name, body.at("spec")));
    if (found == objects.end())
        return response(404, json::object());
    const std::uint64_t storedRevision = found->second.at("meta").at("revision").get<std::uint64_t>();
    const std::string condition = request.method == "DELETE" ? queryValue(request.target, "revision") : std::to_string(body.at("meta").value("revision", storedRevision));
    if (!condition.empty() && std::stoull(condition) != storedRevision)
        return response(409, found->second);
    if (request.method == "PUT")
        return response(200, store(kind, name, body.at("spec")));
    json removed = found->second;
    remove(kind, name);
    return response(200, removed);
}

json StoreStandIn::store(const std::string& kind, const std::string& name, const json& spec)
{
    json object { { "meta", { { "name", name }, { "revision", ++m_revision } } }, { "spec", spec } };
    m_objects[kind][name] = object;
    m_events.push_back({ .revision = m_revision, .kind = kind, .isDeleted = false, .object = object });
    return object;
}

std::uint64_t StoreStandIn::write(const std::string& kind, const std::string& name, const json& spec)
{
    store(kind, name, spec);
    answerPending();
    return m_revision;
}

void StoreStandIn::writeText(const std::string& kind, const std::string& name, const std::string& spec)
{
    const std::string placeholder = "(text of " + name + ")";
    m_texts[json(placeholder).dump()] = spec;
    write(kind, name, placeholder);
}

HttpResponse StoreStandIn::response(int status, const json& body) const
{
    std::string text = body.dump();
    for (const auto& [placeholder, spec] : m_texts) {
        for (std::size_t found = text.find(placeholder); found != std::string::npos; found = text.find(placeholder, found + spec.size()))
            text.replace(found, placeholder.size(), spec);
    }
    return { .status = status, .headers = { { "Content-Type", "application/json" } }, .body = std::move(text) };
}

void StoreStandIn::remove(const std::string& kind, const std::string& name)
{
    json object = m_objects[kind][name];
    object["meta"]["revision"] = ++m_revision;
    m_objects[kind].erase(name);
    m_events.push_back({ .revision = m_revision, .kind = kind, .isDeleted = true, .object = object });
    answerPending();
}

json StoreStandIn::eventsSince(const std::string& kind, std::uint64_t since) const
{
    json events = json::array();
    for (const Event& event : m_events) {
        if (event.kind == kind && event.revision > since)
            events.push_back({ { "deleted", event.isDeleted }, { "object", event.object } });
    }
    return events;
}

void StoreStandIn::answerPending()
{
    std::erase_if(m_pendingRequests, [this](const PendingRequest& pending) {
        if (!pending.responder->isOpen())
            return true;
        const StoreFault fault = faultOf(pending.host);
        if (pending.kind.starts_with("(") || fault == StoreFault::Silent)
            return false;
        const json events = eventsSince(pending.kind, pending.since);
        if (events.empty())
            return false;
        pending.responder->respond(response(200, { { "events", events }, { "as-of", m_revision } }));
        return true;
    });
}

}
