#include "rpc/ledgerconversion.h"

#include <kj/string.h>

namespace bronzeshed {

namespace {

rpc::ResolutionKind toMessage(ResolutionKind kind)
{
    switch (kind) {
    case ResolutionKind::Fenced:
        return rpc::ResolutionKind::FENCED;
    case ResolutionKind::InProgress:
        return rpc::ResolutionKind::IN_PROGRESS;
    case ResolutionKind::Completed:
        return rpc::ResolutionKind::COMPLETED;
    case ResolutionKind::Expired:
        return rpc::ResolutionKind::EXPIRED;
    case ResolutionKind::Invalid:
        return rpc::ResolutionKind::INVALID;
    }
    return rpc::ResolutionKind::EXPIRED;
}

ResolutionKind fromMessage(rpc::ResolutionKind kind)
{
    switch (kind) {
    case rpc::ResolutionKind::FENCED:
        return ResolutionKind::Fenced;
    case rpc::ResolutionKind::IN_PROGRESS:
        return ResolutionKind::InProgress;
    case rpc::ResolutionKind::COMPLETED:
        return ResolutionKind::Completed;
    case rpc::ResolutionKind::EXPIRED:
        return ResolutionKind::Expired;
    case rpc::ResolutionKind::INVALID:
        return ResolutionKind::Invalid;
    }
    // A newer entry may send a kind that this version does not define. The request may have run.
    return ResolutionKind::Expired;
}

std::string toString(capnp::Text::Reader text)
{
    return {text.cStr(), text.size()};
}

AnswerPointer readAnswer(rpc::Resolution::Reader message)
{
    auto answer = std::make_shared<RecordedAnswer>();
    answer->status = message.getStatus();
    for (const auto header : message.getHeaders()) {
        answer->headers.emplace_back(toString(header.getName()), toString(header.getValue()));
    }
    const auto body = message.getBody().asChars();
    answer->body.assign(body.begin(), body.size());
    return answer;
}

void writeAnswer(rpc::Resolution::Builder message, const RecordedAnswer &answer)
{
    message.setStatus(static_cast<std::uint16_t>(answer.status));
    auto headers = message.initHeaders(static_cast<unsigned>(answer.headers.size()));
    for (unsigned i = 0; i < headers.size(); ++i) {
        headers[i].setName(answer.headers[i].first);
        headers[i].setValue(answer.headers[i].second);
    }
    // kj::StringPtr would truncate the body at its first zero byte.
    message.setBody(kj::arrayPtr(answer.body.data(), answer.body.size()).asBytes());
}

} // namespace

void writeResolution(rpc::Resolution::Builder message, const Resolution &resolution)
{
    message.setKind(toMessage(resolution.kind));
    message.setOutcome(std::string(outcomeName(resolution.result.outcome)));
    message.setReason(std::string(reasonName(resolution.result.reason)));
    if (resolution.result.answer) {
        writeAnswer(message, *resolution.result.answer);
    }
}

Resolution readResolution(rpc::Resolution::Reader message)
{
    Resolution resolution;
    resolution.kind = fromMessage(message.getKind());
    resolution.result.outcome = outcomeFromName(toString(message.getOutcome()));
    resolution.result.reason = reasonFromName(toString(message.getReason()));
    if (resolution.result.outcome == Outcome::Answered) {
        resolution.result.answer = readAnswer(message);
    }
    return resolution;
}

} // namespace bronzeshed
