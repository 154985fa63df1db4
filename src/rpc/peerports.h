#ifndef BRONZESHED_RPC_PEERPORTS_H
#define BRONZESHED_RPC_PEERPORTS_H

#include "config/configrecord.h"
#include "membership/controlstate.h"
#include "membership/versionreport.h"

#include <string>
#include <vector>

namespace bronzeshed {

/** Summary of the control state of an agent, which two agents compare. */
struct PeerDigest
{
    ConfigVersion configVersion;
    std::uint64_t membershipHash = 0;
    std::uint64_t drainFlagsHash = 0;
    Member sender; ///< its id is empty if the sender has no entry yet
};

/** Control state that one agent sends to another. */
struct PeerUpdate
{
    std::vector<Member> members;
    DrainFlags drainFlags;
    std::string record; ///< configuration record as JSON; empty if not sent
    VersionReport versions; ///< empty if not sent

    bool isEmpty() const
    {
        return this->members.empty() && this->drainFlags.empty() && this->record.empty()
            && this->versions.masks.empty();
    }
};

/** Port that handles the calls of other agents. Thread-safe. */
class PeerHandler
{
public:
    virtual ~PeerHandler() = default;
    /** Processes the caller's digest and returns the digest of this agent. */
    virtual PeerDigest exchange(const PeerDigest &digest) = 0;
    /**
     * Merges the caller's update.
     * @param digest of the caller
     * @return the state that the caller lacks
     */
    virtual PeerUpdate sync(const PeerUpdate &update, const PeerDigest &digest) = 0;
    /** Merges an update and forwards the parts that changed the state of this agent. */
    virtual void push(const PeerUpdate &update) = 0;
};

/** Port that provides the peer client with peers and updates. Called on the client's thread. */
class GossipSource
{
public:
    virtual ~GossipSource() = default;
    /** Peers to call in this round. */
    virtual std::vector<Endpoint> exchangeTargets() = 0;
    /** Peers to push the pending updates to. */
    virtual std::vector<Endpoint> pushTargets() = 0;
    /** Removes and returns the pending updates; empty if there are none. */
    virtual PeerUpdate takeUpdates() = 0;
    virtual PeerDigest digest() = 0;
    /**
     * Merges the sender's member from the digest of a peer.
     * @return whether the two agents must sync
     */
    virtual bool needsSync(const PeerDigest &peerDigest) = 0;
    /** Returns the state that the sender of @p peerDigest lacks. */
    virtual PeerUpdate updateFor(const PeerDigest &peerDigest) = 0;
    virtual void merge(const PeerUpdate &update) = 0;
    /** The peer answered all calls of an exchange that began at @p sentAt. */
    virtual void peerAnswered(const Endpoint &peer, TimePoint sentAt) = 0;
    virtual void peerFailed(const Endpoint &peer) = 0;
};

} // namespace bronzeshed

#endif
