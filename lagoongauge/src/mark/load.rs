//! Load reports between entry hosts.

use serde::{Deserialize, Serialize};

use super::Mark;

/// Load of one entry host on a target.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoadCount {
    /// Number of requests waiting for an answer.
    pub waiting: u16,
    /// Number of open flows.
    pub flows: u16,
}

/// Load counts of one entry host for all targets with open flows.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoadReport {
    /// Load counts by target mark.
    pub counts: Vec<(Mark, LoadCount)>,
}

impl LoadCount {
    /// Adds the counts of another host; saturates at the maximum.
    pub(super) fn add(&mut self, other: Self) {
        self.waiting = self.waiting.saturating_add(other.waiting);
        self.flows = self.flows.saturating_add(other.flows);
    }
}
