#ifndef BRONZESHED_PLATFORM_WIREHEADERS_H
#define BRONZESHED_PLATFORM_WIREHEADERS_H

#include "base/clock.h"
#include "base/strongid.h"
#include "entry/upstreamprotocol.h"

#include <optional>

namespace bronzeshed {

/** Headers of a caller's request that the load balancer evaluates. */
struct CallerHeaders
{
    RequestId requestId; ///< identifies this attempt of the caller; empty if absent
    std::optional<std::chrono::milliseconds> timeLeft; ///< remaining time that the caller waits
};

CallerHeaders readCallerHeaders(const HttpRequest &request);

/** Sets Retry-After, in seconds, on the response to a rejected request. */
void addRetryAfter(HttpResponse &response, std::chrono::milliseconds delay);

/** Removes the headers that upstreams send for the load balancer only. */
void removeUpstreamHeaders(HttpResponse &response);

/**
 * Adds the remaining time and the id of the expected upstream to a forwarded request. An upstream
 * with another id does not run the request.
 */
void addAttemptHeaders(HttpRequest &request, const UpstreamId &upstream, Duration timeLeft);

/** HTTP protocol of the upstreams on the users' platform. */
class PlatformUpstreamProtocol : public UpstreamProtocol
{
public:
    AttemptReport readAttempt(const ExchangeResult &result) const override;
    ResponseRules responseRules(const HttpRequest &request) const override;
    ResponseRules probeRules() const override;
    std::optional<LoadReport> readProbe(const UpstreamId &upstream,
                                        const ExchangeResult &result) const override;
};

} // namespace bronzeshed

#endif
