#pragma once

#include "activerequest.h"
#include "libhttp/http.h"

#include <string>

namespace kingcuptrail {

/// The request as the upstream gets it; takes the body. Headers tell the service, the key, the body's hash and the
/// time left.
HttpRequest upstreamRequest(ActiveRequest& request, const std::string& service, Millis now);

/// Whether the upstream turned a request away before it ran any of it: status 503 with `X-Request-Ran: no`.
bool isShed(const HttpResponse& response);

/// When the upstream wants the request back, in milliseconds; 0 when it does not say.
Millis retryAfterOf(const HttpResponse& response);

}
