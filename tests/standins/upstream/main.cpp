#include "upstream.h"

#include "libplatform/config.h"
#include "standins/support/standin.h"

#include <absl/flags/flag.h>

ABSL_FLAG(std::string, listen, "127.0.0.1:0", "address for the agent and for POST /control");
ABSL_FLAG(std::string, name, "upstream-1", "name of the upstream");
ABSL_FLAG(std::string, service, "board", "name of its service");
ABSL_FLAG(std::string, data_centre, "north", "its data centre");
ABSL_FLAG(std::uint32_t, slots, 5, "requests it can serve at once when warm");
ABSL_FLAG(std::int64_t, cold_for_ms, 0, "length of a cold start");
ABSL_FLAG(std::uint32_t, cold_bears, 1, "requests it can serve at once at the beginning of a cold start");
ABSL_FLAG(std::int64_t, feed_ms, 500, "time between two items of a feed");
ABSL_FLAG(std::int64_t, query_ms, 10, "time that a query takes");
ABSL_FLAG(std::int64_t, filing_ms, 100, "time that a filing takes");
ABSL_FLAG(std::string, history, "", "file that its history is appended to");

using namespace kingcuptrail;

int main(int argc, char** argv)
{
    parseStandinFlags(argc, argv, "Stands in for an upstream over HTTP/1.1.");
    const UpstreamOptions options {
        .name = absl::GetFlag(FLAGS_name),
        .id = upstreamIdOf(absl::GetFlag(FLAGS_name)),
        .service = absl::GetFlag(FLAGS_service),
        .dataCentre = absl::GetFlag(FLAGS_data_centre),
        .slots = absl::GetFlag(FLAGS_slots),
        .coldFor = absl::GetFlag(FLAGS_cold_for_ms),
        .coldConcurrency = absl::GetFlag(FLAGS_cold_bears),
        .feedInterval = absl::GetFlag(FLAGS_feed_ms),
        .queryTime = absl::GetFlag(FLAGS_query_ms),
        .filingTime = absl::GetFlag(FLAGS_filing_ms),
    };
    asio::io_context context;
    const auto history = historyOrExit(absl::GetFlag(FLAGS_history), options.name);
    Upstream upstream(context, options, history.get());
    const HttpServerOptions serverOptions { .maxBodyBytes = std::size_t { 64 } * 1024 * 1024, .maxConnections = 20000 };
    const auto server = listenOrExit(context, endpointOrExit(absl::GetFlag(FLAGS_listen)), serverOptions, [&](HttpRequest request, std::shared_ptr<HttpResponder> responder) {
        upstream.handle(std::move(request), std::move(responder));
    });
    printListening(server->localEndpoint().port());
    runUntilSignal(context);
}
