#ifndef BRONZESHED_STANDINS_UPSTREAMHANDLER_H
#define BRONZESHED_STANDINS_UPSTREAMHANDLER_H

#include "base/random.h"
#include "base/timerservice.h"
#include "http/httpserver.h"

#include <deque>
#include <map>
#include <mutex>

namespace bronzeshed {

/** How an upstream stand-in behaves. */
struct UpstreamOptions
{
    unsigned slots = 2;
    std::chrono::microseconds meanWork{5000};
    std::size_t maxQueue = 16;
};

/**
 * Server with a fixed number of slots and exponentially distributed work. It counts the executions
 * of each request identity.
 */
class UpstreamHandler : public HttpHandler
{
public:
    explicit UpstreamHandler(const UpstreamOptions &options);

    void handleRequest(HttpRequest request, std::shared_ptr<HttpExchange> exchange) override;

    /** Finishes work that is due. */
    void fire(TimePoint now);
    /** When the next work is done. */
    std::optional<TimePoint> nextDue();

private:
    struct Work
    {
        std::string id;
        HttpRequest request;
        std::shared_ptr<HttpExchange> exchange;
    };

    void start(Work work);
    void finish(const Work &work, Duration spent);

    std::mutex mutex;
    UpstreamOptions options;
    SeededRandom random;
    TimerService timers;
    std::deque<Work> queue;
    unsigned running = 0;
    std::map<std::string, unsigned> executions;
};

} // namespace bronzeshed

#endif
