//! Voters that are known to have lost their disks, and do not count towards a quorum.
//!
//! Failure pattern: a host is replaced, and while both the former one and its replacement vote, the former
//! one is lost for good and another one loses its disk. Two of four voters are left and hold all that was
//! accepted, but are no majority, and without one nobody can be removed. The host that lost its disk says so
//! itself: it asks to join with a new incarnation. See docs/incidents/silent-replacement.md.
//!
//! Half of an even number of voters need not overlap a majority of the voters before or after a change of
//! them. So a smaller quorum serves only while the voters are known to be committed ([`Core::quorum`]), and
//! voters that follow an even number of others are committed only once a majority of those knows, too
//! ([`Core::committed_bound`]).

use super::StateMachine;
use super::configuration::{Change, Identity, Quorum};
use super::core::{Core, Role};

impl<M: StateMachine> Core<M> {
    /// Records that a host has asked to join: if it votes with another disk, that disk is lost.
    pub(super) fn record_lost_disk(&mut self, from: Identity) {
        let former = self.configuration().voter(from.host);
        let Some(former) = former.filter(|former| from.incarnation != 0 && *former != from) else {
            return;
        };
        if self.lost_disks.contains(&former) {
            return;
        }
        let configuration = self.configuration().clone();
        self.lost_disks.retain(|lost| configuration.is_voter(*lost));
        self.lost_disks.push(former);
    }

    /// Forgets that a voter lost its disk, as it answers: the request to join was older.
    pub(super) fn forget_lost_disk(&mut self, from: Identity) {
        self.lost_disks.retain(|lost| *lost != from);
    }

    /// Returns the quorum of the latest configuration.
    pub(super) fn quorum(&self) -> Quorum {
        let latest = self.configuration();
        // The first configuration is the latest that is known to be committed.
        let certain = self.configurations.iter().all(|(_, other)| other.voters == latest.voters);
        latest.quorum_without(if certain { &self.lost_disks } else { &[] })
    }

    /// Returns the voters of the latest configuration that are known to have lost their disks.
    pub fn lost_disks(&self) -> impl Iterator<Item = Identity> + '_ {
        let configuration = self.configuration();
        self.lost_disks.iter().copied().filter(|lost| configuration.is_voter(*lost))
    }

    /// Returns whether enough of the present voters answer to commit a change of them, see
    /// [`Self::committed_bound`]. A removed voter is sent no more entries, so it can't help.
    pub(super) fn can_hand_over(&self, change: Change) -> bool {
        let configuration = self.configuration();
        if !configuration.has_spare_half() {
            return true;
        }
        let stays = |voter: &&Identity| change != Change::Remove(**voter);
        let quorum = configuration.handover_quorum(&self.lost_disks);
        let answering = quorum.voters.iter().filter(stays).filter(|voter| self.answers(**voter));
        answering.count() >= quorum.size
    }

    /// Returns whether a voter has answered this leader within the shortest election timeout.
    fn answers(&self, voter: Identity) -> bool {
        let Role::Leader(leader) = &self.role else { return false };
        let answered = leader.peers.get(&voter).and_then(|peer| peer.last_answered);
        let limit = self.setup.timing.election_min;
        voter == self.setup.identity || answered.is_some_and(|at| self.now.since(at) < limit)
    }

    /// Returns the highest index up to which entries may be committed, given the index that each voter
    /// has stored: voters that follow an even number of others need enough of those as well.
    pub(super) fn committed_bound(&self, stored: impl Fn(&Identity) -> u64) -> u64 {
        let waits = self.configurations.windows(2).find_map(|pair| {
            let [(_, former), (start, next)] = pair else { return None };
            if former.voters == next.voters || !former.has_spare_half() {
                return None;
            }
            let reached = former.handover_quorum(&self.lost_disks).reached(&stored)?;
            (reached < *start).then(|| start - 1)
        });
        waits.unwrap_or(u64::MAX)
    }
}
