#include "addressreuse.h"
#include "foreignwriter.h"

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <absl/flags/usage.h>
#include <csignal>
#include <filesystem>
#include <fstream>
#include <iostream>

ABSL_FLAG(unsigned, seed, 1, "seed of the random faults");
ABSL_FLAG(unsigned, seconds, 14, "how long faults are injected");
ABSL_FLAG(unsigned, balancers, 2, "balancers in each of two data centres");
ABSL_FLAG(unsigned, agents, 3, "agents in each of two data centres");
ABSL_FLAG(bool, modulo, false, "routers choose by hash modulo the number of balancers in rotation");
ABSL_FLAG(bool, upstream_faults, false, "upstreams also end, pause, report late and close their listeners");
ABSL_FLAG(bool, address_reuse, false, "addresses of upstreams and of whole hosts are used again by another service");
ABSL_FLAG(bool, foreign_entries, false, "another program writes objects that cannot be read, and the idle limit changes");
ABSL_FLAG(unsigned, callers, 2, "callers; each opens 25 flows a second");
ABSL_FLAG(std::string, program, PROGRAM_KINGCUPTRAILD, "path of kingcuptraild");
ABSL_FLAG(std::string, folder, "", "folder for settings and logs; kept when a promise is broken");

namespace {

using namespace kingcuptrail;

constexpr Millis startTime = 4000;
constexpr Millis recoveryTime = 8000;
constexpr Millis faultFreeWindow = 2000;
/// Percentage of the openings in the final fault-free window that have to be answered.
constexpr std::uint64_t minOpenedPercent = 95;
constexpr Millis checkInterval = 50;
/// Few enough that callers use each port several times in a run.
constexpr std::uint16_t reusedCallerPorts = 150;

/// Injects overlapping faults of every kind, drawn from the seed.
class FaultInjector {
public:
    FaultInjector(asio::io_context& context, Fleet& fleet, PromiseChecker& promises, std::uint32_t seed)
        : m_fleet(fleet)
        , m_promises(promises)
        , m_timer(context)
        , m_storeFaultTimer(context)
        , m_bringBackTimer(context)
        , m_upstreamTimer(context)
        , m_random(seed)
        , m_upstreamRandom(seed + 1)
        , m_addressReuse(context, fleet, seed + 2, logFault)
        , m_foreignWriter(context, fleet, seed + 3, logFault)
    {
    }

    struct Kinds {
        bool hasUpstreamFaults = false;
        bool hasAddressReuse = false;
        bool hasForeignEntries = false;
    };

    void start(const Kinds& kinds)
    {
        scheduleNext();
        if (kinds.hasForeignEntries)
            m_foreignWriter.start();
        if (kinds.hasAddressReuse)
            m_addressReuse.start();
        if (kinds.hasUpstreamFaults)
            scheduleUpstreamFault();
    }

    void stop()
    {
        m_timer.cancel();
        m_upstreamTimer.cancel();
        m_addressReuse.stop();
        m_foreignWriter.stop();
        clearStoreFault();
        bringBack();
        for (auto& upstream : m_fleet.upstreams()) {
            if (m_draining.contains(upstream.get()) && !upstream->isReplaced())
                upstream->restart();
        }
    }

private:
    std::uint32_t randomBelow(std::uint32_t below) { return static_cast<std::uint32_t>(m_random() >> 8) % below; }

    SoakDaemon& randomDaemon() { return *m_fleet.daemons()[randomBelow(static_cast<std::uint32_t>(m_fleet.daemons().size()))]; }
    SoakUpstream& randomUpstream() { return *m_fleet.upstreams()[randomBelow(static_cast<std::uint32_t>(m_fleet.upstreams().size()))]; }

    void scheduleNext()
    {
        injectFault();
        m_timer.start(200 + randomBelow(1200), [this] { scheduleNext(); });
    }

    void injectFault()
    {
        SoakDaemon& daemon = randomDaemon();
        switch (randomBelow(13)) {
        case 0:
        case 1:
            logFault("kill " + daemon.name);
            m_fleet.kill(daemon, 200 + randomBelow(800));
            break;
        case 2:
        case 3:
            logFault("terminate " + daemon.name);
            m_fleet.terminate(daemon);
            break;
        case 4:
            logFault("pause " + daemon.name);
            m_fleet.pause(daemon, 300 + randomBelow(3000));
            break;
        case 5:
            injectStoreFault("");
            break;
        case 6:
            injectStoreFault(daemon.name);
            break;
        case 7:
            logFault("silence store connections of " + daemon.name);
            daemon.relay->silence();
            m_promises.recordDisturbance(daemon.name);
            break;
        case 8:
            logFault("cut store connections of " + daemon.name + ", drop change history");
            daemon.relay->cut();
            m_fleet.store().dropHistory();
            break;
        case 9:
            logFault("change configuration");
            m_fleet.changeConfiguration();
            break;
        case 10:
            if (m_dataCentreOut.empty())
                takeOut();
            break;
        case 11:
            restartUpstream();
            break;
        default:
            logFault("SIGHUP to " + daemon.name);
            if (daemon.process && !daemon.isEnding)
                daemon.process->signal(SIGHUP);
            break;
        }
    }

    void injectStoreFault(const std::string& host)
    {
        const auto fault = static_cast<StoreFault>(1 + randomBelow(static_cast<std::uint32_t>(EnumNames<StoreFault>::names.size()) - 1));
        logFault("store " + std::string(nameOf(fault)) + " for " + (host.empty() ? "all" : host));
        clearStoreFault();
        m_storeFaultHost = host;
        m_fleet.store().setFault(host, fault);
        m_promises.recordStoreDisturbance();
        m_storeFaultTimer.start(1000 + randomBelow(4000), [this] { clearStoreFault(); });
    }

    void clearStoreFault()
    {
        m_fleet.store().setFault(m_storeFaultHost, StoreFault::None);
        m_promises.recordStoreDisturbance();
    }

    void takeOut()
    {
        m_dataCentreOut = randomBelow(2) == 0 ? "north" : "south";
        logFault("take out data centre " + m_dataCentreOut);
        m_fleet.takeOut(m_dataCentreOut);
        m_bringBackTimer.start(2000 + randomBelow(8000), [this] { bringBack(); });
    }

    void bringBack()
    {
        if (m_dataCentreOut.empty())
            return;
        logFault("bring back data centre " + m_dataCentreOut);
        m_fleet.bringBack(m_dataCentreOut);
        m_dataCentreOut.clear();
    }

    void restartUpstream()
    {
        SoakUpstream& upstream = randomUpstream();
        if (upstream.isReplaced())
            return;
        if (randomBelow(2) == 0 || m_draining.contains(&upstream)) {
            logFault("restart upstream of " + upstream.options().host);
            m_draining.erase(&upstream);
            upstream.restart();
        } else {
            logFault("drain upstream of " + upstream.options().host);
            m_draining.insert(&upstream);
            upstream.startDraining();
        }
    }

    // These faults have a random sequence of their own, so that a seed injects the same other faults with and without them.
    void scheduleUpstreamFault()
    {
        injectUpstreamFault();
        m_upstreamTimer.start(100 + upstreamRandomBelow(500), [this] { scheduleUpstreamFault(); });
    }

    std::uint32_t upstreamRandomBelow(std::uint32_t below) { return static_cast<std::uint32_t>(m_upstreamRandom() >> 8) % below; }

    void injectUpstreamFault()
    {
        SoakUpstream& upstream = *m_fleet.upstreams()[upstreamRandomBelow(static_cast<std::uint32_t>(m_fleet.upstreams().size()))];
        const Millis time = 50 + upstreamRandomBelow(1500);
        const std::string host = upstream.options().host;
        if (upstream.isReplaced())
            return;
        switch (upstreamRandomBelow(6)) {
        case 0:
            logFault("restart upstream of " + host + " with its report " + std::to_string(time) + " ms late");
            upstream.restartWithLateReport(time);
            m_draining.erase(&upstream);
            break;
        case 1:
            logFault("end upstream of " + host + " for " + std::to_string(time) + " ms");
            upstream.end(time);
            m_draining.erase(&upstream);
            break;
        case 2:
            logFault("pause upstream of " + host + " for " + std::to_string(2 * time) + " ms");
            upstream.pause(2 * time);
            break;
        case 3:
            logFault("drain upstream of " + host + " without a listener");
            upstream.closeListener();
            upstream.startDraining();
            m_draining.insert(&upstream);
            break;
        default:
            logFault("late report of the former upstream of " + host);
            upstream.sendLateReport();
            break;
        }
    }

    static void logFault(const std::string& what) { std::cout << Clock().now() << " " << what << "\n"; }

    Fleet& m_fleet;
    PromiseChecker& m_promises;
    Delay m_timer;
    Delay m_storeFaultTimer;
    Delay m_bringBackTimer;
    Delay m_upstreamTimer;
    std::minstd_rand m_random;
    std::minstd_rand m_upstreamRandom;
    AddressReuse m_addressReuse;
    ForeignWriter m_foreignWriter;
    std::string m_storeFaultHost;
    std::string m_dataCentreOut;
    std::set<SoakUpstream*> m_draining;
};

void runFor(asio::io_context& context, Fleet& fleet, Millis time)
{
    const Clock clock;
    const Millis until = clock.now() + time;
    while (clock.now() < until) {
        context.restart();
        context.run_for(std::chrono::milliseconds(checkInterval));
        fleet.checkProcesses();
    }
}

void checkRecovery(const CallerCounts& before, const CallerCounts& after, PromiseChecker& promises)
{
    const std::uint64_t flowsTried = after.flowsTried - before.flowsTried;
    const std::uint64_t opened = after.opened - before.opened;
    std::cout << "fault-free window: flows tried " << flowsTried << ", opened " << opened << "; in all: flows tried " << after.flowsTried << ", served " << after.served << ", resets " << after.resets << ", late refusals " << after.lateRefusals << "\n";
    if (opened * 100 < flowsTried * minOpenedPercent)
        promises.recordViolation(Promise::Recovers, std::to_string(opened) + " openings answered of " + std::to_string(flowsTried));
}

int report(const PromiseChecker& promises, const std::string& folder)
{
    std::ofstream all(folder + "/violations");
    for (const auto& [promise, cases] : promises.violations()) {
        for (const std::string& each : cases)
            all << nameOf(promise) << " " << each << "\n";
        std::cout << "BROKEN " << nameOf(promise) << " " << cases.size() << " times, first: " << cases.front() << "\n";
    }
    if (!promises.hasViolations()) {
        std::filesystem::remove_all(folder);
        std::cout << "all promises held\n";
    }
    return promises.hasViolations() ? 1 : 0;
}

}

int main(int argc, char** argv)
{
    absl::SetProgramUsageMessage("Runs the daemons of a datagram deployment under random faults and checks what callers and upstreams observe.");
    absl::ParseCommandLine(argc, argv);
    const std::uint32_t seed = absl::GetFlag(FLAGS_seed);
    std::string folder = absl::GetFlag(FLAGS_folder);
    if (folder.empty())
        folder = (std::filesystem::temp_directory_path() / ("soak-" + std::to_string(seed) + "-" + std::to_string(getpid()))).string();
    std::filesystem::create_directories(folder);
    std::cout << "seed " << seed << ", logs in " << folder << "\n";

    asio::io_context context;
    const Clock clock;
    PromiseChecker promises(clock);
    const bool hasAddressReuse = absl::GetFlag(FLAGS_address_reuse);
    FleetOptions options { .program = absl::GetFlag(FLAGS_program), .folder = folder, .seed = seed, .balancers = absl::GetFlag(FLAGS_balancers), .agents = absl::GetFlag(FLAGS_agents), .callers = absl::GetFlag(FLAGS_callers), .isModulo = absl::GetFlag(FLAGS_modulo) };
    if (hasAddressReuse)
        options.callerPorts = reusedCallerPorts;
    Fleet fleet(context, std::move(options), promises);
    FaultInjector faults(context, fleet, promises, seed);
    runFor(context, fleet, startTime);
    faults.start({ .hasUpstreamFaults = absl::GetFlag(FLAGS_upstream_faults), .hasAddressReuse = hasAddressReuse, .hasForeignEntries = absl::GetFlag(FLAGS_foreign_entries) });
    runFor(context, fleet, Millis { absl::GetFlag(FLAGS_seconds) } * 1000);
    faults.stop();
    runFor(context, fleet, recoveryTime);
    const CallerCounts before = fleet.counts();
    runFor(context, fleet, faultFreeWindow);
    checkRecovery(before, fleet.counts(), promises);
    return report(promises, folder);
}
