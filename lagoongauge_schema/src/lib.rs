//! Cap'n Proto messages of lagoongauge; the code is generated from `schema/` and committed.

/// Generated modules, one per schema file; see `scripts/regenerate`.
#[allow(missing_docs, clippy::all, unused_qualifications)]
pub mod generated {
    pub mod control_capnp;
    pub mod peer_capnp;
    pub mod replica_capnp;
    pub mod target_capnp;
}

pub use generated::{control_capnp, peer_capnp, replica_capnp, target_capnp};
