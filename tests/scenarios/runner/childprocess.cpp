#include "childprocess.h"

#include <array>
#include <asio/read_until.hpp>
#include <cerrno>
#include <csignal>
#include <fcntl.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

namespace kingcuptrail {

namespace {

    constexpr int exitCannotExecute = 127;
    constexpr int signalBase = 128;

    /// Waits until the child has closed the descriptors that it inherited, or has failed. Until then it holds every listening socket
    /// of this process, and an address that is closed here could not be bound again.
    void awaitChild(int descriptor)
    {
        char ignored = 0;
        while (read(descriptor, &ignored, 1) < 0 && errno == EINTR) { }
        close(descriptor);
    }

    [[noreturn]] void execute(const std::string& program, std::vector<char*>& arguments, int output, pid_t parent)
    {
        prctl(PR_SET_PDEATHSIG, SIGKILL);
        if (getppid() != parent)
            _exit(exitCannotExecute);
        dup2(output, STDOUT_FILENO);
        dup2(output, STDERR_FILENO);
        // An inherited relay socket would stay open in the child after the relay has closed it.
        close_range(STDERR_FILENO + 1, ~0U, 0);
        execv(program.c_str(), arguments.data());
        _exit(exitCannotExecute);
    }

}

struct ChildProcess::Output : std::enable_shared_from_this<Output> {
    Output(asio::io_context& context, int descriptor, OnLine handler)
        : stream(context, descriptor)
        , onLine(std::move(handler))
    {
    }

    void read()
    {
        asio::async_read_until(stream, asio::dynamic_buffer(buffer), '\n', [self = shared_from_this()](asio::error_code error, std::size_t size) {
            if (error || !self->onLine)
                return;
            const std::string line = self->buffer.substr(0, size - 1);
            self->buffer.erase(0, size);
            self->onLine(line);
            self->read();
        });
    }

    asio::posix::stream_descriptor stream;
    std::string buffer;
    OnLine onLine;
};

std::unique_ptr<ChildProcess> ChildProcess::start(asio::io_context& context, const std::string& program, const std::vector<std::string>& arguments, OnLine onLine)
{
    std::array<int, 2> pipe {};
    if (pipe2(pipe.data(), O_CLOEXEC) != 0)
        return nullptr;
    std::vector<std::string> words { program };
    words.insert(words.end(), arguments.begin(), arguments.end());
    std::vector<char*> pointers;
    pointers.reserve(words.size() + 1);
    for (std::string& word : words)
        pointers.push_back(word.data());
    pointers.push_back(nullptr);
    std::array<int, 2> started {};
    if (pipe2(started.data(), O_CLOEXEC) != 0) {
        close(pipe[0]);
        close(pipe[1]);
        return nullptr;
    }
    const pid_t parent = getpid();
    const pid_t pid = fork();
    if (pid == 0)
        execute(program, pointers, pipe[1], parent);
    close(pipe[1]);
    close(started[1]);
    awaitChild(started[0]);
    auto output = std::make_shared<Output>(context, pipe[0], std::move(onLine));
    if (pid < 0)
        return nullptr;
    output->read();
    return std::unique_ptr<ChildProcess>(new ChildProcess(pid, std::move(output)));
}

ChildProcess::ChildProcess(pid_t pid, std::shared_ptr<Output> output)
    : m_pid(pid)
    , m_output(std::move(output))
{
}

ChildProcess::~ChildProcess()
{
    m_output->onLine = nullptr;
    m_output->stream.close();
    if (exitCode())
        return;
    kill(m_pid, SIGKILL);
    waitpid(m_pid, nullptr, 0);
}

bool ChildProcess::signal(int number)
{
    return !exitCode() && kill(m_pid, number) == 0;
}

std::optional<int> ChildProcess::exitCode()
{
    int status = 0;
    if (!m_exitCode && waitpid(m_pid, &status, WNOHANG) == m_pid)
        m_exitCode = WIFEXITED(status) ? WEXITSTATUS(status) : signalBase + WTERMSIG(status);
    return m_exitCode;
}

}
