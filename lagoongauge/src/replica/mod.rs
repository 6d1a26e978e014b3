//! The replicated log: every control host applies the same commands in the same order.
//!
//! [`Core`] implements Raft without I/O: a driver passes it messages, ticks and proposals, and
//! executes the [`Action`]s that it returns. See "Replicated log" in docs/DESIGN.md.
//!
//! Errors: `NotLeader`, `NoQuorum`, `NotCurrent`, `Oversized`, `InvalidValue` and
//! `UnknownOutcome` from the core, `Malformed` and `Oversized` from the codec, `StorageCorrupt`
//! from recovery.

mod apply;
mod codec;
mod configuration;
mod core;
mod departure;
mod election;
mod entry;
mod follower;
mod leader;
mod log;
mod lost_disk;
mod membership;
mod message;
mod outbox;
mod quorum;
mod setup;
mod snapshot;
mod status;
pub mod store;
mod transfer;

pub use self::configuration::{Change, Configuration, Identity, MAX_VOTERS};
pub use self::core::Core;
pub use self::entry::{Entry, Payload, Position};
pub use self::message::{Body, Chunk, Message};
pub use self::outbox::{Action, BatchId, ProposalId};
pub use self::setup::{Limits, Setup, Timing};
pub use self::snapshot::Snapshot;
pub use self::status::{Status, VoterHealth};
pub use self::store::{MemoryStore, Record, Recovered, Store};

use crate::error::Result;

/// The state machine that committed commands are applied to; it has to be deterministic.
pub trait StateMachine {
    /// Applies a command and returns its answer, which may be an encoded error.
    fn apply(&mut self, index: u64, command: &[u8]) -> Vec<u8>;

    /// Encodes the whole state.
    fn snapshot(&self) -> Vec<u8>;

    /// Replaces the state with an encoded one; fails with `StorageCorrupt` if it does not decode.
    fn restore(&mut self, state: &[u8]) -> Result<()>;
}
