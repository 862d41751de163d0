#pragma once

#include "libhistory/history.h"
#include "libhttp/httpserver.h"

#include <nlohmann/json.hpp>
#include <string>
#include <string_view>

namespace kingcuptrail {

/// Reads the command line by Abseil's flags.
void parseStandinFlags(int argc, char** argv, std::string_view usage);

/// The endpoint "127.0.0.1:80"; the program exits with code 2 when it is none.
asio::ip::tcp::endpoint endpointOrExit(const std::string& text);

/// A server at the endpoint; the program exits with code 3 when it cannot be bound.
std::unique_ptr<HttpServer> listenOrExit(asio::io_context& context, const asio::ip::tcp::endpoint& endpoint,
    const HttpServerOptions& options, HttpHandler handler);

/// A history that is appended to the file, or none without a file; the program exits with code 3 when it cannot be opened.
std::unique_ptr<HistoryWriter> historyOrExit(const std::string& file, const std::string& who);

/// Tells who waits for this program that it is ready: "listening PORT", and the control port in a second line.
void printListening(std::uint16_t port, std::uint16_t controlPort = 0);

/// Runs until SIGTERM or SIGINT, or until the context is stopped or has nothing left to do.
void runUntilSignal(asio::io_context& context);

}
