// Some callers send large bodies, within maxBodyBytes, at the same time. The platform ends a process
// that exceeds its memory, as it does on the machines of the site, and starts it again.
#include "gateway.h"
#include "platform.h"

#include <algorithm>
#include <atomic>
#include <fstream>
#include <memory>
#include <random>
#include <set>

using namespace review;

namespace {

constexpr long MemoryMb = 260;
constexpr std::size_t LargeBytes = 60UL * 1024 * 1024; ///< maxBodyBytes is 64 MiB
constexpr std::size_t SmallBytes = 1200;
constexpr int Uploaders = 4;
constexpr int Callers = 24;
constexpr int Servers = 12;
constexpr int Slots = 2;
constexpr Ms Work{110};
constexpr int TimeLimitMs = 2500;
constexpr double RoundS = 10;
constexpr double LengthS = 62;
constexpr Ms RestartDelay{300};

/** A sound server: it reads the whole body, then works, then answers. */
class Server
{
public:
    Server(Record &record, std::string id)
        : record(record)
        , id(std::move(id))
    {
        const int listener = listenLoopback(this->port);
        std::thread([this, listener] {
            while (true) {
                const int fd = ::accept4(listener, nullptr, nullptr, SOCK_CLOEXEC);
                if (fd >= 0) {
                    const int one = 1;
                    ::setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof one);
                    std::thread([this, fd] { this->serve(fd); }).detach();
                }
            }
        }).detach();
    }

    std::set<std::string> takeRuns()
    {
        const std::lock_guard lock(this->mutex);
        return this->runs;
    }

    unsigned short port = 0;

private:
    std::string load() const
    {
        return "X-Bronzeshed-Server-Load: " + std::to_string(this->running) + ",0,"
            + std::to_string(Slots) + "\r\n";
    }

    std::string handle(const Message &request)
    {
        const std::string requestId = request.header("x-bronzeshed-request-id");
        const std::string echo = "X-Bronzeshed-Request-Id: " + requestId + "\r\n";
        std::unique_lock lock(this->mutex);
        if (request.path() == "/health") {
            return response(200, "X-Bronzeshed-Instance-Id: " + this->id + "\r\n" + this->load(), "");
        }
        if (request.header("x-bronzeshed-expected-instance") != this->id) {
            return response(421, "X-Bronzeshed-Instance-Id: " + this->id + "\r\n" + echo, "");
        }
        if (this->running >= Slots) {
            return response(503, "X-Bronzeshed-Not-Executed: 1\r\n" + echo + this->load(), "");
        }
        ++this->running;
        this->runs.insert(requestId);
        this->record.write("server %s runs %s, %zu bytes", this->id.c_str(), requestId.c_str(),
                           request.body.size());
        lock.unlock();
        std::this_thread::sleep_for(Work);
        lock.lock();
        --this->running;
        return response(200, "X-Bronzeshed-Server-Signature: " + this->id + "." + requestId + "\r\n" + echo
                            + this->load(),
                        "done " + requestId);
    }

    void serve(int fd)
    {
        Reader reader(fd);
        Message request;
        while (reader.read(request) == ReadResult::Complete && sendAll(fd, this->handle(request))) { }
        ::close(fd);
    }

    Record &record;
    std::string id;
    std::mutex mutex;
    int running = 0;
    std::set<std::string> runs;
};

/** A machine with one gateway, whose process is ended when it exceeds the memory of the machine. */
class Machine
{
public:
    Machine(Record &record, std::string program, std::string logs, GatewaySettings settings)
        : record(record)
        , program(std::move(program))
        , logs(std::move(logs))
        , settings(std::move(settings))
    {
        this->start();
    }

    unsigned short front() const { return this->frontPort.load(); }

    /** Runs until @p end; the peak is that of all processes of the machine. */
    void watch(double end)
    {
        while (this->record.seconds() < end) {
            std::this_thread::sleep_for(Ms(5));
            const long memory = this->gateway->residentMb();
            this->peakMb = std::max(this->peakMb, memory);
            if (memory > MemoryMb) {
                this->record.write("%s holds %ld MB, more than %ld: the platform ends its process",
                                   this->settings.node.c_str(), memory, MemoryMb);
                ++this->ends;
                this->gateway->kill();
                std::this_thread::sleep_for(RestartDelay);
                this->start();
            } else if (!this->gateway->isRunning()) {
                this->record.write("%s has ended by itself", this->settings.node.c_str());
                ++this->ends;
                std::this_thread::sleep_for(RestartDelay);
                this->start();
            }
        }
    }
    void awaitReady() const { this->gateway->awaitReady(); }

    int ends = 0;
    long peakMb = 0;

private:
    void start()
    {
        this->gateway = std::make_unique<Gateway>(this->program, this->logs, this->settings);
        this->frontPort.store(this->gateway->front);
    }

    Record &record;
    std::string program, logs;
    GatewaySettings settings;
    std::unique_ptr<Gateway> gateway;
    std::atomic<unsigned short> frontPort{0};
};

struct Outcome
{
    std::string id;
    bool kept = false; ///< the connection had served a request before
    bool closed = false; ///< the connection ended without an answer
    int status = 0;
};

/** One request. Keeps the connection for the next one if the answer permits it. */
class Caller
{
public:
    Caller(Record &record, std::string name, std::vector<const Machine *> machines)
        : record(record)
        , name(std::move(name))
        , machines(std::move(machines))
        , random(static_cast<unsigned>(std::hash<std::string>()(this->name)))
    {
    }

    void call(std::size_t bytes)
    {
        Outcome outcome;
        outcome.id = this->name + "-" + std::to_string(++this->calls);
        outcome.kept = this->fd >= 0;
        if (!outcome.kept) {
            const auto picked = this->random() % this->machines.size();
            this->fd = connectLoopback(this->machines[picked]->front());
            if (this->fd < 0) {
                std::this_thread::sleep_for(Ms(50));
                return;
            }
            this->reader.emplace(this->fd);
        }
        this->record.write("client sends %s, %zu bytes, %s connection", outcome.id.c_str(), bytes,
                           outcome.kept ? "kept" : "new");
        const bool sent = sendAll(this->fd,
                                  "POST /notices/" + outcome.id
                                      + " HTTP/1.1\r\nHost: notices.example\r\nX-Bronzeshed-Request-Id: "
                                      + outcome.id + "\r\nX-Bronzeshed-Request-Deadline-Ms: "
                                      + std::to_string(TimeLimitMs) + "\r\nContent-Length: "
                                      + std::to_string(bytes) + "\r\n\r\n")
            && sendAll(this->fd, std::string(bytes, 'n'));
        Message answer;
        const ReadResult result = sent
            ? this->reader->read(answer, Clock::now() + Ms(TimeLimitMs + 500))
            : ReadResult::Closed;
        outcome.closed = result == ReadResult::Closed;
        outcome.status = result == ReadResult::Complete ? answer.status() : 0;
        this->record.write("client gets %s for %s",
                           outcome.closed           ? "a closed connection"
                               : outcome.status == 0 ? "no answer"
                                                    : std::to_string(outcome.status).c_str(),
                           outcome.id.c_str());
        if (result != ReadResult::Complete || lower(answer.header("connection")) == "close") {
            ::close(this->fd);
            this->fd = -1;
        }
        const double pause = std::atof(answer.header("retry-after").c_str());
        std::this_thread::sleep_for(Ms(static_cast<int>(pause * 1000)));
        this->outcomes.push_back(std::move(outcome));
    }

    std::vector<Outcome> outcomes;

private:
    Record &record;
    std::string name;
    std::vector<const Machine *> machines;
    std::mt19937 random;
    int fd = -1;
    int calls = 0;
    std::optional<Reader> reader;
};

} // namespace

int main(int argc, char **argv)
{
    const Run run = Run::read(argc, argv);
    Record record(run.folder + "/record.txt");
    Store store(record);
    const Route route{"notices", "notices.example", "/notices/", "unsafe", "notary", TimeLimitMs, 300, 2, 0};
    store.put("op/config", configuration(3, 1, {route}, {"notary"}));
    std::vector<std::unique_ptr<Server>> servers;
    for (int i = 0; i < Servers; ++i) {
        const std::string id = "i-notary-" + std::to_string(i);
        servers.push_back(std::make_unique<Server>(record, id));
        store.put("servers/" + id,
                  registration(servers.back()->port, "notary", "puget-a", Slots, "ready", 1, unixMs()));
    }
    GatewaySettings settings;
    settings.zone = "puget-a";
    settings.region = "puget";
    settings.zones = "puget-a=puget";
    settings.store = loopback(store.port());
    settings.peers = freePort();
    settings.seeds = loopback(settings.peers);
    settings.node = "front-puget-a-1";
    Machine first(record, run.gateway, run.logs, settings);
    settings.peers = freePort();
    settings.node = "front-puget-a-2";
    Machine second(record, run.gateway, run.logs, settings);
    first.awaitReady();
    second.awaitReady();
    record.write("both gateways are ready");

    const std::vector<const Machine *> machines{&first, &second};
    std::vector<std::unique_ptr<Caller>> callers;
    std::vector<std::thread> threads;
    for (int i = 0; i < Callers; ++i) {
        callers.push_back(std::make_unique<Caller>(record, "c" + std::to_string(i), machines));
        threads.emplace_back([&record, caller = callers.back().get()] {
            while (record.seconds() < LengthS - 4) {
                caller->call(SmallBytes);
                std::this_thread::sleep_for(Ms(100));
            }
        });
    }
    for (int i = 0; i < Uploaders; ++i) {
        callers.push_back(std::make_unique<Caller>(record, "u" + std::to_string(i), machines));
        threads.emplace_back([&record, trouble = run.trouble, caller = callers.back().get()] {
            for (double at = RoundS; at < LengthS - 6; at += RoundS) {
                while (record.seconds() < at) {
                    std::this_thread::sleep_for(Ms(2));
                }
                caller->call(trouble ? LargeBytes : SmallBytes);
            }
        });
    }
    threads.emplace_back([&first] { first.watch(LengthS - 1); });
    threads.emplace_back([&second] { second.watch(LengthS - 1); });
    for (std::thread &thread : threads) {
        thread.join();
    }

    std::set<std::string> runs;
    for (const auto &server : servers) {
        runs.merge(server->takeRuns());
    }
    int answered = 0, refused = 0, other = 0, lost = 0;
    for (const auto &caller : callers) {
        for (const Outcome &outcome : caller->outcomes) {
            answered += outcome.status == 200 ? 1 : 0;
            refused += outcome.status == 503 ? 1 : 0;
            other += outcome.status != 200 && outcome.status != 503 ? 1 : 0;
            if (outcome.kept && outcome.closed && runs.contains(outcome.id)) {
                ++lost;
                record.write("BROKEN: %s ran, and its kept connection was closed without an answer",
                             outcome.id.c_str());
            }
        }
    }
    record.write("answered=%d refused=%d other=%d lost=%d ends=%d,%d peak_mb=%ld,%ld", answered, refused,
                 other, lost, first.ends, second.ends, first.peakMb, second.peakMb);
    std::fflush(nullptr);
    std::_Exit(answered < 1000 ? 2 : lost > 3 ? 1 : 0);
}
