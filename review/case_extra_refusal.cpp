// A busy server answers some requests twice: the second copy comes late, where the next response on
// the connection is expected.
#include "gateway.h"
#include "platform.h"

#include <atomic>
#include <cmath>
#include <memory>
#include <random>
#include <set>

using namespace review;

namespace {

/** One way between the zones of a region, as on the page of the groyne site. */
constexpr std::chrono::microseconds ZoneLatency{900};
constexpr int Slots = 2;
constexpr int QueueLength = 2;
constexpr Ms Work{5};
constexpr double LateShare = 0.03; ///< of the answers
constexpr double FaultS = 5.0; ///< length of one fault; the same time passes until the next
constexpr double LengthS = 75.0;
constexpr int Clients = 12;
constexpr int RouteTimeoutMs = 600;

class Server
{
public:
    Server(Record &record, std::string id, bool answersTwice)
        : record(record)
        , id(std::move(id))
        , answersTwice(answersTwice)
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

    std::map<std::string, int> takeRuns()
    {
        const std::lock_guard lock(this->mutex);
        return this->runs;
    }

    unsigned short port = 0;
    std::atomic<int> answers{0}, copies{0};

private:
    std::string load() const
    {
        return "X-Bronzeshed-Server-Load: " + std::to_string(this->running) + ","
            + std::to_string(this->waiting) + "," + std::to_string(Slots) + "\r\n";
    }

    std::string handle(const Message &request)
    {
        const std::string requestId = request.header("x-bronzeshed-request-id");
        std::unique_lock lock(this->mutex);
        if (request.path() == "/health") {
            return response(200, "X-Bronzeshed-Instance-Id: " + this->id + "\r\n" + this->load(), "");
        }
        const std::string echo = "X-Bronzeshed-Request-Id: " + requestId + "\r\n";
        const std::string expected = request.header("x-bronzeshed-expected-instance");
        if (!expected.empty() && expected != this->id) {
            return response(421, "X-Bronzeshed-Instance-Id: " + this->id + "\r\n" + echo, "");
        }
        if (this->running + this->waiting >= Slots + QueueLength) {
            this->record.write("server %s refuses %s: full", this->id.c_str(), requestId.c_str());
            return response(503, "X-Bronzeshed-Not-Executed: 1\r\n" + echo + this->load(), "");
        }
        ++this->waiting;
        this->freed.wait(lock, [this] { return this->running < Slots; });
        --this->waiting;
        ++this->running;
        ++this->runs[requestId];
        this->record.write("server %s runs %s", this->id.c_str(), requestId.c_str());
        lock.unlock();
        std::this_thread::sleep_for(Work);
        lock.lock();
        --this->running;
        this->freed.notify_one();
        return response(200, "X-Bronzeshed-Server-Signature: " + this->id + "." + requestId + "\r\n" + echo + this->load(),
                        "done " + requestId);
    }

    void serve(int fd)
    {
        Reader reader(fd);
        Message request;
        std::string copy;
        std::string copyOf;
        while (reader.read(request) == ReadResult::Complete) {
            std::this_thread::sleep_for(ZoneLatency);
            if (!copy.empty()) {
                this->record.write("server %s sends a second copy of its answer to %s", this->id.c_str(),
                                   copyOf.c_str());
                ++this->copies;
                if (!sendAll(fd, copy)) {
                    break;
                }
                copy.clear();
            }
            const std::string answer = this->handle(request);
            std::this_thread::sleep_for(ZoneLatency);
            if (!sendAll(fd, answer)) {
                break;
            }
            if (request.path() == "/health") {
                continue;
            }
            ++this->answers;
            const std::lock_guard lock(this->mutex);
            const bool inFault = std::fmod(this->record.seconds(), 2 * FaultS) >= FaultS;
            if (this->answersTwice && inFault && this->share(this->random) < LateShare) {
                copy = answer;
                copyOf = request.header("x-bronzeshed-request-id");
            }
        }
        ::close(fd);
    }

    Record &record;
    std::string id;
    bool answersTwice;
    std::mutex mutex;
    std::condition_variable freed;
    int running = 0, waiting = 0;
    std::map<std::string, int> runs;
    std::mt19937 random{7};
    std::uniform_real_distribution<double> share{0, 1};
};

struct Outcome
{
    std::string id;
    int status = 0; ///< 0: the connection ended without an answer
    bool signature = false;
};

/** A client that keeps its connection, honours Retry-After and retries once after a promise. */
class Client
{
public:
    Client(Record &record, int number, unsigned short front, bool orders)
        : record(record)
        , number(number)
        , front(front)
        , orders(orders)
    {
    }

    void run()
    {
        for (int order = 0; this->record.seconds() < LengthS; ++order) {
            double retryAfter = 0;
            for (int attempt = 0; attempt < 2; ++attempt) {
                const Outcome outcome = this->send(order, attempt, retryAfter);
                this->outcomes.push_back(outcome);
                const bool promised = outcome.status == 503 || outcome.status == 429;
                std::this_thread::sleep_for(Ms(static_cast<int>(retryAfter * 1000)));
                if (!promised) {
                    break;
                }
                this->disconnect();
            }
            std::this_thread::sleep_for(this->orders ? Ms(0) : Ms(20));
        }
        this->disconnect();
    }

    std::vector<Outcome> outcomes;

private:
    void disconnect()
    {
        if (this->fd >= 0) {
            ::close(this->fd);
        }
        this->fd = -1;
    }

    Outcome send(int order, int attempt, double &retryAfter)
    {
        retryAfter = 0;
        Outcome outcome;
        outcome.id = std::to_string(this->number) + "-" + std::to_string(order) + "-" + std::to_string(attempt);
        if (this->fd < 0) {
            this->fd = connectLoopback(this->front);
            if (this->fd < 0) {
                return outcome;
            }
            this->reader.emplace(this->fd);
        }
        const std::string body = this->orders ? "boulders " + outcome.id : "";
        const std::string text = std::string(this->orders ? "PUT /orders/" : "GET /reads/") + outcome.id
            + " HTTP/1.1\r\nHost: " + (this->orders ? "orders" : "reads")
            + ".example\r\nX-Bronzeshed-Request-Id: " + outcome.id
            + "\r\nX-Bronzeshed-Request-Deadline-Ms: " + std::to_string(RouteTimeoutMs)
            + "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
        Message answer;
        this->record.write("client sends %s", outcome.id.c_str());
        if (!sendAll(this->fd, text)
            || this->reader->read(answer, Clock::now() + Ms(RouteTimeoutMs + 500)) != ReadResult::Complete) {
            this->disconnect();
            return outcome;
        }
        outcome.status = answer.status();
        outcome.signature = !answer.header("x-bronzeshed-server-signature").empty();
        retryAfter = std::atof(answer.header("retry-after").c_str());
        this->record.write("client gets %d for %s", outcome.status, outcome.id.c_str());
        if (lower(answer.header("connection")) == "close") {
            this->disconnect();
        }
        return outcome;
    }

    Record &record;
    int number;
    unsigned short front;
    bool orders;
    int fd = -1;
    std::optional<Reader> reader;
};

} // namespace

int main(int argc, char **argv)
{
    const Run run = Run::read(argc, argv);
    Record record(run.folder + "/record.txt");
    Store store(record);
    Server orders(record, "i-orders-1", run.trouble);
    Server reads(record, "i-reads-1", false);
    const std::vector<Route> routes{
        {"orders", "orders.example", "/orders/", "unsafe", "orders", RouteTimeoutMs, 150, 2, 0},
        {"reads", "reads.example", "/reads/", "safe", "reads", RouteTimeoutMs, 200, 2, 2}};
    store.put("op/config", configuration(3, 1, routes, {"orders", "reads"}));
    store.put("servers/i-orders-1", registration(orders.port, "orders", "kalutara", Slots, "ready", 1, unixMs()));
    store.put("servers/i-reads-1", registration(reads.port, "reads", "kalutara", Slots, "ready", 1, unixMs()));
    GatewaySettings settings;
    settings.zone = "negombo";
    settings.region = "western";
    settings.zones = "negombo=western,kalutara=western";
    settings.store = loopback(store.port());
    settings.retryBudgetSlack = 58;
    settings.peers = freePort();
    settings.seeds = loopback(settings.peers);
    settings.node = "front-negombo-1";
    Gateway first(run.gateway, run.logs, settings);
    settings.peers = 0;
    settings.node = "front-negombo-2";
    Gateway second(run.gateway, run.logs, settings);
    first.awaitReady();
    second.awaitReady();
    record.write("both gateways are ready");

    std::vector<std::unique_ptr<Client>> clients;
    std::vector<std::thread> threads;
    for (int i = 0; i < Clients; ++i) {
        const unsigned short front = i % 2 == 0 ? first.front : second.front;
        clients.push_back(std::make_unique<Client>(record, i, front, i >= 2));
        threads.emplace_back([client = clients.back().get()] { client->run(); });
    }
    for (std::thread &thread : threads) {
        thread.join();
    }
    std::this_thread::sleep_for(Ms(1000));

    auto runs = orders.takeRuns();
    int served = 0, refused = 0, other = 0, refusedAndRun = 0, twice = 0;
    for (const auto &client : clients) {
        for (const Outcome &outcome : client->outcomes) {
            served += outcome.status == 200 ? 1 : 0;
            const bool promise = outcome.status == 429 || outcome.status == 503 || outcome.status == 408
                || outcome.status == 421;
            refused += promise ? 1 : 0;
            other += !promise && outcome.status != 200 ? 1 : 0;
            if (promise && runs.contains(outcome.id)) {
                ++refusedAndRun;
                record.write("BROKEN: %s was answered %d and has run", outcome.id.c_str(), outcome.status);
            }
        }
    }
    for (const auto &[id, count] : runs) {
        if (count > 1) {
            ++twice;
            record.write("BROKEN: %s has run %d times", id.c_str(), count);
        }
    }
    const int answers = orders.answers + reads.answers;
    record.write("served=%d refused=%d other=%d answers_of_servers=%d second_copies=%d "
                 "refused_and_run=%d run_twice=%d",
                 served, refused, other, answers, orders.copies.load(), refusedAndRun, twice);
    if (served < 1000 || !first.isRunning() || !second.isRunning()) {
        record.write("the deployment did not serve");
        std::fflush(nullptr);
        first.kill();
        second.kill();
        std::_Exit(2);
    }
    first.kill();
    second.kill();
    std::fflush(nullptr);
    std::_Exit(refusedAndRun + twice > 0 ? 1 : 0);
}
