//! Target registry: announcements, their authorization, and the service that holds each address.
//!
//! Announcements are refused with `NotFound`, `Unauthenticated`, `Forbidden`, `InvalidValue`,
//! `AddressTaken`, `Quarantined`, `StaleGeneration`, `QuotaExceeded` or `NotCurrent`; see
//! "Target registry" in docs/DESIGN.md.

mod announce;
mod decide;
mod entry;
mod gossip;
mod registry;
mod sync;
pub mod token;

pub use announce::{Announcement, MAX_LEASE, RawAnnouncement, State};
pub use entry::{Endpoint, Entry, Stamp};
pub use gossip::{ForwardedAnnouncement, Gossip, Heartbeat, Part, Refusal};
pub use registry::{Event, Outcome, OutgoingMessage, QUARANTINE, Registry, Setup};
