#include "fabric.h"

#include "libhttp/httpserver.h"
#include "standins/support/standin.h"

#include <absl/flags/flag.h>

ABSL_FLAG(std::string, listen, "127.0.0.1:0", "address for callers");
ABSL_FLAG(std::string, control, "127.0.0.1:0", "address of the HTTP control port: GET /status, POST /faults");
ABSL_FLAG(std::vector<std::string>, balancers, {}, "addresses of the balancers");
ABSL_FLAG(std::uint64_t, seed, 1, "seed of the choice of balancers and of the faults");
ABSL_FLAG(double, duplicate, 0, "fraction of the packets that are sent twice");
ABSL_FLAG(double, drop, 0, "fraction of the packets that are dropped");
ABSL_FLAG(std::int64_t, delay_ms, 0, "maximum random delay of each packet");

using namespace kingcuptrail;

namespace {

std::string statusOf(const Fabric& fabric)
{
    const FabricCounts& counts = fabric.counts();
    return nlohmann::json {
        { "balancersUp", fabric.balancersUp() },
        { "toBalancers", counts.toBalancers },
        { "toCallers", counts.toCallers },
        { "lost", counts.lost },
        { "noBalancer", counts.noBalancer },
        { "noCaller", counts.noCaller },
    }
        .dump();
}

HttpResponse control(Fabric& fabric, const HttpRequest& request)
{
    if (request.method == "GET")
        return { .body = statusOf(fabric) };
    const auto faults = parseFaults(request.body);
    if (!faults)
        return { .status = 400 };
    fabric.apply(*faults);
    return { .body = "{}" };
}

}

int main(int argc, char** argv)
{
    parseStandinFlags(argc, argv, "Sends the packets of callers to random balancers, and packets of balancers to their callers.");
    FabricOptions options { .listen = endpointOrExit(absl::GetFlag(FLAGS_listen)), .seed = absl::GetFlag(FLAGS_seed) };
    for (const std::string& address : absl::GetFlag(FLAGS_balancers))
        options.balancers.push_back(endpointOrExit(address));
    asio::io_context context;
    Fabric fabric(context, options);
    fabric.apply({ .duplicate = absl::GetFlag(FLAGS_duplicate), .drop = absl::GetFlag(FLAGS_drop), .delay = absl::GetFlag(FLAGS_delay_ms) });
    const auto server = listenOrExit(context, endpointOrExit(absl::GetFlag(FLAGS_control)), {}, [&](const HttpRequest& request, const std::shared_ptr<HttpResponder>& responder) {
        responder->respond(control(fabric, request));
    });
    printListening(fabric.port(), server->localEndpoint().port());
    runUntilSignal(context);
}
