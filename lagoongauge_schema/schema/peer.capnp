@0xb5f2c1d08a5e4a11;
# Messages of the peer protocol; see docs/DESIGN.md.

struct Hello {
  host @0 :UInt32;
}
