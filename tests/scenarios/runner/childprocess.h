#pragma once

#include <asio/io_context.hpp>
#include <asio/posix/stream_descriptor.hpp>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <sys/types.h>
#include <vector>

namespace kingcuptrail {

/// A program run by a scenario. It is killed when this is destroyed, and by the host when the runner itself dies.
class ChildProcess {
public:
    /// Gets each line of standard output and standard error.
    using OnLine = std::function<void(const std::string& line)>;

    /// Null when it cannot be started.
    static std::unique_ptr<ChildProcess> start(asio::io_context& context, const std::string& program, const std::vector<std::string>& arguments, OnLine onLine);

    ~ChildProcess();
    ChildProcess(const ChildProcess&) = delete;
    ChildProcess& operator=(const ChildProcess&) = delete;

    bool signal(int number);

    /// Nothing while it runs; its exit code, or 128 and the signal that ended it.
    std::optional<int> exitCode();

private:
    struct Output;

    ChildProcess(pid_t pid, std::shared_ptr<Output> output);

    pid_t m_pid;
    std::shared_ptr<Output> m_output;
    std::optional<int> m_exitCode;
};

}
