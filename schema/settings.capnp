@0xa05e7d3c19b84f62;
# Settings of one daemon, read from the section [daemon] of its INI file.

using Cxx = import "/capnp/c++.capnp";
using Ini = import "ini.capnp";
$Cxx.namespace("eelgrassledge::wire");

enum LogLevel { debug @0; info @1; warning @2; error @3; }

struct DaemonSettings {
  instance @0 :Text $Ini.required $Ini.expects("name");
  zone @1 :Text $Ini.required $Ini.expects("name");
  httpAddress @2 :Text $Ini.required $Ini.expects("address");
  peerAddress @3 :Text $Ini.required $Ini.expects("address");
  platformAddress @4 :Text $Ini.required $Ini.expects("address list");
  seedPeers @5 :Text = "" $Ini.expects("address list");
  logLevel @6 :LogLevel = info;
  entry @7 :Bool = true;
  broker @8 :Bool = true;
  maxBodyBytes @9 :UInt32 = 65536 $Ini.atLeast(256) $Ini.atMost(16777216);
  stopGraceMs @10 :UInt32 = 10000 $Ini.atLeast(100) $Ini.atMost(600000);
  leaseTtlS @11 :UInt32 = 3 $Ini.atLeast(2) $Ini.atMost(60);
  adminTokenSha256 @12 :Text = "" $Ini.expects("sha256 or empty");
  memoryMb @13 :UInt32 = 160 $Ini.atLeast(40) $Ini.atMost(1048576);
  maxFds @14 :UInt32 = 4100 $Ini.atLeast(300) $Ini.atMost(1048576);
}
