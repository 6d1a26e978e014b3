//! Who takes part while a change of the voters is in progress.
//!
//! Until a change of the voters is committed, hosts disagree on who votes, and the answer of a voter that is
//! being removed may be needed to commit its removal. It is therefore still sent entries and may still be
//! elected until then. See docs/incidents/unfinished-removal.md.

use super::StateMachine;
use super::configuration::{Configuration, Identity};
use super::core::Core;

impl<M: StateMachine> Core<M> {
    /// Returns the configurations whose voters take part: the latest one and, until that is known to be
    /// committed, the one before.
    ///
    /// A change is proposed only once the former one is committed, so all earlier ones are.
    pub(super) fn active_configurations(&self) -> impl Iterator<Item = &Configuration> {
        let is_committed = self.latest_configuration().0 <= self.commit;
        let count = if is_committed { 1 } else { 2 };
        self.configurations.iter().rev().take(count).map(|(_, configuration)| configuration)
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
}
