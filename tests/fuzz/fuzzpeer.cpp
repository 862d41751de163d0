#include "libprotocol/viewcodec.h"

#include <cstddef>
#include <cstdint>

using namespace kingcuptrail;

/// Datagrams and views of other processes. Every field of a decoded message must be readable.
extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size)
{
    FrameError error = FrameError::None;
    const auto message = decodePeerMessage({ data, size }, error);
    if (message) {
        toString(message->flow);
        entriesOf(*message);
        readerHeartbeatsOf(*message);
        digestsOf(*message);
        exchangeFor({}, entryDigestsOf(*message), 1, 1);
        pendingRequestsOf(*message);
        outagesOf(*message);
        holderAnswerOf(message->kind);
    }
    decodeView({ reinterpret_cast<const char*>(data), size }, error);
    return 0;
}
