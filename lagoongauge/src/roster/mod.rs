//! The roster: soft state of targets, built from their announcements and merged in any order.
//!
//! Control hosts receive announcements and forward them to each other and to entry hosts. Every
//! merge rule gives the same result in whatever order announcements arrive, so hosts need no
//! consensus on them: a later incarnation supersedes an earlier one, draining and gone are final
//! for an incarnation, and an address belongs to the latest incarnation that claimed it. See
//! "Roster" in docs/PLATFORM.md.

mod entry;
mod feed_status;
mod stored;

use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::net::SocketAddrV4;
use std::ops::Bound;

use indexmap::IndexMap;
use serde::{Deserialize, Serialize};

use crate::id::TargetId;
use crate::time::{Instant, Span};

pub use self::entry::{Entry, Phase};
pub use self::feed_status::FeedStatuses;
pub use self::stored::StoredRoster;

/// Time for which a gone or silent target is kept; longer than a delayed message can be under way.
const TOMBSTONE_LIFETIME: Span = Span::seconds(90);

/// Number of missed announcements after which a target counts as silent.
const MAX_MISSED: u64 = 3;

/// An announcement without changes, reduced to its sequence number.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Heartbeat {
    /// The target.
    pub target: TargetId,
    /// Its incarnation.
    pub incarnation: u64,
    /// Sequence number of the announcement.
    pub sequence: u64,
}

/// Result of merging an announcement.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum MergeOutcome {
    /// The target is new or has changed.
    Changed,
    /// The target is unchanged and alive.
    Refreshed,
    /// The announcement is late or a duplicate, and changed nothing.
    Stale,
}

/// A target with its liveness as seen by this host.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct TargetRecord {
    /// Latest announcement of the target.
    pub entry: Entry,
    /// When its latest announcement arrived.
    pub last_heard: Instant,
    /// Whether it has missed several announcements.
    pub silent: bool,
    /// Revision of its last change, see [`Roster::changed_since`].
    pub revision: u64,
}

/// All known targets.
#[derive(Debug, Clone)]
pub struct Roster {
    targets: IndexMap<TargetId, TargetRecord>,
    address_owners: IndexMap<SocketAddrV4, TargetId>,
    /// Targets by the revision of their last change, so that changes are found without a full scan.
    changes: BTreeMap<u64, TargetId>,
    silence_timeout: Span,
    revision: u64,
}

impl Roster {
    /// Creates an empty roster for targets that announce themselves at this interval.
    pub fn new(interval: Span) -> Self {
        let silence_timeout = Span(interval.0 * MAX_MISSED);
        let (targets, address_owners, changes) = Default::default();
        Self { targets, address_owners, changes, silence_timeout, revision: 0 }
    }

    /// Returns a target.
    pub fn get(&self, target: TargetId) -> Option<&TargetRecord> {
        self.targets.get(&target)
    }

    /// Iterates over all targets, including gone ones.
    pub fn iter(&self) -> impl Iterator<Item = &TargetRecord> + '_ {
        self.targets.values()
    }

    /// Returns the revision of the last change.
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// Iterates over the targets that changed after this revision.
    pub fn changed_since(&self, revision: u64) -> impl Iterator<Item = &TargetRecord> + '_ {
        let later = self.changes.range((Bound::Excluded(revision), Bound::Unbounded));
        later.filter_map(|(_, target)| self.targets.get(target))
    }

    /// Merges an announcement from the target itself or from another host.
    pub fn merge(&mut self, now: Instant, entry: Entry) -> MergeOutcome {
        let target = entry.target;
        let Some(record) = self.targets.get(&target) else {
            self.insert(now, entry);
            return MergeOutcome::Changed;
        };
        if entry.order_key() <= record.entry.order_key() {
            return MergeOutcome::Stale;
        }
        let later = entry.incarnation > record.entry.incarnation;
        if record.entry.phase == Phase::Gone && !later {
            return MergeOutcome::Stale;
        }
        let entry = if later { entry } else { entry.merged_after(&record.entry) };
        let changed = record.silent || !entry.is_equivalent(&record.entry);
        if changed {
            self.insert(now, entry);
            return MergeOutcome::Changed;
        }
        let record = self.targets.get_mut(&target).expect("the target was found above");
        record.entry = entry;
        record.last_heard = now;
        MergeOutcome::Refreshed
    }

    /// Restores the entries of a previous process of this host.
    ///
    /// Their last announcement counts as received now, so targets have the usual time to announce
    /// themselves again. Those that were silent remain so until they do.
    pub fn restore(&mut self, now: Instant, stored: StoredRoster) {
        for entry in stored.entries {
            self.merge(now, entry);
        }
        for target in stored.silent {
            self.update_record(target, |record| record.silent = true);
        }
    }

    /// Returns what a later process restores of the targets.
    pub fn to_stored(&self) -> StoredRoster {
        let silent = self.targets.values().filter(|record| record.silent);
        let silent = silent.map(|record| record.entry.target).collect();
        StoredRoster { entries: self.entries(), silent, entry_hosts: Vec::new() }
    }

    /// Returns all entries, for other hosts.
    pub fn entries(&self) -> Vec<Entry> {
        self.targets.values().map(|record| record.entry.clone()).collect()
    }

    /// Merges a heartbeat; returns `None` if the target or its incarnation is unknown.
    pub fn handle_heartbeat(&mut self, now: Instant, heartbeat: Heartbeat) -> Option<MergeOutcome> {
        let record = self.targets.get(&heartbeat.target)?;
        if record.entry.incarnation != heartbeat.incarnation {
            return (record.entry.incarnation > heartbeat.incarnation)
                .then_some(MergeOutcome::Stale);
        }
        let mut entry = record.entry.clone();
        entry.sequence = heartbeat.sequence;
        Some(self.merge(now, entry))
    }

    /// Marks a target as gone after it announced its end; returns its entry if that changed it.
    pub fn leave(&mut self, now: Instant, target: TargetId) -> Option<Entry> {
        let record = self.targets.get(&target)?;
        if record.entry.phase == Phase::Gone {
            return None;
        }
        let entry = Entry { phase: Phase::Gone, ..record.entry.clone() };
        self.insert(now, entry.clone());
        Some(entry)
    }

    /// Marks silent targets and removes expired ones; returns the targets that became silent.
    pub fn tick(&mut self, now: Instant) -> Vec<TargetId> {
        self.remove_expired(now);
        let silence_timeout = self.silence_timeout;
        let fell_silent = |record: &&TargetRecord| {
            let overdue = now.since(record.last_heard) >= silence_timeout;
            overdue && !record.silent && record.entry.phase != Phase::Gone
        };
        let newly_silent = self.targets.values().filter(fell_silent);
        let newly_silent: Vec<TargetId> = newly_silent.map(|record| record.entry.target).collect();
        for target in &newly_silent {
            self.update_record(*target, |record| record.silent = true);
        }
        newly_silent
    }

    fn remove_expired(&mut self, now: Instant) {
        let is_tombstone =
            |record: &TargetRecord| record.entry.phase == Phase::Gone || record.silent;
        let known = self.targets.len();
        self.targets.retain(|_, record| {
            !is_tombstone(record) || now.since(record.last_heard) < TOMBSTONE_LIFETIME
        });
        if self.targets.len() == known {
            return;
        }
        let targets = &self.targets;
        self.address_owners.retain(|_, target| targets.contains_key(target));
        self.changes.retain(|_, target| targets.contains_key(target));
    }

    /// Changes a target and assigns a new revision to it.
    fn update_record(&mut self, target: TargetId, change: impl FnOnce(&mut TargetRecord)) {
        let Some(record) = self.targets.get_mut(&target) else { return };
        change(record);
        self.changes.remove(&record.revision);
        self.revision += 1;
        record.revision = self.revision;
        self.changes.insert(self.revision, target);
    }

    fn insert(&mut self, now: Instant, mut entry: Entry) {
        self.claim_address(&mut entry);
        let target = entry.target;
        let revision = self.targets.get(&target).map_or(0, |record| record.revision);
        self.targets
            .insert(target, TargetRecord { last_heard: now, silent: false, revision, entry });
        self.update_record(target, |_| {});
    }

    /// Assigns the address to the latest incarnation that claimed it; the other one is marked gone.
    ///
    /// A target that lost its address never gets it back.
    fn claim_address(&mut self, entry: &mut Entry) {
        let owner = self.address_owners.get(&entry.address).copied();
        let previous = owner.filter(|owner| *owner != entry.target);
        let previous = previous.and_then(|owner| self.targets.get(&owner));
        let Some(previous) = previous.filter(|previous| previous.entry.address == entry.address)
        else {
            self.address_owners.insert(entry.address, entry.target);
            return;
        };
        if !is_later_start(entry, previous) {
            entry.phase = Phase::Gone;
            return;
        }
        let (was_running, previous) = (previous.entry.phase != Phase::Gone, previous.entry.target);
        self.address_owners.insert(entry.address, entry.target);
        if was_running {
            self.update_record(previous, |previous| previous.entry.phase = Phase::Gone);
        }
    }
}

/// Returns whether the target of `entry` started later than `previous`, which has the same address.
///
/// If neither announces when it started, a target that is gone or silent counts as the earlier one,
/// and otherwise the target with the higher sequence number, as it has made more announcements.
fn is_later_start(entry: &Entry, previous: &TargetRecord) -> bool {
    let other = &previous.entry;
    if entry.incarnation > 0 || other.incarnation > 0 {
        return (entry.incarnation, entry.target) > (other.incarnation, other.target);
    }
    if entry.phase == Phase::Gone {
        return false;
    }
    let ended = previous.silent || other.phase == Phase::Gone;
    ended || (Reverse(entry.sequence), entry.target) > (Reverse(other.sequence), other.target)
}
