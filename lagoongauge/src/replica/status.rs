//! What operators see of a replica.

use super::StateMachine;
use super::configuration::{Configuration, Identity};
use super::core::{Core, Role};

/// What operators see of a replica.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Status {
    /// Who this replica is.
    pub identity: Identity,
    /// Current term.
    pub term: u64,
    /// The leader, where it is known.
    pub leader: Option<Identity>,
    /// Whether this replica leads and its lease holds.
    pub current: bool,
    /// Index of the last entry.
    pub last: u64,
    /// Index up to which entries are committed, as far as this replica knows.
    pub commit: u64,
    /// Index up to which the machine has applied.
    pub applied: u64,
    /// Index of the latest snapshot.
    pub snapshot: u64,
    /// The latest configuration.
    pub configuration: Configuration,
    /// Entries that each other member lacks, as the leader knows it; empty elsewhere.
    pub lags: Vec<(Identity, u64)>,
}

impl<M: StateMachine> Core<M> {
    /// Returns what operators see.
    pub fn status(&self) -> Status {
        let last = self.log.last().index;
        let lags = match &self.role {
            Role::Leader(leader) => leader
                .peers
                .iter()
                .map(|(identity, peer)| (*identity, last.saturating_sub(peer.matched)))
                .collect(),
            _ => Vec::new(),
        };
        Status {
            identity: self.setup.identity,
            term: self.ballot.term,
            leader: self.leader,
            current: self.check_current(self.now).is_ok(),
            last,
            commit: self.commit,
            applied: self.applied,
            snapshot: self.snapshot.position().index,
            configuration: self.configuration().clone(),
            lags,
        }
    }
}
