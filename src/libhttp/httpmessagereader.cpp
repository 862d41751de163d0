#include "httpmessagereader.h"

namespace kingcuptrail {

namespace {

    /// Return values of http_parser's callbacks.
    constexpr int continueParsing = 0;
    constexpr int skipBody = 1;
    constexpr int stopParsing = -1;

    constexpr int statusSwitchingProtocols = 101;
    constexpr int statusNoContent = 204;
    constexpr int statusNotModified = 304;
    constexpr std::size_t maxHeaders = 256;

}

HttpMessageReader::HttpMessageReader(Kind kind, std::size_t maxBodyBytes)
    : m_kind(kind)
    , m_maxBodyBytes(maxBodyBytes)
{
    http_parser_init(&m_parser, kind == Kind::Request ? HTTP_REQUEST : HTTP_RESPONSE);
    m_parser.data = this;
}

HttpError HttpMessageReader::feed(std::string_view bytes)
{
    if (m_complete) {
        m_leftover = m_leftover || !bytes.empty();
        return HttpError::None;
    }
    const std::size_t parsed = http_parser_execute(&m_parser, &callbacks(), bytes.data(), bytes.size());
    if (m_error != HttpError::None)
        return m_error;
    if (m_complete) {
        m_leftover = parsed < bytes.size();
        return HttpError::None;
    }
    if (m_stopped)
        return HttpError::None;
    if (HTTP_PARSER_ERRNO(&m_parser) == HPE_HEADER_OVERFLOW)
        return HttpError::TooLarge;
    return parsed == bytes.size() && !m_parser.upgrade ? HttpError::None : HttpError::BadMessage;
}

std::string HttpMessageReader::method() const
{
    return http_method_str(static_cast<http_method>(m_parser.method));
}

const http_parser_settings& HttpMessageReader::callbacks()
{
    static const http_parser_settings settings = [] {
        http_parser_settings made;
        http_parser_settings_init(&made);
        made.on_url = [](http_parser* parser, const char* data, std::size_t size) {
            self(parser).m_target.append(data, size);
            return continueParsing;
        };
        made.on_header_field = [](http_parser* parser, const char* data, std::size_t size) { return self(parser).handleField({ data, size }); };
        made.on_header_value = [](http_parser* parser, const char* data, std::size_t size) { return self(parser).handleValue({ data, size }); };
        made.on_headers_complete = [](http_parser* parser) { return self(parser).handleHead(); };
        made.on_body = [](http_parser* parser, const char* data, std::size_t size) { return self(parser).handleBody({ data, size }); };
        made.on_message_complete = [](http_parser* parser) { return self(parser).handleEnd(); };
        return made;
    }();
    return settings;
}

HttpMessageReader& HttpMessageReader::self(http_parser* parser)
{
    return *static_cast<HttpMessageReader*>(parser->data);
}

int HttpMessageReader::handleField(std::string_view part)
{
    if (!m_lastWasField && m_headers.size() == maxHeaders)
        return refuse(HttpError::TooLarge);
    if (!m_lastWasField)
        m_headers.emplace_back();
    m_lastWasField = true;
    m_headers.back().name.append(part);
    return continueParsing;
}

int HttpMessageReader::handleValue(std::string_view part)
{
    m_lastWasField = false;
    m_headers.back().value.append(part);
    return continueParsing;
}

int HttpMessageReader::handleHead()
{
    m_lastWasField = false;
    if (isInterim())
        return continueParsing;
    if (!hasKnownEnd() || (m_kind == Kind::Response && status() == statusSwitchingProtocols))
        return refuse(HttpError::BadMessage);
    const bool hasLength = (m_parser.flags & F_CONTENTLENGTH) != 0;
    if (!m_handlers.onBody && !m_expectsNoBody && hasLength && m_parser.content_length > m_maxBodyBytes)
        return refuse(HttpError::TooLarge);
    if (m_handlers.onHead)
        m_handlers.onHead();
    if (m_stopped)
        return stopParsing;
    return m_expectsNoBody ? skipBody : continueParsing;
}

int HttpMessageReader::handleBody(std::string_view part)
{
    if (m_handlers.onBody) {
        m_handlers.onBody(part);
        return m_stopped ? stopParsing : continueParsing;
    }
    if (m_body.size() + part.size() > m_maxBodyBytes)
        return refuse(HttpError::TooLarge);
    m_body.append(part);
    return continueParsing;
}

int HttpMessageReader::handleEnd()
{
    if (isInterim()) {
        m_headers.clear();
        return continueParsing;
    }
    m_complete = true;
    http_parser_pause(&m_parser, 1);
    return continueParsing;
}

int HttpMessageReader::refuse(HttpError error)
{
    m_error = error;
    return stopParsing;
}

bool HttpMessageReader::isInterim() const
{
    return m_kind == Kind::Response && status() / 100 == 1 && status() != statusSwitchingProtocols;
}

bool HttpMessageReader::hasKnownEnd() const
{
    if (m_kind == Kind::Request || m_expectsNoBody || status() == statusNoContent || status() == statusNotModified)
        return true;
    return (m_parser.flags & (F_CHUNKED | F_CONTENTLENGTH)) != 0;
}

}
