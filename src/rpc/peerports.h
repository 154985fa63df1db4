#ifndef BRONZESHED_RPC_PEERPORTS_H
#define BRONZESHED_RPC_PEERPORTS_H

#include "config/configrecord.h"
#include "membership/controlstate.h"
#include "membership/versionreport.h"

#include <string>
#include <vector>

namespace bronzeshed {

/** Summary that two agents compare. */
struct PeerDigest
{
    ConfigVersion configVersion;
    std::uint64_t membershipHash = 0;
    std::uint64_t leaveMarksHash = 0;
    Member sender; ///< without an id if the sender has no entry yet
};

/** What one agent sends another. */
struct PeerUpdate
{
    std::vector<Member> members;
    DrainFlags leaveMarks;
    std::string record; ///< JSON of the configuration record; empty if not sent
    VersionReport versions; ///< without words if not sent

    bool isEmpty() const
    {
        return this->members.empty() && this->leaveMarks.empty() && this->record.empty()
            && this->versions.masks.empty();
    }
};

/** Port through which the peer server hands over calls. Thread-safe. */
class PeerHandler
{
public:
    virtual ~PeerHandler() = default;
    /** Takes the caller's digest and returns the own one. */
    virtual PeerDigest exchange(const PeerDigest &digest) = 0;
    /** Merges the caller's update and returns what the caller lacks; @p digest is the caller's. */
    virtual PeerUpdate sync(const PeerUpdate &update, const PeerDigest &digest) = 0;
    /** Merges news and passes on what was new here. */
    virtual void push(const PeerUpdate &update) = 0;
};

/** Port that tells the peer client what to send. Called on the client's thread. */
class GossipSource
{
public:
    virtual ~GossipSource() = default;
    /** Peers to call in this round. */
    virtual std::vector<Endpoint> exchangeTargets() = 0;
    /** Peers for the pending news. */
    virtual std::vector<Endpoint> pushTargets() = 0;
    /** Takes the pending news; empty if there is none. */
    virtual PeerUpdate takeNews() = 0;
    virtual PeerDigest digest() = 0;
    /** Takes over the peer's own member from its digest and says whether the two must sync. */
    virtual bool differs(const PeerDigest &theirs) = 0;
    /** What the sender of @p theirs lacks. */
    virtual PeerUpdate updateFor(const PeerDigest &theirs) = 0;
    virtual void merge(const PeerUpdate &update) = 0;
    /** The peer answered all calls of a round that began at @p sentAt. */
    virtual void peerAnswered(const Endpoint &peer, TimePoint sentAt) = 0;
    virtual void peerFailed(const Endpoint &peer) = 0;
};

} // namespace bronzeshed

#endif
