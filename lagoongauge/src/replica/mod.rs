//! The replicated log: every control host applies the same commands in the same order.
//!
//! [`Core`] decides, without clock, disk or network; a driver hands it messages, ticks and
//! proposals, and carries out its [`Action`]s. See "Replicated log" in docs/DESIGN.md.
//!
//! Errors: `NotLeader`, `NoQuorum`, `NotCurrent`, `Oversized`, `InvalidValue` and `Unknown` from
//! the core, `Malformed` and `Oversized` from the codec, `StorageCorrupt` from recovery.

mod apply;
mod codec;
mod configuration;
mod core;
mod election;
mod entry;
mod follower;
mod leader;
mod log;
mod membership;
mod message;
mod outbox;
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
pub use self::status::Status;
pub use self::store::{MemoryStore, Record, Recovered, Store};

use crate::error::Result;

/// What the log's commands change; the same commands give the same state and answers everywhere.
pub trait StateMachine {
    /// Applies a command and returns its answer, which may be an encoded refusal.
    fn apply(&mut self, index: u64, command: &[u8]) -> Vec<u8>;

    /// Encodes the whole state.
    fn snapshot(&self) -> Vec<u8>;

    /// Replaces the state by an encoded one; fails with `StorageCorrupt` if it can't be read.
    fn restore(&mut self, state: &[u8]) -> Result<()>;
}
