#ifndef BRONZESHED_PLATFORM_PUBLICPORTS_H
#define BRONZESHED_PLATFORM_PUBLICPORTS_H

#include "base/settings.h"
#include "base/strongid.h"
#include "http/httpserver.h"

#include <chrono>
#include <vector>

namespace bronzeshed {

/** Entries that a caller may use, and how long it may cache them. */
struct LookupAnswer
{
    std::vector<Endpoint> entries;
    std::chrono::seconds validity{0};
};

/** Provides the data that the public ports serve. Thread-safe. */
class PublicSource
{
public:
    virtual ~PublicSource() = default;
    virtual LookupAnswer lookup(const RegionName &region, const ZoneName &zone) = 0;
    virtual bool isReady() = 0;
};

/** HTTP port on which callers look up the entries to connect to. */
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

/** HTTP port that reports to the platform whether this entry accepts work. */
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
