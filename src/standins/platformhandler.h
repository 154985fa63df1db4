#ifndef BRONZESHED_STANDINS_PLATFORMHANDLER_H
#define BRONZESHED_STANDINS_PLATFORMHANDLER_H

#include "http/httpserver.h"
#include "standins/keyvaluestandin.h"

#include <list>
#include <mutex>

namespace bronzeshed {

/**
 * HTTP face of the platform stand-in.
 * - GET /kv/KEY: value, header Revision; with ?watch=N waits for a revision above N (304 after 10
 * s).
 * - PUT /kv/KEY with header If-Revision: compare-and-swap; 409 if the revision differs.
 * - GET /instances: JSON list, header Revision; with ?revision=N answers 304 if unchanged.
 * - PUT /control/instances: replaces the instance list.
 */
class PlatformHandler : public HttpHandler
{
public:
    void handleRequest(HttpRequest request, std::shared_ptr<HttpExchange> exchange) override;

    /** Answers watches that have waited long enough. */
    void expireWatches(TimePoint now);

private:
    struct Watch
    {
        std::string key;
        std::uint64_t revision = 0;
        TimePoint due;
        std::shared_ptr<HttpExchange> exchange;
    };

    void handleGet(const std::string &key, const HttpRequest &request,
                   const std::shared_ptr<HttpExchange> &exchange);
    void handlePut(const std::string &key, HttpRequest &request, HttpExchange &exchange);
    void answerWatches(const std::string &key);

    std::mutex mutex;
    KeyValueStandin store;
    KeyValueStandin instances;
    std::list<Watch> watches;
};

} // namespace bronzeshed

#endif
