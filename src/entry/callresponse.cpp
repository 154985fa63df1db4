#include "entry/callresponse.h"

namespace bronzeshed {

namespace {

unsigned statusOf(Outcome outcome, Reason reason)
{
    switch (outcome) {
    case Outcome::NotRun:
        return 503;
    case Outcome::Unknown:
        return 504;
    case Outcome::Invalid:
        if (reason == Reason::UnknownClass) {
            return 404;
        }
        return reason == Reason::WrongIdentity ? 409 : 400;
    case Outcome::Answered:
        break;
    }
    return 200;
}

} // namespace

HttpResponse makeRefusal(Outcome outcome, Reason reason, const std::string &detail)
{
    std::string text(reasonName(reason));
    if (!detail.empty()) {
        text += ": " + detail;
    }
    text += "; " + std::string(reasonRemedy(reason)) + "\n";
    HttpResponse response = makeTextResponse(statusOf(outcome, reason), std::move(text));
    response.headers.add("Bronzeshed-Outcome", outcomeName(outcome));
    response.headers.add("Bronzeshed-Reason", reasonName(reason));
    response.headers.add("Bronzeshed-Remedy", reasonRemedy(reason));
    return response;
}

HttpResponse makeAnswer(HttpResponse upstreamResponse)
{
    for (const char *name : {"Bronzeshed-Load", "Bronzeshed-Service-Us", "Bronzeshed-State",
                             "Bronzeshed-Not-Started", "Bronzeshed-Reason", "Bronzeshed-Remedy"}) {
        upstreamResponse.headers.remove(name);
    }
    upstreamResponse.headers.set("Bronzeshed-Outcome", outcomeName(Outcome::Answered));
    return upstreamResponse;
}

} // namespace bronzeshed
