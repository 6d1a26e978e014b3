//! Quorums, also while a change of the voters is in progress.
//!
//! Until a change of the voters is committed, hosts disagree on who votes. As in Raft's joint consensus,
//! each decision then needs a quorum of the former voters and one of the next: votes, commits (of earlier
//! entries, too), leases and reads. A voter that is being removed is still sent entries and may still be
//! elected until then, as its answer may be needed for the former quorum. See
//! docs/incidents/uncommitted-removal.md and docs/incidents/unfinished-removal.md.

use super::StateMachine;
use super::configuration::{Change, Configuration, Identity, Quorum};
use super::core::{Core, Role};

impl<M: StateMachine> Core<M> {
    /// Returns the configurations that have to agree: the latest one and, until that is known to be
    /// committed, the one before.
    ///
    /// A change is proposed only once the former one is committed, so all earlier ones are.
    pub(super) fn active_configurations(&self) -> impl Iterator<Item = &Configuration> {
        let is_committed = self.latest_configuration().0 <= self.commit;
        let count = if is_committed { 1 } else { 2 };
        self.configurations.iter().rev().take(count).map(|(_, configuration)| configuration)
    }

    /// Returns the highest value that a quorum of each active configuration has reached, given the value
    /// of each voter.
    pub(super) fn reached<T: Copy + Ord>(&self, value: impl Fn(&Identity) -> T) -> Option<T> {
        self.quorums().map(|quorum| quorum.reached(&value)).min().flatten()
    }

    /// Returns whether these identities include a quorum of each active configuration.
    pub(super) fn is_quorum(&self, identities: &[Identity]) -> bool {
        self.quorums().all(|quorum| quorum.is_met_by(identities))
    }

    /// Returns whether an identity votes in an active configuration.
    pub(super) fn is_active_voter(&self, identity: Identity) -> bool {
        self.active_configurations().any(|configuration| configuration.is_voter(identity))
    }

    /// Returns the voters of all active configurations, each of them once.
    pub(super) fn active_voters(&self) -> Vec<Identity> {
        let mut voters: Vec<Identity> = Vec::new();
        for voter in self.active_configurations().flat_map(|configuration| &configuration.voters) {
            if !voters.contains(voter) {
                voters.push(*voter);
            }
        }
        voters
    }

    /// Returns whether enough of the voters that stay have answered lately to commit a change.
    pub(super) fn can_commit(&self, change: Change, next: &Configuration) -> bool {
        let stays = |identity: &Identity| change != Change::Remove(*identity);
        let answering: Vec<_> = self
            .configuration()
            .replicas()
            .filter(|identity| stays(identity) && self.answers(*identity))
            .collect();
        [self.configuration(), next].iter().all(|configuration| {
            configuration.quorum_without(&self.lost_disks).is_met_by(&answering)
        })
    }

    fn quorums(&self) -> impl Iterator<Item = Quorum> {
        self.active_configurations()
            .map(|configuration| configuration.quorum_without(&self.lost_disks))
    }

    /// Returns whether a voter or learner has answered this leader within the shortest election timeout.
    fn answers(&self, identity: Identity) -> bool {
        let Role::Leader(leader) = &self.role else { return false };
        let answered = leader.peers.get(&identity).and_then(|peer| peer.last_answered);
        let limit = self.setup.timing.election_min;
        identity == self.setup.identity || answered.is_some_and(|at| self.now.since(at) < limit)
    }
}
