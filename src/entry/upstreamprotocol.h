#ifndef BRONZESHED_ENTRY_UPSTREAMPROTOCOL_H
#define BRONZESHED_ENTRY_UPSTREAMPROTOCOL_H

#include "http/connectionpool.h"
#include "routing/dispatcheroutput.h"

namespace bronzeshed {

/** What requests and responses between an entry and the upstreams look like. Thread-safe. */
class UpstreamProtocol
{
public:
    virtual ~UpstreamProtocol() = default;

    /** Reads what the end of an exchange says about the attempt and the upstream. */
    virtual AttemptReport readAttempt(const ExchangeResult &result) const = 0;
    /** Which responses answer @p request. */
    virtual ResponseRules responseRules(const HttpRequest & /*request*/) const { return {}; }
    virtual HttpRequest probeRequest(const ProbeOrder &order) const;
    /** @return the load of @p upstream, if it answered and stated it */
    virtual std::optional<LoadReport> readProbe(const UpstreamId & /*upstream*/,
                                                const ExchangeResult & /*result*/) const
    {
        return std::nullopt;
    }
};

/** The product's own interface to upstreams, see docs/design.md, 3.5. */
class OwnUpstreamProtocol : public UpstreamProtocol
{
public:
    AttemptReport readAttempt(const ExchangeResult &result) const override;
};

/** How the attempt ended if no rule of a protocol says otherwise. */
AttemptStatus toAttemptStatus(ExchangeStatus status);

} // namespace bronzeshed

#endif
