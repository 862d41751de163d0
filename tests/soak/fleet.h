#pragma once

#include "scenarios/runner/childprocess.h"
#include "scenarios/runner/relay.h"
#include "soakcaller.h"
#include "soakupstream.h"
#include "storestandin.h"

namespace kingcuptrail {

struct FleetOptions {
    std::string program;
    /// Folder for settings files and logs.
    std::string folder;
    std::uint32_t seed = 1;
    /// Balancers and agents in each of two data centres.
    std::uint32_t balancers = 2;
    std::uint32_t agents = 3;
    std::uint32_t callers = 2;
    /// Ports that each caller uses in turn.
    std::uint16_t callerPorts = 60000;
    /// Routers choose by the flow's hash modulo the number of balancers in rotation, so that nearly every flow moves when a
    /// balancer leaves or joins.
    bool isModulo = false;
};

/// One daemon: its settings and, while it runs, its process.
struct SoakDaemon {
    std::string name;
    std::string dataCentre;
    asio::ip::address_v4 address;
    bool isBalancer = false;
    std::string settingsPath;
    std::unique_ptr<Relay> relay;
    std::unique_ptr<ChildProcess> process;
    std::unique_ptr<Delay> timer;
    /// The soak has ended the process or is ending it; an exit is expected.
    bool isEnding = false;
    bool isPaused = false;
    /// Its host is gone; another one gets the address.
    bool isReplaced = false;
    /// Balancers only: readiness probes that the routers have sent since the last success.
    int unansweredProbes = 2;
    std::shared_ptr<HttpCall> readyCall;
};

/// How an agent's host is replaced by one with another name at the same address.
struct HostReplacement {
    /// The service of the new host's upstream.
    std::string service;
    /// How long nothing uses the address, in milliseconds.
    Millis downTime = 0;
    /// How long after its start the new upstream sends its first report, in milliseconds.
    Millis reportDelay = 0;
    /// The agent is told to stop, and can announce that it is gone; otherwise its host loses power.
    bool isPlanned = false;
};

/// A deployment of real daemons on loopback addresses of their own, with stand-ins for the store, the routers, the upstreams
/// and the callers in this process. Ends only processes that it has started.
class Fleet {
public:
    Fleet(asio::io_context& context, FleetOptions options, PromiseChecker& promises);
    ~Fleet();

    std::vector<std::unique_ptr<SoakDaemon>>& daemons() { return m_daemons; }
    std::vector<std::unique_ptr<SoakUpstream>>& upstreams() { return m_upstreams; }
    StoreStandIn& store() { return m_store; }

    void kill(SoakDaemon& daemon, Millis downFor);
    void terminate(SoakDaemon& daemon);
    void pause(SoakDaemon& daemon, Millis time);
    void replaceHost(SoakDaemon& daemon, const HostReplacement& replacement);
    SoakUpstream* upstreamOf(const SoakDaemon& daemon);
    /// The number of upstreams of this service that are not being replaced.
    std::size_t countUpstreams(const std::string& service) const;
    void takeOut(const std::string& dataCentre);
    void bringBack(const std::string& dataCentre);
    void changeConfiguration();
    /// Changes the idle limit of flows, in milliseconds, with a new version of the configuration.
    void changeIdleLimit(Millis limit);
    CallerCounts counts() const;
    /// Reports daemons that exited without being told to, and restarts daemons that have exited.
    void checkProcesses();

private:
    void addDaemon(const std::string& dataCentre, std::uint32_t number, bool isBalancer, const std::string& service);
    void writeSettings(const SoakDaemon& daemon) const;
    void start(SoakDaemon& daemon);
    void scheduleStart(SoakDaemon& daemon, Millis after);
    void pollReady();
    std::vector<SoakDaemon*> rotation() const;
    void route(const FlowKey& flow, std::span<const std::uint8_t> packet);
    asio::ip::address_v4 addressOf(std::uint32_t number) const;

    asio::io_context& m_context;
    FleetOptions m_options;
    PromiseChecker& m_promises;
    StoreStandIn m_store;
    Delay m_readyTimer;
    std::unique_ptr<DatagramSocket> m_router;
    std::vector<std::unique_ptr<SoakDaemon>> m_daemons;
    std::vector<std::unique_ptr<SoakUpstream>> m_upstreams;
    std::vector<std::unique_ptr<SoakCaller>> m_callers;
    std::uint64_t m_configVersion = 0;
    Millis m_idleLimit = 15000;
    unsigned m_replacedHosts = 0;
};

}
