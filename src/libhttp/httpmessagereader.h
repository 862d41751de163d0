#pragma once

#include "http.h"

#include <functional>
#include <http_parser.h>

namespace kingcuptrail {

/// Incremental parser for one HTTP/1.1 message. Never reports an incomplete message as complete.
class HttpMessageReader {
public:
    enum class Kind : std::uint8_t {
        Request,
        Response,
    };

    struct Handlers {
        std::function<void()> onHead;
        /// If set, receives the body, which is then not collected.
        std::function<void(std::string_view)> onBody;
    };

    HttpMessageReader(Kind kind, std::size_t maxBodyBytes);
    HttpMessageReader(const HttpMessageReader&) = delete;
    HttpMessageReader& operator=(const HttpMessageReader&) = delete;

    void setHandlers(Handlers handlers) { m_handlers = std::move(handlers); }

    /// For the response to a HEAD request, which has no body regardless of its headers.
    void setExpectsNoBody() { m_expectsNoBody = true; }

    /// Parses more bytes. Returns HttpError::None while they are valid. A message whose end is marked only by the end of the
    /// connection is a BadMessage, since a truncated one could not be distinguished from a complete one.
    HttpError feed(std::string_view bytes);

    /// Makes the running feed() return; for use in a handler.
    void stop() { m_stopped = true; }

    bool isComplete() const { return m_complete; }
    /// Whether bytes were fed after the end of the message.
    bool hasLeftover() const { return m_leftover; }

    std::string method() const;
    int status() const { return static_cast<int>(m_parser.status_code); }
    std::string& target() { return m_target; }
    std::vector<HttpHeader>& headers() { return m_headers; }
    std::string& body() { return m_body; }

private:
    static const http_parser_settings& callbacks();
    static HttpMessageReader& self(http_parser* parser);

    int handleField(std::string_view part);
    int handleValue(std::string_view part);
    int handleHead();
    int handleBody(std::string_view part);
    int handleEnd();
    int refuse(HttpError error);
    bool isInterim() const;
    bool hasKnownEnd() const;

    http_parser m_parser {};
    Kind m_kind;
    std::size_t m_maxBodyBytes;
    Handlers m_handlers;
    HttpError m_error = HttpError::None;
    std::string m_target;
    std::vector<HttpHeader> m_headers;
    std::string m_body;
    bool m_lastWasField = false;
    bool m_expectsNoBody = false;
    bool m_stopped = false;
    bool m_complete = false;
    bool m_leftover = false;
};

}
