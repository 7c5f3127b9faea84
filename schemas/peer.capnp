@0xb5c7f0e2a94d6e31;

# Protocol between entries. See "Between entries" in docs/design.md.
#
# Regenerate from the repository's root:
#   capnp compile -orust:crates/banyannotch/src/peers --src-prefix=schemas schemas/peer.capnp

# The annotation of the capnpc-rust plug-in that places the generated module, declared here so that the schema needs no
# file of the plug-in.
annotation parentModule @0xabee386cd1450364 (file) :Text;
$parentModule("peers");

interface Peer {
  # Gives the other entry what this one knows and gets what the other one knows.
  exchange @0 (digest :Digest) -> (digest :Digest);
}

struct Digest {
  entry @0 :EndpointId;
  # Version of the configuration in force; 0 means none.
  version @1 :UInt64;
  # Offset of the log up to which the version is known to be in force.
  through @2 :UInt64;
  # Digest of the configuration's content.
  contentHigh @3 :UInt64;
  contentLow @4 :UInt64;
  # The whole configuration, if the receiver has a lower version.
  content @5 :Content;
  observations @6 :List(Observation);
  suspicions @7 :List(Suspicion);
  # Operators' port of the entry as IP:port; empty if it is not known under one address.
  operators @8 :Text;
}

struct EndpointId {
  instance @0 :Text;
  incarnation @1 :UInt64;
}

struct Content {
  document @0 :Text;
  preset @1 :PresetName;
  author @2 :Text;
}

enum PresetName {
  ordinary @0;
  peak @1;
  maintenance @2;
}

struct Observation {
  # Instance that made the observation.
  observer @0 :Text;
  endpoint @1 :EndpointId;
  state @2 :ObservedState;
  ageMs @3 :UInt64;
}

enum ObservedState {
  leaving @0;
  dead @1;
}

struct Suspicion {
  fingerprintHigh @0 :UInt64;
  fingerprintLow @1 :UInt64;
  endpoint @2 :EndpointId;
  ageMs @3 :UInt64;
}
