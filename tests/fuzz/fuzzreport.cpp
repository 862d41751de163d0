#include "platform/trustadapter.h"

#include <cstdlib>

#include <cstddef>
#include <cstdint>

using namespace kingcuptrail;

/// Bodies of upstream reports. Decoding must return either a report or an error.
extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size)
{
    const HttpRequest request { .method = "PUT", .target = "/targets/i-1", .body = std::string(data, data + size) };
    const UpstreamRequest call = trustAdapter().decodeUpstreamRequest(request);
    if (call.report.has_value() != (call.error == DecodeError::None))
        std::abort();
    if (call.report && call.report->coldLeft < 0)
        std::abort();
    return 0;
}
