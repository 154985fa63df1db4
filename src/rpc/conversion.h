#ifndef BRONZESHED_RPC_CONVERSION_H
#define BRONZESHED_RPC_CONVERSION_H

#include "membership/controlstate.h"
#include "rpc/control.capnp.h"
#include "rpc/peerports.h"

namespace bronzeshed {

// Conversions between the plain types and their Cap'n Proto messages.
void writeEndpoint(rpc::EndpointMessage::Builder message, const Endpoint &endpoint);
Endpoint readEndpoint(rpc::EndpointMessage::Reader message);

void writeMember(rpc::MemberMessage::Builder message, const Member &member);
Member readMember(rpc::MemberMessage::Reader message);

void writeVersionReport(rpc::VersionReportMessage::Builder message, const VersionReport &report);
VersionReport readVersionReport(rpc::VersionReportMessage::Reader message);

void writeUpstream(rpc::UpstreamMessage::Builder message, const UpstreamInfo &upstream);
UpstreamInfo readUpstream(rpc::UpstreamMessage::Reader message);

/** Age in milliseconds, clamped to the range of the message field. */
std::uint32_t ageToMessage(Duration age);

void writeDigest(rpc::Digest::Builder message, const PeerDigest &digest);
PeerDigest readDigest(rpc::Digest::Reader message);

/** Writes an update into the parameters or results of a Peer call. */
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
    auto flags = message.initDrainFlags(static_cast<unsigned>(update.drainFlags.size()));
    unsigned next = 0;
    for (const auto &[upstream, flag] : update.drainFlags) {
        auto target = flags[next++];
        target.setUpstream(upstream.value());
        target.setCounter(flag.counter);
        target.setLeaving(flag.leaving);
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
    for (const auto flag : message.getDrainFlags()) {
        update.drainFlags[UpstreamId(flag.getUpstream().cStr())]
            = {flag.getCounter(), flag.getLeaving()};
    }
    update.record = message.getRecord().cStr();
    update.versions = readVersionReport(message.getVersions());
    return update;
}

/** Writes the complete state and sets its field `changed`. */
void writeControlState(rpc::ControlStateMessage::Builder message, const ControlState &state);
ControlState readControlState(rpc::ControlStateMessage::Reader message);

} // namespace bronzeshed

#endif
