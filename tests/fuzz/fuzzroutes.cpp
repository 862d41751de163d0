#include "libprotocol/viewcodec.h"
#include "platform/trustadapter.h"

#include <cstdlib>

#include <cstddef>
#include <cstdint>

using namespace kingcuptrail;

/// Configurations in the store's format. A decoded configuration must survive encoding and decoding as a view unchanged.
extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size)
{
    DecodeError error = DecodeError::None;
    const auto routes = trustAdapter().decodeRoutes({ .name = "main", .version = 1, .value = std::string(data, data + size) }, error);
    if (routes.has_value() != (error == DecodeError::None))
        std::abort();
    if (!routes)
        return 0;
    FrameError frameError = FrameError::None;
    const DeploymentView view { .routes = *routes, .outages = {}, .entries = {} };
    if (decodeView(encodeView(view), frameError) != view)
        std::abort();
    return 0;
}
