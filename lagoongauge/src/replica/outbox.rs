//! Queue of actions for the driver; actions that depend on a write are held until it is synced.

use std::collections::VecDeque;

use super::configuration::Identity;
use super::message::Message;
use super::store::Record;
use crate::error::Error;

/// Number of a batch of records; batches are synced in ascending order.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct BatchId(pub u64);

/// Identifies a proposal from its acceptance by the leader to its answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct ProposalId {
    /// Term of the leader.
    pub term: u64,
    /// Index of the entry.
    pub index: u64,
}

/// A task for the driver.
#[derive(Debug, Clone, PartialEq)]
pub enum Action {
    /// Write and sync the records, then call [`super::Core::handle_persisted`] with the batch.
    Persist {
        /// Number of the batch.
        batch: BatchId,
        /// The records in the order in which they are stored.
        records: Vec<Record>,
    },
    /// Send a message; everything that it depends on is synced.
    Send(Message),
    /// A proposal was committed and applied.
    Applied {
        /// The proposal.
        id: ProposalId,
        /// Answer of the state machine.
        answer: Vec<u8>,
    },
    /// A proposal was rejected, or its outcome is unknown.
    Rejected {
        /// The proposal.
        id: ProposalId,
        /// The reason; `UnknownOutcome` if the entry may still be committed.
        error: Error,
    },
    /// A host asks this leader to be added to the configuration.
    JoinRequested(Identity),
}

/// Staged records, and actions that are ready or held.
#[derive(Debug, Default)]
pub(super) struct Outbox {
    staged: Vec<Record>,
    /// Batches that the driver has not synced yet, each with the last log index at its issue.
    unsynced: VecDeque<(BatchId, u64)>,
    issued: BatchId,
    durable: BatchId,
    ready: Vec<Action>,
    held: VecDeque<(BatchId, Action)>,
}

impl Outbox {
    /// Returns the batch that has to be durable before the current state may be sent to others.
    pub(super) fn pending_batch(&self) -> BatchId {
        if self.staged.is_empty() { self.issued } else { BatchId(self.issued.0 + 1) }
    }

    /// Returns the last batch that is synced.
    pub(super) fn durable(&self) -> BatchId {
        self.durable
    }

    /// Returns whether all records are synced.
    pub(super) fn is_synced(&self) -> bool {
        self.pending_batch() == self.durable
    }

    /// Adds a record to the next batch.
    pub(super) fn stage(&mut self, record: Record) {
        self.staged.push(record);
    }

    /// Adds a message, which is held until all earlier records are synced.
    pub(super) fn send(&mut self, message: Message) {
        let batch = self.pending_batch();
        let action = Action::Send(message);
        if batch <= self.durable {
            self.ready.push(action);
        } else {
            self.held.push_back((batch, action));
        }
    }

    /// Adds an action that depends on no write of this host.
    pub(super) fn push(&mut self, action: Action) {
        self.ready.push(action);
    }

    /// Takes the actions that are ready; `last` is the last log index including staged records.
    pub(super) fn take(&mut self, last: u64) -> Vec<Action> {
        let mut actions = Vec::new();
        if !self.staged.is_empty() {
            self.issued = self.pending_batch();
            self.unsynced.push_back((self.issued, last));
            let records = std::mem::take(&mut self.staged);
            actions.push(Action::Persist { batch: self.issued, records });
        }
        actions.append(&mut self.ready);
        actions
    }

    /// Records that all batches up to `batch` are synced; returns the last durable index if known.
    pub(super) fn handle_persisted(&mut self, batch: BatchId) -> Option<u64> {
        let batch = batch.min(self.issued);
        if batch <= self.durable {
            return None;
        }
        self.durable = batch;
        let mut index = None;
        while let Some((_, last)) = self.unsynced.pop_front_if(|(issued, _)| *issued <= batch) {
            index = Some(last);
        }
        while let Some((_, action)) = self.held.pop_front_if(|(held, _)| *held <= batch) {
            self.ready.push(action);
        }
        index
    }
}
