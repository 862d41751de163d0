#pragma once

#include "libhistory/history.h"
#include "libhttp/httpserver.h"

#include <nlohmann/json.hpp>
#include <string>
#include <string_view>

namespace kingcuptrail {

/// Parses the command line with Abseil's flags.
void parseStandinFlags(int argc, char** argv, std::string_view usage);

/// Parses an endpoint such as "127.0.0.1:80"; the program exits with code 2 when the text is not one.
asio::ip::tcp::endpoint endpointOrExit(const std::string& text);

/// Starts a server at the endpoint; the program exits with code 3 when the endpoint cannot be bound.
std::unique_ptr<HttpServer> listenOrExit(asio::io_context& context, const asio::ip::tcp::endpoint& endpoint,
    const HttpServerOptions& options, HttpHandler handler);

/// Opens a history that appends to the file; null for an empty name. The program exits with code 3 when it cannot be opened.
std::unique_ptr<HistoryWriter> historyOrExit(const std::string& file, const std::string& who);

/// Prints that the program is ready: "listening PORT" and, if there is a control port, a second line "control PORT".
void printListening(std::uint16_t port, std::uint16_t controlPort = 0);

/// Runs until SIGTERM or SIGINT, or until the context is stopped or has nothing left to do.
void runUntilSignal(asio::io_context& context);

}
