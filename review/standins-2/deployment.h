#pragma once

#include "../../tests/scenarios/runner/childprocess.h"
#include "../../tests/scenarios/runner/relay.h"
#include "requester.h"
#include "store.h"
#include "target.h"

#include <asio/io_context.hpp>
#include <memory>
#include <set>

namespace review {

/// The ports of one run, the same on all machines.
struct Ports {
    std::uint16_t datagram = 0;
    std::uint16_t ready = 0;
    std::uint16_t control = 0;
    std::uint16_t outbound = 0;
    std::uint16_t app = 0;
    std::uint16_t internal = 0;
    std::uint16_t metrics = 0;
};

struct DeploymentOptions {
    /// Folder for settings files and the daemons' logs.
    std::string folder;
    std::vector<std::string> zones { "north", "south" };
    std::uint32_t frontsPerZone = 2;
    /// Fronts of the first zone, if it has another number of them.
    std::uint32_t frontsInFirstZone = 0;
    /// Routes besides those of the services; they lead to the first service.
    std::uint32_t furtherRoutes = 0;
    /// The services of the targets of each zone, one for each target.
    std::vector<std::string> targets { "board", "board" };
    Millis heartbeat = 770;
    Millis reportRetry = 100;
    std::uint32_t slots = 5;
    Millis work = 20;
    /// How long after the end of a process the platform starts it again.
    Millis restartDelay = 300;
    /// The numbers of the seeds' addresses; the first machine has the number 11, and at the last numbers there is none.
    std::vector<std::uint32_t> seeds { 11, 12 };
    std::uint32_t seed = 1;
};

/// A machine with one daemon, and beside an agent its target.
struct Machine {
    std::string name;
    std::string zone;
    std::string service;
    asio::ip::address_v4 address;
    std::string settingsPath;
    std::unique_ptr<kingcuptrail::Relay> storeLink;
    std::unique_ptr<kingcuptrail::ChildProcess> process;
    std::unique_ptr<Target> target;
    std::unique_ptr<kingcuptrail::Delay> timer;
    /// The last time when this case disturbed the machine, its processes or links.
    Millis disturbedAt = 0;
    bool isEnding = false;
    bool isDark = false;
    int missedProbes = 2;
    std::shared_ptr<kingcuptrail::HttpCall> probe;

    bool isFront() const { return service.empty(); }
};

/// A small deployment on loopback addresses of its own: the project's daemons as processes, started as the deploy file says,
/// with stand-ins for the platform's store and routers, the operator, targets and requesters in this process.
class Deployment {
public:
    Deployment(asio::io_context& context, const DeploymentOptions& options, TargetEvents targetEvents, Record& record);
    ~Deployment();
    Deployment(const Deployment&) = delete;
    Deployment& operator=(const Deployment&) = delete;

    /// Writes the first configuration and starts all machines. Returns whether all could be started.
    bool start();

    Store& store() { return *m_store; }
    std::vector<std::unique_ptr<Machine>>& machines() { return m_machines; }
    Machine& machine(const std::string& name);
    /// A requester in a zone, at an address of its own.
    Requester& addRequester(const std::string& zone, const std::function<void(const Flow&)>& onSystemReset);
    /// The address and port of the route with this number: one for each service in the order of their names, then the further ones.
    End route(std::uint32_t number) const;
    /// Writes the next version of the configuration, without the routes in `dropped`.
    void configure(const std::set<std::uint32_t>& dropped);
    const Ports& ports() const { return m_ports; }

    void kill(Machine&);
    /// All machines of a zone lose power, with their targets, and stay dark.
    void losePower(const std::string& zone);
    /// A machine is gone for good, with its target.
    void remove(Machine&);
    /// Another machine with a target of this service gets the address of one that is gone.
    bool reuseAddress(Machine&, const std::string& name, const std::string& service);
    /// SIGTERM; the platform sends SIGKILL after the time to stop, and starts the process again.
    void terminate(Machine&);
    /// Restarts processes that have ended. Returns the machines whose process ended by itself.
    std::vector<std::string> checkProcesses();
    bool allReady() const;

    /// Runs the event loop for this long.
    void runFor(Millis time);

private:
    asio::ip::address_v4 addressOf(std::uint32_t number) const;
    bool choosePorts();
    void addMachine(const std::string& zone, const std::string& service, std::uint32_t number);
    void writeSettings(const Machine&) const;
    bool startProcess(Machine&);
    void pollReady();
    void route(const std::string& zone, const Flow& flow, std::span<const std::uint8_t> bytes);

    asio::io_context& m_context;
    DeploymentOptions m_options;
    TargetEvents m_targetEvents;
    Record& m_record;
    std::uint32_t m_block;
    Ports m_ports;
    std::unique_ptr<Store> m_store;
    std::unique_ptr<kingcuptrail::DatagramSocket> m_router;
    kingcuptrail::Delay m_readyTimer;
    std::vector<std::unique_ptr<Machine>> m_machines;
    std::vector<std::unique_ptr<Requester>> m_requesters;
    std::uint64_t m_version = 4;
};

}
