#ifndef BRONZESHED_HTTP_HTTPCLIENT_H
#define BRONZESHED_HTTP_HTTPCLIENT_H

#include "base/error.h"
#include "base/settings.h"
#include "http/httpmessage.h"

#include <chrono>

namespace bronzeshed {

/** A request got no whole response. */
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
 * Sends one request on a new connection and waits for the whole response.
 * @param timeout limit for connecting, sending and receiving together
 * @throws HttpClientError if there is no whole response in time
 */
HttpResponse sendHttpRequest(const Endpoint &endpoint, const HttpRequest &request,
                             std::chrono::milliseconds timeout);

} // namespace bronzeshed

#endif
