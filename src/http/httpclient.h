#ifndef BRONZESHED_HTTP_HTTPCLIENT_H
#define BRONZESHED_HTTP_HTTPCLIENT_H

#include "base/error.h"
#include "base/settings.h"
#include "http/httpmessage.h"

#include <chrono>
#include <functional>

namespace bronzeshed {

/** Thrown if a request received no complete response. */
class HttpClientError : public UnavailableError
{
public:
    HttpClientError(const std::string &problem, bool maybeSent)
        : UnavailableError(problem, "check that the server runs and is reachable, then try again")
        , maybeSent(maybeSent)
    {
    }

    /** Whether any byte of the request may have reached the server. */
    bool mayHaveBeenSent() const { return this->maybeSent; }

private:
    bool maybeSent;
};

/**
 * Sends one request on a new connection and waits for the complete response.
 * @param timeout total time for connecting, sending and receiving; connecting takes at most 1 s
 * @param cancelled optional predicate, polled about every 100 ms; cancels the request if true
 * @throws HttpClientError if no complete response arrives in time
 */
HttpResponse sendHttpRequest(const Endpoint &endpoint, const HttpRequest &request,
                             std::chrono::milliseconds timeout,
                             const std::function<bool()> &cancelled = {});

} // namespace bronzeshed

#endif
