@0xd7b4e3f2ac706c33;
# Messages of the control protocol; see docs/DESIGN.md.

# An error with its kind as in docs/ERRORS.md.
struct Fault {
  kind @0 :Text;
  detail @1 :Text;
  # Path of the settings that the error speaks of, or empty.
  path @2 :Text;
  # Version of the settings when the error was found, or 0.
  version @3 :UInt64;
  # Address of the control host that leads, or empty.
  hint @4 :Text;
}

# One value of the settings.
struct Entry {
  path @0 :Text;
  key @1 :Text;
  value @2 :Text;
  # Path of the level that sets the value, or empty where the default holds.
  origin @3 :Text;
}

# One step of a change.
struct Edit {
  path @0 :Text;
  key @1 :Text;
  union {
    set @2 :Text;
    unset @3 :Void;
    remove @4 :Void;
  }
}

# An entry host as a control host last heard from it.
struct EntryView {
  host @0 :UInt32;
  centre @1 :UInt8;
  # The control host that it asks.
  control @2 :UInt32;
  # Version of the settings in force there.
  version @3 :UInt64;
  # Milliseconds for which the version has not been confirmed as current.
  unconfirmed @4 :UInt64;
  # Milliseconds since it was heard from.
  silent @5 :UInt64;
  # What the host reports, as JSON.
  report @6 :Text;
}

# A control host.
struct ControlView {
  host @0 :UInt32;
  centre @1 :UInt8;
  address @2 :Text;
  reachable @3 :Bool;
  leads @4 :Bool;
  # Whether it leads and its lease holds.
  current @5 :Bool;
  version @6 :UInt64;
  term @7 :UInt64;
  applied @8 :UInt64;
  # Voter, learner or stranger.
  role @9 :Text;
}

# Where a control host listens.
struct Address {
  host @0 :UInt32;
  centre @1 :UInt8;
  address @2 :Text;
}

# What operators call; every call proves itself by the operator's token.
interface Operator {
  # Reads settings; waits up to `wait` milliseconds for a version later than `since`.
  read @0 (token :Text, operation :Text, path :Text, since :UInt64, wait :UInt32)
    -> (fault :Fault, version :UInt64, current :Bool, entries :List(Entry));
  change @1 (token :Text, expect :UInt64, request :Text, edits :List(Edit))
    -> (fault :Fault, version :UInt64);
  status @2 (token :Text)
    -> (fault :Fault, version :UInt64, controls :List(ControlView), entries :List(EntryView));
  # Removes a control host from the voters and learners.
  retire @3 (token :Text, host :UInt32) -> (fault :Fault);
}

# What hosts call on a control host after they have proved to hold the cluster key.
interface Control {
  # Tells which version is in force and asks for a later one; waits for it as long as the control
  # host sees fit, which the answer tells in `wait`, in milliseconds. A host without settings sends version 0 and an empty digest.
  # `controls` is empty where `book` is the digest of the caller's list.
  poll @0 (host :UInt32, centre :UInt8, version :UInt64, digest :Data, unconfirmed :UInt64,
           report :Text, book :UInt64)
    -> (fault :Fault, version :UInt64, current :Bool, update :Data, controls :List(Address),
        wait :UInt32);
  # Brings a message of the replicated log, and takes back what it made the host say to the caller.
  step @1 (message :Data) -> (messages :List(Data));
  # Asks the leader for the version of the settings that was current during the call.
  confirm @2 () -> (fault :Fault, version :UInt64);
  # Asks for what this control host knows at first hand.
  view @3 () -> (control :ControlView, entries :List(EntryView));
}
