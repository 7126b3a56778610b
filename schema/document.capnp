@0xf1c8a92b6d3e5047;
# Sections of the configuration document. Each struct describes one kind of section; the field `name`
# is the word after the kind in the section header. Key names end with their unit.

using Cxx = import "/capnp/c++.capnp";
using Ini = import "ini.capnp";
$Cxx.namespace("eelgrassledge::wire");

enum Placement { in @0; out @1; }
enum Lane { ordinary @0; priority @1; }
enum Preference { time @0; coverage @1; }

struct ZoneSection {
  name @0 :Text $Ini.required $Ini.expects("name");
  state @1 :Placement = in;
}

struct InstanceSection {
  name @0 :Text $Ini.required $Ini.expects("name");
  state @1 :Placement = in;
}

struct CallerSection {
  name @0 :Text $Ini.required $Ini.expects("name");
  keySha256 @1 :Text $Ini.required $Ini.expects("sha256");
  lane @2 :Lane = ordinary;
  priorityRatePerS @3 :UInt32 = 5 $Ini.atLeast(1) $Ini.atMost(100000);
}

struct OperatorSection {
  name @0 :Text $Ini.required $Ini.expects("name");
  tokenSha256 @1 :Text $Ini.required $Ini.expects("sha256");
}

struct ServiceSection {
  name @0 :Text $Ini.required $Ini.expects("name");
  slots @1 :UInt32 = 2 $Ini.atLeast(1) $Ini.atMost(1024);
  connections @2 :UInt32 = 25 $Ini.atLeast(1) $Ini.atMost(10000);
  deadlineMs @3 :UInt32 = 150 $Ini.atLeast(1) $Ini.atMost(60000);
  maxDeadlineMs @4 :UInt32 = 5000 $Ini.atLeast(1) $Ini.atMost(600000);
  prefer @5 :Preference = time;
  hedgePercent @6 :UInt32 = 5 $Ini.atLeast(0) $Ini.atMost(50);
  prioritySlots @7 :UInt32 = 1 $Ini.atLeast(0) $Ini.atMost(1024);
  coldRatePerS @8 :UInt32 = 20 $Ini.atLeast(1) $Ini.atMost(100000);
  warmRatePerS @9 :UInt32 = 200 $Ini.atLeast(1) $Ini.atMost(1000000);
  queueLimit @10 :UInt32 = 200 $Ini.atLeast(1) $Ini.atMost(100000);
  canary @11 :Bool = true;
  warmUpRequests @12 :UInt32 = 200 $Ini.atLeast(1) $Ini.atMost(10000000);
}

struct UpstreamSection {
  name @0 :Text $Ini.required $Ini.expects("name");
  service @1 :Text $Ini.required $Ini.expects("name");
  zone @2 :Text $Ini.required $Ini.expects("name");
  address @3 :Text $Ini.required $Ini.expects("address");
}

struct Document {
  zones @0 :List(ZoneSection);
  instances @1 :List(InstanceSection);
  callers @2 :List(CallerSection);
  operators @3 :List(OperatorSection);
  services @4 :List(ServiceSection);
  upstreams @5 :List(UpstreamSection);
}
