@0xb5f2c1d08a5e4a11;
# Messages of the peer protocol; see docs/DESIGN.md.

struct Hello {
  host @0 :UInt32;
}

# Messages of the routing, see "Lifecycle of a flow" and "Moving buckets". Lists of steps, records
# and counts are postcard bytes, which are a third of the size.
struct RouteMessage {
  union {
    beat @0 :Beat;
    grant @1 :Grant;
    probe @2 :UInt64;
    steps @3 :Steps;
    behind @4 :Stamp;
    fetch @5 :Fetch;
    part @6 :Part;
    settled @7 :Settled;
    gifts @8 :Gifts;
    taken @9 :Taken;
    pins @10 :Pins;
    pinned @11 :UInt32;
  }

  struct Stamp {
    planner @0 :UInt64;  # Epoch of the sending planner, where it counts.
    epoch @1 :UInt64;
    number @2 :UInt32;
  }

  struct Beat {
    epoch @0 :UInt64;
    prior @1 :UInt64;
    stamp @2 :Stamp;
    sent @3 :UInt64;
    life @4 :UInt32;
    leaving @5 :Bool;
    pending @6 :UInt32;
    counts @7 :Data;
  }

  struct Grant {
    epoch @0 :UInt64;
    sent @1 :UInt64;
    life @2 :UInt32;
  }

  struct Steps {
    epoch @0 :UInt64;
    after @1 :Stamp;
    steps @2 :Data;
  }

  struct Fetch {
    stamp @0 :Stamp;
    have @1 :UInt16;
  }

  struct Part {
    epoch @0 :UInt64;
    stamp @1 :Stamp;
    index @2 :UInt16;
    total @3 :UInt16;
    bytes @4 :Data;
  }

  struct Settled {
    stamp @0 :Stamp;
    service @1 :UInt32;
    buckets @2 :Data;
    stray @3 :Bool;
  }

  struct Gifts {
    view @0 :Stamp;
    number @1 :UInt32;
    service @2 :UInt32;
    bits @3 :UInt8;
    second @4 :UInt32;
    gifts @5 :Data;
  }

  struct Taken {
    view @0 :Stamp;
    number @1 :UInt32;
  }

  struct Pins {
    stamp @0 :Stamp;
    number @1 :UInt32;
    service @2 :UInt32;
    bits @3 :UInt8;
    records @4 :Data;
  }
}
