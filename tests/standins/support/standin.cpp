#include "standin.h"

#include "libruntime/settings.h"

#include <absl/flags/parse.h>
#include <absl/flags/usage.h>
#include <asio/signal_set.hpp>
#include <csignal>
#include <iostream>

namespace kingcuptrail {

namespace {

    constexpr int exitUsage = 2;
    constexpr int exitCannotOpen = 3;

}

void parseStandinFlags(int argc, char** argv, std::string_view usage)
{
    absl::SetProgramUsageMessage(std::string(usage));
    absl::ParseCommandLine(argc, argv);
}

asio::ip::tcp::endpoint endpointOrExit(const std::string& text)
{
    if (const auto endpoint = parseEndpoint(text))
        return *endpoint;
    std::cerr << "not an IP address and port: " << text << "\n";
    std::exit(exitUsage);
}

std::unique_ptr<HttpServer> listenOrExit(asio::io_context& context, const asio::ip::tcp::endpoint& endpoint,
    const HttpServerOptions& options, HttpHandler handler)
{
    asio::error_code error;
    auto server = HttpServer::listen(context, endpoint, options, std::move(handler), error);
    if (server)
        return server;
    std::cerr << "cannot listen: " << error.message() << "\n";
    std::exit(exitCannotOpen);
}

std::unique_ptr<HistoryWriter> historyOrExit(const std::string& file, const std::string& who)
{
    if (file.empty())
        return nullptr;
    auto history = HistoryWriter::open(file, who);
    if (history)
        return history;
    std::cerr << "cannot open the history " << file << "\n";
    std::exit(exitCannotOpen);
}

void printListening(std::uint16_t port, std::uint16_t controlPort)
{
    std::cout << "listening " << port << "\n";
    if (controlPort)
        std::cout << "control " << controlPort << "\n";
    std::cout << std::flush;
}

void runUntilSignal(asio::io_context& context)
{
    asio::signal_set signals(context, SIGTERM, SIGINT);
    signals.async_wait([&](asio::error_code error, int) {
        if (!error)
            context.stop();
    });
    context.run();
}

}
