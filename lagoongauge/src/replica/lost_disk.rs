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
use super::configuration::{Identity, Quorum};
use super::core::Core;

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
