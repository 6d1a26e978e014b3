//! Versions of the messages between hosts, and how two hosts agree on one.
//!
//! The host that opens a connection says which versions it speaks, and both use the highest that they
//! have in common. See docs/COMPATIBILITY.md.

mod incoming;
mod metrics;
mod peers;
mod range;

pub use self::incoming::{Extensible, Incoming};
pub(crate) use self::metrics::VersionMetrics;
pub use self::peers::{Incompatible, PeerVersions};
pub use self::range::{Version, VersionRange};
