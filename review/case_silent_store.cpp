// The store leaves calls unanswered for a moment. Seconds later the operator moves a route.
#include "gateway.h"
#include "platform.h"

#include <atomic>
#include <memory>

using namespace review;

namespace {

constexpr Ms Silence{120};
/** Time from a change until the gateway that watches the store sends its next watch, less some ms. */
constexpr Ms NextWatch{680};
constexpr int Gateways = 3;
constexpr int Rounds = 4;
constexpr Ms RoundTime{22000};
constexpr Ms ContactTime{3000}; ///< contactMs
constexpr Ms ApplyTime{2500}; ///< configApplyMs

/** A sound server of one service. Answers at once and counts what it runs. */
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
                    std::thread([this, fd] { this->serve(fd); }).detach();
                }
            }
        }).detach();
    }

    unsigned short port = 0;

private:
    void serve(int fd)
    {
        Reader reader(fd);
        Message request;
        while (reader.read(request) == ReadResult::Complete && sendAll(fd, this->handle(request))) { }
        ::close(fd);
    }
    std::string handle(const Message &request)
    {
        const std::string load = "X-Bronzeshed-Server-Load: 0,0,2\r\n";
        if (request.path() == "/health") {
            return response(200, "X-Bronzeshed-Instance-Id: " + this->id + "\r\n" + load, "");
        }
        const std::string requestId = request.header("x-bronzeshed-request-id");
        const std::string echo = "X-Bronzeshed-Request-Id: " + requestId + "\r\n";
        if (request.header("x-bronzeshed-expected-instance") != this->id) {
            return response(421, "X-Bronzeshed-Instance-Id: " + this->id + "\r\n" + echo, "");
        }
        this->record.write("server %s runs %s", this->id.c_str(), requestId.c_str());
        return response(200,
                        "X-Bronzeshed-Server-Signature: " + this->id + "." + requestId + "\r\n" + echo + load,
                        this->id);
    }

    Record &record;
    std::string id;
};

} // namespace

int main(int argc, char **argv)
{
    const Run run = Run::read(argc, argv);
    Record record(run.folder + "/record.txt");
    Store store(record);
    Server almanac(record, "i-almanac-1");
    Server notary(record, "i-notary-1");
    int version = 1;
    const auto configure = [&](const std::string &service) {
        const Route route{"bulletins", "bulletins.example", "/bulletins/", "safe", service, 2000, 400, 2, 0};
        version += 2;
        store.put("op/config", configuration(version, version - 2, {route}, {"almanac", "notary"}));
        record.write("store confirms r%d: the route leads to %s", version, service.c_str());
        return Clock::now();
    };
    configure("almanac");
    store.put("servers/i-almanac-1", registration(almanac.port, "almanac", "puget-a", 2, "ready", 1, unixMs()));
    store.put("servers/i-notary-1", registration(notary.port, "notary", "puget-a", 2, "ready", 1, unixMs()));
    GatewaySettings settings;
    settings.zone = "puget-a";
    settings.region = "puget";
    settings.zones = "puget-a=puget";
    settings.store = loopback(store.port());
    const unsigned short seed = freePort();
    settings.seeds = loopback(seed);
    std::vector<std::unique_ptr<Gateway>> gateways;
    for (int i = 0; i < Gateways; ++i) {
        settings.peers = i == 0 ? seed : 0;
        settings.node = "front-puget-a-" + std::to_string(i + 1);
        gateways.push_back(std::make_unique<Gateway>(run.gateway, run.logs, settings));
    }
    for (const auto &gateway : gateways) {
        gateway->awaitReady();
    }
    record.write("all gateways are ready");
    std::this_thread::sleep_for(Ms(8000));

    std::atomic<bool> stopping{false};
    std::mutex mutex;
    std::string wanted; ///< server of the route once the newest version is in force; empty before
    int calls = 0, unanswered = 0, broken = 0;
    std::vector<std::thread> threads;
    for (const auto &gateway : gateways) {
        threads.emplace_back([&, gateway = gateway.get()] {
            for (int number = 0; !stopping.load(); ++number) {
                const std::string id = gateway->node + "-" + std::to_string(number);
                std::string expected;
                {
                    const std::lock_guard lock(mutex);
                    expected = wanted;
                }
                record.write("client sends %s to %s", id.c_str(), gateway->node.c_str());
                const int fd = connectLoopback(gateway->front);
                Message answer;
                const bool answered = fd >= 0
                    && sendAll(fd,
                               "GET /bulletins/x HTTP/1.1\r\nHost: bulletins.example\r\n"
                               "X-Bronzeshed-Request-Id: "
                                   + id + "\r\nX-Bronzeshed-Request-Deadline-Ms: 2000\r\n"
                                          "Connection: close\r\n\r\n")
                    && Reader(fd).read(answer, Clock::now() + Ms(2500)) == ReadResult::Complete;
                ::close(fd);
                record.write("client gets %d from %s for %s", answer.status(), answer.body.c_str(), id.c_str());
                {
                    const std::lock_guard lock(mutex);
                    ++calls;
                    unanswered += answered ? 0 : 1;
                    if (answered && answer.status() == 200 && !expected.empty() && answer.body != expected) {
                        ++broken;
                        record.write("BROKEN: %s was run by the old service", id.c_str());
                    }
                }
                std::this_thread::sleep_for(Ms(100));
            }
        });
    }
    const auto expect = [&](const std::string &server) {
        const std::lock_guard lock(mutex);
        wanted = server;
    };
    for (int round = 0; round < Rounds; ++round) {
        const auto begin = Clock::now();
        const bool toNotary = round % 2 == 0;
        // Any change makes the gateway that watches the store send its next watch 0.7 s later.
        store.put("servers/i-almanac-1",
                  registration(almanac.port, "almanac", "puget-a", 2, "ready", 2 + round, unixMs()));
        std::this_thread::sleep_until(begin + NextWatch);
        if (run.trouble) {
            record.write("the store is silent");
            store.beSilentUntil(Clock::now() + Silence);
        }
        std::this_thread::sleep_until(begin + NextWatch + Silence);
        record.write("the store answers");
        std::this_thread::sleep_for(ContactTime + Ms(1000));
        const auto confirmed = configure(toNotary ? "notary" : "almanac");
        std::this_thread::sleep_until(confirmed + ApplyTime);
        expect(toNotary ? "i-notary-1" : "i-almanac-1");
        std::this_thread::sleep_until(begin + RoundTime);
        expect("");
    }
    stopping.store(true);
    for (std::thread &thread : threads) {
        thread.join();
    }
    record.write("calls=%d unanswered=%d run_by_old_service=%d", calls, unanswered, broken);
    bool allRun = true;
    for (const auto &gateway : gateways) {
        allRun = allRun && gateway->isRunning();
        gateway->kill();
    }
    std::fflush(nullptr);
    std::_Exit(!allRun || calls < 1000 ? 2 : broken > 0 ? 1 : 0);
}
