@0xb7a4c1d85e2f9036;
# Annotations shared by every schema whose structs are read from INI sections.

using Cxx = import "/capnp/c++.capnp";
$Cxx.namespace("eelgrassledge::wire");

annotation atLeast @0x9c41e07ab35d8e12 (field) :Int64;
# Smallest number that the key accepts.

annotation atMost @0xd8f2a6314c907be5 (field) :Int64;
# Largest number that the key accepts.

annotation required @0xe35b19c2f7a84d60 (field) :Void;
# The key has no default and must be present.

annotation expects @0x8a17f4d92c6e0b53 (field) :Text;
# Expected format of a text key, used in error messages: address, sha256, name.
