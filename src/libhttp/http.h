#pragma once

#include "libdecision/enumnames.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace kingcuptrail {

/// Why an HTTP exchange did not end with a complete response.
enum class HttpError : std::uint8_t {
    None,
    ConnectFailed,
    ConnectTimeout,
    Timeout,
    Silent,
    ConnectionLost,
    BadMessage,
    TooLarge,
    Cancelled,
};

template <>
struct EnumNames<HttpError> {
    static constexpr std::array<std::string_view, 9> names {
        "none",
        "connectFailed",
        "connectTimeout",
        "timeout",
        "silent",
        "connectionLost",
        "badMessage",
        "tooLarge",
        "cancelled",
    };
};

struct HttpHeader {
    std::string name;
    std::string value;
};

struct HttpRequest {
    std::string method = "GET";
    /// Path and query, as sent.
    std::string target = "/";
    std::vector<HttpHeader> headers;
    std::string body;
};

struct HttpResponse {
    int status = 200;
    std::vector<HttpHeader> headers;
    std::string body;
};

/// The value of a header, by case-insensitive name; empty when there is none.
std::string_view headerValue(const std::vector<HttpHeader>& headers, std::string_view name);

bool isSameHeaderName(std::string_view first, std::string_view second);

/// The path of a request target, without its query.
std::string_view pathOf(std::string_view target);

/// The percent-decoded value of a query parameter in a request target; empty when there is none.
std::string queryValue(std::string_view target, std::string_view name);

/// Percent-encoding of one path segment or query value (RFC 3986). Decoding leaves malformed escapes unchanged.
std::string percentEncode(std::string_view text);
std::string percentDecode(std::string_view text);

}
