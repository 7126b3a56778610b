@0xc62d90fb18a7e354;
# Messages between daemons.

using Cxx = import "/capnp/c++.capnp";
$Cxx.namespace("eelgrassledge::wire");

struct Holding {
  snapshot @0 :UInt64;
  shard @1 :UInt32;
  shardCount @2 :UInt32;
}

struct Load {
  upstream @0 :Text;
  queued @1 :UInt32;
  running @2 :UInt32;
  slots @3 :UInt32;
  serviceTimeUs @4 :UInt32;
  admitting @5 :Bool;
  warm @6 :Bool;
  holdings @7 :List(Holding);
  queuedPriority @8 :UInt32;
  ratePerS @9 :Float64;
}

struct Hit {
  record @0 :Text;
  score @1 :Float64;
  body @2 :Text;
}

struct SubRequest {
  id @0 :UInt64;
  query @1 :UInt64;
  upstream @2 :Text;
  service @3 :Text;
  priority @4 :Bool;
  idempotent @5 :Bool;
  startUnixUs @6 :Int64;
  deadlineUnixUs @7 :Int64;
  fingerprint @8 :UInt64;
  snapshot @9 :UInt64;
  shard @10 :UInt32;
  slowAfterUs @11 :UInt32;
  canary @12 :Bool;
  request @13 :Text;
  text @14 :Text;
  limit @15 :UInt32;
  strikes @16 :UInt32;
  patient @17 :Bool;
}

struct SubAnswer {
  id @0 :UInt64;
  code @1 :UInt16;
  slow @2 :Bool;
  snapshot @3 :UInt64;
  shard @4 :UInt32;
  hits @5 :List(Hit);
  load @6 :Load;
  serviceTimeUs @7 :UInt32;
  strikes @8 :UInt32;
  earlierSendMayHaveRun @9 :Bool;
}

struct Member {
  instance @0 :Text;
  zone @1 :Text;
  httpAddress @2 :Text;
  peerAddress @3 :Text;
  broker @4 :Bool;
  leaving @5 :Bool;
  revision @6 :UInt64;
}

struct Owner {
  upstream @0 :Text;
  instance @1 :Text;
}

struct Assignment {
  zone @0 :Text;
  epoch @1 :UInt64;
  members @2 :List(Member);
  owners @3 :List(Owner);
  reporter @4 :Text;
  changeId @5 :Text;
}

struct Suspect {
  fingerprint @0 :UInt64;
  strikes @1 :UInt32;
  ageMs @2 :UInt32;
  withdrawals @3 :UInt32;
}

struct Configuration {
  revision @0 :UInt64;
  changeId @1 :Text;
  text @2 :Text;
  author @3 :Text;
}

struct Known {
  zone @0 :Text;
  epoch @1 :UInt64;
}

struct WarmUp {
  upstream @0 :Text;
  startId @1 :UInt64;
  completed @2 :UInt64;
  warm @3 :Bool;
}

struct SyncRequest {
  from @0 :Member;
  revision @1 :UInt64;
  epochs @2 :List(Known);
  suspects @3 :List(Suspect);
  warmUps @4 :List(WarmUp);
  wantGrant @5 :Bool;
  busy @6 :List(Text);
}

struct SyncReply {
  from @0 :Text;
  isReporter @1 :Bool;
  reporterPeerAddress @2 :Text;
  grantUs @3 :UInt32;
  configuration @4 :Configuration;
  assignments @5 :List(Assignment);
  suspects @6 :List(Suspect);
  inherited @7 :List(WarmUp);
  leavingUpstreams @8 :List(Text);
  unused9 @9 :Void;
  withheld @10 :List(Text);
  zoneEpoch @11 :UInt64;
}

interface AnswerSink {
  deliver @0 (answers :List(SubAnswer));
}

interface Session {
  run @0 (batch :List(SubRequest));
  cancel @1 (ids :List(UInt64));
  loads @2 () -> (loads :List(Load));
}

interface Peer {
  open @0 (sink :AnswerSink) -> (session :Session);
  sync @1 (request :SyncRequest) -> (reply :SyncReply);
}
