#ifndef BRONZESHED_PLATFORM_WIREHEADERS_H
#define BRONZESHED_PLATFORM_WIREHEADERS_H

#include "base/clock.h"
#include "base/strongid.h"
#include "entry/upstreamprotocol.h"

#include <optional>

namespace bronzeshed {

/** What the headers of a caller's request say. */
struct CallerHeaders
{
    RequestId requestId; ///< of this attempt of the caller; empty if not given
    std::optional<std::chrono::milliseconds> timeLeft; ///< how long the caller will wait
};

CallerHeaders readCallerHeaders(const HttpRequest &request);

/** Tells a caller that was refused when to come back. */
void addRetryAfter(HttpResponse &response, std::chrono::milliseconds delay);

/** Removes the headers that upstreams address to the load balancer. */
void removeUpstreamHeaders(HttpResponse &response);

/**
 * Adds to a forwarded request how long the upstream may work on it and that no other upstream may
 * run it.
 */
void addAttemptHeaders(HttpRequest &request, const UpstreamId &upstream, Duration timeLeft);

/** Requests to and responses of the upstreams on the users' platform. */
class PlatformUpstreamProtocol : public UpstreamProtocol
{
public:
    AttemptReport readAttempt(const ExchangeResult &result) const override;
    ResponseRules responseRules(const HttpRequest &request) const override;
    std::optional<LoadReport> readProbe(const UpstreamId &upstream,
                                        const ExchangeResult &result) const override;
};

} // namespace bronzeshed

#endif
