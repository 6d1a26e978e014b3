@0xb5f2c1d08a5e4a11;
# Messages of the peer protocol; see docs/DESIGN.md.

struct Hello {
  host @0 :UInt32;
}

# Routing messages, see "Lifecycle of a flow" and "Moving buckets". Lists of steps, records and
# counts are postcard-encoded, which takes a third of the bytes.
struct RouteMessage {
  union {
    beat @0 :Beat;  # Heartbeat of a host to the planner.
    grant @1 :Grant;  # The planner renews a serving lease.
    probe @2 :UInt64;  # A planner of this epoch asks for a heartbeat.
    steps @3 :Steps;  # Steps of the plan to apply.
    behind @4 :Stamp;  # Offer of a plan to a host that is too far behind for steps.
    fetch @5 :Fetch;  # Request for the next chunks of a plan.
    part @6 :Part;  # Chunk of a plan.
    settled @7 :Settled;  # Report of a home on buckets to release or to hold.
    gifts @8 :Gifts;  # Transfer of buckets to their new home.
    taken @9 :Taken;  # Acknowledgement of `gifts`.
    pins @10 :Pins;  # Replication of records to a backup or home.
    pinned @11 :UInt32;  # Acknowledgement of `pins`, by message number.
  }

  struct Stamp {
    planner @0 :UInt64;  # Epoch of the sending planner, used in `behind` only.
    epoch @1 :UInt64;
    number @2 :UInt32;
  }

  struct Beat {
    epoch @0 :UInt64;  # Highest epoch that the host knows.
    prior @1 :UInt64;  # Highest epoch that it knew before `epoch`.
    stamp @2 :Stamp;  # The last step that the host has applied.
    sent @3 :UInt64;  # Sending time by the host's clock, at which the granted lease starts.
    life @4 :UInt32;  # Incarnation of the host.
    leaving @5 :Bool;
    pending @6 :UInt32;  # Number of buckets in transfer from or to the host.
    counts @7 :Data;  # Open flows by service and target index.
  }

  struct Grant {
    epoch @0 :UInt64;
    sent @1 :UInt64;  # Copied from the heartbeat, as is `life`.
    life @2 :UInt32;
  }

  struct Steps {
    epoch @0 :UInt64;
    after @1 :Stamp;
    steps @2 :Data;
  }

  struct Fetch {
    stamp @0 :Stamp;
    have @1 :UInt16;  # Number of chunks already received.
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
    stray @3 :Bool;  # Whether to hold the buckets; otherwise to release them.
  }

  struct Gifts {
    view @0 :Stamp;
    number @1 :UInt32;
    service @2 :UInt32;
    bits @3 :UInt8;  # Logarithm to base 2 of the number of buckets.
    second @4 :UInt32;  # Sender's clock, the reference for the records' ages.
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
    bits @3 :UInt8;  # Logarithm to base 2 of the number of buckets.
    records @4 :Data;
  }
}
