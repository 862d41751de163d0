#include "answermessages.h"

#include <algorithm>
#include <xxhash.h>

namespace kingcuptrail {

Bytes answerHeadMessage(std::uint64_t request, int status, bool stream, std::string_view body)
{
    wire::AnswerHeadT head;
    head.request = request;
    head.status = static_cast<std::uint16_t>(status);
    head.stream = stream;
    head.body_length = body.size();
    head.body_hash = XXH3_64bits(body.data(), body.size());
    return encodeMessageOf(head);
}

Bytes answerChunkMessage(std::uint64_t request, std::uint64_t offset, std::string_view bytes)
{
    wire::AnswerChunkT chunk;
    chunk.request = request;
    chunk.offset = offset;
    chunk.bytes.assign(bytes.begin(), bytes.end());
    return encodeMessageOf(std::move(chunk));
}

Bytes refusalMessage(std::uint64_t request, const RefusalVerdict& verdict)
{
    wire::RefusalT refusal;
    refusal.request = request;
    refusal.ran = static_cast<std::uint8_t>(verdict.ran);
    refusal.reason = static_cast<std::uint8_t>(verdict.reason);
    refusal.retry_after = static_cast<std::uint32_t>(std::max<Millis>(verdict.retryAfter, 0));
    return encodeMessageOf(refusal);
}

void appendChunks(std::deque<Bytes>& out, std::uint64_t request, std::uint64_t offset, std::string_view bytes)
{
    while (!bytes.empty()) {
        const std::string_view piece = bytes.substr(0, maxChunkBytes);
        out.push_back(answerChunkMessage(request, offset, piece));
        offset += piece.size();
        bytes.remove_prefix(piece.size());
    }
}

}
