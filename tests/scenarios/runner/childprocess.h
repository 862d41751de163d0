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

/// A program run as a child process. It is killed when this object is destroyed, and by the kernel when the parent dies.
class ChildProcess {
public:
    /// Receives each line of standard output and standard error.
    using OnLine = std::function<void(const std::string& line)>;

    /// Starts the program; null when no pipe or process can be created.
    static std::unique_ptr<ChildProcess> start(asio::io_context& context, const std::string& program, const std::vector<std::string>& arguments, OnLine onLine);

    ~ChildProcess();
    ChildProcess(const ChildProcess&) = delete;
    ChildProcess& operator=(const ChildProcess&) = delete;

    bool signal(int number);

    /// The exit code, or 128 plus the number of the signal that ended it; nothing while the process runs.
    std::optional<int> exitCode();

private:
    struct Output;

    ChildProcess(pid_t pid, std::shared_ptr<Output> output);

    pid_t m_pid;
    std::shared_ptr<Output> m_output;
    std::optional<int> m_exitCode;
};

}
