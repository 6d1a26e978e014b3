//! Planned ends of hosts: a host that is about to end gives its vote back first.
//!
//! Failure pattern: a host is replaced as planned, and another one loses its disk a moment later. While
//! both the former host and its replacement are voters, their number is even; if the former one still
//! counted after its end, the next loss would leave too few voters for a quorum, and nobody could
//! remove it any more. See docs/incidents/planned-replacement.md.

use super::StateMachine;
use super::configuration::Identity;
use super::core::{Core, Role};
use super::message::Body;
use crate::time::{Instant, Span};

/// Progress of the end of this host.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub(super) enum Departure {
    /// The host stays.
    #[default]
    Staying,
    /// The host asks the leader to be let go; the next request is due at this time.
    Requested(Instant),
    /// The group no longer waits for this host, whether it was removed or not.
    Released,
}

impl<M: StateMachine> Core<M> {
    /// Begins to leave the group, as the process is about to end; has no effect when called again.
    ///
    /// The leader removes a voter that the group can spare under the rules for lost ones. Others keep
    /// their vote, so that a restart changes nothing.
    pub fn leave(&mut self, now: Instant) {
        self.advance(now);
        if self.departure != Departure::Staying {
            return;
        }
        self.departure = Departure::Requested(self.now);
        if self.is_leader() {
            self.update_membership();
            self.finish_own_departure();
        } else {
            self.request_leave_if_due();
        }
    }

    /// Returns whether the process may end without leaving behind a voter that could have been
    /// removed.
    pub fn has_left(&self) -> bool {
        let latest = self.latest_configuration().0;
        let removed = latest <= self.commit && !self.configuration().contains(self.setup.identity);
        self.departure == Departure::Released || removed
    }

    /// Sends the leader a request to leave, unless one was sent within a heartbeat interval.
    pub(super) fn request_leave_if_due(&mut self) {
        let (Departure::Requested(due), Some(leader)) = (self.departure, self.leader) else {
            return;
        };
        if self.now < due {
            return;
        }
        self.departure = Departure::Requested(self.now + self.request_interval());
        self.send(leader, Body::Leave);
    }

    /// Removes a host that is about to end if the group can spare it, and answers once no change of the
    /// configuration is in progress.
    pub(super) fn handle_leave(&mut self, from: Identity) {
        let until = self.now + self.setup.timing.election_max;
        let Role::Leader(leader) = &mut self.role else { return };
        if let Some(peer) = leader.peers.get_mut(&from) {
            peer.leaving_until = Some(until);
        }
        self.update_membership();
        if self.is_settled() {
            self.send(from, Body::LeaveAnswer);
        }
    }

    pub(super) fn handle_leave_answer(&mut self, from: Identity) {
        let requested = matches!(self.departure, Departure::Requested(_));
        if requested && self.last_leader == Some(from) {
            self.departure = Departure::Released;
        }
    }

    /// Lets this host go if it leads and its own removal is not needed. Otherwise it leads until the
    /// removal is committed, and then steps down.
    pub(super) fn finish_own_departure(&mut self) {
        let requested = matches!(self.departure, Departure::Requested(_));
        if requested && self.is_leader() && self.is_settled() {
            self.departure = Departure::Released;
        }
    }

    /// Returns whether a voter or learner is about to end.
    pub(super) fn is_departing(&self, identity: Identity) -> bool {
        let Role::Leader(leader) = &self.role else { return false };
        if identity == self.setup.identity {
            return self.departure != Departure::Staying;
        }
        let peer = leader.peers.get(&identity);
        peer.and_then(|peer| peer.leaving_until).is_some_and(|until| self.now < until)
    }

    /// Forgets that a host was about to end, as it has started again.
    pub(super) fn forget_departure(&mut self, identity: Identity) {
        let Role::Leader(leader) = &mut self.role else { return };
        if let Some(peer) = leader.peers.get_mut(&identity) {
            peer.leaving_until = None;
        }
    }

    /// Returns whether this leader could change the configuration now and has nothing to change.
    fn is_settled(&self) -> bool {
        self.check_lease().is_ok() && self.check_configuration_committed().is_ok()
    }

    /// Returns the interval between requests to leave, so short that the answer follows the removal
    /// within the time for which a process that ends still refuses requests.
    fn request_interval(&self) -> Span {
        Span(self.setup.timing.heartbeat.0 / 4)
    }
}
