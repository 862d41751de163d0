#include "world.h"

#include <algorithm>
#include <csignal>
#include <cstdlib>
#include <cstring>
#include <fcntl.h>
#include <nlohmann/json.hpp>
#include <random>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

namespace review {

using nlohmann::json;

namespace {

    constexpr std::uint16_t peerPort = 7720;
    constexpr std::uint16_t controlPort = 8166;
    constexpr std::uint16_t readyPort = 8167;
    constexpr std::uint16_t outboundPort = 8162;
    constexpr std::uint16_t appPort = 8165;
    constexpr std::uint16_t ingressPort = 8172;
    constexpr std::uint16_t storePort = 8169;
    constexpr std::uint16_t adminPort = 9464;
    constexpr std::size_t headBytes = 36;
    constexpr std::uint32_t sumKey = 0x9e3779b9;
    constexpr Millis probeInterval = 500;
    constexpr Millis reportTimeout = 1000;
    constexpr Millis storeDelay = 4;
    constexpr Millis openingLimit = 1400;
    constexpr std::uint32_t resetWindow = 76800;

    template <typename Number>
    Number readAt(std::span<const std::uint8_t> bytes, std::size_t at)
    {
        Number value {};
        std::memcpy(&value, bytes.data() + at, sizeof(value));
        return value;
    }

    template <typename Number>
    void writeAt(std::span<std::uint8_t> bytes, std::size_t at, Number value)
    {
        std::memcpy(bytes.data() + at, &value, sizeof(value));
    }

    /// The keyed sum over all fields but `sum` itself, `echo`, `pad` and BOUNCED.
    std::uint32_t sumOf(std::span<const std::uint8_t> bytes)
    {
        constexpr std::uint32_t prime = 16777619;
        std::uint32_t sum = sumKey;
        for (std::size_t at = 0; at < bytes.size(); ++at) {
            if ((at >= 2 && at < 10) || (at >= 11 && at < 16))
                continue;
            const auto byte = static_cast<std::uint8_t>(at == 10 ? bytes[at] & ~flagBounced : bytes[at]);
            sum = (sum ^ byte) * prime;
        }
        return sum == 0 ? 1 : sum;
    }

    asio::ip::address_v4 toAddress(std::uint32_t address)
    {
        return asio::ip::address_v4(address);
    }

    asio::ip::tcp::endpoint toTcp(const Endpoint& endpoint)
    {
        return { toAddress(endpoint.address), endpoint.port };
    }

    asio::ip::udp::endpoint toUdp(const Endpoint& endpoint)
    {
        return { toAddress(endpoint.address), endpoint.port };
    }

    std::uint64_t wallMillis()
    {
        return static_cast<std::uint64_t>(std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::system_clock::now().time_since_epoch()).count());
    }

    /// The length of the body of a message whose head ends at `headEnd`.
    std::size_t bodyLength(const std::string& message, std::size_t headEnd)
    {
        std::string head = message.substr(0, headEnd);
        std::ranges::transform(head, head.begin(), [](unsigned char letter) { return std::tolower(letter); });
        const auto found = head.find("content-length:");
        return found == std::string::npos ? 0 : std::strtoul(head.c_str() + found + 15, nullptr, 10);
    }

    bool isComplete(const std::string& message)
    {
        const auto headEnd = message.find("\r\n\r\n");
        return headEnd != std::string::npos && message.size() >= headEnd + 4 + bodyLength(message, headEnd);
    }

    HttpRequest parseRequest(const std::string& message)
    {
        const auto headEnd = message.find("\r\n\r\n");
        const auto first = message.find(' ');
        const auto second = message.find(' ', first + 1);
        return { .method = message.substr(0, first), .target = message.substr(first + 1, second - first - 1), .body = message.substr(headEnd + 4) };
    }

    std::string queryValue(const std::string& target, const std::string& name)
    {
        const auto query = target.find('?');
        if (query == std::string::npos)
            return {};
        const std::string text = "&" + target.substr(query + 1);
        const auto found = text.find("&" + name + "=");
        if (found == std::string::npos)
            return {};
        const auto begin = found + name.size() + 2;
        return text.substr(begin, text.find('&', begin) - begin);
    }

}

std::string toText(std::uint32_t address)
{
    return toAddress(address).to_string();
}

std::string toText(const Endpoint& endpoint)
{
    return toText(endpoint.address) + ":" + std::to_string(endpoint.port);
}

std::vector<std::uint8_t> encode(const Packet& packet)
{
    std::vector<std::uint8_t> bytes(headBytes + packet.data.size());
    writeAt(bytes, 0, static_cast<std::uint16_t>(packet.data.size()));
    bytes[10] = packet.flags;
    writeAt(bytes, 16, packet.sequence);
    writeAt(bytes, 20, packet.acknowledged);
    writeAt(bytes, 24, packet.source.address);
    writeAt(bytes, 28, packet.source.port);
    writeAt(bytes, 30, packet.destination.port);
    writeAt(bytes, 32, packet.destination.address);
    std::ranges::copy(packet.data, bytes.begin() + headBytes);
    writeAt(bytes, 2, sumOf(bytes));
    return bytes;
}

std::optional<Packet> decode(std::span<const std::uint8_t> bytes)
{
    if (bytes.size() < headBytes || bytes.size() != headBytes + readAt<std::uint16_t>(bytes, 0))
        return std::nullopt;
    return Packet {
        .source = { .address = readAt<std::uint32_t>(bytes, 24), .port = readAt<std::uint16_t>(bytes, 28) },
        .destination = { .address = readAt<std::uint32_t>(bytes, 32), .port = readAt<std::uint16_t>(bytes, 30) },
        .flags = bytes[10],
        .sequence = readAt<std::uint32_t>(bytes, 16),
        .acknowledged = readAt<std::uint32_t>(bytes, 20),
        .data = { bytes.begin() + headBytes, bytes.end() },
        .hasValidSum = readAt<std::uint32_t>(bytes, 2) == sumOf(bytes),
    };
}

struct Datagrams::Socket {
    Socket(asio::io_context& context, const Endpoint& endpoint, Handler onDatagram)
        : socket(context, toUdp(endpoint))
        , handler(std::move(onDatagram))
    {
    }

    asio::ip::udp::socket socket;
    asio::ip::udp::endpoint sender;
    std::array<std::uint8_t, 2048> input {};
    Handler handler;
    bool isClosed = false;
};

Datagrams::Datagrams(asio::io_context& context, const Endpoint& endpoint, Handler handler)
    : m_socket(std::make_shared<Socket>(context, endpoint, std::move(handler)))
{
    receive(m_socket);
}

Datagrams::~Datagrams()
{
    asio::error_code ignored;
    m_socket->isClosed = true;
    m_socket->socket.close(ignored);
}

void Datagrams::receive(const std::shared_ptr<Socket>& socket)
{
    socket->socket.async_receive_from(asio::buffer(socket->input), socket->sender, [socket](const asio::error_code& error, std::size_t count) {
        if (socket->isClosed)
            return;
        if (!error)
            socket->handler({ socket->input.data(), count });
        if (!socket->isClosed)
            receive(socket);
    });
}

void Datagrams::send(std::span<const std::uint8_t> bytes, const Endpoint& receiver)
{
    asio::error_code ignored;
    m_socket->socket.send_to(asio::buffer(bytes.data(), bytes.size()), toUdp(receiver), 0, ignored);
}

struct HttpListener::Connection {
    explicit Connection(asio::ip::tcp::socket accepted)
        : socket(std::move(accepted))
    {
    }

    asio::ip::tcp::socket socket;
    std::array<char, 65536> input {};
    std::string message;
    std::string answer;
};

struct HttpListener::Server {
    Server(asio::io_context& context, const Endpoint& endpoint, HttpHandler onRequest)
        : acceptor(context, toTcp(endpoint), true)
        , handler(std::move(onRequest))
    {
    }

    asio::ip::tcp::acceptor acceptor;
    HttpHandler handler;
    std::vector<std::weak_ptr<Connection>> connections;
    bool isClosed = false;
};

HttpListener::HttpListener(asio::io_context& context, const Endpoint& endpoint, HttpHandler handler)
    : m_server(std::make_shared<Server>(context, endpoint, std::move(handler)))
{
    accept(m_server);
}

HttpListener::~HttpListener()
{
    asio::error_code ignored;
    m_server->isClosed = true;
    m_server->acceptor.close(ignored);
    for (const auto& weak : m_server->connections) {
        if (const auto connection = weak.lock())
            connection->socket.close(ignored);
    }
}

void HttpListener::accept(const std::shared_ptr<Server>& server)
{
    server->acceptor.async_accept([server](const asio::error_code& error, asio::ip::tcp::socket socket) {
        if (server->isClosed)
            return;
        if (!error) {
            std::erase_if(server->connections, [](const auto& connection) { return connection.expired(); });
            auto connection = std::make_shared<Connection>(std::move(socket));
            server->connections.push_back(connection);
            read(server, connection);
        }
        accept(server);
    });
}

void HttpListener::read(const std::shared_ptr<Server>& server, const std::shared_ptr<Connection>& connection)
{
    connection->socket.async_read_some(asio::buffer(connection->input), [server, connection](const asio::error_code& error, std::size_t count) {
        if (error || server->isClosed)
            return;
        connection->message.append(connection->input.data(), count);
        if (!isComplete(connection->message)) {
            read(server, connection);
            return;
        }
        const HttpRequest request = parseRequest(connection->message);
        server->handler(request, [connection](int status, const std::string& body) {
            connection->answer = "HTTP/1.1 " + std::to_string(status) + " -\r\nContent-Type: application/json\r\nConnection: close\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
            asio::async_write(connection->socket, asio::buffer(connection->answer), [connection](const asio::error_code&, std::size_t) {
                asio::error_code ignored;
                connection->socket.shutdown(asio::ip::tcp::socket::shutdown_send, ignored);
            });
        });
    });
}

struct HttpCall::State : std::enable_shared_from_this<HttpCall::State> {
    State(asio::io_context& context, std::function<void(int status)> onDone)
        : socket(context)
        , timer(context)
        , done(std::move(onDone))
    {
    }

    void finish(int status)
    {
        if (isEnded)
            return;
        end();
        done(status);
    }

    void end()
    {
        asio::error_code ignored;
        isEnded = true;
        timer.cancel(ignored);
        socket.close(ignored);
    }

    void read()
    {
        socket.async_read_some(asio::buffer(input), [self = shared_from_this()](const asio::error_code& error, std::size_t count) {
            if (self->isEnded)
                return;
            self->message.append(self->input.data(), count);
            if (isComplete(self->message))
                self->finish(std::atoi(self->message.c_str() + std::min<std::size_t>(9, self->message.size())));
            else if (error)
                self->finish(0);
            else
                self->read();
        });
    }

    asio::ip::tcp::socket socket;
    asio::steady_timer timer;
    std::function<void(int status)> done;
    std::string text;
    std::string message;
    std::array<char, 4096> input {};
    bool isEnded = false;
};

HttpCall::HttpCall(asio::io_context& context, const Endpoint& server, const HttpRequest& request, Millis timeout, std::function<void(int status)> done)
    : m_state(std::make_shared<State>(context, std::move(done)))
{
    const auto state = m_state;
    state->text = request.method + " " + request.target + " HTTP/1.1\r\nHost: " + toText(server) + "\r\nContent-Type: application/json\r\nContent-Length: " + std::to_string(request.body.size()) + "\r\n\r\n" + request.body;
    state->timer.expires_after(std::chrono::milliseconds(timeout));
    state->timer.async_wait([state](const asio::error_code& error) {
        if (!error)
            state->finish(0);
    });
    state->socket.async_connect(toTcp(server), [state](const asio::error_code& error) {
        if (state->isEnded)
            return;
        if (error) {
            state->finish(0);
            return;
        }
        asio::async_write(state->socket, asio::buffer(state->text), [state](const asio::error_code&, std::size_t) {});
        state->read();
    });
}

HttpCall::~HttpCall()
{
    if (!m_state->isEnded)
        m_state->end();
}

Store::Store(asio::io_context& context, const Endpoint& endpoint)
    : m_context(context)
    , m_listener(context, endpoint, [this](const HttpRequest& request, const HttpReply& reply) {
        const auto timer = std::make_shared<asio::steady_timer>(m_context, std::chrono::milliseconds(storeDelay));
        timer->async_wait([this, timer, request, reply](const asio::error_code& error) {
            if (!error)
                handle(request, reply);
        });
    })
{
}

std::string Store::toJson(const Object& object)
{
    const json meta { { "name", object.name }, { "revision", object.revision }, { "created-rev", object.createdAt }, { "finalizers", json::array() }, { "deleting", false } };
    return R"({"meta":)" + meta.dump() + R"(,"spec":)" + object.spec + R"(,"status":null})";
}

void Store::write(const std::string& kind, const std::string& name, const std::string& spec)
{
    ++m_revision;
    Object& object = m_objects[kind][name];
    object = { .name = name, .revision = m_revision, .createdAt = object.createdAt == 0 ? m_revision : object.createdAt, .spec = spec };
    m_events.push_back({ .revision = m_revision, .kind = kind, .isDeleted = false, .object = object });
    answerWatches();
}

void Store::remove(const std::string& kind, const std::string& name)
{
    Object object = m_objects[kind][name];
    object.revision = ++m_revision;
    m_objects[kind].erase(name);
    m_events.push_back({ .revision = m_revision, .kind = kind, .isDeleted = true, .object = object });
    answerWatches();
}

void Store::handle(const HttpRequest& request, const HttpReply& reply)
{
    const std::string prefix = "/objects/";
    const std::string path = request.target.substr(0, request.target.find('?'));
    if (!path.starts_with(prefix)) {
        reply(404, "{}");
        return;
    }
    const std::string rest = path.substr(prefix.size());
    const auto slash = rest.find('/');
    const std::string kind = rest.substr(0, slash);
    const std::string name = slash == std::string::npos ? "" : rest.substr(slash + 1);
    if (request.method == "GET")
        read(kind, name, request.target, reply);
    else
        change(request, kind, name, reply);
}

void Store::read(const std::string& kind, const std::string& name, const std::string& target, const HttpReply& reply)
{
    const auto& objects = m_objects[kind];
    if (!name.empty()) {
        const auto found = objects.find(name);
        reply(found == objects.end() ? 404 : 200, found == objects.end() ? "{}" : toJson(found->second));
        return;
    }
    if (const std::string since = queryValue(target, "watch"); !since.empty()) {
        const std::string wait = queryValue(target, "wait-ms");
        beginWatch(kind, std::stoull(since), wait.empty() ? 0 : std::stoll(wait), reply);
        return;
    }
    const std::string after = queryValue(target, "after");
    std::string items;
    for (const auto& [objectName, object] : objects) {
        if (objectName > after || after.empty())
            items += (items.empty() ? "" : ",") + toJson(object);
    }
    reply(200, R"({"items":[)" + items + R"(],"has-more":false,"as-of":)" + std::to_string(m_revision) + "}");
}

void Store::change(const HttpRequest& request, const std::string& kind, std::string name, const HttpReply& reply)
{
    const json body = json::parse(request.body, nullptr, false);
    const bool hasMeta = body.is_object() && body.contains("meta");
    if (request.method == "POST" && hasMeta)
        name = body["meta"].value("name", "");
    auto& objects = m_objects[kind];
    const auto found = objects.find(name);
    if (request.method == "POST" && found != objects.end()) {
        reply(409, toJson(found->second));
        return;
    }
    if (request.method != "POST" && found == objects.end()) {
        reply(404, "{}");
        return;
    }
    const std::string condition = request.method == "DELETE" ? queryValue(request.target, "revision") : std::to_string(hasMeta ? body["meta"].value("revision", std::uint64_t { 0 }) : 0);
    const bool isConditional = request.method != "POST" && !condition.empty() && condition != "0";
    if (isConditional && std::stoull(condition) != found->second.revision) {
        reply(409, toJson(found->second));
        return;
    }
    if (request.method == "DELETE") {
        const std::string removed = toJson(found->second);
        remove(kind, name);
        reply(200, removed);
        return;
    }
    write(kind, name, body.value("spec", json()).dump());
    reply(200, toJson(m_objects[kind][name]));
}

void Store::beginWatch(const std::string& kind, std::uint64_t since, Millis wait, const HttpReply& reply)
{
    const auto watch = std::make_shared<Watch>(Watch { .kind = kind, .since = since, .reply = reply, .timer = std::make_shared<asio::steady_timer>(m_context, std::chrono::milliseconds(wait)) });
    m_watches.push_back(watch);
    watch->timer->async_wait([this, watch](const asio::error_code&) {
        if (!std::exchange(watch->isAnswered, true))
            watch->reply(200, R"({"events":[],"as-of":)" + std::to_string(m_revision) + "}");
    });
    answerWatches();
}

std::string Store::eventsSince(const std::string& kind, std::uint64_t since) const
{
    std::string events;
    for (const Event& event : m_events) {
        if (event.kind == kind && event.revision > since)
            events += std::string(events.empty() ? "" : ",") + R"({"deleted":)" + (event.isDeleted ? "true" : "false") + R"(,"object":)" + toJson(event.object) + "}";
    }
    return events;
}

void Store::answerWatches()
{
    for (const auto& watch : m_watches) {
        const std::string events = watch->isAnswered ? "" : eventsSince(watch->kind, watch->since);
        if (events.empty())
            continue;
        watch->isAnswered = true;
        watch->timer->cancel();
        watch->reply(200, R"({"events":[)" + events + R"(],"as-of":)" + std::to_string(m_revision) + "}");
    }
    std::erase_if(m_watches, [](const auto& watch) { return watch->isAnswered; });
}

Target::Target(asio::io_context& context, TargetOptions options, std::ofstream& record, OnRun onRun)
    : m_context(context)
    , m_options(std::move(options))
    , m_record(record)
    , m_onRun(std::move(onRun))
    , m_packets(context, { .address = m_options.address, .port = appPort }, [this](std::span<std::uint8_t> bytes) { handlePacket(bytes); })
    , m_health(context, { .address = m_options.address, .port = appPort }, [this](const HttpRequest&, const HttpReply& reply) { reply(m_isDraining ? 503 : 200, "{}"); })
    , m_reportTimer(context)
    , m_born(wallMillis())
    , m_nextSequence(std::random_device {}())
{
    reportPeriodically();
}

Target::~Target()
{
    *m_isAlive = false;
}

void Target::reportPeriodically()
{
    report([](int) {});
    m_reportTimer.expires_after(std::chrono::milliseconds(m_options.heartbeat));
    m_reportTimer.async_wait([this, isAlive = m_isAlive](const asio::error_code& error) {
        if (!error && *isAlive)
            reportPeriodically();
    });
}

void Target::report(const std::function<void(int status)>& done)
{
    const json body {
        { "service", m_options.service },
        { "address", toText(Endpoint { .address = m_options.address, .port = appPort }) },
        { "zone", m_options.zone },
        { "version", "v1" },
        { "slots", 6 },
        { "state", m_isDraining ? "draining" : "ready" },
        { "warmup-left-ms", 0 },
        { "sequence", ++m_sequence },
        { "born", m_born },
    };
    const HttpRequest request { .method = "PUT", .target = "/targets/" + m_options.id, .body = body.dump() };
    m_call = std::make_unique<HttpCall>(m_context, Endpoint { .address = m_options.address, .port = controlPort }, request, reportTimeout, done);
}

void Target::drain(const std::function<void(int status)>& done)
{
    m_isDraining = true;
    report(done);
}

void Target::handlePacket(std::span<std::uint8_t> bytes)
{
    const auto packet = decode(bytes);
    if (!packet || !packet->hasValidSum) {
        m_record << "target " << m_options.id << " got a packet that its sender did not write\n";
        return;
    }
    const auto key = std::pair(packet->source, packet->destination);
    const auto found = m_flows.find(key);
    if ((packet->flags & flagSyn) != 0) {
        Flow& flow = m_flows[key];
        if (found == m_flows.end()) {
            flow.sequence = m_nextSequence += 1000003;
            flow.sent = flow.sequence + 1;
            flow.expected = packet->sequence + 1;
        }
        send({ .source = packet->destination, .destination = packet->source, .flags = flagSyn | flagAck, .sequence = flow.sequence, .acknowledged = flow.expected, .data = {} });
        return;
    }
    const bool isHeld = found != m_flows.end() && (found->second.isOpen || packet->acknowledged == found->second.sequence + 1);
    if (!isHeld) {
        bytes[10] |= flagBounced;
        std::fill(bytes.begin() + 11, bytes.begin() + 16, std::uint8_t { 0 });
        m_packets.send(bytes, { .address = m_options.address, .port = outboundPort });
        return;
    }
    Flow& flow = found->second;
    flow.isOpen = true;
    if ((packet->flags & flagRst) != 0) {
        m_flows.erase(found);
        return;
    }
    if (!packet->data.empty())
        handleData(*packet, flow);
    if ((packet->flags & flagFin) != 0) {
        send({ .source = packet->destination, .destination = packet->source, .flags = flagFin | flagAck, .sequence = flow.sent, .acknowledged = packet->sequence + 1, .data = {} });
        m_flows.erase(found);
    }
}

// A request is one packet. Its retransmission is answered again and not run again.
void Target::handleData(const Packet& packet, Flow& flow)
{
    if (packet.sequence != flow.expected) {
        if (!flow.lastAnswer.empty())
            send({ .source = packet.destination, .destination = packet.source, .flags = flagAck, .sequence = flow.lastAnswerSequence, .acknowledged = flow.expected, .data = flow.lastAnswer });
        return;
    }
    flow.expected += static_cast<std::uint32_t>(packet.data.size());
    flow.lastAnswer.clear();
    m_record << "run by " << m_options.id << " of " << m_options.service << " in " << m_options.zone << ": " << packet.data << " sent to " << toText(packet.destination) << " by " << toText(packet.source) << "\n";
    m_onRun(*this, packet.source, packet.destination, packet.data);
    const auto timer = std::make_shared<asio::steady_timer>(m_context, std::chrono::milliseconds(m_options.workTime));
    timer->async_wait([this, timer, packet, isAlive = m_isAlive](const asio::error_code&) {
        if (*isAlive)
            answer(packet, "answer of " + m_options.id + " to " + packet.data);
    });
}

void Target::answer(const Packet& packet, const std::string& text)
{
    const auto found = m_flows.find(std::pair(packet.source, packet.destination));
    if (found == m_flows.end())
        return;
    Flow& flow = found->second;
    flow.lastAnswer = text;
    flow.lastAnswerSequence = flow.sent;
    send({ .source = packet.destination, .destination = packet.source, .flags = flagAck, .sequence = flow.sent, .acknowledged = flow.expected, .data = text });
    flow.sent += static_cast<std::uint32_t>(text.size());
}

void Target::send(const Packet& packet)
{
    m_packets.send(encode(packet), { .address = m_options.address, .port = outboundPort });
}

World::World(WorldOptions options)
    : m_options(std::move(options))
    , m_record(m_options.recordPath)
{
    // A block of loopback addresses in which all ports that the deployment needs are free.
    std::random_device random;
    for (int attempt = 0; attempt < 50 && !m_store; ++attempt) {
        m_block = (127U << 24U) | ((16 + random() % 200) << 16U) | ((random() % 256) << 8U);
        try {
            m_store = std::make_unique<Store>(m_context, Endpoint { .address = addressOf(1), .port = storePort });
            m_requesters = std::make_unique<Datagrams>(m_context, Endpoint { .address = addressOf(2), .port = ingressPort }, [this](std::span<std::uint8_t> bytes) { handlePacket(bytes); });
        } catch (const std::system_error&) {
            m_store.reset();
        }
    }
    if (!m_store)
        throw std::runtime_error("no free loopback addresses");
    m_probeTimer = std::make_unique<asio::steady_timer>(m_context);
    for (const std::string& zone : m_options.zones) {
        for (std::uint32_t number = 1; number <= m_options.balancersPerZone; ++number)
            addDaemon("front-" + zone + "-" + std::to_string(number), zone, true);
    }
}

World::~World()
{
    for (const auto& daemon : m_daemons) {
        if (daemon->pid > 0) {
            kill(daemon->pid, SIGKILL);
            waitpid(daemon->pid, nullptr, 0);
        }
    }
}

std::uint32_t World::addressOf(std::uint32_t number) const
{
    return m_block + number;
}

Millis World::now() const
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::steady_clock::now() - m_startedAt).count();
}

void World::note(const std::string& text)
{
    m_record << "at " << now() << " ms: " << text << std::endl;
}

Daemon& World::addDaemon(const std::string& name, const std::string& zone, bool isBalancer)
{
    auto daemon = std::make_unique<Daemon>();
    daemon->name = name;
    daemon->zone = zone;
    daemon->address = addressOf(10 + m_daemonCount++);
    daemon->isBalancer = isBalancer;
    daemon->settingsPath = m_options.folder + "/" + name + ".json";
    m_daemons.push_back(std::move(daemon));
    return *m_daemons.back();
}

std::size_t World::addTarget(const std::string& service, const std::string& zone)
{
    const Daemon& daemon = addDaemon("side-" + zone + "-" + std::to_string(m_targetOptions.size() + 1), zone, false);
    m_targetOptions.push_back({ .id = {}, .service = service, .zone = zone, .address = daemon.address, .heartbeat = m_options.heartbeat });
    m_targets.emplace_back();
    return m_targets.size() - 1;
}

// The settings are those that the templates of the deploy file give.
void World::writeSettings(const Daemon& daemon) const
{
    const auto at = [&daemon](std::uint16_t port) { return toText(Endpoint { .address = daemon.address, .port = port }); };
    json seeds = json::array();
    for (const auto& other : m_daemons) {
        if (other->isBalancer && seeds.size() < 3)
            seeds.push_back(toText(Endpoint { .address = other->address, .port = controlPort }));
    }
    json packets { { "ingress", at(ingressPort) }, { "ready", at(readyPort) }, { "addressReuseSeconds", 2 }, { "leaveSeconds", 6 }, { "seeds", seeds } };
    if (daemon.isBalancer) {
        packets["linkMegabits"] = 1000.0;
    } else {
        packets["outbound"] = at(outboundPort);
        packets["control"] = at(controlPort);
        packets["upstream"] = at(appPort);
    }
    const json settings {
        { "role", daemon.isBalancer ? "packetBalancer" : "packetAgent" },
        { "name", daemon.name },
        { "dataCentre", daemon.zone },
        { "listen", at(peerPort) },
        { "admin", at(adminPort) },
        { "platform", toText(Endpoint { .address = addressOf(1), .port = storePort }) },
        { "logFormat", "json" },
        { "packets", packets },
    };
    std::ofstream(daemon.settingsPath) << settings.dump(4);
}

void World::launch(Daemon& daemon)
{
    std::vector<std::string> variables { "PATH=/usr/bin:/bin", "HOME=" + m_options.folder, "LANG=C.UTF-8", "KINGCUPTRAIL_NODE_FILE=" + daemon.settingsPath, "KINGCUPTRAIL_TOLERATED_LOSSES=1" };
    if (!daemon.isBalancer)
        variables.push_back("KINGCUPTRAIL_REPORT_INTERVAL_MS=" + std::to_string(m_options.heartbeat));
    std::vector<char*> environment;
    environment.reserve(variables.size() + 1);
    for (std::string& variable : variables)
        environment.push_back(variable.data());
    environment.push_back(nullptr);
    const std::string log = m_options.folder + "/" + daemon.name + ".log";
    std::string program = m_options.program;
    const std::array<char*, 2> arguments { program.data(), nullptr };
    const pid_t parent = getpid();
    daemon.pid = fork();
    if (daemon.pid != 0)
        return;
    prctl(PR_SET_PDEATHSIG, SIGKILL);
    if (getppid() != parent)
        _exit(1);
    const int file = open(log.c_str(), O_CREAT | O_WRONLY | O_APPEND | O_CLOEXEC, 0600);
    dup2(file, STDOUT_FILENO);
    dup2(file, STDERR_FILENO);
    for (int descriptor = 3; descriptor < 1024; ++descriptor)
        close(descriptor);
    execve(program.c_str(), arguments.data(), environment.data());
    _exit(127);
}

void World::start()
{
    for (const auto& daemon : m_daemons) {
        writeSettings(*daemon);
        launch(*daemon);
    }
    for (std::size_t index = 0; index < m_targets.size(); ++index)
        startTarget(index, m_targetOptions[index].service);
    probe();
}

void World::startTarget(std::size_t index, const std::string& service)
{
    TargetOptions options = m_targetOptions[index];
    options.service = service;
    options.id = "i-" + std::to_string(++m_nextId);
    m_targets[index] = std::make_unique<Target>(m_context, options, m_record, [this](const Target& target, const Endpoint& requester, const Endpoint& service, const std::string& request) {
        if (m_onRun)
            m_onRun(target, requester, service, request);
    });
    note("target " + options.id + " of " + service + " starts at " + toText(options.address));
}

void World::endTarget(std::size_t index)
{
    note("target " + m_targets[index]->options().id + " ends");
    m_targets[index].reset();
}

Daemon& World::agentOf(std::size_t index)
{
    return **std::ranges::find_if(m_daemons, [&](const auto& daemon) { return daemon->address == m_targetOptions[index].address; });
}

void World::signalDaemon(const Daemon& daemon, int number)
{
    note("signal " + std::to_string(number) + " to " + daemon.name);
    kill(daemon.pid, number);
}

void World::restartDaemons(Millis downTime)
{
    note("all daemons are killed");
    for (const auto& daemon : m_daemons)
        kill(daemon->pid, SIGKILL);
    for (const auto& daemon : m_daemons)
        waitpid(std::exchange(daemon->pid, -1), nullptr, 0);
    runFor(downTime);
    for (const auto& daemon : m_daemons)
        launch(*daemon);
    note("all daemons are started");
}

std::vector<std::string> World::endedDaemons()
{
    std::vector<std::string> ended;
    for (const auto& daemon : m_daemons) {
        int status = 0;
        if (daemon->pid > 0 && waitpid(daemon->pid, &status, WNOHANG) == daemon->pid) {
            daemon->pid = -1;
            ended.push_back(daemon->name);
            note(daemon->name + (WIFSIGNALED(status) ? " ended by signal " + std::to_string(WTERMSIG(status)) : " ended with code " + std::to_string(WEXITSTATUS(status))));
        }
    }
    return ended;
}

// The platform's probes of readiness: twice a second; after two misses a balancer is out of rotation.
void World::probe()
{
    for (const auto& daemon : m_daemons) {
        if (!daemon->isBalancer)
            continue;
        if (++daemon->missedProbes > 2)
            daemon->isReady = false;
        daemon->probe = std::make_unique<HttpCall>(m_context, Endpoint { .address = daemon->address, .port = readyPort }, HttpRequest { .method = "GET", .target = "/ready", .body = {} }, probeInterval - 50, [state = daemon.get()](int status) {
            if (status == 200) {
                state->missedProbes = 0;
                state->isReady = true;
            }
        });
    }
    m_probeTimer->expires_after(std::chrono::milliseconds(probeInterval));
    m_probeTimer->async_wait([this](const asio::error_code& error) {
        if (!error)
            probe();
    });
}

bool World::waitUntilReady(Millis limit)
{
    const Millis until = now() + limit;
    const auto areReady = [this] { return std::ranges::all_of(m_daemons, [](const auto& daemon) { return !daemon->isBalancer || daemon->isReady; }); };
    while (!areReady() && now() < until)
        runFor(50);
    return areReady();
}

void World::runFor(Millis time)
{
    m_context.restart();
    m_context.run_for(std::chrono::milliseconds(time));
}

// `steady`: each flow goes to the balancer in rotation that its hash ranks first.
const Daemon* World::route(const Endpoint& requester, const Endpoint& service)
{
    const Daemon* chosen = nullptr;
    std::size_t best = 0;
    for (const auto& daemon : m_daemons) {
        if (!daemon->isBalancer || !daemon->isReady)
            continue;
        const std::size_t weight = std::hash<std::string> {}(toText(requester) + toText(service) + daemon->name);
        if (!chosen || weight > best) {
            chosen = daemon.get();
            best = weight;
        }
    }
    return chosen;
}

void World::transmit(const RequesterFlow& flow, std::uint8_t flags, std::uint32_t acknowledged, const std::string& data)
{
    const Daemon* balancer = route(flow.requester, flow.service);
    if (!balancer)
        return;
    const auto bytes = encode({ .source = flow.requester, .destination = flow.service, .flags = flags, .sequence = flow.sequence, .acknowledged = acknowledged, .data = data });
    m_requesters->send(bytes, { .address = balancer->address, .port = ingressPort });
}

std::shared_ptr<RequesterFlow> World::openFlow(const Endpoint& service, const std::string& request, Millis deadline)
{
    auto flow = std::make_shared<RequesterFlow>();
    flow->requester = { .address = addressOf(2), .port = ++m_nextPort };
    flow->service = service;
    flow->sequence = std::random_device {}();
    flow->request = request;
    flow->requestedAt = now();
    flow->deadline = now() + deadline;
    flow->timer = std::make_shared<asio::steady_timer>(m_context);
    m_flows[{ flow->requester, flow->service }] = flow;
    m_record << "sent: " << request << " to " << toText(service) << " on a new flow from " << toText(flow->requester) << "\n";
    sendOpening(flow);
    return flow;
}

// Copies after 200 ms and 600 ms; the try ends after 1.4 s.
void World::sendOpening(const std::shared_ptr<RequesterFlow>& flow)
{
    constexpr std::array<Millis, 3> intervals { 200, 400, openingLimit - 600 };
    if (flow->isOpen || flow->end != FlowEnd::None)
        return;
    if (flow->tries == static_cast<int>(intervals.size())) {
        flow->end = FlowEnd::NotOpened;
        m_record << "not opened: " << flow->request << "\n";
        return;
    }
    transmit(*flow, flagSyn, static_cast<std::uint32_t>(flow->tries), {});
    flow->timer->expires_after(std::chrono::milliseconds(intervals[static_cast<std::size_t>(flow->tries++)]));
    flow->timer->async_wait([this, flow](const asio::error_code& error) {
        if (!error)
            sendOpening(flow);
    });
}

void World::request(const std::shared_ptr<RequesterFlow>& flow, const std::string& request, Millis deadline)
{
    flow->request = request;
    flow->requestedAt = now();
    flow->deadline = now() + deadline;
    flow->tries = 0;
    m_record << "sent: " << request << " to " << toText(flow->service) << " on the flow from " << toText(flow->requester) << "\n";
    sendRequest(flow);
}

// Retransmissions after 200 ms, at intervals that double up to 1.6 s, until the deadline.
void World::sendRequest(const std::shared_ptr<RequesterFlow>& flow)
{
    if (flow->request.empty() || flow->end != FlowEnd::None)
        return;
    if (now() >= flow->deadline) {
        flow->end = FlowEnd::NoAnswer;
        m_record << "no answer: " << flow->request << "\n";
        return;
    }
    transmit(*flow, flagAck, flow->acknowledged, flow->request);
    const Millis interval = std::min<Millis>(200LL << std::min(flow->tries++, 3), 1600);
    flow->timer->expires_after(std::chrono::milliseconds(std::min(interval, std::max<Millis>(flow->deadline - now(), 1))));
    flow->timer->async_wait([this, flow](const asio::error_code& error) {
        if (!error)
            sendRequest(flow);
    });
}

void World::handlePacket(std::span<std::uint8_t> bytes)
{
    const auto packet = decode(bytes);
    const auto found = packet ? m_flows.find({ packet->destination, packet->source }) : m_flows.end();
    if (found == m_flows.end() || found->second->end != FlowEnd::None)
        return;
    const auto flow = found->second;
    if ((packet->flags & flagRst) != 0) {
        const bool isInWindow = packet->sequence - flow->acknowledged + resetWindow <= 2 * resetWindow;
        if (flow->isOpen && !isInWindow)
            return;
        flow->end = FlowEnd::Reset;
        flow->isResetByTarget = packet->hasValidSum;
        flow->timer->cancel();
        m_record << "reset by " << (packet->hasValidSum ? "the target" : "the system") << (flow->isOpen ? " on the open flow from " : " before the flow was open, from ") << toText(flow->requester) << ": " << flow->request << std::endl;
        return;
    }
    if (!packet->hasValidSum) {
        m_record << "a requester got a packet that its sender did not write\n";
        return;
    }
    if ((packet->flags & flagSyn) != 0) {
        if (flow->isOpen)
            return;
        flow->isOpen = true;
        flow->acknowledged = packet->sequence + 1;
        ++flow->sequence;
        flow->tries = 0;
        flow->timer->cancel();
        sendRequest(flow);
        return;
    }
    if (packet->data.empty() || packet->sequence != flow->acknowledged)
        return;
    flow->acknowledged += static_cast<std::uint32_t>(packet->data.size());
    if (flow->request.empty())
        return;
    flow->sequence += static_cast<std::uint32_t>(flow->request.size());
    flow->request.clear();
    flow->timer->cancel();
    ++flow->answers;
    m_record << "answered after " << now() - flow->requestedAt << " ms: " << packet->data << "\n";
    transmit(*flow, flagAck, flow->acknowledged, {});
}

std::string environment(const char* name)
{
    const char* value = std::getenv(name);
    return value ? value : "";
}

Endpoint routeTo(std::uint32_t number)
{
    return { .address = (127U << 24U) | (18U << 16U) | number, .port = 443 };
}

std::string configuration(std::uint64_t version, const std::vector<std::string>& services, Millis idleTimeout)
{
    json routes = json::array();
    json limits = json::array();
    std::uint32_t number = 0;
    for (const std::string& service : services) {
        const Endpoint route = routeTo(++number);
        routes.push_back({ { "name", "r-" + service }, { "host", toText(route.address) }, { "path-prefix", "/" + std::to_string(route.port) + "/" }, { "kind", "idempotent" }, { "timeout-ms", 3000 }, { "aim-ms", 200 }, { "priority", 2 }, { "service", service }, { "attempts", 2 } });
        limits.push_back({ { "name", service }, { "health-path", "/health" }, { "max-conns", 2000 }, { "protocol", "h1" }, { "tls", false }, { "warmup-s", 2.0 }, { "warmup-per-s", 0.0 } });
    }
    return json { { "version", version }, { "routes", routes }, { "services", limits }, { "limits", { { "max-header-bytes", 16384 }, { "max-body-bytes", 262144 }, { "header-timeout-ms", 3000 }, { "idle-timeout-ms", idleTimeout } } } }.dump();
}

}
