#include "upstream.h"

#include <asio/post.hpp>
#include <nlohmann/json.hpp>
#include <xxhash.h>

namespace kingcuptrail {

namespace {

    /// Factor on the time of a request that begins while the upstream already serves as many requests as it can.
    constexpr Millis overloadFactor = 10;
    constexpr std::string_view keyHeader = "X-Request-Key";
    constexpr std::string_view hashHeader = "X-Body-Hash";
    constexpr std::string_view serviceHeader = "X-Service";

    std::uint64_t hashOf(std::string_view body)
    {
        return XXH3_64bits(body.data(), body.size());
    }

}

struct Upstream::Work {
    Work(asio::io_context& context, std::uint32_t& counter)
        : timer(context)
        , concurrent(counter)
    {
        ++concurrent;
    }

    ~Work() { --concurrent; }
    Work(const Work&) = delete;
    Work& operator=(const Work&) = delete;

    asio::steady_timer timer;
    std::uint32_t& concurrent;
    HttpRequest request;
    std::shared_ptr<HttpResponder> responder;
};

Upstream::Upstream(asio::io_context& context, const UpstreamOptions& options, HistoryWriter* history)
    : m_context(context)
    , m_options(options)
    , m_history(history)
    , m_coldSince(std::chrono::steady_clock::now())
{
    HistoryEvent started = event(HistoryKind::UpstreamStarted, {});
    started.upstreamId = options.id;
    record(std::move(started));
}

void Upstream::handle(HttpRequest request, std::shared_ptr<HttpResponder> responder)
{
    const std::string_view path = pathOf(request.target);
    if (path == "/health") {
        responder->respond({ .status = m_behaviour.isHealthy || m_behaviour.lies ? 200 : 503 });
        return;
    }
    if (path == "/load") {
        const nlohmann::json load { { "busy", m_behaviour.lies ? 0 : m_concurrent }, { "slots", m_options.slots } };
        responder->respond({ .body = load.dump() });
        return;
    }
    if (path == "/control") {
        handleControl(request.body, *responder);
        return;
    }
    // The start is posted, so that requests whose connections the agent closed before this one are no longer counted.
    asio::post(m_context, [this, request = std::move(request), responder = std::move(responder)]() mutable { begin(std::move(request), std::move(responder)); });
}

void Upstream::handleControl(const std::string& json, HttpResponder& responder)
{
    const auto document = nlohmann::json::parse(json, nullptr, false);
    if (!document.is_object()) {
        responder.respond({ .status = 400 });
        return;
    }
    m_behaviour.slowFactor = document.value("slowFactor", m_behaviour.slowFactor);
    m_behaviour.sheds = document.value("sheds", m_behaviour.sheds);
    m_behaviour.lies = document.value("lies", m_behaviour.lies);
    m_behaviour.isHealthy = document.value("healthy", m_behaviour.isHealthy);
    m_options.coldFor = document.value("coldForMs", m_options.coldFor);
    if (document.value("cold", false))
        m_coldSince = std::chrono::steady_clock::now();
    responder.respond({ .body = "{}" });
}

void Upstream::begin(HttpRequest request, std::shared_ptr<HttpResponder> responder)
{
    if (!responder->isOpen())
        return;
    const std::string requestedService(headerValue(request.headers, serviceHeader));
    if (!requestedService.empty() && requestedService != m_options.service) {
        HistoryEvent misrouted = event(HistoryKind::UpstreamPacket, request);
        misrouted.service = requestedService;
        record(std::move(misrouted));
    }
    if (m_behaviour.sheds) {
        responder->respond({ .status = 503, .headers = { { "X-Request-Ran", "no" } } });
        return;
    }
    if (std::to_string(hashOf(request.body)) != headerValue(request.headers, hashHeader)) {
        responder->respond({ .status = 400, .body = "body does not agree with its hash" });
        return;
    }
    auto work = std::make_shared<Work>(m_context, m_concurrent);
    work->request = std::move(request);
    work->responder = std::move(responder);
    HistoryEvent began = event(HistoryKind::UpstreamWorkBegan, work->request);
    began.bodyHash = hashOf(work->request.body);
    began.concurrent = m_concurrent;
    began.bearable = bearable();
    const bool isOverloaded = began.concurrent > began.bearable;
    record(began);
    if (isOverloaded) {
        began.kind = HistoryKind::UpstreamOverloaded;
        record(std::move(began));
    }
    const bool isFiling = work->request.method == "POST";
    const Millis base = (isFiling ? m_options.filingTime : m_options.queryTime) * (isOverloaded ? overloadFactor : 1);
    work->timer.expires_after(std::chrono::milliseconds(static_cast<Millis>(static_cast<double>(base) * m_behaviour.slowFactor)));
    // When the client disconnects, cancelling the timer drops its handler, which holds the last reference to the work.
    work->responder->setOnDisconnect([weak = std::weak_ptr(work)] {
        if (const auto gone = weak.lock())
            gone->timer.cancel();
    });
    work->timer.async_wait([this, work](asio::error_code error) {
        if (!error && work->responder->isOpen())
            finish(work);
    });
}

void Upstream::finish(const std::shared_ptr<Work>& work)
{
    HistoryEvent ended = event(HistoryKind::UpstreamWorkEnded, work->request);
    if (pathOf(work->request.target) == "/feed") {
        record(std::move(ended));
        work->responder->setOnDisconnect({});
        work->responder->beginStream(200, { { "Content-Type", "text/plain" } });
        feed(work->responder, 1);
        return;
    }
    const nlohmann::json receipt {
        { "key", headerValue(work->request.headers, keyHeader) },
        { "hash", std::to_string(hashOf(work->request.body)) },
        { "target", work->request.target },
        { "upstream", m_options.name },
    };
    HttpResponse response { .headers = { { "Content-Type", "application/json" } }, .body = receipt.dump() };
    ended.bodyHash = hashOf(response.body);
    record(std::move(ended));
    work->responder->respond(std::move(response));
}

void Upstream::feed(std::shared_ptr<HttpResponder> responder, std::uint64_t number)
{
    if (!responder->isOpen())
        return;
    responder->writeChunk("item " + std::to_string(number) + "\n");
    auto timer = std::make_shared<asio::steady_timer>(m_context, std::chrono::milliseconds(m_options.feedInterval));
    timer->async_wait([this, timer, responder = std::move(responder), number](asio::error_code error) mutable {
        if (!error)
            feed(std::move(responder), number + 1);
    });
}

std::uint32_t Upstream::bearable() const
{
    const Millis elapsed = std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::steady_clock::now() - m_coldSince).count();
    if (elapsed >= m_options.coldFor || m_options.coldConcurrency >= m_options.slots)
        return m_options.slots;
    const auto grown = static_cast<std::uint32_t>((m_options.slots - m_options.coldConcurrency) * elapsed / m_options.coldFor);
    return m_options.coldConcurrency + grown;
}

HistoryEvent Upstream::event(HistoryKind kind, const HttpRequest& request) const
{
    HistoryEvent event { .kind = kind, .service = m_options.service, .upstream = m_options.name, .dataCentre = m_options.dataCentre };
    event.key = headerValue(request.headers, keyHeader);
    event.idempotent = request.method == "GET";
    return event;
}

void Upstream::record(HistoryEvent event)
{
    if (m_history)
        m_history->append(std::move(event));
}

}
