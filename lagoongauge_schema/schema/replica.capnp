@0xc6a3d2e19b6f5b22;
# Messages of the replica protocol; see docs/DESIGN.md.

struct Hello {
  host @0 :UInt32;
}
