#ifndef BRONZESHED_PLATFORM_PUBLICPORTS_H
#define BRONZESHED_PLATFORM_PUBLICPORTS_H

#include "base/settings.h"
#include "base/strongid.h"
#include "http/httpserver.h"

#include <chrono>
#include <vector>

namespace bronzeshed {

/** Entries that a caller may use, and for how long. */
struct LookupAnswer
{
    std::vector<Endpoint> entries;
    std::chrono::seconds validity{0};
};

/** What the public ports ask of the program. Thread-safe. */
class PublicSource
{
public:
    virtual ~PublicSource() = default;
    virtual LookupAnswer lookup(const RegionName &region, const ZoneName &zone) = 0;
    virtual bool isReady() = 0;
};

/** Answers callers that ask where to connect. */
class LookupPort : public HttpHandler
{
public:
    explicit LookupPort(PublicSource &source)
        : source(source)
    {
    }
    void handleRequest(HttpRequest request, std::shared_ptr<HttpExchange> exchange) override;

private:
    PublicSource &source;
};

/** Tells the platform whether this entry takes work. */
class ReadinessPort : public HttpHandler
{
public:
    explicit ReadinessPort(PublicSource &source)
        : source(source)
    {
    }
    void handleRequest(HttpRequest request, std::shared_ptr<HttpExchange> exchange) override;

private:
    PublicSource &source;
};

} // namespace bronzeshed

#endif
