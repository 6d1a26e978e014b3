//! Status of a replica for operators.

use super::StateMachine;
use super::configuration::{Configuration, Identity};
use super::core::{Core, Role};

/// Status of a replica for operators.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Status {
    /// Identity of this replica.
    pub identity: Identity,
    /// Current term.
    pub term: u64,
    /// The leader, if it is known.
    pub leader: Option<Identity>,
    /// Whether this replica is the leader and may serve reads under its lease.
    pub current: bool,
    /// Index of the last entry.
    pub last: u64,
    /// Index up to which entries are committed, as far as this replica knows.
    pub commit: u64,
    /// Index up to which entries are applied.
    pub applied: u64,
    /// Index of the latest snapshot.
    pub snapshot: u64,
    /// The latest configuration.
    pub configuration: Configuration,
    /// Number of entries that each other voter or learner lags behind; empty unless this replica
    /// is the leader.
    pub lags: Vec<(Identity, u64)>,
}

/// How many voters respond, from the leader's point of view.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct VoterHealth {
    /// Number of voters.
    pub voters: usize,
    /// Number of voters in a majority.
    pub quorum: usize,
    /// Voters that have not answered for so long that they count as lost.
    pub silent: Vec<Identity>,
}

impl VoterHealth {
    /// Returns the number of responding voters that may fail before the quorum is lost.
    pub fn spare(&self) -> usize {
        self.voters.saturating_sub(self.silent.len() + self.quorum)
    }
}

impl<M: StateMachine> Core<M> {
    /// Returns the health of the voters, or `None` unless this replica is the leader.
    pub fn voter_health(&self) -> Option<VoterHealth> {
        if !self.is_leader() {
            return None;
        }
        let configuration = self.configuration();
        let limit = self.setup.gone_after;
        let voters = configuration.voters.iter().copied();
        Some(VoterHealth {
            voters: configuration.voters.len(),
            quorum: configuration.quorum_without(&self.lost_disks).size,
            silent: voters.filter(|voter| self.silence(*voter) >= limit).collect(),
        })
    }

    /// Returns the status for operators.
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
