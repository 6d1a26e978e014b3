//! Voters that are known to have lost their disks, and do not count towards a quorum.
//!
//! Failure pattern: a host is replaced, and while both the former one and its replacement vote, the former
//! one is lost for good and another one loses its disk. Two of four voters are left and hold all that was
//! accepted, but are no majority, and without one nobody can be removed. The host that lost its disk says so
//! itself: it asks to join with a new incarnation. See docs/incidents/silent-replacement.md.
//!
//! Half of an even number of voters need not overlap a majority of the voters before or after a change of
//! them; [`super::quorum`] therefore asks for a quorum of both until the change is committed.

use super::StateMachine;
use super::configuration::Identity;
use super::core::Core;

impl<M: StateMachine> Core<M> {
    /// Records that a host has asked to join: if it votes with another disk, that disk is lost.
    pub(super) fn record_lost_disk(&mut self, from: Identity) {
        let voters = self.active_voters();
        let former = voters.iter().copied().find(|voter| voter.host == from.host);
        let Some(former) = former.filter(|former| from.incarnation != 0 && *former != from) else {
            return;
        };
        if self.lost_disks.contains(&former) {
            return;
        }
        self.lost_disks.retain(|lost| voters.contains(lost));
        self.lost_disks.push(former);
    }

    /// Forgets that a voter lost its disk, as it answers: the request to join was older.
    pub(super) fn forget_lost_disk(&mut self, from: Identity) {
        self.lost_disks.retain(|lost| *lost != from);
    }

    /// Returns the voters that are known to have lost their disks, also those that are being removed.
    pub fn lost_disks(&self) -> impl Iterator<Item = Identity> + '_ {
        self.lost_disks.iter().copied().filter(|lost| self.is_active_voter(*lost))
    }
}
