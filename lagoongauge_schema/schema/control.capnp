@0xd7b4e3f2ac706c33;
# Messages of the control protocol; see docs/DESIGN.md.

struct Hello {
  host @0 :UInt32;
}
