#include "http/httpclient.h"

#include <array>
#include <boost/test/unit_test.hpp>
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <sys/wait.h>
#include <unistd.h>

using namespace bronzeshed;

namespace {

std::string binary(const std::string &name)
{
    const char *directory = std::getenv("BRONZESHED_TEST_BIN");
    return std::string(directory == nullptr ? "build/bin" : directory) + "/" + name;
}

/** Child process that is stopped on destruction. */
class Program
{
public:
    explicit Program(const std::string &command)
        : output(::popen(("echo $$; exec " + command + " 2>/dev/null").c_str(), "r"))
    {
        this->process = std::atoi(this->readLine().c_str());
    }
    ~Program() { this->end(); }
    Program(const Program &) = delete;
    Program &operator=(const Program &) = delete;

    /** Stops the process with SIGTERM. @return its exit code, or -1 if it was killed by a signal */
    int end()
    {
        if (this->output != nullptr) {
            ::kill(this->process, SIGTERM);
            const int status = ::pclose(std::exchange(this->output, nullptr));
            this->code = WIFEXITED(status) ? WEXITSTATUS(status) : -1;
        }
        return this->code;
    }

    std::string readLine()
    {
        std::array<char, 512> buffer{};
        const char *line = std::fgets(buffer.data(), buffer.size(), this->output);
        return line == nullptr ? "" : std::string(line).substr(0, std::string(line).find('\n'));
    }

    /** Reads the output up to the line that starts with @p word and returns the address in it. */
    std::string address(const std::string &word)
    {
        std::string line = this->readLine();
        while (!line.empty() && !line.starts_with(word + " ")) {
            line = this->readLine();
        }
        BOOST_REQUIRE(!line.empty());
        return line.substr(word.size() + 1);
    }

private:
    FILE *output;
    pid_t process = 0;
    int code = -1;
};

int runCtl(const std::string &agent, const std::string &arguments)
{
    const std::string command = "timeout 60 " + binary("bronzeshedctl")
        + " --operator anna --agent " + agent + " " + arguments + " >/dev/null 2>&1";
    const int status = std::system(command.c_str()); // NOLINT(concurrency-mt-unsafe)
    return WIFEXITED(status) ? WEXITSTATUS(status) : -1;
}

} // namespace

BOOST_AUTO_TEST_SUITE(ctl_processes)

// Runs bronzeshedctl against a running agent and a stand-in platform, which stops before the last
// commands. Guards against an agent whose operator API is not connected to its state, its store or
// its token, so that a command without a token succeeds or a change is reported but never stored.
BOOST_AUTO_TEST_CASE(operator_changes_the_configuration_of_a_running_agent)
{
    ::setenv("BRONZESHED_OPERATOR_TOKEN", "secret", 1);
    ::setenv("TSAN_OPTIONS", "suppressions=tests/ctl/thread-sanitizer-suppressions.txt", 0);
    Program platform(binary("standin-platform"));
    const std::string store = platform.address("listening");
    HttpRequest list;
    list.method = "PUT";
    list.target = "/control/instances";
    list.body = R"([{"id":"almanac-0","service":"almanac","region":"r","zone":"a",)"
                R"("address":"127.0.0.1:9","state":"live"}])";
    sendHttpRequest(parseEndpoint(store, "store"), list, std::chrono::seconds(30));
    Program agent(binary("bronzeshed-agent")
                  + " --instance i1 --region r --zone a --listen 127.0.0.1:0 --store " + store
                  + " --instance-list " + store);
    const std::string operators = agent.address("operator-listening");

    BOOST_TEST(runCtl(operators, "status") == 1);
    ::setenv("BRONZESHED_TOKEN", "secret", 1);
    BOOST_TEST(runCtl(operators, "status") == 0);
    BOOST_TEST(runCtl(operators, "apply examples/tidemark.toml") == 0);
    BOOST_TEST(runCtl(operators, "apply examples/tidemark.toml --base-version 0") == 3);
    BOOST_TEST(runCtl(operators, "leave nobody") == 1);
    BOOST_TEST(runCtl(operators, "no-such-command") == 2);
    int left = 1;
    for (int attempt = 0; attempt < 300 && left == 1; ++attempt) {
        ::usleep(100000);
        left = runCtl(operators,
                      "leave almanac-0"); // fails until the agent has read the instance list
    }
    BOOST_TEST(left == 0);
    platform.end();
    BOOST_TEST(runCtl(operators, "return almanac-0") == 4);
    BOOST_TEST(runCtl(operators, "apply examples/groyne.toml") == 1);
    BOOST_TEST(agent.end() == 0);
}

BOOST_AUTO_TEST_SUITE_END()
