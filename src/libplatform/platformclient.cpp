#include "platformclient.h"

#include "libhttp/httpclient.h"

#include <nlohmann/json.hpp>
#include <set>

namespace kingcuptrail {

using nlohmann::json;

namespace {

    constexpr int statusOk = 200;
    constexpr int statusNotFound = 404;
    constexpr int statusConflict = 409;
    constexpr int statusGone = 410;
    constexpr int serverErrors = 500;

    std::optional<PlatformObject> objectFromJson(const json& document)
    {
        PlatformObject object { .name = document.at("name").get<std::string>(), .version = document.at("version").get<ObjectVersion>(), .value = {} };
        if (const json& value = document.at("value"); !value.is_null())
            object.value = value.dump();
        return object;
    }

    std::optional<ObjectList> listFromJson(const json& document)
    {
        ObjectList list { .version = document.at("version").get<ObjectVersion>(), .objects = {} };
        for (const json& object : document.at("objects"))
            list.objects.push_back(*objectFromJson(object));
        return list;
    }

    std::optional<ObjectVersion> versionFromJson(const json& document)
    {
        return document.at("version").get<ObjectVersion>();
    }

    template <typename Result>
    std::optional<Result> parseBody(const std::string& body, std::optional<Result> (*read)(const json&))
    {
        const json document = json::parse(body, nullptr, false);
        if (document.is_discarded())
            return std::nullopt;
        try {
            return read(document);
        } catch (const json::exception&) {
            return std::nullopt;
        }
    }

    PlatformError errorOfStatus(int status)
    {
        switch (status) {
        case statusOk:
            return PlatformError::None;
        case statusNotFound:
            return PlatformError::NotFound;
        case statusConflict:
            return PlatformError::Conflict;
        case statusGone:
            return PlatformError::Gone;
        default:
            // A server error says nothing about whether the write took effect before it.
            return status >= serverErrors ? PlatformError::NoAnswer : PlatformError::Refused;
        }
    }

    PlatformError errorOfOutcome(const HttpOutcome& outcome)
    {
        return outcome.mayHaveReached ? PlatformError::NoAnswer : PlatformError::Unreachable;
    }

    std::string objectTarget(const std::string& kind, const std::string& name)
    {
        return "/objects/" + percentEncode(kind) + "/" + percentEncode(name);
    }

}

struct PlatformClient::Private {
    using Calls = std::set<std::shared_ptr<HttpCall>>;

    template <typename Result>
    void call(HttpRequest request, Millis timeout, std::optional<Result> (*read)(const json&), Handler<Result> handler);

    asio::io_context& context;
    PlatformOptions options;
    /// Shared with the calls' completions, which outlive the client by a moment when it is destroyed in one of them.
    std::shared_ptr<Calls> calls = std::make_shared<Calls>();
    std::uint64_t callsMade = 0;
};

template <typename Result>
void PlatformClient::Private::call(HttpRequest request, Millis timeout, std::optional<Result> (*read)(const json&), Handler<Result> handler)
{
    ++callsMade;
    if (!options.client.empty())
        request.headers.push_back({ .name = "X-Client", .value = options.client });
    const HttpCallOptions callOptions { .connectTimeout = options.connectTimeout, .timeout = timeout };
    const auto holder = std::make_shared<std::weak_ptr<HttpCall>>();
    HttpCall::Handlers handlers;
    const bool isWrite = request.method != "GET";
    handlers.onDone = [known = calls, holder, read, isWrite, handler = std::move(handler)](const std::optional<HttpResponse>& response, const HttpOutcome& outcome) {
        known->erase(holder->lock());
        if (!response) {
            handler(std::nullopt, errorOfOutcome(outcome));
            return;
        }
        const PlatformError error = errorOfStatus(response->status);
        if (error != PlatformError::None) {
            handler(std::nullopt, error);
            return;
        }
        auto result = parseBody(response->body, read);
        // What a garbled answer was meant to say about a write is not known.
        const PlatformError garbled = isWrite ? PlatformError::NoAnswer : PlatformError::BadAnswer;
        const PlatformError reason = result ? PlatformError::None : garbled;
        handler(std::move(result), reason);
    };
    const auto started = startHttpCall(context, options.server, std::move(request), callOptions, std::move(handlers));
    *holder = started;
    calls->insert(started);
}

PlatformClient::PlatformClient(asio::io_context& context, const PlatformOptions& options)
    : m_d(new Private { .context = context, .options = options })
{
}

PlatformClient::~PlatformClient()
{
    cancelAll();
}

void PlatformClient::get(const std::string& kind, const std::string& name, Handler<PlatformObject> handler)
{
    m_d->call<PlatformObject>({ .target = objectTarget(kind, name) }, m_d->options.callTimeout, objectFromJson, std::move(handler));
}

void PlatformClient::list(const std::string& kind, Handler<ObjectList> handler)
{
    m_d->call<ObjectList>({ .target = "/objects/" + percentEncode(kind) }, m_d->options.callTimeout, listFromJson, std::move(handler));
}

void PlatformClient::put(const std::string& kind, const std::string& name, std::string value, ObjectVersion ifVersion, Handler<ObjectVersion> handler)
{
    HttpRequest request {
        .method = "PUT",
        .target = objectTarget(kind, name) + "?ifVersion=" + std::to_string(ifVersion),
        .headers = { { .name = "Content-Type", .value = "application/json" } },
        .body = std::move(value),
    };
    m_d->call<ObjectVersion>(std::move(request), m_d->options.callTimeout, versionFromJson, std::move(handler));
}

void PlatformClient::remove(const std::string& kind, const std::string& name, ObjectVersion ifVersion, Handler<ObjectVersion> handler)
{
    HttpRequest request { .method = "DELETE", .target = objectTarget(kind, name) + "?ifVersion=" + std::to_string(ifVersion) };
    m_d->call<ObjectVersion>(std::move(request), m_d->options.callTimeout, versionFromJson, std::move(handler));
}

void PlatformClient::watch(const std::string& kind, ObjectVersion since, Handler<ObjectList> handler)
{
    const Millis wait = m_d->options.watchWait;
    const std::string target = "/watch/" + percentEncode(kind) + "?since=" + std::to_string(since) + "&wait=" + std::to_string(wait);
    m_d->call<ObjectList>({ .target = target }, wait + m_d->options.callTimeout, listFromJson, std::move(handler));
}

void PlatformClient::cancelAll()
{
    const auto calls = std::move(*m_d->calls);
    m_d->calls->clear();
    for (const auto& call : calls)
        call->cancel();
}

std::uint64_t PlatformClient::callsMade() const
{
    return m_d->callsMade;
}

}
