@0xd3a1f7a5c96b2e47;
# Messages of the target registry and the balancer; see docs/DESIGN.md.

# Address, port and protocol of a target.
struct Spot {
  high @0 :UInt64;  # Upper 64 bits of an IPv6 address; 0 for IPv4.
  low @1 :UInt64;  # Lower 64 bits of an IPv6 address, or the IPv4 address.
  port @2 :UInt16;
  four @3 :Bool;  # Whether the address is IPv4; otherwise IPv6.
  udp @4 :Bool;  # Whether the protocol is UDP; otherwise TCP.
}

# Decision of a home on the target at one endpoint.
struct Entry {
  spot @0 :Spot;
  target @1 :UInt64;
  service @2 :UInt32;
  member @3 :UInt16;
  centre @4 :UInt8;
  state @5 :UInt8;
  generation @6 :UInt64;
  slots @7 :UInt16;
  lease @8 :UInt32;  # In milliseconds.
  deadline @9 :UInt32;  # In milliseconds plus 1; 0 for none.
  # Stamp of the decision: epoch of the view, and number of decisions on the endpoint so far.
  epoch @10 :UInt64;
  count @11 :UInt32;
}

# Heartbeat between registries.
struct Beat {
  epoch @0 :UInt64;
  digest @1 :UInt64;
  decides @2 :Bool;  # Whether `digest` is set.
  synced @3 :Bool;  # Whether the sender has synchronized with the group since it started.
  part @4 :UInt8;  # Index of this part of a response with all entries.
  parts @5 :UInt8;  # Number of parts of the response; 0 in other heartbeats.
  entries @6 :List(Entry);
}

# An announcement, forwarded to its home by the host that received it.
struct Forward {
  spot @0 :Spot;
  service @1 :UInt32;
  state @2 :UInt8;
  generation @3 :UInt64;
  slots @4 :UInt16;
  connections @5 :UInt32;
  load @6 :UInt16;
  lease @7 :UInt32;  # In milliseconds.
  deadline @8 :UInt32;  # In milliseconds plus 1; 0 for none.
  centre @9 :UInt8;
}

# Refusal of an announcement by its home.
struct Decision {
  spot @0 :Spot;
  service @1 :UInt32;
  generation @2 :UInt64;
  kind @3 :UInt8;
  detail @4 :Text;
}

struct Gossip {
  union {
    beat @0 :Beat;
    ask @1 :Bool;  # Request for all entries, or for those that the receiver is home of.
    forward @2 :Forward;
    decision @3 :Decision;
  }
}

# Statistics that one host collected on one target since its last report; load is 0 if none was
# reported, otherwise the reported load plus 1.
struct Sight {
  target @0 :UInt64;
  opened @1 :UInt32;
  answered @2 :UInt32;
  reset @3 :UInt32;
  load @4 :UInt16;
}

# A message of the group's lease protocol; lagoongauge/src/group/lease.rs describes the kinds.
struct Lease {
  union {
    prepare @0 :UInt64;
    promise @1 :UInt64;
    refuse @2 :Ballots;
    propose @3 :Renewal;
    grant @4 :Renewal;
  }
}

struct Ballots {
  asked @0 :UInt64;
  highest @1 :UInt64;
}

struct Renewal {
  ballot @0 :UInt64;
  renewal @1 :UInt32;
}

struct Message {
  union {
    gossip @0 :Gossip;
    report @1 :List(Sight);
    lease @2 :Lease;
  }
}
