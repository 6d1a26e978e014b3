//! Packets as the fabric hands them over: parsed, rewritten in place and answered.
//!
//! A datagram of the fabric carries one plain IPv4 or IPv6 packet (GUE variant 1). Whatever can't
//! be carried is dropped with a [`DropReason`] that is counted; nothing here panics on any bytes. See
//! "Data path" in docs/DESIGN.md.

mod parse;
mod reason;
mod refuse;
mod rewrite;

pub use self::parse::Packet;
pub use self::reason::DropReason;
pub use self::refuse::refuse;
pub use self::rewrite::{Side, rewrite};
