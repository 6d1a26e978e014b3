//! Flow records of one service at one host, and the host's role for each bucket.

use std::sync::Mutex;
use std::sync::atomic::{AtomicUsize, Ordering};

use super::admit::Admit;
use super::plan::{Layout, View};
use super::record::{FlowKey, KEY_BITS, Record, Shard};
use super::role::{BucketRole, TransferCounts};
use crate::id::{HostId, ServiceId};
use crate::time::{Instant, Span};

/// Logarithm of the number of shards of a service's records.
const SHARD_BITS: u8 = 6;

/// Time after a flow's first SYN during which the caller's stack may retransmit it.
pub const SYN_RETRY_SPAN: Span = Span::seconds(64);

/// Maximum number of records that one sweep replicates.
const MAX_REPLICATED: usize = 600;

/// Marks a bucket whose open flows may lack records, which ends when the bucket has been held for
/// the idle limit.
pub(super) const INCOMPLETE: u32 = u32::MAX;

/// Limits on a service's flows, from the settings.
#[derive(Debug, Clone, Copy)]
pub(super) struct Bounds {
    pub idle_limit: Span,
    pub max_flows: u32,
}

/// Result of a sweep over a service's records.
#[derive(Debug, Default)]
pub(super) struct Sweep {
    /// Open flows by target index.
    pub counts: Vec<u32>,
    /// Held buckets in which no flow's target differs from the table.
    pub to_release: Vec<u32>,
    /// Buckets that are not held although a flow's target differs from the table.
    pub to_hold: Vec<u32>,
}

/// Flow records and bucket roles of one service at one host.
#[derive(Debug)]
pub(super) struct FlowTable {
    pub service: ServiceId,
    pub bounds: Bounds,
    pub(super) bits: u8,
    pub(super) shards: Vec<Mutex<Shard>>,
    pub(super) len: AtomicUsize,
    roles: Vec<BucketRole>,
    /// Second from which every open flow of the bucket has a record, or [`INCOMPLETE`].
    pub(super) complete_at: Vec<u32>,
    /// Second until which an unrecorded SYN may repeat one that a lost home forwarded.
    pub(super) retry_until: Vec<u32>,
    /// Buckets held since the table was prepared.
    newly_held: Vec<u32>,
    /// Second at which already replicated records are sent to the backups again, where they would
    /// otherwise expire.
    next_refresh: u32,
    transfer_counts: TransferCounts,
}

/// Converts an instant to whole seconds, rounded down.
pub(super) const fn to_seconds(now: Instant) -> u32 {
    (now.0 / 1000) as u32
}

/// Converts a span to whole seconds, rounded up.
const fn ceil_seconds(span: Span) -> u32 {
    span.0.div_ceil(1000) as u32
}

impl FlowTable {
    /// Builds a table without records in which this host owns no bucket.
    pub fn new(service: ServiceId, bits: u8, bounds: Bounds) -> Self {
        let count = 1 << bits;
        Self {
            service,
            bounds,
            bits,
            shards: (0..1 << SHARD_BITS).map(|_| Mutex::default()).collect(),
            len: AtomicUsize::new(0),
            roles: vec![BucketRole::NotOwner; count],
            complete_at: vec![INCOMPLETE; count],
            retry_until: vec![0; count],
            newly_held: Vec::new(),
            next_refresh: 0,
            transfer_counts: TransferCounts::default(),
        }
    }

    /// Returns this host's role for a bucket.
    pub fn role(&self, bucket: u32) -> BucketRole {
        self.roles[bucket as usize]
    }

    /// Returns the number of buckets in transfer from or to this host.
    pub fn pending(&self) -> usize {
        self.transfer_counts.outgoing + self.transfer_counts.incoming
    }

    /// Returns whether this host still has buckets to transfer.
    pub fn has_outgoing(&self) -> bool {
        self.transfer_counts.outgoing > 0
    }

    /// Returns the logarithm of the number of buckets.
    pub fn bits(&self) -> u8 {
        self.bits
    }

    /// Returns the number of buckets.
    pub fn count(&self) -> u32 {
        self.roles.len() as u32
    }

    /// Returns the number of records.
    pub fn len(&self) -> usize {
        self.len.load(Ordering::Relaxed)
    }

    /// Returns the memory that the records take, in bytes.
    pub fn bytes(&self) -> usize {
        self.shards.iter().map(|shard| lock(shard).bytes()).sum()
    }

    /// Returns the buckets for which this host has the given role.
    pub fn buckets(&self, role: BucketRole) -> impl Iterator<Item = u32> + '_ {
        (0..).zip(&self.roles).filter(move |(_, other)| **other == role).map(|(bucket, _)| bucket)
    }

    /// Returns the records of a bucket.
    pub fn records(&self, bucket: u32) -> Vec<Record> {
        let mut records = Vec::new();
        for shard in self.shards_of(bucket) {
            let shard = lock(shard);
            records.extend(shard.iter().filter(|r| r.key().bucket(self.bits) == bucket));
        }
        records
    }

    /// Returns the seconds until the bucket's records are complete, and until its SYN retries end.
    pub fn remaining_timers(&self, now: Instant, bucket: u32) -> (u32, u32) {
        let second = to_seconds(now);
        let complete_in = match self.complete_at[bucket as usize] {
            INCOMPLETE => INCOMPLETE,
            at => at.saturating_sub(second),
        };
        (complete_in, self.retry_until[bucket as usize].saturating_sub(second))
    }

    /// Removes expired records, counts open flows, and finds buckets to release or to hold.
    pub fn sweep(&mut self, now: Instant, layout: &Layout, limits: &impl Admit) -> Sweep {
        let mut sweep = Sweep { counts: vec![0; layout.targets.len()], ..Sweep::default() };
        let mut differs = vec![false; self.roles.len()];
        let mut expired = Vec::new();
        let second = to_seconds(now);
        let mut len = 0;
        for shard in &self.shards {
            let mut shard = lock(shard);
            shard.retain(|record| {
                let bucket = record.key().bucket(self.bits);
                let role = self.roles[bucket as usize];
                if role != BucketRole::InTransit && self.is_expired(record, second, layout) {
                    let counted = role != BucketRole::NotOwner || record.is_detached();
                    if !record.is_closed() && counted {
                        limits.release(self.service);
                        expired.push(bucket);
                    }
                    return false;
                }
                let index = record.target();
                if !record.is_closed() && role.decides() {
                    sweep.counts[usize::from(index)] += 1;
                }
                differs[bucket as usize] |=
                    index != layout.choice(bucket) && !layout.is_gone(index);
                true
            });
            len += shard.len();
        }
        self.len.store(len, Ordering::Relaxed);
        // Packets of buckets that are not held may bypass this host: an expired flow may be open.
        for bucket in expired.into_iter().filter(|&bucket| !layout.is_held(bucket)) {
            self.complete_at[bucket as usize] = INCOMPLETE;
        }
        let unheld = self.buckets(BucketRole::Owner).filter(|&bucket| !layout.is_held(bucket));
        sweep.to_hold = unheld.filter(|&bucket| differs[bucket as usize]).collect();
        if layout.prepared.is_none() {
            let held = self.buckets(BucketRole::Owner).filter(|&bucket| layout.is_held(bucket));
            let complete = held.filter(|&bucket| self.complete_at[bucket as usize] <= second);
            sweep.to_release = complete.filter(|&bucket| !differs[bucket as usize]).collect();
        }
        sweep
    }

    /// Remembers the buckets that are held because of the prepared table.
    pub fn prepare(&mut self, held_before: &[bool], layout: &Layout) {
        let held = (0..).zip(held_before).filter(|&(bucket, was)| !was && layout.is_held(bucket));
        self.newly_held.extend(held.map(|(bucket, _)| bucket));
    }

    /// Starts to hold the remembered buckets, as every host relays their packets from now on.
    pub fn switch(&mut self, now: Instant) {
        let newly_held = std::mem::take(&mut self.newly_held);
        self.start_holding(now, &newly_held);
    }

    /// Starts to hold buckets: their records are complete after the idle limit, as all packets
    /// without a record arrive here.
    pub fn start_holding(&mut self, now: Instant, buckets: &[u32]) {
        let second = to_seconds(now);
        let mut is_held = vec![false; self.roles.len()];
        for &bucket in buckets {
            is_held[bucket as usize] = true;
            if self.complete_at[bucket as usize] == INCOMPLETE {
                self.complete_at[bucket as usize] = second + ceil_seconds(self.bounds.idle_limit);
            }
        }
        for shard in &self.shards {
            let mut shard = lock(shard);
            for record in shard.iter_mut() {
                if is_held[record.key().bucket(self.bits) as usize] {
                    record.touch(second);
                }
            }
        }
    }

    /// Updates the roles after a view change; returns the buckets that this host gives up.
    ///
    /// `in_view` tells whether the view contains this host's current incarnation, or lists it as
    /// leaving.
    pub fn change_view(
        &mut self,
        own: HostId,
        in_view: bool,
        prior: &View,
        view: &View,
        limits: &impl Admit,
    ) -> Vec<u32> {
        let mut dropped = Vec::new();
        let mut gained = Vec::new();
        for bucket in 0..self.roles.len() as u32 {
            let home = view.home(self.service, bucket);
            let former = prior.home(self.service, bucket);
            let old_role = self.roles[bucket as usize];
            let new_role = match in_view {
                true => old_role.next(own, home, former, view),
                false => BucketRole::NotOwner,
            };
            if new_role == BucketRole::NotOwner && old_role != BucketRole::NotOwner {
                dropped.push(bucket);
            }
            if new_role != BucketRole::NotOwner && old_role == BucketRole::NotOwner {
                gained.push(bucket);
            }
            self.roles[bucket as usize] = new_role;
        }
        self.transfer_counts = TransferCounts::count(&self.roles);
        self.adopt_open_flows(&gained, limits);
        dropped
    }

    /// Takes ownership of the buckets whose former home is lost.
    pub fn confirm_view(&mut self, now: Instant, layout: &Layout) {
        let unconfirmed: Vec<_> = self.buckets(BucketRole::Unconfirmed).collect();
        for &bucket in &unconfirmed {
            self.set_role(bucket, BucketRole::Owner);
            self.complete_at[bucket as usize] = INCOMPLETE;
            self.retry_until[bucket as usize] = to_seconds(now) + ceil_seconds(SYN_RETRY_SPAN);
        }
        let held: Vec<_> = unconfirmed.into_iter().filter(|&b| layout.is_held(b)).collect();
        self.start_holding(now, &held);
    }

    /// Takes ownership of all buckets of a new service whose home is this host.
    ///
    /// Until `retry_end`, a SYN may repeat one that was forwarded before this host started.
    pub fn claim_buckets(&mut self, now: Instant, own: HostId, view: &View, retry_end: Instant) {
        for bucket in 0..self.roles.len() as u32 {
            if view.home(self.service, bucket) == Some(own) {
                self.set_role(bucket, BucketRole::Owner);
                self.retry_until[bucket as usize] = to_seconds(retry_end);
                if retry_end <= now {
                    self.complete_at[bucket as usize] = 0;
                }
            }
        }
    }

    /// Returns the records that the table does not imply and no backup has, and marks them as
    /// replicated.
    pub fn take_unreplicated(&mut self, now: Instant, layout: &Layout) -> Vec<Record> {
        let second = to_seconds(now);
        let refresh = second >= self.next_refresh;
        if refresh {
            self.next_refresh = second + ceil_seconds(self.bounds.idle_limit) / 2;
        }
        let mut unreplicated = Vec::new();
        for shard in &self.shards {
            let mut shard = lock(shard);
            for record in shard.iter_mut() {
                let bucket = record.key().bucket(self.bits);
                let in_table = record.target() == layout.fallback(bucket);
                if in_table
                    || record.is_closed()
                    || self.roles[bucket as usize] != BucketRole::Owner
                {
                    continue;
                }
                if refresh {
                    record.set_replicated(false);
                }
                if record.needs_replication() && unreplicated.len() < MAX_REPLICATED {
                    record.set_replicated(true);
                    unreplicated.push(*record);
                }
            }
        }
        unreplicated.sort_unstable_by_key(Record::key);
        unreplicated
    }

    /// Marks the records of buckets whose backup changes as not replicated.
    pub fn reset_replicated(&self, prior: &View, view: &View) {
        let count = self.count();
        let is_changed =
            |bucket| prior.backup(self.service, bucket) != view.backup(self.service, bucket);
        let changed: Vec<_> = (0..count).map(is_changed).collect();
        for shard in &self.shards {
            for record in lock(shard).iter_mut() {
                if changed[record.key().bucket(self.bits) as usize] {
                    record.set_replicated(false);
                }
            }
        }
    }

    /// Sets this host's role for a bucket.
    pub fn set_role(&mut self, bucket: u32, role: BucketRole) {
        let former = std::mem::replace(&mut self.roles[bucket as usize], role);
        self.transfer_counts.remove(former);
        self.transfer_counts.add(role);
    }

    /// Takes ownership of a bucket with the timers of its former home.
    pub fn complete_transfer(&mut self, now: Instant, bucket: u32, timers: (u32, u32)) {
        let second = to_seconds(now);
        self.set_role(bucket, BucketRole::Owner);
        self.complete_at[bucket as usize] = second.saturating_add(timers.0);
        self.retry_until[bucket as usize] = second.saturating_add(timers.1);
    }

    /// Adds a record that the former home has transferred, in place of a replicated one.
    pub fn add_transferred(&self, record: Record, limits: &impl Admit) {
        let mut shard = lock(self.shard(record.key()));
        let replaced = shard.insert(record);
        if replaced.is_none() {
            self.len.fetch_add(1, Ordering::Relaxed);
        }
        let was_open = replaced.is_some_and(|old| !old.is_closed());
        match (was_open, record.is_closed()) {
            (false, false) => limits.adopt(self.service),
            (true, true) => limits.release(self.service),
            _ => {}
        }
    }

    /// Adds a replicated record unless the flow already has a record.
    pub fn add_replica(&self, record: Record, limits: &impl Admit) {
        let mut shard = lock(self.shard(record.key()));
        if let Some(existing) = shard.get_mut(record.key()) {
            if self.role(record.key().bucket(self.bits)) == BucketRole::NotOwner {
                existing.touch(record.last_seen());
            }
            return;
        }
        if self.len() >= self.bounds.max_flows as usize {
            return;
        }
        shard.insert(record);
        self.len.fetch_add(1, Ordering::Relaxed);
        let owned = self.role(record.key().bucket(self.bits)) != BucketRole::NotOwner;
        if owned && !record.is_closed() {
            limits.adopt(self.service);
        }
    }

    /// Removes all records of these buckets but the detached ones, as another host decides on them.
    pub fn discard(&self, buckets: &[u32], limits: &impl Admit) {
        let mut is_discarded = vec![false; self.roles.len()];
        buckets.iter().for_each(|&bucket| is_discarded[bucket as usize] = true);
        for shard in &self.shards {
            let mut shard = lock(shard);
            shard.retain(|record| {
                let keep =
                    record.is_detached() || !is_discarded[record.key().bucket(self.bits) as usize];
                if !keep {
                    self.len.fetch_sub(1, Ordering::Relaxed);
                    if !record.is_closed() {
                        limits.release(self.service);
                    }
                }
                keep
            });
        }
    }

    /// Counts the open flows of newly owned buckets towards the limits.
    fn adopt_open_flows(&self, buckets: &[u32], limits: &impl Admit) {
        let mut is_gained = vec![false; self.roles.len()];
        buckets.iter().for_each(|&bucket| is_gained[bucket as usize] = true);
        for shard in &self.shards {
            let shard = lock(shard);
            let open = shard.iter().filter(|record| !record.is_closed());
            let open = open.filter(|r| is_gained[r.key().bucket(self.bits) as usize]);
            open.for_each(|_| limits.adopt(self.service));
        }
    }

    fn is_expired(&self, record: &Record, second: u32, layout: &Layout) -> bool {
        if layout.is_gone(record.target()) {
            return record.is_expired(second, SYN_RETRY_SPAN);
        }
        record.is_expired(second, self.bounds.idle_limit)
    }

    pub(super) fn shard(&self, key: FlowKey) -> &Mutex<Shard> {
        &self.shards[key.bucket(SHARD_BITS) as usize]
    }

    fn shards_of(&self, bucket: u32) -> &[Mutex<Shard>] {
        let first = FlowKey::from_parts(bucket, self.bits, 0).bucket(SHARD_BITS) as usize;
        let rest = (1u64 << (KEY_BITS - u32::from(self.bits))) - 1;
        let last = FlowKey::from_parts(bucket, self.bits, rest).bucket(SHARD_BITS) as usize;
        &self.shards[first..=last]
    }
}

/// Locks a shard; a poisoned one is still consistent, as each change is a single store.
pub(super) fn lock(shard: &Mutex<Shard>) -> std::sync::MutexGuard<'_, Shard> {
    shard.lock().unwrap_or_else(std::sync::PoisonError::into_inner)
}

#[cfg(test)]
mod tests {
    use super::super::admit::Unlimited;
    use super::super::plan::Stamp;
    use super::*;

    const OWN: HostId = HostId(1);

    fn view(number: u32, hosts: &[u32]) -> View {
        let hosts: Vec<_> = hosts.iter().copied().map(HostId).collect();
        let incarnations = vec![1; hosts.len()];
        View { stamp: Stamp { epoch: 1, number }, hosts, incarnations, leaving: Vec::new() }
    }

    #[test]
    fn the_transfer_counts_match_the_roles() {
        let bounds = Bounds { idle_limit: Span::seconds(60), max_flows: 100 };
        let mut flows = FlowTable::new(ServiceId(1), 8, bounds);
        let views = [view(1, &[1, 2]), view(2, &[1, 2, 3]), view(3, &[1, 3])];
        flows.claim_buckets(Instant(0), OWN, &views[0], Instant(0));
        assert_eq!(flows.transfer_counts, TransferCounts::count(&flows.roles));
        for pair in views.windows(2) {
            flows.change_view(OWN, true, &pair[0], &pair[1], &Unlimited);
            assert_eq!(flows.transfer_counts, TransferCounts::count(&flows.roles));
        }
        assert!(flows.has_outgoing() && flows.pending() > 0);
        let outgoing: Vec<_> = flows.buckets(BucketRole::Outgoing).collect();
        outgoing.iter().for_each(|&bucket| flows.set_role(bucket, BucketRole::InTransit));
        outgoing.iter().for_each(|&bucket| flows.set_role(bucket, BucketRole::NotOwner));
        assert!(!flows.has_outgoing());
        let incoming: Vec<_> = flows.buckets(BucketRole::Incoming(HostId(2))).collect();
        incoming.iter().for_each(|&bucket| flows.complete_transfer(Instant(0), bucket, (0, 0)));
        assert_eq!(flows.transfer_counts, TransferCounts::count(&flows.roles));
        assert_eq!(flows.pending(), 0);
    }
}
