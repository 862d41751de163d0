#include "libcaller/caller.h"
#include "libprotocol/link.h"
#include "support/eventloop.h"

#include <algorithm>
#include <cppunit/extensions/HelperMacros.h>

using namespace kingcuptrail;

namespace {

/// Fabric, balancer and agent in one: accepts every flow and passes each message to the test's script.
class FakeAgent {
public:
    struct Flow {
        FlowEndpoint endpoint;
        std::uint64_t source = 0;
        std::uint32_t incarnation = 0;
    };

    explicit FakeAgent(asio::io_context& context)
        : m_acceptor(context, { asio::ip::address_v4::loopback(), 0 })
        , m_timer(context)
    {
        m_acceptor.async_accept([this](asio::error_code error, asio::ip::tcp::socket socket) {
            if (error)
                return;
            m_link = std::make_shared<Link>(std::move(socket), LinkOptions {});
            m_link->start({ .onFrame = [this](Link&, const wire::Frame& frame, std::span<const std::uint8_t>) { handle(frame); }, .onClosed = {} });
            m_link->send(encodeFrameOf(wire::HelloT {}));
            flushLater();
        });
    }

    ~FakeAgent()
    {
        if (m_link)
            m_link->close();
    }

    asio::ip::tcp::endpoint endpoint() const { return m_acceptor.local_endpoint(); }

    template <typename Body>
    void sendMessage(FlowId flow, Body body) { flows[flow].endpoint.send(encodeMessageOf(std::move(body))); }

    void answer(FlowId flow, std::uint64_t request, std::string_view text)
    {
        wire::AnswerHeadT head;
        head.request = request;
        head.status = 200;
        head.body_length = text.size();
        head.body_hash = bodyHashOf(text);
        sendMessage(flow, head);
        wire::AnswerChunkT chunk;
        chunk.request = request;
        chunk.bytes.assign(text.begin(), text.end());
        sendMessage(flow, chunk);
    }

    void packet(FlowId id, wire::PacketKind kind, wire::PacketT packet = {})
    {
        if (id == silent)
            return;
        packet.kind = kind;
        packet.flow = id;
        packet.source = flows[id].source;
        packet.owner_upstream = 1;
        packet.owner_incarnation = flows[id].incarnation;
        packet.acknowledged = flows[id].endpoint.receivedUpTo();
        m_link->send(encodeFrameOf(std::move(packet)));
    }

    void reset(FlowId id, RefusalReason reason)
    {
        wire::PacketT reset;
        reset.reason = static_cast<std::uint8_t>(reason);
        packet(id, wire::PacketKind::Reset, std::move(reset));
    }

    std::map<FlowId, Flow> flows;
    std::vector<FlowId> closed;
    /// A flow on which no more packets are sent to the caller.
    FlowId silent = 0;
    std::function<void(FlowId, const wire::Message&)> script;

private:
    void handle(const wire::Frame& frame)
    {
        const auto* packet = frame.body_as_Packet();
        if (!packet)
            return;
        if (packet->kind() == wire::PacketKind::Close) {
            closed.push_back(packet->flow());
            return;
        }
        Flow& flow = flows[packet->flow()];
        if (packet->kind() == wire::PacketKind::Open) {
            flow.source = packet->source();
            flow.incarnation = flow.incarnation ? flow.incarnation : ++m_incarnations;
            this->packet(packet->flow(), wire::PacketKind::Opened);
            return;
        }
        flow.endpoint.acknowledge(packet->acknowledged(), 0);
        if (packet->payload())
            flow.endpoint.receive(packet->sequence(), Bytes(packet->payload()->begin(), packet->payload()->end()));
        while (const auto payload = flow.endpoint.dequeuePayload())
            script(packet->flow(), *decodeMessage(*payload));
        this->packet(packet->flow(), wire::PacketKind::Ack);
    }

    void flushLater()
    {
        m_timer.expires_after(std::chrono::milliseconds(2));
        m_timer.async_wait([this](asio::error_code error) {
            if (error)
                return;
            for (auto& [id, flow] : flows) {
                for (const auto& segment : flow.endpoint.collectOutgoing(0)) {
                    wire::PacketT packet;
                    packet.sequence = segment.sequence;
                    packet.payload = *segment.payload;
                    this->packet(id, wire::PacketKind::Segment, std::move(packet));
                }
            }
            flushLater();
        });
    }

    asio::ip::tcp::acceptor m_acceptor;
    asio::steady_timer m_timer;
    std::shared_ptr<Link> m_link;
    std::uint32_t m_incarnations = 0;
};

}

class TestCaller : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(TestCaller);
    CPPUNIT_TEST(answersMatchTheirRequests);
    CPPUNIT_TEST(cancelledCallIsAnsweredAtOnce);
    CPPUNIT_TEST(lostRequestIsRetriedWithItsEarlierOwner);
    CPPUNIT_TEST(refusedRequestGoesToAnotherFlow);
    CPPUNIT_TEST(queryDoesNotWaitBehindAnUpload);
    CPPUNIT_TEST(queryIsRetriedOffASilentFlow);
    CPPUNIT_TEST(deadlineEndsACall);
    CPPUNIT_TEST_SUITE_END();

    asio::io_context m_context;
    std::unique_ptr<FakeAgent> m_agent;
    std::unique_ptr<Caller> m_caller;
    std::map<std::string, CallResult> m_results;

public:
    void setUp() override
    {
        m_agent = std::make_unique<FakeAgent>(m_context);
        m_caller = std::make_unique<Caller>(m_context, CallerOptions { .fabric = m_agent->endpoint(), .seed = 3, .sharedFlows = 1, .retry = { .ratio = 5 } });
    }

    void tearDown() override
    {
        m_caller.reset();
        m_agent.reset();
    }

private:
    template <typename Condition>
    void await(Condition condition)
    {
        runUntil(m_context, condition);
    }

    CallId call(RequestSpec request, Millis deadline = 5000)
    {
        const std::string key = request.key;
        return m_caller->call({ .service = 1, .deadline = deadline, .request = std::move(request) },
            { .onDone = [this, key](CallResult result) { m_results[key] = std::move(result); }, .onChunk = {} });
    }

    /// Two answers on one flow arrive in reverse order: each must be matched to its own request.
    void answersMatchTheirRequests()
    {
        std::vector<std::pair<FlowId, std::uint64_t>> heads;
        m_agent->script = [&](FlowId flow, const wire::Message& message) {
            if (const auto* head = message.body_as_RequestHead())
                heads.emplace_back(flow, head->request());
            if (heads.size() == 2) {
                m_agent->answer(heads[1].first, heads[1].second, "second");
                m_agent->answer(heads[0].first, heads[0].second, "first");
            }
        };
        call({ .key = "a" });
        call({ .key = "b" });
        await([this] { return m_results.size() == 2; });
        CPPUNIT_ASSERT_EQUAL(std::string("first"), m_results["a"].body);
        CPPUNIT_ASSERT_EQUAL(std::string("second"), m_results["b"].body);
        CPPUNIT_ASSERT_EQUAL(std::size_t { 1 }, m_agent->flows.size());
    }

    // The answer to a cancelled call arrives after the cancellation. It must not be delivered, in particular not to the next
    // request on the same flow.
    void cancelledCallIsAnsweredAtOnce()
    {
        std::uint64_t first = 0;
        bool wasCancelled = false;
        m_agent->script = [&](FlowId flow, const wire::Message& message) {
            if (const auto* head = message.body_as_RequestHead()) {
                if (first == 0)
                    first = head->request();
                else
                    m_agent->answer(flow, head->request(), "own");
            }
            if (const auto* cancel = message.body_as_Cancel()) {
                wasCancelled = cancel->request() == first;
                m_agent->answer(flow, first, "late");
            }
        };
        const CallId id = call({ .key = "given up" });
        await([&] { return first != 0; });
        m_caller->cancel(id);
        m_context.poll();
        CPPUNIT_ASSERT(m_results.at("given up").outcome == CallOutcome::Cancelled);
        call({ .key = "next" });
        await([this] { return m_results.contains("next") && m_caller->counters().lateAnswers == 2; });
        CPPUNIT_ASSERT(wasCancelled);
        CPPUNIT_ASSERT_EQUAL(std::string("own"), m_results["next"].body);
    }

    // A request that is not idempotent was sent completely when its flow is reset because the data centre was taken out of
    // service. Its outcome is unknown, so the retry must list the first owner; otherwise the request could run twice.
    void lostRequestIsRetriedWithItsEarlierOwner()
    {
        std::vector<OwnerToken> earlier;
        FlowId lost = 0;
        m_agent->script = [&](FlowId flow, const wire::Message& message) {
            const auto* head = message.body_as_RequestHead();
            if (head && lost == 0) {
                lost = flow;
                m_agent->reset(flow, RefusalReason::DataCentreOut);
            } else if (head) {
                for (const auto* attempt : *head->earlier())
                    earlier.push_back({ attempt->upstream(), attempt->incarnation() });
                m_agent->answer(flow, head->request(), "filed");
            }
        };
        call({ .method = "POST", .key = "filing", .idempotent = false });
        await([this] { return m_results.contains("filing"); });
        CPPUNIT_ASSERT(m_results["filing"].outcome == CallOutcome::AnswerWhole);
        CPPUNIT_ASSERT_EQUAL(std::uint32_t { 2 }, m_results["filing"].tries);
        CPPUNIT_ASSERT((earlier == std::vector<OwnerToken> { { .upstream = 1, .incarnation = 1 } }));
        CPPUNIT_ASSERT_EQUAL(std::uint64_t { 1 }, m_caller->counters().flowEnds.count(CallerFlowEnd::GivenUp));
    }

    void refusedRequestGoesToAnotherFlow()
    {
        std::vector<FlowId> used;
        m_agent->script = [&](FlowId flow, const wire::Message& message) {
            const auto* head = message.body_as_RequestHead();
            if (!head)
                return;
            used.push_back(flow);
            wire::RefusalT refusal;
            refusal.request = head->request();
            refusal.reason = static_cast<std::uint8_t>(RefusalReason::QueueFull);
            m_agent->sendMessage(flow, refusal);
        };
        call({ .key = "query" });
        await([this] { return m_results.contains("query"); });
        CPPUNIT_ASSERT(m_results["query"].outcome == CallOutcome::RefusedNotRun);
        CPPUNIT_ASSERT(m_results["query"].reason == RefusalReason::QueueFull);
        CPPUNIT_ASSERT_EQUAL(m_results["query"].tries, static_cast<std::uint32_t>(used.size()));
        std::ranges::sort(used);
        CPPUNIT_ASSERT(used.size() == 4 && std::ranges::adjacent_find(used) == used.end());
        await([&] { return m_agent->closed.size() == 3; });
    }

    // A query shares its flow with an upload of 4 MB. If it were queued behind the whole upload, it would take as long as the
    // upload.
    void queryDoesNotWaitBehindAnUpload()
    {
        std::size_t uploaded = 0;
        std::size_t uploadedBeforeQuery = 0;
        m_agent->script = [&](FlowId flow, const wire::Message& message) {
            if (const auto* chunk = message.body_as_BodyChunk())
                uploaded += chunk->bytes()->size();
            const auto* head = message.body_as_RequestHead();
            if (head && head->method()->str() == "GET") {
                uploadedBeforeQuery = uploaded;
                m_agent->answer(flow, head->request(), "open");
            }
        };
        constexpr std::size_t size = std::size_t { 4 } * 1024 * 1024;
        call({ .method = "POST", .key = "upload", .body = std::string(size, 'x'), .idempotent = false });
        call({ .key = "query" });
        await([&] { return m_results.contains("query") && uploaded == size; });
        CPPUNIT_ASSERT(uploadedBeforeQuery < size / 2);
    }

    // All packets of one flow are lost while new flows work. A query on it must be retried on another flow, since the silence
    // limit of the flow may be longer than the query's deadline.
    void queryIsRetriedOffASilentFlow()
    {
        m_agent->script = [&](FlowId flow, const wire::Message& message) {
            const auto* head = message.body_as_RequestHead();
            if (head && m_agent->silent == 0)
                m_agent->silent = flow;
            else if (head)
                m_agent->answer(flow, head->request(), "open");
        };
        call({ .key = "query" });
        await([this] { return m_results.contains("query"); });
        CPPUNIT_ASSERT_EQUAL(std::string("open"), m_results["query"].body);
        CPPUNIT_ASSERT_EQUAL(std::uint32_t { 2 }, m_results["query"].tries);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t { 0 }, m_caller->counters().flowEnds.count(CallerFlowEnd::Silent));
    }

    void deadlineEndsACall()
    {
        m_agent->script = [](FlowId, const wire::Message&) {};
        call({ .key = "query" }, 400);
        call({ .method = "POST", .key = "filing", .idempotent = false }, 400);
        await([this] { return m_results.size() == 2; });
        CPPUNIT_ASSERT(m_results["query"].outcome == CallOutcome::DeadlinePassed);
        CPPUNIT_ASSERT(m_results["filing"].outcome == CallOutcome::OutcomeUnknown);
        CPPUNIT_ASSERT(m_results["filing"].reason == RefusalReason::DeadlinePassed);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(TestCaller);
