#include "libhttp/httpclient.h"
#include "libhttp/httpserver.h"
#include "support/eventloop.h"

#include <asio/read.hpp>
#include <asio/write.hpp>
#include <cppunit/extensions/HelperMacros.h>

using namespace kingcuptrail;

namespace {

const asio::ip::tcp::endpoint anyPort(asio::ip::make_address("127.0.0.1"), 0);

/// A client or server that sends the given bytes, valid or not, and collects the answer.
struct RawPeer {
    explicit RawPeer(asio::io_context& context)
        : socket(context)
    {
    }

    void run(std::string bytes, bool closeAfter)
    {
        sent = std::move(bytes);
        asio::async_write(socket, asio::buffer(sent), [this, closeAfter](asio::error_code, std::size_t) {
            asio::error_code ignored;
            if (closeAfter)
                socket.shutdown(asio::ip::tcp::socket::shutdown_send, ignored);
        });
        asio::async_read(socket, asio::dynamic_buffer(received), [this](asio::error_code, std::size_t) { ended = true; });
    }

    asio::ip::tcp::socket socket;
    std::string sent;
    std::string received;
    bool ended = false;
};

}

class TestHttp : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(TestHttp);
    CPPUNIT_TEST(badRequestsReachNoHandler);
    CPPUNIT_TEST(badResponsesAreErrors);
    CPPUNIT_TEST(refusedConnectionReachesNoServer);
    CPPUNIT_TEST(streamPausesAndResumes);
    CPPUNIT_TEST(cancelledCallInvokesNoHandler);
    CPPUNIT_TEST(surplusConnectionIsClosed);
    CPPUNIT_TEST(unansweredRequestIsClosed);
    CPPUNIT_TEST(lineBreakInHeaderIsRefused);
    CPPUNIT_TEST_SUITE_END();

    asio::io_context m_context;
    std::unique_ptr<HttpServer> m_server;
    unsigned m_handled = 0;

    void serve(const HttpServerOptions& options, HttpHandler handler)
    {
        asio::error_code error;
        m_server = HttpServer::listen(m_context, anyPort, options, std::move(handler), error);
        CPPUNIT_ASSERT(m_server);
    }

    struct CallResult {
        bool done = false;
        std::optional<HttpResponse> response;
        HttpOutcome outcome;
    };

    HttpCall::Handlers collect(CallResult& ended)
    {
        HttpCall::Handlers handlers;
        handlers.onDone = [&ended](std::optional<HttpResponse> response, const HttpOutcome& outcome) {
            CPPUNIT_ASSERT(!ended.done);
            ended = { .done = true, .response = std::move(response), .outcome = outcome };
        };
        return handlers;
    }

    // Clients send incomplete, malformed, oversized or very slow requests. None may reach the handler, keep its connection
    // open, or affect the next client.
    void badRequestsReachNoHandler()
    {
        serve({ .maxBodyBytes = 100, .requestTimeout = 150 }, [this](const HttpRequest&, const std::shared_ptr<HttpResponder>& responder) {
            ++m_handled;
            responder->respond({ .body = "fine" });
        });
        struct Case {
            const char* name;
            std::string bytes;
            bool closeAfter;
            std::string answer;
        };
        const std::vector<Case> cases {
            { "truncated head", "GET / HT", true, "" },
            { "truncated body", "PUT / HTTP/1.1\r\nContent-Length: 9\r\n\r\nhalf", true, "" },
            { "slow sender", "GET / HTTP/1.1\r\nX: ", false, "HTTP/1.1 408" },
            { "garbage", "\x01\x02\x03 garbage\r\n\r\n", false, "HTTP/1.1 400" },
            { "oversized body", "PUT / HTTP/1.1\r\nContent-Length: 101\r\n\r\n", false, "HTTP/1.1 413" },
            { "oversized chunks", "PUT / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n65\r\n" + std::string(101, 'x') + "\r\n0\r\n\r\n", false, "HTTP/1.1 413" },
            { "oversized head", "GET / HTTP/1.1\r\nX: " + std::string(200000, 'x'), false, "HTTP/1.1 413" },
            { "too many headers", "GET / HTTP/1.1\r\n" + [] { std::string lines; for (int index = 0; index < 300; ++index) lines += "A: b\r\n"; return lines; }() + "\r\n", false, "HTTP/1.1 413" },
            { "pipelined garbage", "GET / HTTP/1.1\r\n\r\n\x01\x02", false, "HTTP/1.1 400" },
            { "two lengths", "PUT / HTTP/1.1\r\nContent-Length: 1\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nx\r\n0\r\n\r\n", false, "HTTP/1.1 400" },
        };
        for (const Case& testCase : cases) {
            RawPeer peer(m_context);
            peer.socket.connect(m_server->localEndpoint());
            peer.run(testCase.bytes, testCase.closeAfter);
            runUntil(m_context, [&peer] { return peer.ended; });
            CPPUNIT_ASSERT_EQUAL_MESSAGE(testCase.name, testCase.answer, peer.received.substr(0, 12));
            CPPUNIT_ASSERT_EQUAL_MESSAGE(testCase.name, 0U, m_handled);
        }
        CallResult ended;
        const auto call = startHttpCall(m_context, m_server->localEndpoint(), {}, {}, collect(ended));
        runUntil(m_context, [&ended] { return ended.done; });
        CPPUNIT_ASSERT_EQUAL(std::string("fine"), ended.response->body);
    }

    // An upstream fails in the middle of an answer, or the network truncates or loses it. A partial answer must never be
    // taken for a complete one: each case must end with the error that names its cause.
    void badResponsesAreErrors()
    {
        struct Case {
            const char* name;
            std::string bytes;
            bool closeAfter;
            HttpError error;
        };
        const std::vector<Case> cases {
            { "whole", "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nfull", false, HttpError::None },
            { "interim first", "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nfull", false, HttpError::None },
            { "no answer", "", true, HttpError::ConnectionLost },
            { "half a head", "HTTP/1.1 200 OK\r\nCont", true, HttpError::ConnectionLost },
            { "half a body", "HTTP/1.1 200 OK\r\nContent-Length: 8\r\n\r\nhalf", true, HttpError::ConnectionLost },
            { "half the chunks", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n", true, HttpError::ConnectionLost },
            { "no length", "HTTP/1.1 200 OK\r\n\r\nhalf", true, HttpError::BadMessage },
            { "garbage", "\x01\x02\x03\r\n\r\n", false, HttpError::BadMessage },
            { "upgrade", "HTTP/1.1 101 Switching Protocols\r\nUpgrade: x\r\nConnection: Upgrade\r\n\r\n", false, HttpError::BadMessage },
            { "too large", "HTTP/1.1 200 OK\r\nContent-Length: 101\r\n\r\n", false, HttpError::TooLarge },
            { "silent after the head", "HTTP/1.1 200 OK\r\nContent-Length: 8\r\n\r\nhalf", false, HttpError::Silent },
            { "never an answer", "", false, HttpError::Timeout },
        };
        asio::ip::tcp::acceptor acceptor(m_context, anyPort);
        for (const Case& testCase : cases) {
            RawPeer peer(m_context);
            acceptor.async_accept(peer.socket, [&](asio::error_code) { peer.run(testCase.bytes, testCase.closeAfter); });
            CallResult ended;
            const HttpCallOptions options { .timeout = 400, .silenceLimit = 100, .maxBodyBytes = 100 };
            const auto call = startHttpCall(m_context, acceptor.local_endpoint(), {}, options, collect(ended));
            runUntil(m_context, [&] { return ended.done && peer.ended; });
            CPPUNIT_ASSERT_EQUAL_MESSAGE(testCase.name, std::string(nameOf(testCase.error)), std::string(nameOf(ended.outcome.error)));
            CPPUNIT_ASSERT_EQUAL_MESSAGE(testCase.name, testCase.error == HttpError::None, ended.response.has_value());
            CPPUNIT_ASSERT_MESSAGE(testCase.name, ended.outcome.mayHaveReached);
            if (ended.response)
                CPPUNIT_ASSERT_EQUAL_MESSAGE(testCase.name, std::string("full"), ended.response->body);
        }
    }

    void refusedConnectionReachesNoServer()
    {
        asio::ip::tcp::acceptor acceptor(m_context, anyPort);
        const auto endpoint = acceptor.local_endpoint();
        acceptor.close();
        CallResult ended;
        const auto call = startHttpCall(m_context, endpoint, {}, {}, collect(ended));
        runUntil(m_context, [&ended] { return ended.done; });
        CPPUNIT_ASSERT(ended.outcome.error == HttpError::ConnectFailed);
        CPPUNIT_ASSERT(!ended.outcome.mayHaveReached);
    }

    // The server keeps sending while the client has paused reading. Unread data must stay in the socket buffers instead of
    // accumulating in the client, and must arrive completely after resume().
    void streamPausesAndResumes()
    {
        constexpr std::size_t chunkBytes = 1000;
        constexpr unsigned chunks = 2000;
        serve({}, [](const HttpRequest&, const std::shared_ptr<HttpResponder>& responder) {
            responder->beginStream(200, {});
            for (unsigned index = 0; index < chunks; ++index)
                responder->writeChunk(std::string(chunkBytes, 'x'));
            responder->endStream();
        });
        CallResult ended;
        std::size_t received = 0;
        std::shared_ptr<HttpCall> call;
        auto handlers = collect(ended);
        handlers.onChunk = [&](std::string_view chunk) {
            if (received == 0)
                call->pause();
            received += chunk.size();
        };
        call = startHttpCall(m_context, m_server->localEndpoint(), {}, {}, std::move(handlers));
        runUntil(m_context, [&] { return received > 0; });
        m_context.run_for(std::chrono::milliseconds(50));
        CPPUNIT_ASSERT(received <= std::size_t { 32 } * 1024);
        CPPUNIT_ASSERT(!ended.done);
        call->resume();
        runUntil(m_context, [&] { return ended.done; });
        CPPUNIT_ASSERT_EQUAL(chunkBytes * chunks, received);
        CPPUNIT_ASSERT(ended.response && ended.response->body.empty());
    }

    void cancelledCallInvokesNoHandler()
    {
        bool gone = false;
        std::shared_ptr<HttpResponder> waiting;
        serve({}, [&](const HttpRequest&, const std::shared_ptr<HttpResponder>& responder) {
            waiting = responder;
            responder->beginStream(200, {});
            responder->writeChunk("part");
            responder->setOnDisconnect([&gone] { gone = true; });
        });
        CallResult ended;
        std::shared_ptr<HttpCall> call;
        auto handlers = collect(ended);
        unsigned chunks = 0;
        handlers.onChunk = [&](std::string_view) {
            ++chunks;
            call->cancel();
        };
        call = startHttpCall(m_context, m_server->localEndpoint(), {}, {}, std::move(handlers));
        runUntil(m_context, [&gone] { return gone; });
        CPPUNIT_ASSERT_EQUAL(1U, chunks);
        CPPUNIT_ASSERT(!ended.done);
        CPPUNIT_ASSERT(!waiting->isOpen());
        waiting->writeChunk("more");
        waiting->endStream();
    }

    void surplusConnectionIsClosed()
    {
        std::shared_ptr<HttpResponder> first;
        serve({ .maxConnections = 1 }, [&first](const HttpRequest&, const std::shared_ptr<HttpResponder>& responder) { first = responder; });
        CallResult kept;
        const auto call = startHttpCall(m_context, m_server->localEndpoint(), {}, {}, collect(kept));
        runUntil(m_context, [&first] { return first != nullptr; });
        CallResult surplus;
        const auto second = startHttpCall(m_context, m_server->localEndpoint(), {}, {}, collect(surplus));
        runUntil(m_context, [&surplus] { return surplus.done; });
        CPPUNIT_ASSERT(!surplus.response && !kept.done);
        first->respond({ .body = "first" });
        runUntil(m_context, [&kept] { return kept.done; });
        CPPUNIT_ASSERT_EQUAL(std::string("first"), kept.response->body);
    }

    void unansweredRequestIsClosed()
    {
        serve({}, [](const HttpRequest&, const std::shared_ptr<HttpResponder>&) {});
        CallResult ended;
        const auto call = startHttpCall(m_context, m_server->localEndpoint(), {}, {}, collect(ended));
        runUntil(m_context, [&ended] { return ended.done; });
        CPPUNIT_ASSERT(ended.outcome.error == HttpError::ConnectionLost);
    }

    void lineBreakInHeaderIsRefused()
    {
        serve({}, [this](const HttpRequest&, const std::shared_ptr<HttpResponder>&) { ++m_handled; });
        CallResult ended;
        const HttpRequest request { .headers = { { .name = "X", .value = "a\r\n\r\nGET /other HTTP/1.1" } } };
        const auto call = startHttpCall(m_context, m_server->localEndpoint(), request, {}, collect(ended));
        runUntil(m_context, [&ended] { return ended.done; });
        CPPUNIT_ASSERT(ended.outcome.error == HttpError::BadMessage);
        CPPUNIT_ASSERT(!ended.outcome.mayHaveReached);
        CPPUNIT_ASSERT_EQUAL(0U, m_handled);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(TestHttp);
