#include "membershipprocesses.h"

#include "http/httpclient.h"

#include <boost/json.hpp>
#include <boost/test/unit_test.hpp>
#include <csignal>
#include <cstdlib>
#include <fcntl.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <thread>
#include <unistd.h>

namespace bronzeshed {

namespace {

constexpr std::chrono::seconds WaitLimit{30};
constexpr std::chrono::milliseconds RequestTimeout{2000};

const char *const Declaration = R"([measuring]
server_time_share = 0.01
bytes_per_second = 2000

[service.almanac]

[class.reads]
service = "almanac"
answer_within_ms = 50
share = 0.99
repeatable = true
)";

/** Starts a program whose standard output is the returned descriptor. */
int spawn(const std::string &path, const std::vector<std::string> &arguments, pid_t &pid)
{
    std::vector<char *> raw{const_cast<char *>(path.c_str())};
    for (const std::string &argument : arguments) {
        raw.push_back(const_cast<char *>(argument.c_str()));
    }
    raw.push_back(nullptr);
    int pipe[2];
    BOOST_REQUIRE(::pipe2(pipe, O_CLOEXEC) == 0);
    pid = ::fork();
    BOOST_REQUIRE(pid >= 0);
    if (pid == 0) {
        // The child ends with the test, even if the test is ended by a timeout.
        ::prctl(PR_SET_PDEATHSIG, SIGKILL);
        ::dup2(pipe[1], STDOUT_FILENO);
        ::execv(path.c_str(), raw.data());
        ::_exit(127);
    }
    ::close(pipe[1]);
    return pipe[0];
}

std::string readLine(int descriptor)
{
    std::string line;
    char next = 0;
    while (::read(descriptor, &next, 1) == 1 && next != '\n') {
        line += next;
    }
    return line;
}

void put(const Endpoint &platform, const std::string &target, const std::string &body,
         std::int64_t revision)
{
    HttpRequest request;
    request.method = "PUT";
    request.target = target;
    request.body = body;
    request.headers.add("If-Revision", std::to_string(revision));
    BOOST_REQUIRE(sendHttpRequest(platform, request, RequestTimeout).status == 200);
}

/** A lookup answer; null if the entry refuses. */
boost::json::value requestLookup(const Endpoint &entry, const std::string &region)
{
    HttpRequest request;
    request.target = "/bronzeshed/lookup?class=reads&region=" + region;
    const auto response = sendHttpRequest(entry, request, RequestTimeout);
    return response.status == 200 ? boost::json::parse(response.body) : boost::json::value();
}

std::string binaryPath(const std::string &binary)
{
    const char *folder = std::getenv("BRONZESHED_TEST_BIN");
    BOOST_REQUIRE_MESSAGE(folder != nullptr, "set BRONZESHED_TEST_BIN to the folder of binaries");
    return std::string(folder) + "/" + binary;
}

} // namespace

ChildProcess::ChildProcess(const std::string &binary, const std::vector<std::string> &arguments)
{
    const int output = spawn(binaryPath(binary), arguments, this->pid);
    const std::string line = readLine(output);
    ::close(output);
    BOOST_REQUIRE_MESSAGE(line.starts_with("listening "), binary << " printed '" << line << "'");
    this->address = parseEndpoint(line.substr(line.find(' ') + 1), binary);
}

ChildProcess::~ChildProcess()
{
    this->kill();
}

void ChildProcess::signal(int number) const
{
    ::kill(this->pid, number);
}

void ChildProcess::kill()
{
    if (this->pid > 0) {
        this->signal(SIGKILL);
        ::waitpid(this->pid, nullptr, 0);
        this->pid = -1;
    }
}

std::set<std::string> TestInstance::lookup() const
{
    std::set<std::string> addresses;
    for (const char *region : {"a", "b", "c", "d", "e", "f"}) {
        const auto answer = requestLookup(this->entry->endpoint(), region);
        if (answer.is_null()) {
            return {};
        }
        for (const auto &item : answer.at("entries").as_array()) {
            addresses.insert(std::string(item.at("address").as_string()));
        }
    }
    return addresses;
}

std::int64_t TestInstance::configVersion() const
{
    const auto answer = requestLookup(this->entry->endpoint(), "a");
    return answer.is_null() ? 0 : answer.at("config_version").as_int64();
}

TestDeployment::TestDeployment()
    : store("standin-platform", {"--listen=127.0.0.1:0"})
    , list("standin-platform", {"--listen=127.0.0.1:0"})
{
    this->putVersion(1);
}

void TestDeployment::putVersion(std::int64_t version) const
{
    const boost::json::object record{{"version", version},
                                     {"declaration", Declaration},
                                     {"write_id", "w" + std::to_string(version)},
                                     {"leave_marks", boost::json::array()},
                                     {"audit", boost::json::array()}};
    put(this->store.endpoint(), "/kv/bronzeshed/config", boost::json::serialize(record),
        version - 1);
}

void TestDeployment::startInstance(const std::string &region)
{
    TestInstance instance;
    instance.agent = std::make_unique<ChildProcess>(
        "bronzeshed-agent",
        std::vector<std::string>{"--instance=" + region, "--region=" + region, "--zone=z",
                                 "--listen=127.0.0.1:0",
                                 "--store=" + this->store.endpoint().toString(),
                                 "--instance-list=" + this->list.endpoint().toString()});
    instance.entry = std::make_unique<ChildProcess>(
        "bronzeshed-entry",
        std::vector<std::string>{"--region=" + region, "--zone=z", "--listen=127.0.0.1:0",
                                 "--agent=" + instance.agent->endpoint().toString()});
    this->instances.push_back(std::move(instance));
}

void TestDeployment::publishSeed(const Endpoint &agent) const
{
    const boost::json::array seeds{{{"id", "seed"},
                                    {"service", "bronzeshed"},
                                    {"region", "a"},
                                    {"zone", "z"},
                                    {"address", agent.toString()},
                                    {"state", "live"}}};
    put(this->list.endpoint(), "/control/instances", boost::json::serialize(seeds), 0);
}

bool eventually(const std::function<bool()> &condition)
{
    const auto end = std::chrono::steady_clock::now() + WaitLimit;
    while (!condition()) {
        if (std::chrono::steady_clock::now() > end) {
            return false;
        }
        std::this_thread::sleep_for(std::chrono::milliseconds(100));
    }
    return true;
}

} // namespace bronzeshed
