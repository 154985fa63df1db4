@0xd3a1f0c6b7e24591;

# Messages between bronzeshed's own processes.

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

struct VersionWordMessage {
  version @0 :UInt64;
  members @1 :UInt64;  # bit mask of 64 of the members that are not dead, in the order of their ids
}

# The versions in force where both sides know the same members. For each version there are as many
# words as it takes to cover all members.
struct VersionReportMessage {
  membersHash @0 :UInt64;  # of the members without their versions
  words @1 :List(VersionWordMessage);
}

struct LeaveMarkMessage {
  upstream @0 :Text;
  counter @1 :UInt64;
  leaving @2 :Bool;
}

# The control state that an agent gives to its entry.
struct ControlStateMessage {
  sequence @0 :UInt64;
  configVersion @1 :UInt64;
  declarationText @2 :Text;
  upstreams @3 :List(UpstreamMessage);
  members @4 :List(MemberMessage);
  confirmedAgeMs @5 :UInt32;
  # False if only confirmedAgeMs differs from the state with knownSequence; the rest is then empty.
  changed @6 :Bool;
}

# What an entry tells its agent about itself.
struct EntryReport {
  incarnation @0 :UInt64;
  callerEndpoint @1 :EndpointMessage;
  ledgerEndpoint @2 :EndpointMessage;
  leaving @3 :Bool;
  configVersionInForce @4 :UInt64;
}

# Served by an agent to the entry of the same instance.
interface Agent {
  watchState @0 (knownSequence :UInt64, report :EntryReport) -> (state :ControlStateMessage);
}

struct Digest {
  configVersion @0 :UInt64;
  membershipHash @1 :UInt64;
  leaveMarksHash @2 :UInt64;
  sender @3 :MemberMessage;
}

# Served by an agent to other agents. A record is the JSON of a configuration record; it is empty
# where the receiver has that version already. The digest of a sync is the caller's; its sender is
# left empty.
interface Peer {
  exchange @0 (digest :Digest) -> (digest :Digest);
  sync @1 (members :List(MemberMessage), leaveMarks :List(LeaveMarkMessage), record :Text,
           digest :Digest, versions :VersionReportMessage)
      -> (members :List(MemberMessage), leaveMarks :List(LeaveMarkMessage), record :Text,
          versions :VersionReportMessage);
  push @2 (record :Text, members :List(MemberMessage), leaveMarks :List(LeaveMarkMessage),
           versions :VersionReportMessage) -> ();
}

# What an agent serves on its one port.
interface Control extends(Agent, Peer) {
}

enum ResolutionKind {
  fenced @0;      # the id was never seen and will never run
  inProgress @1;  # the request is running
  completed @2;   # the response is attached
  expired @3;     # the request may have run; its record or response is gone
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
