#include "platformclient.h"

#include "libhttp/httpclient.h"
#include "storedialect.h"

#include <algorithm>
#include <set>

namespace kingcuptrail {

namespace {

    /// The last name that could be read; a page continues after it.
    std::string lastNameOf(const ObjectList& list)
    {
        const auto named = std::find_if(list.objects.rbegin(), list.objects.rend(), [](const PlatformObject& object) { return !object.name.empty(); });
        return named != list.objects.rend() ? named->name : std::string();
    }

    PlatformError errorFromOutcome(const HttpOutcome& outcome)
    {
        return outcome.mayHaveReached ? PlatformError::NoAnswer : PlatformError::Unreachable;
    }

}

struct PlatformClient::Private {
    using Calls = std::set<std::shared_ptr<HttpCall>>;

    template <typename Result>
    void call(HttpRequest request, Millis timeout, std::optional<Result> (*read)(const std::string&), Handler<Result> handler);

    const StoreDialect& dialect() const { return options.dialect ? *options.dialect : plainDialect(); }
    void listNextPage(std::string kind, ReadFreshness freshness, ObjectList listed, Handler<ObjectList> handler);

    asio::io_context& context;
    PlatformOptions options;
    /// Shared with the completion handlers of the calls, since the client may be destroyed inside one of them.
    std::shared_ptr<Calls> calls = std::make_shared<Calls>();
    std::uint64_t callsMade = 0;
};

template <typename Result>
void PlatformClient::Private::call(HttpRequest request, Millis timeout, std::optional<Result> (*read)(const std::string&), Handler<Result> handler)
{
    ++callsMade;
    if (!options.client.empty())
        request.headers.push_back({ .name = "X-Client", .value = options.client });
    const HttpCallOptions callOptions { .connectTimeout = options.connectTimeout, .timeout = timeout, .keepAliveTimeout = options.keepAliveTimeout };
    const auto weakCall = std::make_shared<std::weak_ptr<HttpCall>>();
    HttpCall::Handlers handlers;
    const bool isWrite = request.method != "GET";
    handlers.onDone = [pending = calls, weakCall, read, isWrite, errorFromStatus = dialect().errorFromStatus, handler = std::move(handler)](const std::optional<HttpResponse>& response, const HttpOutcome& outcome) {
        pending->erase(weakCall->lock());
        if (!response) {
            handler(std::nullopt, errorFromOutcome(outcome));
            return;
        }
        const PlatformError error = errorFromStatus(response->status);
        if (error != PlatformError::None) {
            handler(std::nullopt, error);
            return;
        }
        auto result = read(response->body);
        // A response that cannot be decoded does not show whether a write took effect.
        const PlatformError decodeFailure = isWrite ? PlatformError::NoAnswer : PlatformError::BadAnswer;
        const PlatformError reason = result ? PlatformError::None : decodeFailure;
        handler(std::move(result), reason);
    };
    const auto started = startHttpCall(context, options.server, std::move(request), callOptions, std::move(handlers));
    *weakCall = started;
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

// A store returns a long list in pages. The list gets the version of its first page, so that a watch from there repeats the
// changes made while the other pages were read.
void PlatformClient::Private::listNextPage(std::string kind, ReadFreshness freshness, ObjectList listed, Handler<ObjectList> handler)
{
    const std::string after = lastNameOf(listed);
    HttpRequest request = dialect().list(kind, after, freshness);
    call<ObjectPage>(std::move(request), options.callTimeout, dialect().decodePage,
        [this, after, freshness, kind = std::move(kind), listed = std::move(listed), handler = std::move(handler)](std::optional<ObjectPage> page, PlatformError error) mutable {
            if (!page) {
                handler(std::nullopt, error);
                return;
            }
            if (listed.objects.empty())
                listed.version = page->list.version;
            std::move(page->list.objects.begin(), page->list.objects.end(), std::back_inserter(listed.objects));
            // A page on which no name can be read does not show where the next one begins.
            if (page->hasMore && lastNameOf(listed) != after)
                listNextPage(std::move(kind), freshness, std::move(listed), std::move(handler));
            else
                handler(std::move(listed), PlatformError::None);
        });
}

void PlatformClient::get(const std::string& kind, const std::string& name, Handler<PlatformObject> handler, ReadFreshness freshness)
{
    const StoreDialect& dialect = m_d->dialect();
    m_d->call<PlatformObject>(dialect.get(kind, name, freshness), m_d->options.callTimeout, dialect.decodeObject, std::move(handler));
}

void PlatformClient::list(const std::string& kind, Handler<ObjectList> handler, ReadFreshness freshness)
{
    m_d->listNextPage(kind, freshness, {}, std::move(handler));
}

void PlatformClient::put(const std::string& kind, const std::string& name, const std::string& value, ObjectVersion ifVersion, Handler<ObjectVersion> handler)
{
    const StoreDialect& dialect = m_d->dialect();
    m_d->call<ObjectVersion>(dialect.put(kind, name, value, ifVersion), m_d->options.callTimeout, dialect.decodeVersion, std::move(handler));
}

void PlatformClient::remove(const std::string& kind, const std::string& name, ObjectVersion ifVersion, Handler<ObjectVersion> handler)
{
    const StoreDialect& dialect = m_d->dialect();
    m_d->call<ObjectVersion>(dialect.remove(kind, name, ifVersion), m_d->options.callTimeout, dialect.decodeVersion, std::move(handler));
}

void PlatformClient::watch(const std::string& kind, ObjectVersion since, Handler<ObjectList> handler)
{
    const Millis wait = m_d->options.watchWait;
    const StoreDialect& dialect = m_d->dialect();
    m_d->call<ObjectList>(dialect.watch(kind, since, wait, ReadFreshness::Current), wait + m_d->options.callTimeout, dialect.decodeChanges, std::move(handler));
}

void PlatformClient::changesSince(const std::string& kind, ObjectVersion since, Handler<ObjectList> handler)
{
    constexpr Millis shortestWait = 1;
    const StoreDialect& dialect = m_d->dialect();
    m_d->call<ObjectList>(dialect.watch(kind, since, shortestWait, ReadFreshness::MayBeStale), m_d->options.callTimeout, dialect.decodeChanges, std::move(handler));
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
