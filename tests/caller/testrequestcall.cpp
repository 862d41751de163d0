#include "libcaller/requestcall.h"

#include <cppunit/extensions/HelperMacros.h>

using namespace kingcuptrail;

namespace {

/// Passes encoded messages to an AnswerAssembly.
struct Answer {
    explicit Answer(bool stream = false)
        : assembly(stream)
    {
    }

    void head(std::string_view body, bool stream = false)
    {
        wire::AnswerHeadT head;
        head.status = 200;
        head.stream = stream;
        head.body_length = body.size();
        head.body_hash = bodyHashOf(body);
        const Bytes bytes = encodeMessageOf(head);
        assembly.receiveHead(*decodeMessage(bytes)->body_as_AnswerHead());
    }

    std::string chunk(std::uint64_t offset, std::string_view text)
    {
        wire::AnswerChunkT chunk;
        chunk.offset = offset;
        chunk.bytes.assign(text.begin(), text.end());
        const Bytes bytes = encodeMessageOf(std::move(chunk));
        return std::string(assembly.receiveChunk(*decodeMessage(bytes)->body_as_AnswerChunk()));
    }

    AnswerAssembly assembly;
};

}

class TestRequestCall : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(TestRequestCall);
    CPPUNIT_TEST(requestIsCutIntoHeadAndChunks);
    CPPUNIT_TEST(wholeAnswerIsDelivered);
    CPPUNIT_TEST(invalidAnswersAreRejected);
    CPPUNIT_TEST(streamChunksMustBeContiguous);
    CPPUNIT_TEST(ordinaryAnswerToAStreamRequest);
    CPPUNIT_TEST_SUITE_END();

    void requestIsCutIntoHeadAndChunks()
    {
        const auto spec = std::make_shared<const RequestSpec>(RequestSpec { .method = "POST", .key = "k", .body = std::string(2 * maxChunkBytes + 5, 'x'), .idempotent = false });
        RequestSender sender(3, spec, 900, { { .upstream = 8, .incarnation = 4 } });
        const Bytes head = *sender.next();
        const auto* message = decodeMessage(head)->body_as_RequestHead();
        CPPUNIT_ASSERT_EQUAL(std::uint64_t { 8 }, message->earlier()->Get(0)->upstream());
        CPPUNIT_ASSERT_EQUAL(bodyHashOf(spec->body), message->body_hash());
        std::size_t total = 0;
        while (const auto bytes = sender.next()) {
            const auto* chunk = decodeMessage(*bytes)->body_as_BodyChunk();
            CPPUNIT_ASSERT_EQUAL(std::uint64_t { total }, chunk->offset());
            total += chunk->bytes()->size();
            CPPUNIT_ASSERT_EQUAL(total == spec->body.size(), sender.isDone());
        }
        CPPUNIT_ASSERT_EQUAL(spec->body.size(), total);
    }

    void wholeAnswerIsDelivered()
    {
        Answer answer;
        answer.head("permit 12");
        answer.chunk(0, "permit");
        CPPUNIT_ASSERT(answer.assembly.state() == AnswerState::Arriving);
        answer.chunk(6, " 12");
        CPPUNIT_ASSERT(answer.assembly.state() == AnswerState::Whole);
        CPPUNIT_ASSERT_EQUAL(std::string("permit 12"), answer.assembly.extractBody());
        Answer empty;
        empty.head("");
        CPPUNIT_ASSERT(empty.assembly.state() == AnswerState::Whole);
    }

    // Answers on one flow may be mixed up, or truncated when the agent fails, and the caller would get a wrong or partial
    // body. Each row makes an answer invalid in one way; none may be accepted as complete.
    void invalidAnswersAreRejected()
    {
        struct Row {
            AnswerFault fault;
            void (*feed)(Answer&);
        };
        const Row rows[] {
            { AnswerFault::ChunkBeforeHead, [](Answer& answer) { answer.chunk(0, "abc"); } },
            { AnswerFault::SecondHead, [](Answer& answer) { answer.head("abc"); answer.head("abc"); } },
            { AnswerFault::Gap, [](Answer& answer) { answer.head("abc"); answer.chunk(1, "bc"); } },
            { AnswerFault::TooLong, [](Answer& answer) { answer.head("abc"); answer.chunk(0, "abcd"); } },
            { AnswerFault::HashMismatch, [](Answer& answer) { answer.head("abc"); answer.chunk(0, "abd"); } },
            { AnswerFault::StreamMismatch, [](Answer& answer) { answer.head("", true); } },
        };
        for (const Row& row : rows) {
            Answer answer;
            row.feed(answer);
            CPPUNIT_ASSERT(answer.assembly.state() == AnswerState::Faulty);
            CPPUNIT_ASSERT(answer.assembly.fault() == row.fault);
            CPPUNIT_ASSERT(answer.assembly.extractBody().empty());
        }
    }

    void streamChunksMustBeContiguous()
    {
        Answer feed(true);
        feed.head("", true);
        CPPUNIT_ASSERT_EQUAL(std::string("one"), feed.chunk(0, "one"));
        CPPUNIT_ASSERT_EQUAL(std::string("two"), feed.chunk(3, "two"));
        CPPUNIT_ASSERT_EQUAL(std::string(), feed.chunk(9, "four"));
        CPPUNIT_ASSERT(feed.assembly.fault() == AnswerFault::Gap);
        Answer ended(true);
        ended.head("", true);
        ended.chunk(0, "");
        CPPUNIT_ASSERT(ended.assembly.state() == AnswerState::Whole);
    }

    void ordinaryAnswerToAStreamRequest()
    {
        Answer answer(true);
        answer.head("no such feed");
        CPPUNIT_ASSERT(!answer.assembly.isStream());
        answer.chunk(0, "no such feed");
        CPPUNIT_ASSERT(answer.assembly.state() == AnswerState::Whole);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(TestRequestCall);
