#ifndef BRONZESHED_TESTS_RECORDINGEXCHANGE_H
#define BRONZESHED_TESTS_RECORDINGEXCHANGE_H

#include "http/httpserver.h"

#include <vector>

namespace bronzeshed {

/** Stores the responses for later checks. */
class RecordingExchange : public HttpExchange
{
public:
    void respond(HttpResponse response) override { this->responses.push_back(std::move(response)); }
    void onClientDisconnected(std::function<void()>) override { }

    /** "outcome/reason" of the response, or the count if there is not exactly one. */
    std::string result() const
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
