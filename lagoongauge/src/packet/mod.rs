//! Parsing, in-place rewriting and refusal of packets from the fabric.
//!
//! A datagram of the fabric carries one plain IPv4 or IPv6 packet (GUE variant 1). Packets that
//! can't be forwarded are dropped with a counted [`DropReason`]; no input causes a panic. See
//! "Data path" in docs/DESIGN.md.

mod parse;
mod reason;
mod refuse;
mod rewrite;

pub use self::parse::Packet;
pub use self::reason::DropReason;
pub use self::refuse::refuse;
pub use self::rewrite::{Side, rewrite};
