#include "fleet.h"

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <absl/flags/usage.h>
#include <csignal>
#include <filesystem>
#include <iostream>

ABSL_FLAG(unsigned, seed, 1, "seed of the random faults");
ABSL_FLAG(unsigned, seconds, 14, "how long faults are injected");
ABSL_FLAG(unsigned, balancers, 2, "balancers in each of two data centres");
ABSL_FLAG(unsigned, agents, 3, "agents in each of two data centres");
ABSL_FLAG(bool, modulo, false, "routers choose by hash modulo the number of balancers in rotation");
ABSL_FLAG(std::string, program, PROGRAM_KINGCUPTRAILD, "path of kingcuptraild");
ABSL_FLAG(std::string, folder, "", "folder for settings and logs; kept when a promise is broken");

namespace {

using namespace kingcuptrail;

constexpr Millis startTime = 4000;
constexpr Millis healTime = 8000;
constexpr Millis calmWindow = 2000;
/// Percentage of the openings in the final fault-free window that have to be answered.
constexpr std::uint64_t servedAtTheEnd = 95;
constexpr Millis checkInterval = 50;

/// Injects overlapping faults of every kind, drawn from the seed.
class Faults {
public:
    Faults(asio::io_context& context, Fleet& fleet, Promises& promises, std::uint32_t seed)
        : m_fleet(fleet)
        , m_promises(promises)
        , m_timer(context)
        , m_healTimer(context)
        , m_backTimer(context)
        , m_random(seed)
    {
    }

    void start() { next(); }

    void stop()
    {
        m_timer.cancel();
        heal();
        bringBack();
        for (auto& upstream : m_fleet.upstreams()) {
            if (m_draining.contains(upstream.get()))
                upstream->restart();
        }
    }

private:
    std::uint32_t draw(std::uint32_t below) { return static_cast<std::uint32_t>(m_random() >> 8) % below; }

    SoakDaemon& anyDaemon() { return *m_fleet.daemons()[draw(static_cast<std::uint32_t>(m_fleet.daemons().size()))]; }
    SoakUpstream& anyUpstream() { return *m_fleet.upstreams()[draw(static_cast<std::uint32_t>(m_fleet.upstreams().size()))]; }

    void next()
    {
        makeOne();
        m_timer.start(200 + draw(1200), [this] { next(); });
    }

    void makeOne()
    {
        SoakDaemon& daemon = anyDaemon();
        switch (draw(13)) {
        case 0:
        case 1:
            say("kill " + daemon.name);
            m_fleet.kill(daemon, 200 + draw(800));
            break;
        case 2:
        case 3:
            say("terminate " + daemon.name);
            m_fleet.terminate(daemon);
            break;
        case 4:
            say("pause " + daemon.name);
            m_fleet.pause(daemon, 300 + draw(3000));
            break;
        case 5:
            breakStore("");
            break;
        case 6:
            breakStore(daemon.name);
            break;
        case 7:
            say("silence store connections of " + daemon.name);
            daemon.relay->silence();
            m_promises.noteDisturbed(daemon.name);
            break;
        case 8:
            say("cut store connections of " + daemon.name + ", drop change history");
            daemon.relay->cut();
            m_fleet.store().dropHistory();
            break;
        case 9:
            say("change configuration");
            m_fleet.changeConfiguration();
            break;
        case 10:
            if (m_out.empty())
                takeOut();
            break;
        case 11:
            restartUpstream();
            break;
        default:
            say("SIGHUP to " + daemon.name);
            if (daemon.process && !daemon.isEnding)
                daemon.process->signal(SIGHUP);
            break;
        }
    }

    void breakStore(const std::string& host)
    {
        const auto fault = static_cast<StoreFault>(1 + draw(static_cast<std::uint32_t>(EnumNames<StoreFault>::names.size()) - 1));
        say("store " + std::string(nameOf(fault)) + " for " + (host.empty() ? "all" : host));
        heal();
        m_brokenHost = host;
        m_fleet.store().setFault(host, fault);
        m_promises.noteStoreDisturbed();
        m_healTimer.start(1000 + draw(4000), [this] { heal(); });
    }

    void heal()
    {
        m_fleet.store().setFault(m_brokenHost, StoreFault::None);
        m_promises.noteStoreDisturbed();
    }

    void takeOut()
    {
        m_out = draw(2) == 0 ? "north" : "south";
        say("take out data centre " + m_out);
        m_fleet.takeOut(m_out);
        m_backTimer.start(2000 + draw(8000), [this] { bringBack(); });
    }

    void bringBack()
    {
        if (m_out.empty())
            return;
        say("bring back data centre " + m_out);
        m_fleet.bringBack(m_out);
        m_out.clear();
    }

    void restartUpstream()
    {
        SoakUpstream& upstream = anyUpstream();
        if (draw(2) == 0 || m_draining.contains(&upstream)) {
            say("restart upstream of " + upstream.options().host);
            m_draining.erase(&upstream);
            upstream.restart();
        } else {
            say("drain upstream of " + upstream.options().host);
            m_draining.insert(&upstream);
            upstream.startDraining();
        }
    }

    static void say(const std::string& what) { std::cout << Clock().now() << " " << what << "\n"; }

    Fleet& m_fleet;
    Promises& m_promises;
    Delay m_timer;
    Delay m_healTimer;
    Delay m_backTimer;
    std::minstd_rand m_random;
    std::string m_brokenHost;
    std::string m_out;
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

void checkRecovery(const CallerCounts& before, const CallerCounts& after, Promises& promises)
{
    const std::uint64_t asked = after.asked - before.asked;
    const std::uint64_t opened = after.opened - before.opened;
    std::cout << "fault-free window: flows tried " << asked << ", opened " << opened << "; in all: flows tried " << after.asked << ", served " << after.served << ", resets " << after.resets << "\n";
    if (opened * 100 < asked * servedAtTheEnd)
        promises.breakPromise(Promise::Recovers, std::to_string(opened) + " of " + std::to_string(asked));
}

int report(const Promises& promises, const std::string& folder)
{
    for (const auto& [promise, cases] : promises.broken())
        std::cout << "BROKEN " << nameOf(promise) << " " << cases.size() << " times, first: " << cases.front() << "\n";
    if (!promises.isBroken()) {
        std::filesystem::remove_all(folder);
        std::cout << "all promises held\n";
    }
    return promises.isBroken() ? 1 : 0;
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
    Promises promises(clock);
    Fleet fleet(context, { .program = absl::GetFlag(FLAGS_program), .folder = folder, .seed = seed, .balancers = absl::GetFlag(FLAGS_balancers), .agents = absl::GetFlag(FLAGS_agents), .isModulo = absl::GetFlag(FLAGS_modulo) }, promises);
    Faults faults(context, fleet, promises, seed);
    runFor(context, fleet, startTime);
    faults.start();
    runFor(context, fleet, Millis { absl::GetFlag(FLAGS_seconds) } * 1000);
    faults.stop();
    runFor(context, fleet, healTime);
    const CallerCounts before = fleet.counts();
    runFor(context, fleet, calmWindow);
    checkRecovery(before, fleet.counts(), promises);
    return report(promises, folder);
}
