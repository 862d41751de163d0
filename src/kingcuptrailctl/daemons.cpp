#include "daemons.h"

#include "blocking.h"
#include "libhttp/httpclient.h"
#include "libplatform/jsontext.h"
#include "libruntime/settings.h"

#include <nlohmann/json.hpp>

namespace kingcuptrail {

using nlohmann::json;

namespace {

    constexpr int statusOk = 200;

    /// Limits concurrent queries. Connecting to thousands of daemons at once would need more file descriptors than a
    /// process may open, and cause a burst of connections on every host. As one answer takes milliseconds, thousands of
    /// daemons can still be queried within seconds.
    constexpr std::size_t maxConcurrentQueries = 64;

    std::optional<DaemonEntry> parseEntry(const PlatformObject& object)
    {
        const json document = parseJson(object.value.value_or(""));
        if (!document.is_object())
            return std::nullopt;
        try {
            const auto admin = parseEndpoint(document.at("admin").get<std::string>());
            if (!admin)
                return std::nullopt;
            return DaemonEntry {
                .name = document.value("name", object.name),
                .role = document.value("role", std::string()),
                .dataCentre = document.value("dataCentre", std::string()),
                .admin = *admin,
            };
        } catch (const json::exception&) {
            return std::nullopt;
        }
    }

    std::string nameOfAddress(const asio::ip::tcp::endpoint& admin)
    {
        return admin.address().to_string() + ":" + std::to_string(admin.port());
    }

    std::optional<DaemonStatus> parseStatus(const std::string& text)
    {
        const json document = parseJson(text);
        if (!document.is_object())
            return std::nullopt;
        try {
            DaemonStatus status;
            status.configVersion = numberField<ConfigVersion>(document, "configVersion");
            status.name = document.value("name", std::string());
            status.role = document.value("role", std::string());
            status.dataCentre = document.value("dataCentre", std::string());
            status.isStopping = document.value("stopping", false);
            for (const json& child : document.value("children", json::array())) {
                status.children.push_back({
                    .path = child.value("path", std::string()),
                    .isRunning = child.value("running", false),
                    .restarts = child.value("restarts", std::uint64_t { 0 }),
                    .lastReason = child.value("lastReason", std::string()),
                });
            }
            status.json = text;
            return status;
        } catch (const json::exception&) {
            return std::nullopt;
        }
    }

    /// Queries the status of many daemons, at most maxConcurrentQueries at a time.
    class DaemonQuery {
    public:
        DaemonQuery(const std::vector<DaemonEntry>& daemons, Millis timeout)
            : m_timeout(timeout)
        {
            for (const DaemonEntry& daemon : daemons)
                m_answers.push_back({ .entry = daemon });
        }

        std::vector<DaemonAnswer> run()
        {
            while (m_started < m_answers.size() && m_started < maxConcurrentQueries)
                startNext();
            m_context.run();
            return std::move(m_answers);
        }

    private:
        void startNext()
        {
            if (m_started == m_answers.size())
                return;
            DaemonAnswer& answer = m_answers[m_started++];
            const HttpCallOptions options { .connectTimeout = m_timeout, .timeout = m_timeout };
            HttpCall::Handlers handlers;
            handlers.onDone = [this, &answer](const std::optional<HttpResponse>& response, const HttpOutcome& outcome) {
                if (response && response->status == statusOk)
                    answer.status = parseStatus(response->body);
                answer.error = response && !answer.status ? HttpError::BadMessage : outcome.error;
                startNext();
            };
            startHttpCall(m_context, answer.entry.admin, { .target = "/status" }, options, std::move(handlers));
        }

        asio::io_context m_context;
        Millis m_timeout;
        std::vector<DaemonAnswer> m_answers;
        std::size_t m_started = 0;
    };

    struct Listing {
        std::optional<ObjectList> list;
        PlatformError error = PlatformError::NoAnswer;
    };

}

std::optional<std::vector<DaemonEntry>> findDaemons(const CtlOptions& options, PlatformError& reason)
{
    std::vector<DaemonEntry> daemons;
    for (const auto& admin : options.daemons)
        daemons.push_back({ .name = nameOfAddress(admin), .role = {}, .dataCentre = {}, .admin = admin });
    if (!daemons.empty())
        return daemons;
    asio::io_context context;
    PlatformClient client(context, platformOptions(options));
    const auto listing = awaitResult<Listing>(context, [&client](const std::function<void(Listing)>& done) {
        client.list(daemonKind, [done](std::optional<ObjectList> list, PlatformError error) { done({ .list = std::move(list), .error = error }); });
    });
    reason = listing.error;
    if (!listing.list)
        return std::nullopt;
    for (const PlatformObject& object : listing.list->objects) {
        if (auto entry = parseEntry(object))
            daemons.push_back(std::move(*entry));
    }
    return daemons;
}

std::vector<DaemonAnswer> queryDaemons(const std::vector<DaemonEntry>& daemons, Millis timeout)
{
    return DaemonQuery(daemons, timeout).run();
}

std::optional<std::string> queryDaemon(const asio::ip::tcp::endpoint& admin, const std::string& target, Millis timeout, HttpError& reason)
{
    asio::io_context context;
    std::optional<std::string> body;
    HttpCall::Handlers handlers;
    handlers.onDone = [&body, &reason](std::optional<HttpResponse> response, const HttpOutcome& outcome) {
        reason = outcome.error;
        if (response && response->status == statusOk)
            body = std::move(response->body);
        else if (response)
            reason = HttpError::BadMessage;
    };
    startHttpCall(context, admin, { .target = target }, { .connectTimeout = timeout, .timeout = timeout }, std::move(handlers));
    context.run();
    return body;
}

}
