@0xc6a3d2e19b6f5b22;
# Messages between the replicas of the log on the control hosts; see "Replicated log" in docs/DESIGN.md.

struct Identity {
  host @0 :UInt32;
  incarnation @1 :UInt64;
}

struct Position {
  term @0 :UInt64;
  index @1 :UInt64;
}

struct Message {
  from @0 :Identity;
  to @1 :Identity;
  term @2 :UInt64;
  body :union {
    preVote @3 :Position;
    preVoteAnswer @4 :Bool;
    vote @5 :Position;
    voteAnswer @6 :Bool;
    append @7 :Append;
    appendAnswer @8 :AppendAnswer;
    chunk @9 :Chunk;
    chunkAnswer @10 :ChunkAnswer;
    join @11 :Void;
    leave @12 :Void;
    leaveAnswer @13 :Void;
  }
}

struct Append {
  previous @0 :Position;
  commit @1 :UInt64;
  # Time of sending on the leader's clock, in milliseconds.
  round @2 :UInt64;
  # Entries in postcard encoding, as they are stored.
  entries @3 :List(Data);
}

struct AppendAnswer {
  round @0 :UInt64;
  matched @1 :Bool;
  index @2 :UInt64;
}

struct Chunk {
  position @0 :Position;
  round @1 :UInt64;
  total @2 :UInt64;
  checksum @3 :UInt32;
  offset @4 :UInt64;
  data @5 :Data;
}

struct ChunkAnswer {
  round @0 :UInt64;
  position @1 :Position;
  offset @2 :UInt64;
}
