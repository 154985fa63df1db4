#ifndef BRONZESHED_ENTRY_UPSTREAMPROTOCOL_H
#define BRONZESHED_ENTRY_UPSTREAMPROTOCOL_H

#include "http/connectionpool.h"
#include "routing/dispatcheroutput.h"

namespace bronzeshed {

/** Format of requests to upstreams and of their responses. Thread-safe. */
class UpstreamProtocol
{
public:
    virtual ~UpstreamProtocol() = default;

    /** Converts the result of an exchange to a report on the attempt and the upstream. */
    virtual AttemptReport readAttempt(const ExchangeResult &result) const = 0;
    /** Returns the rules by which a response counts as an answer to @p request. */
    virtual ResponseRules responseRules(const HttpRequest & /*request*/) const { return {}; }
    /** Returns the rules by which a response counts as an answer to a probe. */
    virtual ResponseRules probeRules() const { return {}; }
    virtual HttpRequest probeRequest(const ProbeOrder &order) const;
    /** @return the load of @p upstream, or std::nullopt if the response does not contain it */
    virtual std::optional<LoadReport> readProbe(const UpstreamId & /*upstream*/,
                                                const ExchangeResult & /*result*/) const
    {
        return std::nullopt;
    }
};

/** The native interface to upstreams with Bronzeshed-* headers, see docs/design.md, 3.5. */
class NativeUpstreamProtocol : public UpstreamProtocol
{
public:
    AttemptReport readAttempt(const ExchangeResult &result) const override;
};

/** Returns the default attempt status, which a protocol may override. */
AttemptStatus toAttemptStatus(ExchangeStatus status);

} // namespace bronzeshed

#endif
