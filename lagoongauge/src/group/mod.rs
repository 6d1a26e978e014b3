//! Groups of entry hosts that share the buckets of a set of services.

mod lease;

pub use self::lease::{Epoch, Lease, LeaseMessage};
