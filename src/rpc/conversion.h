#ifndef BRONZESHED_RPC_CONVERSION_H
#define BRONZESHED_RPC_CONVERSION_H

#include "membership/controlstate.h"
#include "rpc/control.capnp.h"
#include "rpc/peerports.h"

namespace bronzeshed {

/** Conversions between the plain types and their Cap'n Proto messages. */
void writeEndpoint(rpc::EndpointMessage::Builder message, const Endpoint &endpoint);
Endpoint readEndpoint(rpc::EndpointMessage::Reader message);

void writeMember(rpc::MemberMessage::Builder message, const Member &member);
Member readMember(rpc::MemberMessage::Reader message);

void writeVersionReport(rpc::VersionReportMessage::Builder message, const VersionReport &report);
VersionReport readVersionReport(rpc::VersionReportMessage::Reader message);

void writeUpstream(rpc::UpstreamMessage::Builder message, const UpstreamInfo &upstream);
UpstreamInfo readUpstream(rpc::UpstreamMessage::Reader message);

/** Age in milliseconds, cut to what the message can hold. */
std::uint32_t ageToMessage(Duration age);

void writeDigest(rpc::Digest::Builder message, const PeerDigest &digest);
PeerDigest readDigest(rpc::Digest::Reader message);

/** Writes the members, leave marks and record of parameters or results of Peer calls. */
template<typename Builder>
void writeUpdate(Builder message, const PeerUpdate &update)
{
    auto members = message.initMembers(static_cast<unsigned>(update.members.size()));
    for (unsigned i = 0; i < members.size(); ++i) {
        writeMember(members[i], update.members[i]);
    }
    if (!update.versions.masks.empty()) {
        writeVersionReport(message.initVersions(), update.versions);
    }
    auto marks = message.initLeaveMarks(static_cast<unsigned>(update.leaveMarks.size()));
    unsigned next = 0;
    for (const auto &[upstream, mark] : update.leaveMarks) {
        auto target = marks[next++];
        target.setUpstream(upstream.value());
        target.setCounter(mark.counter);
        target.setLeaving(mark.leaving);
    }
    message.setRecord(update.record);
}

template<typename Reader>
PeerUpdate readUpdate(Reader message)
{
    PeerUpdate update;
    for (const auto member : message.getMembers()) {
        update.members.push_back(readMember(member));
    }
    for (const auto mark : message.getLeaveMarks()) {
        update.leaveMarks[UpstreamId(mark.getUpstream().cStr())]
            = {mark.getCounter(), mark.getLeaving()};
    }
    update.record = message.getRecord().cStr();
    update.versions = readVersionReport(message.getVersions());
    return update;
}

/** Writes the whole state. */
void writeControlState(rpc::ControlStateMessage::Builder message, const ControlState &state);
ControlState readControlState(rpc::ControlStateMessage::Reader message);

} // namespace bronzeshed

#endif
