#include "platformserver.h"

#include <algorithm>
#include <chrono>
#include <nlohmann/json.hpp>

namespace kingcuptrail {

using nlohmann::json;

namespace {

    constexpr std::size_t maxValueBytes = std::size_t { 1024 } * 1024;
    constexpr Millis maxWatchWait = 60000;

    std::uint64_t parseNumber(const std::string& text)
    {
        return std::strtoull(text.c_str(), nullptr, 10);
    }

    std::string serialise(const PlatformObject& object)
    {
        return R"({"name":)" + json(object.name).dump() + R"(,"version":)" + std::to_string(object.version) + R"(,"value":)" + object.value.value_or("null") + "}";
    }

    std::string serialise(const ObjectList& list)
    {
        std::string text = R"({"version":)" + std::to_string(list.version) + R"(,"objects":[)";
        for (std::size_t index = 0; index < list.objects.size(); ++index)
            text.append(index == 0 ? "" : ",").append(serialise(list.objects[index]));
        return text + "]}";
    }

    std::string versionBody(ObjectVersion version)
    {
        return R"({"version":)" + std::to_string(version) + "}";
    }

}

struct PlatformServer::Call {
    HttpRequest request;
    std::shared_ptr<HttpResponder> responder;
    /// The segments of the path, percent-decoded: "objects", kind, name.
    std::vector<std::string> parts;

    bool isWrite() const { return request.method != "GET"; }
};

struct PlatformServer::Watch {
    std::string kind;
    ObjectVersion since = 0;
    std::shared_ptr<HttpResponder> responder;
    std::unique_ptr<Delay> limit;
};

std::unique_ptr<PlatformServer> PlatformServer::listen(asio::io_context& context, const asio::ip::tcp::endpoint& endpoint, OnCall onCall)
{
    auto made = std::make_unique<PlatformServer>(context, std::move(onCall));
    asio::error_code error;
    made->m_server = HttpServer::listen(
        context, endpoint, { .maxBodyBytes = maxValueBytes },
        [server = made.get()](HttpRequest request, const std::shared_ptr<HttpResponder>& responder) { server->handle(std::move(request), responder); }, error);
    return made->m_server ? std::move(made) : nullptr;
}

PlatformServer::PlatformServer(asio::io_context& context, OnCall onCall)
    : m_context(context)
    , m_onCall(std::move(onCall))
{
}

PlatformServer::~PlatformServer()
{
    dropWatches();
    m_unansweredCalls.clear();
}

PlatformCalls PlatformServer::calls() const
{
    PlatformCalls calls = m_calls;
    calls.waitingWatches = m_watches.size();
    return calls;
}

void PlatformServer::setFaults(const PlatformFaults& faults)
{
    m_faults = faults;
    m_unansweredCalls.clear();
    if (faults.down && faults.downFor.empty())
        dropWatches();
}

void PlatformServer::handle(HttpRequest request, const std::shared_ptr<HttpResponder>& responder)
{
    auto call = std::make_shared<Call>(Call { .request = std::move(request), .responder = responder, .parts = {} });
    std::string_view path = pathOf(call->request.target).substr(1);
    while (!path.empty()) {
        const std::size_t end = std::min(path.find('/'), path.size());
        call->parts.push_back(percentDecode(path.substr(0, end)));
        path.remove_prefix(std::min(end + 1, path.size()));
    }
    const std::string client(headerValue(call->request.headers, "X-Client"));
    const bool isDown = m_faults.down && (m_faults.downFor.empty() || m_faults.downFor == client);
    const bool isSlow = m_faults.delay > 0 && (m_faults.slowFor.empty() || m_faults.slowFor == client);
    if (call->parts.size() == 1)
        handleControl(*call);
    else if (isDown && m_faults.hang)
        m_unansweredCalls.push_back(responder);
    else if (isDown)
        responder->abort();
    else if (isSlow)
        handleDelayed(std::move(call));
    else
        perform(*call);
}

void PlatformServer::handleControl(const Call& call)
{
    if (call.parts.front() == "calls") {
        const PlatformCalls now = calls();
        const json body { { "reads", now.reads }, { "writes", now.writes }, { "watches", now.waitingWatches } };
        call.responder->respond({ .status = 200, .headers = {}, .body = body.dump() });
        return;
    }
    const json wanted = json::parse(call.request.body, nullptr, false);
    if (call.parts.front() != "faults" || call.request.method != "POST" || !wanted.is_object()) {
        call.responder->respond({ .status = 404, .headers = {}, .body = {} });
        return;
    }
    setFaults({
        .down = wanted.value("down", false),
        .hang = wanted.value("hang", false),
        .downFor = wanted.value("downFor", std::string()),
        .delay = wanted.value("delayMs", Millis { 0 }),
        .slowFor = wanted.value("slowFor", std::string()),
        .loseAnswers = wanted.value("loseAnswers", 0U),
    });
    call.responder->respond({ .status = 200, .headers = {}, .body = "{}" });
}

void PlatformServer::handleDelayed(std::shared_ptr<Call> call)
{
    const auto delay = std::make_shared<Delay>(m_context);
    m_delays.insert(delay);
    delay->start(m_faults.delay, [this, delay = delay.get(), call = std::move(call)] {
        perform(*call);
        std::erase_if(m_delays, [delay](const auto& known) { return known.get() == delay; });
    });
}

void PlatformServer::perform(const Call& call)
{
    ++(call.isWrite() ? m_calls.writes : m_calls.reads);
    if (call.parts.size() == 2 && call.parts[0] == "watch" && !call.isWrite())
        performWatch(call);
    else if (call.parts.size() == 2 && call.parts[0] == "objects" && !call.isWrite())
        answer(call, 200, serialise(m_store.list(call.parts[1])));
    else if (call.parts.size() == 3 && call.parts[0] == "objects")
        performObject(call);
    else
        answer(call, 404, "{}");
}

void PlatformServer::performObject(const Call& call)
{
    const std::string& kind = call.parts[1];
    const std::string& name = call.parts[2];
    const ObjectVersion ifVersion = parseNumber(queryValue(call.request.target, "ifVersion"));
    if (call.request.method == "GET") {
        const auto object = m_store.get(kind, name);
        answer(call, object ? 200 : 404, object ? serialise(*object) : "{}");
    } else if (call.request.method == "PUT") {
        if (json::accept(call.request.body))
            answerWrite(call, m_store.put(kind, name, call.request.body, ifVersion));
        else
            answer(call, 400, "{}");
    } else if (call.request.method == "DELETE") {
        answerWrite(call, m_store.remove(kind, name, ifVersion));
    } else {
        answer(call, 405, "{}");
    }
}

void PlatformServer::answerWrite(const Call& call, const StoreResult& result)
{
    const bool isDone = result.error == PlatformError::None;
    const int errorStatus = result.error == PlatformError::Conflict ? 409 : 404;
    if (isDone && m_faults.loseAnswers > 0) {
        --m_faults.loseAnswers;
        answer(call, 0, versionBody(result.version));
    } else {
        answer(call, isDone ? 200 : errorStatus, versionBody(result.version));
    }
    if (isDone)
        wakeWatches(call.parts[1]);
}

/// Status 0 closes the connection without an answer.
void PlatformServer::answer(const Call& call, int status, std::string body)
{
    if (m_onCall) {
        const auto now = std::chrono::steady_clock::now().time_since_epoch();
        m_onCall(json {
            { "ms", std::chrono::duration_cast<std::chrono::milliseconds>(now).count() },
            { "client", headerValue(call.request.headers, "X-Client") },
            { "method", call.request.method },
            { "target", call.request.target },
            { "status", status },
            { "value", call.isWrite() ? call.request.body : "" },
            { "answer", call.isWrite() ? body : "" },
        }
                     .dump());
    }
    if (status == 0)
        call.responder->abort();
    else
        call.responder->respond({ .status = status, .headers = { { .name = "Content-Type", .value = "application/json" } }, .body = std::move(body) });
}

void PlatformServer::performWatch(const Call& call)
{
    const ObjectVersion since = parseNumber(queryValue(call.request.target, "since"));
    const auto changes = m_store.changesSince(call.parts[1], since);
    if (!changes || !changes->objects.empty()) {
        answer(call, changes ? 200 : 410, changes ? serialise(*changes) : "{}");
        return;
    }
    const Millis wait = std::min<Millis>(maxWatchWait, static_cast<Millis>(parseNumber(queryValue(call.request.target, "wait"))));
    m_watches.push_back({ .kind = call.parts[1], .since = since, .responder = call.responder, .limit = std::make_unique<Delay>(m_context) });
    const auto place = std::prev(m_watches.end());
    place->limit->start(wait, [this, place] {
        place->responder->respond({ .status = 200, .headers = {}, .body = serialise(ObjectList { .version = m_store.version(), .objects = {} }) });
        const Watch done = std::move(*place);
        m_watches.erase(place);
    });
    place->responder->setOnDisconnect([this, place] {
        const Watch gone = std::move(*place);
        m_watches.erase(place);
    });
}

bool PlatformServer::answerWatch(Watch& watch)
{
    const auto changes = m_store.changesSince(watch.kind, watch.since);
    if (changes && changes->objects.empty())
        return false;
    watch.responder->respond({ .status = changes ? 200 : 410, .headers = {}, .body = changes ? serialise(*changes) : "{}" });
    return true;
}

void PlatformServer::wakeWatches(const std::string& kind)
{
    m_watches.remove_if([this, &kind](Watch& watch) { return watch.kind == kind && answerWatch(watch); });
}

void PlatformServer::dropWatches()
{
    const std::list<Watch> dropped = std::move(m_watches);
    m_watches.clear();
    for (const Watch& watch : dropped) {
        watch.responder->setOnDisconnect(nullptr);
        watch.responder->abort();
    }
}

}
