//! What entry hosts tell each other of the load that they brought to targets.

use serde::{Deserialize, Serialize};

use super::Mark;

/// What one entry host has open at a target.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoadCount {
    /// Requests that wait for their answer.
    pub waiting: u16,
    /// Flows.
    pub flows: u16,
}

/// The counts of one entry host at the targets where it has anything open.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoadReport {
    /// Counts by the targets' marks.
    pub counts: Vec<(Mark, LoadCount)>,
}

impl LoadCount {
    /// Adds another host's counts.
    pub(super) fn add(&mut self, other: Self) {
        self.waiting = self.waiting.saturating_add(other.waiting);
        self.flows = self.flows.saturating_add(other.flows);
    }
}
