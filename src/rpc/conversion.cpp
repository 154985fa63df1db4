#include "rpc/conversion.h"

#include <algorithm>
#include <limits>

namespace bronzeshed {

namespace {

rpc::MemberStateMessage toMessage(MemberState state)
{
    switch (state) {
    case MemberState::Alive:
        return rpc::MemberStateMessage::ALIVE;
    case MemberState::Suspect:
        return rpc::MemberStateMessage::SUSPECT;
    case MemberState::Leaving:
        return rpc::MemberStateMessage::LEAVING;
    case MemberState::Dead:
        return rpc::MemberStateMessage::DEAD;
    }
    return rpc::MemberStateMessage::DEAD;
}

MemberState fromMessage(rpc::MemberStateMessage state)
{
    switch (state) {
    case rpc::MemberStateMessage::ALIVE:
        return MemberState::Alive;
    case rpc::MemberStateMessage::SUSPECT:
        return MemberState::Suspect;
    case rpc::MemberStateMessage::LEAVING:
        return MemberState::Leaving;
    case rpc::MemberStateMessage::DEAD:
        return MemberState::Dead;
    }
    // A newer peer may send a state that this version does not define. Treating the member as dead
    // sends no calls to it.
    return MemberState::Dead;
}

} // namespace

void writeEndpoint(rpc::EndpointMessage::Builder message, const Endpoint &endpoint)
{
    message.setHost(endpoint.host);
    message.setPort(endpoint.port);
}

Endpoint readEndpoint(rpc::EndpointMessage::Reader message)
{
    return {message.getHost().cStr(), message.getPort()};
}

void writeMember(rpc::MemberMessage::Builder message, const Member &member)
{
    message.setId(member.id.value());
    message.setIncarnation(member.incarnation.value());
    message.setRegion(member.region.value());
    message.setZone(member.zone.value());
    writeEndpoint(message.initCallerEndpoint(), member.callerEndpoint);
    writeEndpoint(message.initAgentEndpoint(), member.agentEndpoint);
    writeEndpoint(message.initLedgerEndpoint(), member.ledgerEndpoint);
    message.setState(toMessage(member.state));
    message.setCounter(member.counter);
    message.setConfigVersion(member.configVersion.value());
}

Member readMember(rpc::MemberMessage::Reader message)
{
    Member member;
    member.id = InstanceId(message.getId().cStr());
    member.incarnation = Incarnation(message.getIncarnation());
    member.region = RegionName(message.getRegion().cStr());
    member.zone = ZoneName(message.getZone().cStr());
    member.callerEndpoint = readEndpoint(message.getCallerEndpoint());
    member.agentEndpoint = readEndpoint(message.getAgentEndpoint());
    member.ledgerEndpoint = readEndpoint(message.getLedgerEndpoint());
    member.state = fromMessage(message.getState());
    member.counter = message.getCounter();
    member.configVersion = ConfigVersion(message.getConfigVersion());
    return member;
}

void writeVersionReport(rpc::VersionReportMessage::Builder message, const VersionReport &report)
{
    message.setMembersHash(report.membersHash);
    auto masks = message.initMasks(static_cast<unsigned>(report.masks.size()));
    for (unsigned i = 0; i < masks.size(); ++i) {
        masks[i].setVersion(report.masks[i].version.value());
        masks[i].setMembers(report.masks[i].members);
    }
}

VersionReport readVersionReport(rpc::VersionReportMessage::Reader message)
{
    VersionReport report;
    report.membersHash = message.getMembersHash();
    for (const auto mask : message.getMasks()) {
        report.masks.push_back({ConfigVersion(mask.getVersion()), mask.getMembers()});
    }
    return report;
}

void writeUpstream(rpc::UpstreamMessage::Builder message, const UpstreamInfo &upstream)
{
    message.setId(upstream.id.value());
    message.setService(upstream.service.value());
    message.setRegion(upstream.region.value());
    message.setZone(upstream.zone.value());
    writeEndpoint(message.initEndpoint(), upstream.endpoint);
    message.setLeaving(upstream.leaving);
}

UpstreamInfo readUpstream(rpc::UpstreamMessage::Reader message)
{
    UpstreamInfo upstream;
    upstream.id = UpstreamId(message.getId().cStr());
    upstream.service = ServiceName(message.getService().cStr());
    upstream.region = RegionName(message.getRegion().cStr());
    upstream.zone = ZoneName(message.getZone().cStr());
    upstream.endpoint = readEndpoint(message.getEndpoint());
    upstream.leaving = message.getLeaving();
    return upstream;
}

std::uint32_t ageToMessage(Duration age)
{
    // A state that was never confirmed has the maximum Duration as its age. Clamping keeps it the
    // oldest, whereas truncation could make it look fresh.
    constexpr std::int64_t Limit = std::numeric_limits<std::uint32_t>::max();
    const auto ms = std::chrono::duration_cast<std::chrono::milliseconds>(age).count();
    return static_cast<std::uint32_t>(std::clamp<std::int64_t>(ms, 0, Limit));
}

void writeDigest(rpc::Digest::Builder message, const PeerDigest &digest)
{
    message.setConfigVersion(digest.configVersion.value());
    message.setMembershipHash(digest.membershipHash);
    message.setDrainFlagsHash(digest.drainFlagsHash);
    if (!digest.sender.id.isEmpty()) {
        writeMember(message.initSender(), digest.sender);
    }
}

PeerDigest readDigest(rpc::Digest::Reader message)
{
    PeerDigest digest;
    digest.configVersion = ConfigVersion(message.getConfigVersion());
    digest.membershipHash = message.getMembershipHash();
    digest.drainFlagsHash = message.getDrainFlagsHash();
    if (message.hasSender()) {
        digest.sender = readMember(message.getSender());
    }
    return digest;
}

void writeControlState(rpc::ControlStateMessage::Builder message, const ControlState &state)
{
    message.setChanged(true);
    message.setSequence(state.sequence);
    message.setConfigVersion(state.configVersion.value());
    message.setDeclarationText(state.declarationText);
    message.setConfirmedAgeMs(ageToMessage(state.confirmedAge));
    auto upstreams = message.initUpstreams(static_cast<unsigned>(state.upstreams.size()));
    for (unsigned i = 0; i < upstreams.size(); ++i) {
        writeUpstream(upstreams[i], state.upstreams[i]);
    }
    auto members = message.initMembers(static_cast<unsigned>(state.members.size()));
    for (unsigned i = 0; i < members.size(); ++i) {
        writeMember(members[i], state.members[i]);
    }
}

ControlState readControlState(rpc::ControlStateMessage::Reader message)
{
    ControlState state;
    state.sequence = message.getSequence();
    state.configVersion = ConfigVersion(message.getConfigVersion());
    state.declarationText = message.getDeclarationText().cStr();
    state.confirmedAge = std::chrono::milliseconds(message.getConfirmedAgeMs());
    for (const auto upstream : message.getUpstreams()) {
        state.upstreams.push_back(readUpstream(upstream));
    }
    for (const auto member : message.getMembers()) {
        state.members.push_back(readMember(member));
    }
    return state;
}

} // namespace bronzeshed
