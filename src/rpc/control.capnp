@0xd3a1f0c6b7e24591;

# Messages between the bronzeshed processes.

using Cxx = import "/capnp/c++.capnp";
$Cxx.namespace("bronzeshed::rpc");

struct EndpointMessage {
  host @0 :Text;
  port @1 :UInt16;
}

struct UpstreamMessage {
  id @0 :Text;
  service @1 :Text;
  region @2 :Text;
  zone @3 :Text;
  endpoint @4 :EndpointMessage;
  leaving @5 :Bool;
}

enum MemberStateMessage {
  alive @0;
  suspect @1;
  leaving @2;
  dead @3;
}

struct MemberMessage {
  id @0 :Text;
  incarnation @1 :UInt64;
  region @2 :Text;
  zone @3 :Text;
  callerEndpoint @4 :EndpointMessage;
  agentEndpoint @5 :EndpointMessage;
  ledgerEndpoint @6 :EndpointMessage;
  state @7 :MemberStateMessage;
  counter @8 :UInt64;
  configVersion @9 :UInt64;
}

# The explicit id is that of the struct's former name, so that the type id stays the same.
struct VersionMaskMessage @0x9553e547874b5764 {
  version @0 :UInt64;
  members @1 :UInt64;  # bit mask over 64 members that are not dead, in the order of their ids
}

# The active configuration versions of the members. A receiver can read it only if its own table has
# the same members. Each version has as many masks as are needed to cover all members.
struct VersionReportMessage {
  membersHash @0 :UInt64;  # hash of the members without their versions
  masks @1 :List(VersionMaskMessage);
}

# The explicit id is that of the struct's former name, so that the type id stays the same.
struct DrainFlagMessage @0x8b448188bd0885e9 {
  upstream @0 :Text;
  counter @1 :UInt64;
  leaving @2 :Bool;
}

# The control state that an agent sends to its entry.
struct ControlStateMessage {
  sequence @0 :UInt64;
  configVersion @1 :UInt64;
  declarationText @2 :Text;
  upstreams @3 :List(UpstreamMessage);
  members @4 :List(MemberMessage);
  confirmedAgeMs @5 :UInt32;
  # False if the state still has the sequence number lastSequence of the call. Only confirmedAgeMs
  # is set then.
  changed @6 :Bool;
}

# The status that an entry reports to its agent.
struct EntryReport {
  incarnation @0 :UInt64;
  callerEndpoint @1 :EndpointMessage;
  ledgerEndpoint @2 :EndpointMessage;
  leaving @3 :Bool;
  activeConfigVersion @4 :UInt64;
}

# Served by an agent to the entry of the same instance.
interface Agent {
  watchState @0 (lastSequence :UInt64, report :EntryReport) -> (state :ControlStateMessage);
}

struct Digest {
  configVersion @0 :UInt64;
  membershipHash @1 :UInt64;
  drainFlagsHash @2 :UInt64;
  sender @3 :MemberMessage;
}

# Served by an agent to other agents. `record` is a configuration record as JSON. It is empty if the
# receiver already has that version. The digest of a sync describes the caller; its sender is empty.
interface Peer {
  exchange @0 (digest :Digest) -> (digest :Digest);
  sync @1 (members :List(MemberMessage), drainFlags :List(DrainFlagMessage), record :Text,
           digest :Digest, versions :VersionReportMessage)
      -> (members :List(MemberMessage), drainFlags :List(DrainFlagMessage), record :Text,
          versions :VersionReportMessage);
  push @2 (record :Text, members :List(MemberMessage), drainFlags :List(DrainFlagMessage),
           versions :VersionReportMessage) -> ();
}

# All interfaces of an agent, which serves them on one port.
interface Control extends(Agent, Peer) {
}

enum ResolutionKind {
  fenced @0;      # no request with this id was received, and none will be run
  inProgress @1;  # the request is running
  completed @2;   # the response is attached
  expired @3;     # the request may have run; its record or response was dropped
  invalid @4;     # the id belongs to another request
}

struct HeaderMessage {
  name @0 :Text;
  value @1 :Text;
}

struct Resolution {
  kind @0 :ResolutionKind;
  outcome @1 :Text;
  reason @2 :Text;
  status @3 :UInt16;
  headers @4 :List(HeaderMessage);
  body @5 :Data;
}

# Served by an entry to other entries.
interface Ledger {
  resolve @0 (id :Text, digest :UInt64) -> (resolution :Resolution);
}
