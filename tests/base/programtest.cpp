#include "base/program.h"

#include "base/filedescriptor.h"

#include <atomic>
#include <boost/test/unit_test.hpp>
#include <cstdio>
#include <fcntl.h>
#include <fstream>
#include <string>
#include <thread>
#include <unistd.h>

using namespace bronzeshed;

namespace {

/** Sends standard output to an anonymous file for the time of its scope. */
class CapturedOutput
{
public:
    CapturedOutput()
        : former(::dup(STDOUT_FILENO))
        , file(std::tmpfile())
    {
        std::fflush(stdout);
        ::dup2(::fileno(this->file), STDOUT_FILENO);
    }
    ~CapturedOutput()
    {
        this->restore();
        std::fclose(this->file);
    }
    CapturedOutput(const CapturedOutput &) = delete;
    CapturedOutput &operator=(const CapturedOutput &) = delete;

    void restore()
    {
        std::fflush(stdout);
        ::dup2(this->former.get(), STDOUT_FILENO);
    }
    std::ifstream lines() const
    {
        return std::ifstream("/proc/self/fd/" + std::to_string(::fileno(this->file)));
    }

private:
    FileDescriptor former;
    std::FILE *file;
};

} // namespace

BOOST_AUTO_TEST_SUITE(program)

// Guards against a log line of another thread in the middle of the line that tells an address: who
// starts the process would read a wrong one.
BOOST_AUTO_TEST_CASE(a_printed_address_stands_alone_on_its_line)
{
    constexpr unsigned Addresses = 20000;
    const std::string logged = "a line of another thread";
    CapturedOutput output;
    std::atomic<bool> stopping{false};
    std::thread logger([&] {
        while (!stopping.load()) {
            std::fputs((logged + "\n").c_str(), stdout);
        }
    });
    for (unsigned i = 0; i < Addresses; ++i) {
        printAddress("listening", {"127.0.0.1", 8080});
    }
    stopping.store(true);
    logger.join();
    output.restore();
    std::ifstream lines = output.lines();
    unsigned printed = 0;
    unsigned broken = 0;
    for (std::string line; std::getline(lines, line);) {
        printed += line == "listening 127.0.0.1:8080" ? 1 : 0;
        broken += line != "listening 127.0.0.1:8080" && line != logged ? 1 : 0;
    }
    BOOST_TEST(printed == Addresses);
    BOOST_TEST(broken == 0U);
}

BOOST_AUTO_TEST_SUITE_END()
