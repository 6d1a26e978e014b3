//! The roster: soft state of targets, built from their announcements and merged in any order.
//!
//! Control hosts receive announcements and forward them to each other and to entry hosts. What a target
//! says of itself is merged to the same result in whatever order it arrives, so hosts need no consensus
//! on it: a later incarnation supersedes an earlier one, and draining and gone are final for an
//! incarnation.
//!
//! Whether a target still runs is inferred, and the inference may be wrong: an announcement may arrive
//! late, and a host may have started from an old copy of the roster. It therefore ends no incarnation. A
//! target that missed announcements, or whose address another target has announced since, is silent
//! until it announces itself again. See "Roster" in docs/PLATFORM.md.

mod entry;
mod feed_status;
mod stored;

use std::collections::BTreeMap;
use std::net::SocketAddrV4;
use std::ops::Bound;

use indexmap::{IndexMap, IndexSet};
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
    /// Whether it has missed several announcements, or another target has announced its address since.
    pub silent: bool,
    /// Revision of its last change, see [`Roster::changed_since`].
    pub revision: u64,
}

/// All known targets.
#[derive(Debug, Clone)]
pub struct Roster {
    targets: IndexMap<TargetId, TargetRecord>,
    /// The target that announced each address last.
    address_owners: IndexMap<SocketAddrV4, TargetId>,
    /// Targets by the revision of their last change, so that changes are found without a full scan.
    changes: BTreeMap<u64, TargetId>,
    /// Time without an announcement after which one is overdue.
    overdue_timeout: Span,
    /// Time without an announcement after which a target is silent.
    silence_timeout: Span,
    revision: u64,
}

impl Roster {
    /// Creates an empty roster for targets that announce themselves at this interval.
    pub fn new(interval: Span) -> Self {
        let overdue_timeout = Span(interval.0 * 3 / 2);
        let silence_timeout = Span(interval.0 * MAX_MISSED);
        let (targets, address_owners, changes) = Default::default();
        Self { targets, address_owners, changes, overdue_timeout, silence_timeout, revision: 0 }
    }

    /// Returns a target.
    pub fn get(&self, target: TargetId) -> Option<&TargetRecord> {
        self.targets.get(&target)
    }

    /// Returns the target that announced an address last.
    pub fn owner(&self, address: SocketAddrV4) -> Option<&TargetRecord> {
        let owner = self.targets.get(self.address_owners.get(&address)?);
        owner.filter(|owner| owner.entry.address == address)
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
        let withheld = self.is_withheld(now, &entry);
        let Some(record) = self.targets.get(&target) else {
            self.insert(now, entry, withheld);
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
        let changed = record.silent != withheld || !entry.is_equivalent(&record.entry);
        if changed {
            self.insert(now, entry, withheld);
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
        let silent: IndexSet<TargetId> = stored.silent.into_iter().collect();
        for entry in stored.entries {
            let silent = silent.contains(&entry.target);
            self.insert(now, entry, silent);
        }
    }

    /// Returns what a later process restores of the targets.
    pub fn to_stored(&self) -> StoredRoster {
        let silent = self.targets.values().filter(|record| record.silent);
        let silent = silent.map(|record| record.entry.target).collect();
        let entries = self.targets.values().map(|record| record.entry.clone()).collect();
        StoredRoster { entries, silent, entry_hosts: Vec::new() }
    }

    /// Returns the entries for a host that may not know them. A silent target whose address another one
    /// has announced since is left out: the other host would take its old announcement for a new one.
    pub fn entries(&self) -> Vec<Entry> {
        let records = self.targets.values().filter(|record| !self.is_displaced(record));
        records.map(|record| record.entry.clone()).collect()
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
        self.insert(now, entry.clone(), false);
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

    fn insert(&mut self, now: Instant, entry: Entry, silent: bool) {
        if !silent && entry.phase != Phase::Gone {
            self.claim_address(&entry);
        }
        let target = entry.target;
        let revision = self.targets.get(&target).map_or(0, |record| record.revision);
        self.targets.insert(target, TargetRecord { last_heard: now, silent, revision, entry });
        self.update_record(target, |_| {});
    }

    /// Assigns the address to a target that has just announced it. The former owner has probably
    /// crashed and is silent from now on, but takes the address back if it announces itself again.
    fn claim_address(&mut self, entry: &Entry) {
        let former = self.owner(entry.address).filter(|former| {
            former.entry.target != entry.target
                && former.entry.phase != Phase::Gone
                && !former.silent
        });
        let former = former.map(|former| former.entry.target);
        self.address_owners.insert(entry.address, entry.target);
        if let Some(former) = former {
            self.update_record(former, |former| former.silent = true);
        }
    }

    /// Returns whether an announcement does not show that its target runs, as the address belongs to a
    /// target that started later and none of whose announcements is overdue: it was probably delayed.
    fn is_withheld(&self, now: Instant, entry: &Entry) -> bool {
        self.owner(entry.address).is_some_and(|owner| {
            owner.entry.target != entry.target
                && owner.entry.phase != Phase::Gone
                && owner.entry.incarnation > entry.incarnation
                && !owner.silent
                && now.since(owner.last_heard) < self.overdue_timeout
        })
    }

    /// Returns whether a target is silent and another one has announced its address since.
    fn is_displaced(&self, record: &TargetRecord) -> bool {
        let owner = self.owner(record.entry.address);
        record.silent && owner.is_some_and(|owner| owner.entry.target != record.entry.target)
    }
}
