#include "platformserver.h"

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <asio/signal_set.hpp>
#include <csignal>
#include <fstream>
#include <iostream>

ABSL_FLAG(std::string, listen, "127.0.0.1:0", "Address and port to listen on; port 0 takes a free one.");
ABSL_FLAG(std::string, history, "", "File to which each call is appended as a line of JSON.");

using namespace kingcuptrail;

namespace {

std::optional<asio::ip::tcp::endpoint> parseListen(const std::string& text)
{
    const std::size_t colon = text.rfind(':');
    asio::error_code error;
    const auto address = asio::ip::make_address(text.substr(0, colon), error);
    if (error || colon == std::string::npos)
        return std::nullopt;
    return asio::ip::tcp::endpoint(address, static_cast<unsigned short>(std::strtoul(text.c_str() + colon + 1, nullptr, 10)));
}

}

int main(int argc, char** argv)
{
    absl::ParseCommandLine(argc, argv);
    const auto endpoint = parseListen(absl::GetFlag(FLAGS_listen));
    if (!endpoint)
        return 2;
    std::ofstream history;
    PlatformServer::OnCall onCall;
    if (const std::string path = absl::GetFlag(FLAGS_history); !path.empty()) {
        history.open(path, std::ios::app);
        onCall = [&history](const std::string& line) { history << line << std::endl; };
    }
    asio::io_context context;
    const auto server = PlatformServer::listen(context, *endpoint, onCall);
    if (!server)
        return 3;
    std::cout << "listening " << server->endpoint().port() << std::endl;
    asio::signal_set signals(context, SIGTERM, SIGINT);
    signals.async_wait([&context](asio::error_code, int) { context.stop(); });
    context.run();
    return 0;
}
