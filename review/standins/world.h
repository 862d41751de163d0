#pragma once

#include <array>
#include <asio.hpp>
#include <cstdint>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <span>
#include <string>
#include <sys/types.h>
#include <vector>

/// Stand-ins for the platform, targets, routers and requesters of a small deployment on loopback addresses. They follow
/// PROTOCOL.md; where it is silent they behave like a sound server, client or store. The daemons are separate processes.
namespace review {

using Millis = std::int64_t;

struct Endpoint {
    std::uint32_t address = 0;
    std::uint16_t port = 0;

    auto operator<=>(const Endpoint&) const = default;
};

std::string toText(std::uint32_t address);
std::string toText(const Endpoint& endpoint);

constexpr std::uint8_t flagSyn = 1;
constexpr std::uint8_t flagFin = 2;
constexpr std::uint8_t flagBounced = 4;
constexpr std::uint8_t flagAck = 16;
constexpr std::uint8_t flagRst = 128;

struct Packet {
    Endpoint source;
    Endpoint destination;
    std::uint8_t flags = 0;
    std::uint32_t sequence = 0;
    std::uint32_t acknowledged = 0;
    std::string data;
    /// Set by decode(): whether `sum` is that of an end of a flow.
    bool hasValidSum = false;
};

std::vector<std::uint8_t> encode(const Packet& packet);
std::optional<Packet> decode(std::span<const std::uint8_t> bytes);

/// A datagram socket that passes on each datagram with its sender.
class Datagrams {
public:
    using Handler = std::function<void(std::span<std::uint8_t>)>;

    Datagrams(asio::io_context& context, const Endpoint& endpoint, Handler handler);
    ~Datagrams();
    Datagrams(const Datagrams&) = delete;
    Datagrams& operator=(const Datagrams&) = delete;

    void send(std::span<const std::uint8_t> bytes, const Endpoint& receiver);

private:
    struct Socket;

    static void receive(const std::shared_ptr<Socket>& socket);

    std::shared_ptr<Socket> m_socket;
};

struct HttpRequest {
    std::string method;
    std::string target;
    std::string body;
};

using HttpReply = std::function<void(int status, const std::string& body)>;
using HttpHandler = std::function<void(const HttpRequest& request, const HttpReply& reply)>;

/// An HTTP/1.1 server. A connection without a request stays open until its client closes it or the server ends.
class HttpListener {
public:
    HttpListener(asio::io_context& context, const Endpoint& endpoint, HttpHandler handler);
    ~HttpListener();
    HttpListener(const HttpListener&) = delete;
    HttpListener& operator=(const HttpListener&) = delete;

private:
    struct Connection;
    struct Server;

    static void accept(const std::shared_ptr<Server>& server);
    static void read(const std::shared_ptr<Server>& server, const std::shared_ptr<Connection>& connection);

    std::shared_ptr<Server> m_server;
};

/// A call of an HTTP/1.1 server. It is broken off when the object is destroyed.
class HttpCall {
public:
    /// `done` gets the status of the answer; 0 if none came within `timeout`.
    HttpCall(asio::io_context& context, const Endpoint& server, const HttpRequest& request, Millis timeout, std::function<void(int status)> done);
    ~HttpCall();
    HttpCall(const HttpCall&) = delete;
    HttpCall& operator=(const HttpCall&) = delete;

private:
    struct State;

    std::shared_ptr<State> m_state;
};

/// The platform's metadata store: objects, revisions, conditional writes, lists and watches.
class Store {
public:
    Store(asio::io_context& context, const Endpoint& endpoint);

    /// Writes an object as the operator or another writer does. `spec` is JSON text and is kept as it is.
    void write(const std::string& kind, const std::string& name, const std::string& spec);
    void remove(const std::string& kind, const std::string& name);

private:
    struct Object {
        std::string name;
        std::uint64_t revision = 0;
        std::uint64_t createdAt = 0;
        std::string spec;
    };
    struct Event {
        std::uint64_t revision = 0;
        std::string kind;
        bool isDeleted = false;
        Object object;
    };
    struct Watch {
        std::string kind;
        std::uint64_t since = 0;
        HttpReply reply;
        std::shared_ptr<asio::steady_timer> timer;
        bool isAnswered = false;
    };

    static std::string toJson(const Object& object);
    void handle(const HttpRequest& request, const HttpReply& reply);
    void read(const std::string& kind, const std::string& name, const std::string& target, const HttpReply& reply);
    void change(const HttpRequest& request, const std::string& kind, std::string name, const HttpReply& reply);
    void beginWatch(const std::string& kind, std::uint64_t since, Millis wait, const HttpReply& reply);
    void answerWatches();
    std::string eventsSince(const std::string& kind, std::uint64_t since) const;

    asio::io_context& m_context;
    std::map<std::string, std::map<std::string, Object>> m_objects;
    std::vector<Event> m_events;
    std::vector<std::shared_ptr<Watch>> m_watches;
    std::uint64_t m_revision = 1;
    HttpListener m_listener;
};

struct TargetOptions {
    std::string id;
    std::string service;
    std::string zone;
    std::uint32_t address = 0;
    Millis heartbeat = 1200;
    Millis workTime = 20;
};

/// One boot of a target.
class Target {
public:
    using OnRun = std::function<void(const Target& target, const Endpoint& requester, const Endpoint& service, const std::string& request)>;

    Target(asio::io_context& context, TargetOptions options, std::ofstream& record, OnRun onRun);
    ~Target();
    Target(const Target&) = delete;
    Target& operator=(const Target&) = delete;

    const TargetOptions& options() const { return m_options; }
    /// Says from now on that it is draining; `done` gets the status of the first answer.
    void drain(const std::function<void(int status)>& done);
    /// Sends the next status report now.
    void report(const std::function<void(int status)>& done);

private:
    struct Flow {
        std::uint32_t sequence = 0;
        std::uint32_t sent = 0;
        std::uint32_t expected = 0;
        bool isOpen = false;
        std::string lastAnswer;
        std::uint32_t lastAnswerSequence = 0;
    };

    void reportPeriodically();
    void handlePacket(std::span<std::uint8_t> bytes);
    void handleData(const Packet& packet, Flow& flow);
    void answer(const Packet& packet, const std::string& text);
    void send(const Packet& packet);

    asio::io_context& m_context;
    TargetOptions m_options;
    std::ofstream& m_record;
    OnRun m_onRun;
    Datagrams m_packets;
    HttpListener m_health;
    asio::steady_timer m_reportTimer;
    std::unique_ptr<HttpCall> m_call;
    std::map<std::pair<Endpoint, Endpoint>, Flow> m_flows;
    std::uint64_t m_born = 0;
    std::uint64_t m_sequence = 0;
    std::uint32_t m_nextSequence = 0;
    bool m_isDraining = false;
    std::shared_ptr<bool> m_isAlive = std::make_shared<bool>(true);
};

enum class FlowEnd : std::uint8_t {
    None,
    /// No SYN+ACK came in time.
    NotOpened,
    /// A reset that this requester takes.
    Reset,
    /// No answer came before the deadline.
    NoAnswer,
};

/// One flow of a requester.
struct RequesterFlow {
    Endpoint requester;
    Endpoint service;
    bool isOpen = false;
    FlowEnd end = FlowEnd::None;
    /// Whether the reset came from a target, which alone can compute its sum.
    bool isResetByTarget = false;
    std::uint64_t answers = 0;
    std::uint32_t sequence = 0;
    std::uint32_t acknowledged = 0;
    std::string request;
    Millis requestedAt = 0;
    Millis deadline = 0;
    int tries = 0;
    std::shared_ptr<asio::steady_timer> timer;
};

struct Daemon {
    std::string name;
    std::string zone;
    std::uint32_t address = 0;
    bool isBalancer = false;
    std::string settingsPath;
    pid_t pid = -1;
    bool isReady = false;
    int missedProbes = 2;
    std::unique_ptr<HttpCall> probe;
};

struct WorldOptions {
    std::string program;
    std::string folder;
    std::string recordPath;
    std::vector<std::string> zones { "zone-a", "zone-b" };
    std::uint32_t balancersPerZone = 1;
    Millis heartbeat = 1200;
};

/// A deployment: store, routers, requesters and targets in this process, the daemons as processes of their own.
class World {
public:
    explicit World(WorldOptions options);
    ~World();
    World(const World&) = delete;
    World& operator=(const World&) = delete;

    /// Adds a machine with an agent and starts a target beside it; `start()` starts the daemons.
    std::size_t addTarget(const std::string& service, const std::string& zone);
    /// Starts all daemons, and the targets beside the agents.
    void start();
    /// Runs until a balancer is ready; false after `limit`.
    bool waitUntilReady(Millis limit);
    void runFor(Millis time);

    Store& store() { return *m_store; }
    Target* target(std::size_t index) { return m_targets[index].get(); }
    std::uint32_t targetAddress(std::size_t index) const { return m_targetOptions[index].address; }
    const std::string& zoneOf(std::size_t index) const { return m_targetOptions[index].zone; }
    /// Ends the target's process: nothing is bound to its port, and it sends nothing.
    void endTarget(std::size_t index);
    /// Starts a target at the address of an earlier one.
    void startTarget(std::size_t index, const std::string& service);
    Daemon& agentOf(std::size_t index);
    void signalDaemon(const Daemon& daemon, int number);
    /// Kills all daemons at the same moment, and starts them again after `downTime`.
    void restartDaemons(Millis downTime);
    /// Names of daemons that have ended by themselves.
    std::vector<std::string> endedDaemons();

    std::shared_ptr<RequesterFlow> openFlow(const Endpoint& service, const std::string& request, Millis deadline);
    /// Sends another request on an open flow.
    void request(const std::shared_ptr<RequesterFlow>& flow, const std::string& request, Millis deadline);

    void setOnRun(Target::OnRun onRun) { m_onRun = std::move(onRun); }
    Millis now() const;
    std::ofstream& record() { return m_record; }
    void note(const std::string& text);

private:
    Daemon& addDaemon(const std::string& name, const std::string& zone, bool isBalancer);
    void writeSettings(const Daemon& daemon) const;
    void launch(Daemon& daemon);
    void probe();
    const Daemon* route(const Endpoint& requester, const Endpoint& service);
    void sendOpening(const std::shared_ptr<RequesterFlow>& flow);
    void sendRequest(const std::shared_ptr<RequesterFlow>& flow);
    void handlePacket(std::span<std::uint8_t> bytes);
    void transmit(const RequesterFlow& flow, std::uint8_t flags, std::uint32_t acknowledged, const std::string& data);
    std::uint32_t addressOf(std::uint32_t number) const;

    WorldOptions m_options;
    asio::io_context m_context;
    std::ofstream m_record;
    std::uint32_t m_block = 0;
    std::uint32_t m_daemonCount = 0;
    std::unique_ptr<Store> m_store;
    std::unique_ptr<Datagrams> m_requesters;
    std::unique_ptr<asio::steady_timer> m_probeTimer;
    std::vector<std::unique_ptr<Daemon>> m_daemons;
    std::vector<TargetOptions> m_targetOptions;
    std::vector<std::unique_ptr<Target>> m_targets;
    std::map<std::pair<Endpoint, Endpoint>, std::shared_ptr<RequesterFlow>> m_flows;
    Target::OnRun m_onRun;
    std::uint16_t m_nextPort = 20000;
    std::uint32_t m_nextId = 0;
    std::chrono::steady_clock::time_point m_startedAt = std::chrono::steady_clock::now();
};

/// Reads the settings of a run from the environment that run.sh sets; empty if a variable is missing.
std::string environment(const char* name);

/// The configuration `version` with one route to each of the services, at the addresses of routeTo(1), routeTo(2) and so on.
std::string configuration(std::uint64_t version, const std::vector<std::string>& services, Millis idleTimeout);
Endpoint routeTo(std::uint32_t number);

}
