#include "platform/httpinstancelist.h"

#include "base/error.h"
#include "http/httpclient.h"

#include <charconv>

namespace bronzeshed {

HttpInstanceList::HttpInstanceList(Endpoint endpoint, std::chrono::milliseconds timeout)
    : endpoint(std::move(endpoint))
    , timeout(timeout)
{
}

std::optional<InstanceSnapshot> HttpInstanceList::fetch(std::uint64_t lastRevision)
{
    HttpRequest request;
    request.target = "/instances?revision=" + std::to_string(lastRevision);
    const HttpResponse response = sendHttpRequest(this->endpoint, request, this->timeout);
    if (response.status == 304) {
        return std::nullopt;
    }
    if (response.status != 200) {
        throw UnavailableError("the instance list returned status "
                                   + std::to_string(response.status),
                               "check the platform's instance list");
    }
    std::uint64_t revision = 0;
    const std::string text = response.headers.find("Revision").value_or("");
    std::from_chars(text.data(), text.data() + text.size(), revision);
    return parseInstanceList(response.body, revision);
}

} // namespace bronzeshed
