@0xc2f1d6a7e3b94855;

# Changes to the platform's store that one instance forwards to others.

using Cxx = import "/capnp/c++.capnp";
$Cxx.namespace("eelgrassledge::wire");

struct FeedChange {
  key @0 :Text;
  value @1 :Data;
  removed @2 :Bool;
  # Revision of the store at which the key changed.
  revision @3 :Int64;
}

# A crash of an upstream while it was running a request. The numeric identifiers are hashes that every instance
# computes in the same way.
struct Strike {
  fingerprint @0 :UInt64;
  attempt @1 :UInt64;
  upstream @2 :UInt64;
  service @3 :Text;
  atUnixMs @4 :Int64;
  # Whether another upstream of the service has since answered the request successfully.
  withdrawn @5 :Bool;
}

struct StrikeList {
  strikes @0 :List(Strike);
}

struct FeedAnswer {
  # Revision of the store up to which the changes are included.
  revision @0 :Int64;
  # Milliseconds since the sender last knew that it had received every change.
  ageMs @1 :UInt32;
  changes @2 :List(FeedChange);
  # Whether `changes` lists every existing key, so that any key not listed has been removed.
  isListing @3 :Bool;
  # Whether the store was recently unavailable to the sender, so that entries may have expired during the outage.
  inTrouble @4 :Bool;
  # Strikes that may not be present in the store yet.
  strikes @5 :List(Strike);
  # How often the store was restored from a copy before `revision`; 0 if the store does not state it.
  era @6 :Int64;
}
