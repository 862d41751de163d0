#include "workload.h"

#include "libplatform/config.h"
#include "standins/support/standin.h"

#include <absl/flags/flag.h>
#include <asio/signal_set.hpp>
#include <csignal>
#include <iostream>

ABSL_FLAG(std::string, fabric, "", "address of the fabric");
ABSL_FLAG(std::string, service, "10.0.0.1:443", "address of the service");
ABSL_FLAG(std::string, service_name, "board", "name of the service, for the history");
ABSL_FLAG(std::string, name, "caller-1", "name of this caller");
ABSL_FLAG(std::uint64_t, feeds, 0, "feeds held open");
ABSL_FLAG(std::uint64_t, flows, 4, "flows held open, over which queries are spread");
ABSL_FLAG(double, queries_per_second, 0, "rate of queries");
ABSL_FLAG(std::uint64_t, filings, 0, "total number of filings, spread over the run");
ABSL_FLAG(std::uint64_t, filing_bytes, 2097152, "size of a filing's body");
ABSL_FLAG(std::int64_t, query_deadline_ms, 3000, "deadline of a query");
ABSL_FLAG(std::int64_t, filing_deadline_ms, 15000, "deadline of a filing");
ABSL_FLAG(double, seconds, 10, "length of the run");
ABSL_FLAG(std::int64_t, probe_ms, 2000, "interval of probes on an idle flow");
ABSL_FLAG(std::int64_t, silence_ms, 6000, "silence after which a flow is given up");
ABSL_FLAG(bool, name_earlier_owners, true, "switched off only to show that the checker detects the double runs that result");
ABSL_FLAG(std::uint64_t, seed, 1, "seed of flow ids and of the load");
ABSL_FLAG(std::string, history, "", "file that the history is appended to");

using namespace kingcuptrail;

int main(int argc, char** argv)
{
    parseStandinFlags(argc, argv, "Stands in for the end users of a service. The last line is a summary in JSON.");
    const auto service = parseServiceAddress(absl::GetFlag(FLAGS_service));
    if (!service) {
        std::cerr << "not a service address: " << absl::GetFlag(FLAGS_service) << "\n";
        return 2;
    }
    const CallerOptions callerOptions {
        .fabric = endpointOrExit(absl::GetFlag(FLAGS_fabric)),
        .name = absl::GetFlag(FLAGS_name),
        .seed = absl::GetFlag(FLAGS_seed),
        .probeInterval = absl::GetFlag(FLAGS_probe_ms),
        .silenceLimit = absl::GetFlag(FLAGS_silence_ms),
        // This process simulates many end users, each with a retry budget of their own.
        .retry = { .burst = RetryOptions().burst * static_cast<double>(1 + absl::GetFlag(FLAGS_feeds) + absl::GetFlag(FLAGS_flows)) },
        .nameEarlierOwners = absl::GetFlag(FLAGS_name_earlier_owners),
    };
    const WorkloadOptions options {
        .service = *service,
        .serviceName = absl::GetFlag(FLAGS_service_name),
        .feeds = absl::GetFlag(FLAGS_feeds),
        .flows = absl::GetFlag(FLAGS_flows),
        .queriesPerSecond = absl::GetFlag(FLAGS_queries_per_second),
        .filings = absl::GetFlag(FLAGS_filings),
        .filingBytes = absl::GetFlag(FLAGS_filing_bytes),
        .queryDeadline = absl::GetFlag(FLAGS_query_deadline_ms),
        .filingDeadline = absl::GetFlag(FLAGS_filing_deadline_ms),
        .duration = static_cast<Millis>(absl::GetFlag(FLAGS_seconds) * 1000),
        .seed = absl::GetFlag(FLAGS_seed),
    };
    asio::io_context context;
    const auto history = historyOrExit(absl::GetFlag(FLAGS_history), callerOptions.name);
    Workload workload(context, callerOptions, options, history.get());
    asio::signal_set signals(context, SIGTERM, SIGINT);
    signals.async_wait([&](asio::error_code error, int) {
        if (!error)
            workload.finish();
    });
    context.run();
    std::cout << workload.summary() << std::endl;
}
