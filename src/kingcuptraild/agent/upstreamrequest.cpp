#include "upstreamrequest.h"

#include <algorithm>
#include <charconv>

namespace kingcuptrail {

namespace {

    constexpr int statusShed = 503;
    constexpr std::string_view ranHeader = "X-Request-Ran";
    constexpr std::string_view ranNo = "no";
    constexpr Millis millisPerSecond = 1000;

}

HttpRequest upstreamRequest(ActiveRequest& request, const std::string& service, Millis now)
{
    return {
        .method = request.method,
        .target = request.target,
        .headers = {
            { "X-Service", service },
            { "X-Request-Key", request.key },
            { "X-Body-Hash", std::to_string(request.bodyHash) },
            { "X-Request-Deadline-Ms", std::to_string(std::max<Millis>(request.deadline - now, 0)) },
        },
        .body = std::move(request.body),
    };
}

bool isShed(const HttpResponse& response)
{
    return response.status == statusShed && headerValue(response.headers, ranHeader) == ranNo;
}

Millis retryAfterOf(const HttpResponse& response)
{
    const std::string_view text = headerValue(response.headers, "Retry-After");
    Millis seconds = 0;
    std::from_chars(text.data(), text.data() + text.size(), seconds);
    return seconds * millisPerSecond;
}

}
