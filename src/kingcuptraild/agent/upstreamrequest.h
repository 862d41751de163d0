#pragma once

#include "activerequest.h"
#include "libhttp/http.h"

#include <string>

namespace kingcuptrail {

/// Builds the HTTP request for the upstream and moves the body out of `request`. Headers carry the service, the key, the
/// hash of the body and the time left until the deadline.
HttpRequest upstreamRequest(ActiveRequest& request, const std::string& service, Millis now);

/// Whether the upstream shed the request without running any of it: status 503 with `X-Request-Ran: no`.
bool isShed(const HttpResponse& response);

/// The retry delay that the upstream asks for, in milliseconds; 0 when it names none.
Millis retryAfterOf(const HttpResponse& response);

}
