#include "childprocess.h"

#include <csignal>
#include <cstdlib>
#include <fcntl.h>
#include <poll.h>
#include <stdexcept>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <system_error>
#include <thread>

namespace bronzeshed {

namespace {

constexpr std::chrono::seconds StartLimit{20};
constexpr std::chrono::milliseconds PollPeriod{10};

std::string binaryPath(const std::string &program)
{
    const char *folder = std::getenv("BRONZESHED_TEST_BIN");
    if (folder == nullptr) {
        throw std::runtime_error("BRONZESHED_TEST_BIN is not set; run the tests by scripts/test");
    }
    return std::string(folder) + "/" + program;
}

/** Starts a program whose output goes to the returned end of a pipe. */
FileDescriptor startProgram(const std::string &program, const std::vector<std::string> &flags,
                            pid_t &pid)
{
    const std::string path = binaryPath(program);
    std::vector<char *> arguments{const_cast<char *>(path.c_str())};
    for (const std::string &flag : flags) {
        arguments.push_back(const_cast<char *>(flag.c_str()));
    }
    arguments.push_back(nullptr);
    int ends[2];
    if (::pipe2(ends, O_CLOEXEC) != 0) {
        throw std::system_error(errno, std::generic_category(), "pipe2");
    }
    FileDescriptor readEnd(ends[0]);
    const FileDescriptor writeEnd(ends[1]);
    pid = ::fork();
    if (pid == 0) {
        // The child ends with the test, even if the test is ended by a timeout.
        ::prctl(PR_SET_PDEATHSIG, SIGKILL);
        ::dup2(writeEnd.get(), STDOUT_FILENO);
        ::execv(path.c_str(), arguments.data());
        ::_exit(127);
    }
    return readEnd;
}

int exitCodeOf(int status)
{
    return WIFEXITED(status) ? WEXITSTATUS(status) : 128 + WTERMSIG(status);
}

} // namespace

ChildProcess::ChildProcess(const std::string &program, const std::vector<std::string> &flags)
    : program(program)
    , output(startProgram(program, flags, this->pid))
{
    this->listening = this->address("listening");
}

ChildProcess::~ChildProcess()
{
    this->kill();
}

void ChildProcess::freeze()
{
    this->signal(SIGSTOP);
    ::waitpid(this->pid, nullptr, WUNTRACED);
}

void ChildProcess::kill()
{
    if (!this->exitCode) {
        ::kill(this->pid, SIGKILL);
        ::waitpid(this->pid, nullptr, 0);
        this->exitCode = 128 + SIGKILL;
    }
}

bool ChildProcess::waitForLine(const std::string &expected, std::chrono::milliseconds limit)
{
    const auto end = std::chrono::steady_clock::now() + limit;
    while (true) {
        const auto found = this->text.find(expected);
        if (found != std::string::npos && this->text.find('\n', found) != std::string::npos) {
            return true;
        }
        if (std::chrono::steady_clock::now() >= end) {
            return false;
        }
        this->readMore(PollPeriod);
    }
}

bool ChildProcess::readMore(std::chrono::milliseconds limit)
{
    pollfd entry{this->output.get(), POLLIN, 0};
    if (::poll(&entry, 1, static_cast<int>(limit.count())) <= 0) {
        return false;
    }
    char chunk[512];
    const auto size = ::read(this->output.get(), chunk, sizeof chunk);
    if (size <= 0) {
        throw std::runtime_error(this->program
                                 + " ended before it was ready; its output: " + this->text);
    }
    this->text.append(chunk, static_cast<std::size_t>(size));
    return true;
}

Endpoint ChildProcess::address(const std::string &label)
{
    const auto end = std::chrono::steady_clock::now() + StartLimit;
    while (std::chrono::steady_clock::now() < end) {
        const std::string all = "\n" + this->text;
        const std::string prefix = "\n" + label + " ";
        const auto start = all.find(prefix);
        const auto stop = start == std::string::npos ? start : all.find('\n', start + 1);
        if (stop != std::string::npos) {
            const auto first = start + prefix.size();
            return parseEndpoint(all.substr(first, stop - first), this->program);
        }
        this->readMore(std::chrono::milliseconds(200));
    }
    throw std::runtime_error(this->program + " printed no line '" + label + "'");
}

void ChildProcess::signal(int number)
{
    if (!this->exitCode) {
        ::kill(this->pid, number);
    }
}

std::optional<int> ChildProcess::waitForExit(std::chrono::seconds limit)
{
    const auto ended = [this] {
        int status = 0;
        if (!this->exitCode && ::waitpid(this->pid, &status, WNOHANG) == this->pid) {
            this->exitCode = exitCodeOf(status);
        }
        return this->exitCode.has_value();
    };
    waitFor(ended, limit);
    return this->exitCode;
}

ProcessEnd runToEnd(const std::string &program, const std::vector<std::string> &flags)
{
    pid_t pid = -1;
    const FileDescriptor output = startProgram(program, flags, pid);
    ProcessEnd end;
    char chunk[512];
    for (auto size = ::read(output.get(), chunk, sizeof chunk); size > 0;
         size = ::read(output.get(), chunk, sizeof chunk)) {
        end.output.append(chunk, static_cast<std::size_t>(size));
    }
    int status = 0;
    ::waitpid(pid, &status, 0);
    end.exitCode = exitCodeOf(status);
    return end;
}

bool waitFor(const std::function<bool()> &condition, std::chrono::seconds limit)
{
    const auto end = std::chrono::steady_clock::now() + limit;
    while (!condition()) {
        if (std::chrono::steady_clock::now() >= end) {
            return false;
        }
        std::this_thread::sleep_for(PollPeriod);
    }
    return true;
}

} // namespace bronzeshed
