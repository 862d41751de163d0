#pragma once

#include "http.h"

#include <functional>
#include <http_parser.h>

namespace kingcuptrail {

/// Parses one HTTP/1.1 message from bytes as they arrive. Never yields a message that is not whole.
class HttpMessageReader {
public:
    enum class Kind : std::uint8_t {
        Request,
        Response,
    };

    struct Handlers {
        std::function<void()> onHead;
        /// When set, the body goes here and is not collected.
        std::function<void(std::string_view)> onBody;
    };

    HttpMessageReader(Kind kind, std::size_t maxBodyBytes);
    HttpMessageReader(const HttpMessageReader&) = delete;
    HttpMessageReader& operator=(const HttpMessageReader&) = delete;

    void setHandlers(Handlers handlers) { m_handlers = std::move(handlers); }

    /// The response to a HEAD request has no body whatever its headers say.
    void setExpectsNoBody() { m_expectsNoBody = true; }

    /// Yields HttpError::None while the bytes make sense. A message whose end could only be told by the end of the
    /// connection is a BadMessage: cut short, it would look whole.
    HttpError feed(std::string_view bytes);

    /// Stops the feeding under way, for use in a handler.
    void stop() { m_stopped = true; }

    bool isComplete() const { return m_complete; }
    /// Whether bytes came after the end of the message.
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
