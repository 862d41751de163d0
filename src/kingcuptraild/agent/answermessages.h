#pragma once

#include "libdecision/refusal.h"
#include "libprotocol/framing.h"

#include <deque>
#include <string_view>

namespace kingcuptrail {

/// Encode the messages that answer or refuse a caller's request.
Bytes answerHeadMessage(std::uint64_t request, int status, bool stream, std::string_view body);
Bytes answerChunkMessage(std::uint64_t request, std::uint64_t offset, std::string_view bytes);
Bytes refusalMessage(std::uint64_t request, const RefusalVerdict& verdict);

/// Splits bytes into chunks of at most maxChunkBytes and appends their messages; `offset` is that of the first byte.
void appendChunks(std::deque<Bytes>& out, std::uint64_t request, std::uint64_t offset, std::string_view bytes);

}
