@0xd3a1f7a5c96b2e47;
# Messages of the target registry and the balancer; see docs/DESIGN.md.

struct Spot {
  high @0 :UInt64;
  low @1 :UInt64;
  port @2 :UInt16;
  four @3 :Bool;
  udp @4 :Bool;
}

struct Entry {
  spot @0 :Spot;
  target @1 :UInt64;
  service @2 :UInt32;
  member @3 :UInt16;
  centre @4 :UInt8;
  state @5 :UInt8;
  generation @6 :UInt64;
  slots @7 :UInt16;
  lease @8 :UInt32;
  deadline @9 :UInt32;
  epoch @10 :UInt64;
  count @11 :UInt32;
}

struct Beat {
  epoch @0 :UInt64;
  digest @1 :UInt64;
  decides @2 :Bool;
  synced @3 :Bool;
  part @4 :UInt8;
  parts @5 :UInt8;
  entries @6 :List(Entry);
}

struct Forward {
  spot @0 :Spot;
  service @1 :UInt32;
  state @2 :UInt8;
  generation @3 :UInt64;
  slots @4 :UInt16;
  connections @5 :UInt32;
  load @6 :UInt16;
  lease @7 :UInt32;
  deadline @8 :UInt32;
  centre @9 :UInt8;
}

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
    ask @1 :Bool;
    forward @2 :Forward;
    decision @3 :Decision;
  }
}

# What one host observed of one target since its last report; load is 0 if none was reported,
# otherwise the reported load plus 1.
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
