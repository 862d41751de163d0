#include "fakeagents.h"
#include "fakebalancers.h"
#include "libhttp/httpclient.h"
#include "libplatform/configapply.h"
#include "libruntime/clock.h"
#include "libruntime/settings.h"
#include "processusage.h"

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <absl/flags/usage.h>
#include <algorithm>
#include <iostream>
#include <nlohmann/json.hpp>

ABSL_FLAG(std::string, platform, "", "address of the platform");
ABSL_FLAG(int, pid, 0, "process id of the daemon to measure");
ABSL_FLAG(std::string, agent, "", "listen address of the agent to measure; without it a balancer is measured");
ABSL_FLAG(std::string, agent_service, "service-0", "the service of the measured agent");
ABSL_FLAG(uint32_t, peers, 20, "number of simulated agents of a balancer, or of simulated balancers of an agent");
ABSL_FLAG(uint32_t, services, 20, "number of services in the configuration");
ABSL_FLAG(uint32_t, flows, 0, "number of flows opened at a measured agent");
ABSL_FLAG(uint32_t, changes, 0, "number of configuration changes during the measurement, evenly spaced");
ABSL_FLAG(uint32_t, seconds, 10, "duration of the measurement in seconds");

namespace {

using namespace kingcuptrail;

constexpr Millis pollInterval = 10;
constexpr Millis settleLimit = 60000;
constexpr Millis settleTime = 3000;
constexpr double millisPerSecond = 1000;

/// Runs the event loop until the condition holds. Returns false if it doesn't hold within the limit.
bool runUntil(asio::io_context& context, Millis limit, const std::function<bool()>& condition)
{
    const Clock clock;
    const Millis end = clock.now() + limit;
    while (!condition()) {
        if (clock.now() > end)
            return false;
        context.run_for(std::chrono::milliseconds(pollInterval));
        context.restart();
    }
    return true;
}

void runFor(asio::io_context& context, Millis time)
{
    context.run_for(std::chrono::milliseconds(time));
    context.restart();
}

ConfigVersion applyAndWait(asio::io_context& context, const PlatformOptions& platform, Config config)
{
    ConfigVersion version = 0;
    bool isDone = false;
    ConfigApply apply(context, platform);
    apply.apply(std::move(config), [&](const ApplyReport& report) {
        version = report.version;
        isDone = true;
    });
    runUntil(context, settleLimit, [&] { return isDone; });
    return version;
}

/// Number of calls that the platform has received, by kind.
nlohmann::json platformCalls(asio::io_context& context, const PlatformOptions& platform)
{
    nlohmann::json calls;
    bool isDone = false;
    startHttpCall(context, platform.server, { .target = "/calls" }, {}, { .onDone = [&](std::optional<HttpResponse> response, const HttpOutcome&) {
        if (response)
            calls = nlohmann::json::parse(response->body, nullptr, false);
        isDone = true;
    } });
    runUntil(context, settleLimit, [&] { return isDone; });
    return calls;
}

struct Measurement {
    ProcessUsage before;
    ProcessUsage after;
    std::uint64_t bytes = 0;
    std::vector<Millis> propagationTimes;
};

/// The result of one measurement as a JSON object; rates are per second of the measured time.
nlohmann::json toRow(const Measurement& measured, double seconds)
{
    nlohmann::json row {
        { "peers", absl::GetFlag(FLAGS_peers) },
        { "services", absl::GetFlag(FLAGS_services) },
        { "flows", absl::GetFlag(FLAGS_flows) },
        { "changes", absl::GetFlag(FLAGS_changes) },
        { "seconds", seconds },
        { "cpuPercent", (measured.after.cpuMillis - measured.before.cpuMillis) / (seconds * millisPerSecond) * 100 },
        { "residentMegabytes", static_cast<double>(measured.after.residentBytes) / 1e6 },
        { "linkBytesPerSecond", static_cast<double>(measured.bytes) / seconds },
    };
    if (!measured.propagationTimes.empty())
        row["slowestInForceMillis"] = *std::max_element(measured.propagationTimes.begin(), measured.propagationTimes.end());
    return row;
}

int measureBalancer(asio::io_context& context, const PlatformOptions& platform)
{
    const std::size_t peers = absl::GetFlag(FLAGS_peers);
    const std::size_t services = absl::GetFlag(FLAGS_services);
    const int pid = absl::GetFlag(FLAGS_pid);
    FakeAgents agents(context, platform, peers, services);
    std::uint32_t slots = 1;
    const ConfigVersion first = applyAndWait(context, platform, fakeConfig(services, slots));
    if (!runUntil(context, settleLimit, [&] { return agents.linked() == peers && agents.countAtVersion(first) == peers; })) {
        std::cerr << "only " << agents.linked() << " of " << peers << " links are up, or not all agents have the configuration in force\n";
        return 1;
    }
    runFor(context, settleTime);
    const Clock clock;
    const Millis start = clock.now();
    const Millis end = start + static_cast<Millis>(absl::GetFlag(FLAGS_seconds)) * 1000;
    const std::uint32_t changes = absl::GetFlag(FLAGS_changes);
    const nlohmann::json callsBefore = platformCalls(context, platform);
    Measurement measured { .before = readUsage(pid).value_or(ProcessUsage {}), .bytes = agents.linkBytes() };
    for (std::uint32_t change = 0; change < changes; ++change) {
        const Millis appliedAt = clock.now();
        const ConfigVersion version = applyAndWait(context, platform, fakeConfig(services, ++slots));
        runUntil(context, settleLimit, [&] { return agents.countAtVersion(version) == peers; });
        measured.propagationTimes.push_back(clock.now() - appliedAt);
        runFor(context, std::max<Millis>((end - start) / changes - (clock.now() - appliedAt), 0));
    }
    runFor(context, std::max<Millis>(end - clock.now(), 0));
    measured.bytes = agents.linkBytes() - measured.bytes;
    measured.after = readUsage(pid).value_or(ProcessUsage {});
    nlohmann::json row = toRow(measured, static_cast<double>(clock.now() - start) / millisPerSecond);
    row["role"] = "balancer";
    row["platformCallsBefore"] = callsBefore;
    row["platformCallsAfter"] = platformCalls(context, platform);
    std::cout << row.dump() << "\n";
    return 0;
}

int measureAgent(asio::io_context& context, const PlatformOptions& platform)
{
    const std::size_t peers = absl::GetFlag(FLAGS_peers);
    const int pid = absl::GetFlag(FLAGS_pid);
    const auto agent = parseEndpoint(absl::GetFlag(FLAGS_agent));
    if (!agent) {
        std::cerr << "--agent is not an IP address and port\n";
        return 2;
    }
    const Config config = fakeConfig(absl::GetFlag(FLAGS_services), 5);
    applyAndWait(context, platform, config);
    runFor(context, settleTime);
    FakeBalancers balancers(context, *agent, peers);
    if (!runUntil(context, settleLimit, [&] { return balancers.linked() == peers; })) {
        std::cerr << "only " << balancers.linked() << " of " << peers << " links are up\n";
        return 1;
    }
    const ServiceConfig* service = config.findService(absl::GetFlag(FLAGS_agent_service));
    const ProcessUsage empty = readUsage(pid).value_or(ProcessUsage {});
    balancers.openFlows(service ? service->address : 0, absl::GetFlag(FLAGS_flows));
    if (!runUntil(context, settleLimit, [&] { return balancers.openedFlows() >= absl::GetFlag(FLAGS_flows); })) {
        std::cerr << "only " << balancers.openedFlows() << " of " << absl::GetFlag(FLAGS_flows) << " flows are open\n";
        return 1;
    }
    Measurement measured { .before = readUsage(pid).value_or(ProcessUsage {}), .bytes = balancers.linkBytes() };
    const Clock clock;
    const Millis start = clock.now();
    runFor(context, static_cast<Millis>(absl::GetFlag(FLAGS_seconds)) * 1000);
    measured.bytes = balancers.linkBytes() - measured.bytes;
    measured.after = readUsage(pid).value_or(ProcessUsage {});
    nlohmann::json row = toRow(measured, static_cast<double>(clock.now() - start) / millisPerSecond);
    row["role"] = "agent";
    row["opened"] = balancers.openedFlows();
    row["linked"] = balancers.linked();
    row["residentMegabytesWithoutFlows"] = static_cast<double>(empty.residentBytes) / 1e6;
    std::cout << row.dump() << "\n";
    return 0;
}

}

int main(int argc, char** argv)
{
    absl::SetProgramUsageMessage("Measures a running daemon with many simulated peers and prints one JSON row. See tools/slopes.sh.");
    absl::ParseCommandLine(argc, argv);
    const auto server = parseEndpoint(absl::GetFlag(FLAGS_platform));
    if (!server || absl::GetFlag(FLAGS_pid) == 0) {
        std::cerr << "--platform and --pid are required\n";
        return 2;
    }
    asio::io_context context;
    const PlatformOptions platform { .server = *server };
    return absl::GetFlag(FLAGS_agent).empty() ? measureBalancer(context, platform) : measureAgent(context, platform);
}
