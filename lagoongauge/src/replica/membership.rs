//! Configuration changes that the leader makes on its own, and requests to join.

use super::StateMachine;
use super::configuration::{Change, Identity, MAX_VOTERS};
use super::core::{Core, Role};
use super::departure::Departure;
use super::entry::Payload;
use super::message::Body;
use super::outbox::Action;
use crate::time::Span;

/// Interval between requests to join, in heartbeats.
const JOIN_INTERVAL_HEARTBEATS: u64 = 4;

/// Largest number of entries that a learner may lag behind when it is promoted.
const MAX_PROMOTION_LAG: u64 = 64;

impl<M: StateMachine> Core<M> {
    /// Requests to join while this replica is neither voter nor learner, or has no contact with a
    /// leader: a removed host may not have received its removal.
    pub(super) fn request_join_if_due(&mut self) {
        let has_leader = self.now < self.leader_contact + self.setup.timing.election_max;
        let configured = self.configuration().contains(self.setup.identity);
        let leaving = self.departure != Departure::Staying;
        if leaving || self.now < self.next_join || (configured && has_leader) {
            return;
        }
        self.next_join = self.now + Span(self.setup.timing.heartbeat.0 * JOIN_INTERVAL_HEARTBEATS);
        for host in self.setup.seeds.clone() {
            self.send(Identity::any_incarnation(host), Body::Join);
        }
    }

    /// Passes a request to join to the driver, which knows the hosts that operators allow.
    pub(super) fn handle_join(&mut self, from: Identity) {
        self.record_lost_disk(from);
        self.forget_departure(from);
        if self.is_leader() && from.incarnation != 0 && !self.configuration().contains(from) {
            self.outbox.push(Action::JoinRequested(from));
        }
    }

    /// Makes the next automatic change, if no other is in progress: promotes a learner that has
    /// caught up, once the lost voter that it replaces is removed, or removes a silent voter or
    /// learner.
    pub(super) fn update_membership(&mut self) {
        if self.check_configuration_committed().is_err() || self.check_lease().is_err() {
            return;
        }
        let learners = self.configuration().learners.clone();
        let step = learners.into_iter().find_map(|learner| self.promotion_step(learner));
        let Some(change) = step.or_else(|| self.next_removal()) else { return };
        let Ok(next) = self.configuration().with_change(change) else { return };
        if self.can_commit(change, &next) {
            self.append_proposal(Payload::Configuration(next));
            self.sync_peers();
        }
    }

    fn promotion_step(&self, learner: Identity) -> Option<Change> {
        let Role::Leader(leader) = &self.role else { return None };
        let peer = leader.peers.get(&learner)?;
        let within_lag = peer.matched + MAX_PROMOTION_LAG >= self.log.last().index;
        let caught_up = within_lag && peer.matched >= leader.first_index;
        if !caught_up || self.silence(learner) >= self.setup.timing.election_min {
            return None;
        }
        let configuration = self.configuration();
        let former = match configuration.voter(learner.host) {
            Some(former) => former,
            None if configuration.voters.len() < MAX_VOTERS => {
                return Some(Change::Promote(learner));
            }
            None => self.longest_silent_voter()?,
        };
        (self.silence(former) >= self.setup.gone_after).then_some(Change::Remove(former))
    }

    /// Returns the voter that has been silent for longest, which a spare host may replace if
    /// automatic removal is enabled.
    fn longest_silent_voter(&self) -> Option<Identity> {
        self.setup.retire_after?;
        self.configuration().voters.iter().copied().max_by_key(|voter| self.silence(*voter))
    }

    /// Returns the removal of a voter or learner that has been silent for too long.
    fn next_removal(&self) -> Option<Change> {
        let lost = self.lost_voter().or_else(|| self.lost_learner())?;
        Some(Change::Remove(lost))
    }

    /// Returns the voter that has been silent for longest, if it is to be removed.
    ///
    /// Other voters may be silent as well: if each had to answer before one is removed, two lost
    /// ones would stay for good, and their replacements would raise the quorum.
    ///
    /// Only an even number of voters shrinks. One voter less then needs one answer less, and the
    /// next failure must not cost the quorum. From an odd number the quorum would stay as large, but
    /// a removed host that returns with its disk could not help to reach it. Enough voters remain to
    /// bear the loss of disks, see [`Setup::disk_losses`]; a host that was only partitioned asks to
    /// join again afterwards.
    ///
    /// [`Setup::disk_losses`]: super::Setup::disk_losses
    fn lost_voter(&self) -> Option<Identity> {
        let count = self.configuration().voters.len();
        let may_shrink = count.is_multiple_of(2) && count > self.setup.min_voters();
        let silent = self.longest_silent_voter()?;
        let lost = self.silence(silent) >= self.setup.gone_after;
        (may_shrink && lost).then_some(silent)
    }

    fn lost_learner(&self) -> Option<Identity> {
        let limit = self.setup.retire_after?;
        let mut learners = self.configuration().learners.iter().copied();
        learners.find(|learner| self.silence(*learner) >= limit)
    }

    /// Returns the time since a peer last answered; 0 while this leader is so new that an answer may
    /// still be on its way. A host that is about to end counts as silent for longest if the group can
    /// spare it.
    pub(super) fn silence(&self, identity: Identity) -> Span {
        if self.is_departing(identity) && self.can_spare(identity) {
            return Span(u64::MAX);
        }
        let Role::Leader(leader) = &self.role else { return Span(0) };
        let Some(peer) = leader.peers.get(&identity) else { return Span(0) };
        if self.now.since(leader.elected_at) < self.setup.timing.election_min {
            return Span(0);
        }
        self.now.since(peer.last_answered.unwrap_or(peer.silent_since))
    }

    /// Returns whether a host that is about to end may be removed before it is away: it may return, and until
    /// then enough voters have to remain if one is lost for good and others lose their disks.
    fn can_spare(&self, identity: Identity) -> bool {
        let configuration = self.configuration();
        let left = configuration.voters.len().saturating_sub(1);
        !configuration.is_voter(identity) || left >= self.setup.min_voters() + 2
    }
}
