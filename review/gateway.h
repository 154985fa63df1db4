// Starts gateways with the command and the environment of deploy/system.toml.
#pragma once

#include "record.h"

#include <csignal>
#include <fcntl.h>
#include <mutex>
#include <random>
#include <set>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <thread>
#include <vector>

namespace review {

/** A free port below the range from which the system takes the ports of outgoing connections. */
inline unsigned short freePort()
{
    static std::mutex mutex;
    static std::mt19937 random(std::random_device{}());
    static std::set<unsigned short> taken;
    const std::lock_guard lock(mutex);
    while (true) {
        const auto port = static_cast<unsigned short>(12000 + random() % 18000);
        const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        sockaddr_in address{};
        address.sin_family = AF_INET;
        address.sin_port = htons(port);
        address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        const bool free = ::bind(fd, reinterpret_cast<sockaddr *>(&address), sizeof address) == 0;
        ::close(fd);
        if (free && taken.insert(port).second) {
            return port;
        }
    }
}

inline std::string loopback(unsigned short port)
{
    return "127.0.0.1:" + std::to_string(port);
}

struct GatewaySettings
{
    std::string node, zone, region, zones, store, seeds;
    int graceS = 6;
    int retryBudgetSlack = 64;
    unsigned short peers = 0; ///< 0 chooses a free port
};

/** One gateway process, ended with this object. */
class Gateway
{
public:
    Gateway(const std::string &program, const std::string &logFolder, const GatewaySettings &settings)
        : front(freePort())
        , ready(freePort())
        , directory(freePort())
        , node(settings.node)
    {
        const unsigned short peers = settings.peers != 0 ? settings.peers : freePort();
        const std::vector<std::string> environment{
            "BRONZESHED_INSTANCE=" + settings.node,
            "BRONZESHED_REGION=" + settings.region,
            "BRONZESHED_ZONE=" + settings.zone,
            "BRONZESHED_ZONES=" + settings.zones,
            "BRONZESHED_LISTEN=" + loopback(this->front),
            "BRONZESHED_READY_LISTEN=" + loopback(this->ready),
            "BRONZESHED_LOOKUP_LISTEN=" + loopback(this->directory),
            "BRONZESHED_PEER_LISTEN=" + loopback(peers),
            "BRONZESHED_ADMIN_LISTEN=" + loopback(freePort()),
            "BRONZESHED_STORE=" + settings.store,
            "BRONZESHED_SEEDS=" + settings.seeds,
            "BRONZESHED_GRACE_MS=" + std::to_string(settings.graceS) + "000",
            "BRONZESHED_REPEAT_BURST=" + std::to_string(settings.retryBudgetSlack),
            "PATH=/usr/bin:/bin",
        };
        const std::string log = logFolder + "/" + settings.node + ".log";
        this->pid = ::fork();
        if (this->pid == 0) {
            ::prctl(PR_SET_PDEATHSIG, SIGKILL); // ends with the case, whatever becomes of it
            const int file = ::open(log.c_str(), O_CREAT | O_TRUNC | O_WRONLY, 0644);
            ::dup2(file, 1);
            ::dup2(file, 2);
            std::vector<char *> variables;
            for (const std::string &entry : environment) {
                variables.push_back(const_cast<char *>(entry.c_str()));
            }
            variables.push_back(nullptr);
            char *arguments[] = {const_cast<char *>(program.c_str()), nullptr};
            ::execve(program.c_str(), arguments, variables.data());
            ::_exit(127);
        }
    }
    ~Gateway() { this->kill(); }
    Gateway(const Gateway &) = delete;
    Gateway &operator=(const Gateway &) = delete;

    void signal(int number) const { ::kill(this->pid, number); }
    /** Whether the process still runs; a process that has ended is reaped. */
    bool isRunning()
    {
        if (this->pid > 0 && ::waitpid(this->pid, &this->status, WNOHANG) == this->pid) {
            this->pid = -1;
        }
        return this->pid > 0;
    }
    /** Resident memory of the process, or 0 if it has ended. */
    long residentMb() const
    {
        const std::string path = "/proc/" + std::to_string(this->pid) + "/statm";
        long size = 0, resident = 0;
        if (std::FILE *file = std::fopen(path.c_str(), "r")) {
            if (std::fscanf(file, "%ld %ld", &size, &resident) != 2) {
                resident = 0;
            }
            std::fclose(file);
        }
        return resident * ::sysconf(_SC_PAGESIZE) / (1024 * 1024);
    }
    void kill()
    {
        if (this->pid > 0) {
            ::kill(this->pid, SIGKILL);
            ::kill(this->pid, SIGCONT);
            ::waitpid(this->pid, &this->status, 0);
            this->pid = -1;
        }
    }
    bool isReady() const
    {
        const int fd = connectLoopback(this->ready);
        if (fd < 0) {
            return false;
        }
        Message answer;
        const bool ok = sendAll(fd, "GET /readiness HTTP/1.1\r\nHost: ready\r\nConnection: close\r\n\r\n")
            && Reader(fd).read(answer, Clock::now() + Ms(1000)) == ReadResult::Complete
            && answer.status() == 200;
        ::close(fd);
        return ok;
    }
    /** Waits until the platform's readiness check succeeds; ends the run with 2 if it doesn't. */
    void awaitReady() const
    {
        const auto end = Clock::now() + std::chrono::seconds(15);
        while (!this->isReady()) {
            if (Clock::now() > end) {
                std::fprintf(stderr, "%s does not become ready\n", this->node.c_str());
                std::exit(2);
            }
            std::this_thread::sleep_for(Ms(50));
        }
    }

    unsigned short front, ready, directory;
    std::string node;

private:
    pid_t pid = -1;
    int status = 0;
};

/** What a case is told by its run.sh. */
struct Run
{
    std::string gateway, folder, logs;
    bool trouble = true;

    static Run read(int argc, char **argv)
    {
        if (argc != 4) {
            std::fprintf(stderr, "usage: %s GATEWAY FOLDER LOGS\n", argv[0]);
            std::exit(2);
        }
        std::signal(SIGPIPE, SIG_IGN);
        const char *trouble = std::getenv("TROUBLE");
        return {argv[1], argv[2], argv[3], trouble == nullptr || std::string(trouble) != "0"};
    }
};

} // namespace review
