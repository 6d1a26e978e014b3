//! Changes of the configuration that the leader makes or asks for on its own.

use super::StateMachine;
use super::configuration::{Change, Identity, MAX_VOTERS};
use super::core::{Core, Role};
use super::entry::Payload;
use super::outbox::Action;
use crate::time::Span;

/// Entries that a learner may lack when it becomes a voter.
const CLOSE_ENTRIES: u64 = 64;

impl<M: StateMachine> Core<M> {
    /// Passes a host's request to join to the driver, which knows whom the operators allow.
    pub(super) fn on_join(&mut self, from: Identity) {
        if self.is_leader() && from.incarnation != 0 && !self.configuration().contains(from) {
            self.outbox.tell(Action::JoinRequested(from));
        }
    }

    /// Makes the next step for a learner that has caught up, if nothing else is under way.
    pub(super) fn tend_members(&mut self) {
        if self.check_settled().is_err() || self.check_lease().is_err() {
            return;
        }
        let learners = self.configuration().learners.clone();
        let step = learners.into_iter().find_map(|learner| self.next_step(learner));
        let Some(change) = step.or_else(|| self.next_retired()) else { return };
        if let Ok(next) = self.configuration().with_change(change) {
            self.append(Payload::Configuration(next));
            self.sync_peers();
        }
    }

    fn next_step(&self, learner: Identity) -> Option<Change> {
        let Role::Leading(lead) = &self.role else { return None };
        let peer = lead.peers.get(&learner)?;
        let close = peer.matched + CLOSE_ENTRIES >= self.log.last().index;
        let caught_up = close && peer.matched >= lead.first;
        if !caught_up || self.silence(learner) >= self.setup.timing.election_min {
            return None;
        }
        let configuration = self.configuration();
        let former = match configuration.voter(learner.host) {
            Some(former) => former,
            None if configuration.voters.len() < MAX_VOTERS => {
                return Some(Change::Promote(learner));
            }
            None => self.replaceable()?,
        };
        (self.silence(former) >= self.setup.gone_after).then_some(Change::Remove(former))
    }

    /// Returns the voter that has been silent for longest, whose place a spare host may take where
    /// nobody looks after the members.
    fn replaceable(&self) -> Option<Identity> {
        self.setup.retire_after?;
        self.configuration().voters.iter().copied().max_by_key(|voter| self.silence(*voter))
    }

    /// Returns the removal of a member that was silent for too long, if the others are all there.
    ///
    /// Two voters stay at least, so that no single disk holds all that was accepted. A member that
    /// was only cut off asks to join again when it is back. Where an even number vote, one less
    /// tolerates as many losses, so a silent voter goes early: its successor may be among them, and
    /// the next loss must not leave too few.
    fn next_retired(&self) -> Option<Change> {
        let limit = self.setup.retire_after?;
        let own = self.setup.identity;
        let configuration = self.configuration();
        let even = configuration.voters.len().is_multiple_of(2);
        let silent = |it: &Identity| {
            let early = even && configuration.is_voter(*it);
            let limit = if early { limit.min(self.setup.gone_after) } else { limit };
            *it != own && self.silence(*it) >= limit
        };
        let member = configuration.members().find(silent)?;
        if !configuration.is_voter(member) {
            return Some(Change::Remove(member));
        }
        let others = configuration.voters.iter().filter(|it| **it != member && **it != own);
        let all_there = others.clone().all(|it| self.silence(*it) < self.setup.timing.election_min);
        (all_there && others.count() >= 1).then_some(Change::Remove(member))
    }

    /// Returns since when a peer has not answered, at most since it was added or this host elected.
    fn silence(&self, identity: Identity) -> Span {
        let Role::Leading(lead) = &self.role else { return Span(0) };
        let Some(peer) = lead.peers.get(&identity) else { return Span(0) };
        self.now.since(peer.answered.unwrap_or(peer.added))
    }
}
