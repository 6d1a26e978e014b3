@0xd7b4e3f2ac706c33;
# Messages of the control protocol; see docs/DESIGN.md.

# An error; the kinds are listed in docs/ERRORS.md.
struct Fault {
  kind @0 :Text;
  detail @1 :Text;
  # Settings path that the error refers to, or empty.
  path @2 :Text;
  # Version of the settings when the error occurred, or 0.
  version @3 :UInt64;
  # Address of the leader, or empty.
  hint @4 :Text;
}

# Value of a key at a node.
struct Entry {
  path @0 :Text;
  key @1 :Text;
  value @2 :Text;
  # Path of the level that sets the value, or empty for the default.
  origin @3 :Text;
}

# One edit of a change.
struct Edit {
  path @0 :Text;
  key @1 :Text;
  union {
    set @2 :Text;
    unset @3 :Void;
    remove @4 :Void;
  }
}

# State of an entry host, from its last poll of a control host.
struct EntryView {
  host @0 :UInt32;
  centre @1 :UInt8;
  # The control host that it polls.
  control @2 :UInt32;
  # Version of the settings that the host has applied.
  version @3 :UInt64;
  # Milliseconds since the version was last confirmed as current.
  unconfirmed @4 :UInt64;
  # Milliseconds since the last poll.
  silent @5 :UInt64;
  # Report of the host, as JSON.
  report @6 :Text;
}

# State of a control host.
struct ControlView {
  host @0 :UInt32;
  centre @1 :UInt8;
  address @2 :Text;
  reachable @3 :Bool;
  leads @4 :Bool;
  # Whether it is the leader and holds its lease.
  current @5 :Bool;
  version @6 :UInt64;
  term @7 :UInt64;
  applied @8 :UInt64;
  # "voter", "learner" or "stranger" (not in the configuration of the replicated log).
  role @9 :Text;
}

# Listen address of a control host.
struct Address {
  host @0 :UInt32;
  centre @1 :UInt8;
  address @2 :Text;
}

# Calls of operators; every call is authenticated by the operator's token.
interface Operator {
  # Reads settings; waits up to `wait` milliseconds for a version later than `since`.
  # `current` tells whether a quorum confirmed that no later version was committed before the call.
  read @0 (token :Text, operation :Text, path :Text, since :UInt64, wait :UInt32)
    -> (fault :Fault, version :UInt64, current :Bool, entries :List(Entry));
  change @1 (token :Text, expect :UInt64, request :Text, edits :List(Edit))
    -> (fault :Fault, version :UInt64);
  status @2 (token :Text)
    -> (fault :Fault, version :UInt64, controls :List(ControlView), entries :List(EntryView));
  # Removes a control host from the voters and learners.
  retire @3 (token :Text, host :UInt32) -> (fault :Fault);
}

# Calls of other hosts, after authentication with the cluster key.
interface Control {
  # Long poll for settings later than `version`. The control host chooses how long it waits for them
  # and returns that time in `wait`, in milliseconds. A host without settings sends version 0 and an
  # empty digest. `controls` is empty if `book` is the digest of the current list.
  poll @0 (host :UInt32, centre :UInt8, version :UInt64, digest :Data, unconfirmed :UInt64,
           report :Text, book :UInt64)
    -> (fault :Fault, version :UInt64, current :Bool, update :Data, controls :List(Address),
        wait :UInt32);
  # Delivers a message of the replicated log; returns the messages sent to the caller in response.
  step @1 (message :Data) -> (messages :List(Data));
  # Returns the version of the settings that was current during the call; for the leader only.
  confirm @2 () -> (fault :Fault, version :UInt64);
  # Returns the state of this control host and of the entry hosts that poll it.
  view @3 () -> (control :ControlView, entries :List(EntryView));
}
