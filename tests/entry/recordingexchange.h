#ifndef BRONZESHED_TESTS_RECORDINGEXCHANGE_H
#define BRONZESHED_TESTS_RECORDINGEXCHANGE_H

#include "http/httpserver.h"

#include <vector>

namespace bronzeshed {

/** Keeps the responses that it is given. */
class RecordingExchange : public HttpExchange
{
public:
    void respond(HttpResponse response) override { this->responses.push_back(std::move(response)); }
    void onClientDisconnected(std::function<void()>) override { }

    /** "outcome/reason" of the one response, or how many there were. */
    std::string told() const
    {
        if (this->responses.size() != 1) {
            return std::to_string(this->responses.size()) + " responses";
        }
        const HttpHeaders &headers = this->responses.front().headers;
        return headers.find("Bronzeshed-Outcome").value_or("") + "/"
            + headers.find("Bronzeshed-Reason").value_or("");
    }

    std::vector<HttpResponse> responses;
};

} // namespace bronzeshed

#endif
