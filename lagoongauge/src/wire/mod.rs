//! Authenticated datagrams between hosts; see "Between hosts" in docs/DESIGN.md.
//!
//! Errors: `Malformed` for bytes that don't decode, `Unauthenticated` for a wrong authentication
//! tag, `Replayed` for a datagram that was received before or sent by an earlier process of its
//! sender, `Oversized` for a datagram of a new peer beyond the limit on peers, `InvalidValue` for a
//! cluster key that does not parse.

mod channel;
mod key;
mod window;

pub use self::channel::{Channel, FrameType, OVERHEAD_BYTES, Opened, Session};
pub use self::key::ClusterKey;
