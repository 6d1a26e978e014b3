//! Authenticated datagrams between hosts; see "Between hosts" in docs/DESIGN.md.
//!
//! Errors: `Malformed` for bytes that are no datagram of ours, `Unauthenticated` for a wrong proof,
//! `Replayed` for a datagram that was seen, or made for an earlier process of this host.

mod channel;
mod key;
mod window;

pub use self::channel::{Channel, FrameType, OVERHEAD_BYTES, Opened, Session};
pub use self::key::ClusterKey;
