#ifndef BRONZESHED_REPLAY_CALLTRANSPORT_H
#define BRONZESHED_REPLAY_CALLTRANSPORT_H

#include "http/connectionpool.h"

#include <functional>

namespace bronzeshed {

/** Port that sends the requests of replayed calls. */
class CallTransport
{
public:
    using Callback = std::function<void(ExchangeResult result)>;

    virtual ~CallTransport() = default;
    /** Sends a request. @p callback is called once, asynchronously, on the replay's thread. */
    virtual void send(const Endpoint &endpoint, const HttpRequest &request, ConnectionUse use,
                      Duration timeout, Callback callback)
        = 0;
};

} // namespace bronzeshed

#endif
