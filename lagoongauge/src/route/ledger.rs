//! The part of a service's flows that one host decides on: its records and its duty per bucket.

use std::sync::Mutex;
use std::sync::atomic::{AtomicUsize, Ordering};

use super::admit::Admit;
use super::duty::{Duty, Tally};
use super::plan::{Layout, View};
use super::record::{FlowKey, KEY_BITS, Record, Shard};
use crate::id::{HostId, ServiceId};
use crate::time::{Instant, Span};

/// Logarithm of the number of shards of a service's records.
const SHARD_BITS: u8 = 6;

/// How long after its first SYN a caller's stack may still repeat it.
pub const RETRY_SPAN: Span = Span::seconds(64);

/// Most records that one sweep replicates.
const MAX_PINS: usize = 600;

/// A bucket's live flows are not known, and won't be until it has been held for the idle limit.
pub(super) const UNKNOWN: u32 = u32::MAX;

/// What the settings say of a service's flows.
#[derive(Debug, Clone, Copy)]
pub(super) struct Bounds {
    pub idle_limit: Span,
    pub max_flows: u32,
}

/// What a sweep over a service's records found.
#[derive(Debug, Default)]
pub(super) struct Sweep {
    /// Open flows by index of target.
    pub counts: Vec<u32>,
    /// Held buckets in which no flow differs from the table.
    pub settled: Vec<u32>,
    /// Buckets that are not held although a flow differs from the table.
    pub stray: Vec<u32>,
}

/// Records and duties of one service at one host.
#[derive(Debug)]
pub(super) struct Ledger {
    pub service: ServiceId,
    pub bounds: Bounds,
    pub(super) bits: u8,
    pub(super) shards: Vec<Mutex<Shard>>,
    pub(super) len: AtomicUsize,
    duties: Vec<Duty>,
    /// Second from which on every live flow of the bucket has a record.
    pub(super) known: Vec<u32>,
    /// Second until which an unrecorded SYN may be the repetition of one forwarded by a lost home.
    pub(super) careful: Vec<u32>,
    /// Buckets held by the prepared table.
    fresh: Vec<u32>,
    /// Second at which the backups are told of all records again.
    next_refresh: u32,
    tally: Tally,
}

/// Returns an instant as whole seconds.
pub(super) const fn second(now: Instant) -> u32 {
    (now.0 / 1000) as u32
}

const fn seconds(span: Span) -> u32 {
    span.0.div_ceil(1000) as u32
}

impl Ledger {
    /// Builds the ledger of a service that no host has served yet.
    pub fn new(service: ServiceId, bits: u8, bounds: Bounds) -> Self {
        let count = 1 << bits;
        Self {
            service,
            bounds,
            bits,
            shards: (0..1 << SHARD_BITS).map(|_| Mutex::default()).collect(),
            len: AtomicUsize::new(0),
            duties: vec![Duty::Other; count],
            known: vec![UNKNOWN; count],
            careful: vec![0; count],
            fresh: Vec::new(),
            next_refresh: 0,
            tally: Tally::default(),
        }
    }

    /// Returns the host's duty for a bucket.
    pub fn duty(&self, bucket: u32) -> Duty {
        self.duties[bucket as usize]
    }

    /// Returns the number of buckets whose handover is under way.
    pub fn pending(&self) -> usize {
        self.tally.giving + self.tally.waiting
    }

    /// Returns whether this host hands any bucket over.
    pub fn giving(&self) -> bool {
        self.tally.giving > 0
    }

    /// Returns the logarithm of the number of buckets.
    pub fn bits(&self) -> u8 {
        self.bits
    }

    /// Returns the number of buckets.
    pub fn count(&self) -> u32 {
        self.duties.len() as u32
    }

    /// Returns the number of records.
    pub fn len(&self) -> usize {
        self.len.load(Ordering::Relaxed)
    }

    /// Returns the bytes that the records take.
    pub fn bytes(&self) -> usize {
        self.shards.iter().map(|shard| lock(shard).bytes()).sum()
    }

    /// Returns the buckets with the given duty.
    pub fn buckets(&self, duty: Duty) -> impl Iterator<Item = u32> + '_ {
        (0..).zip(&self.duties).filter(move |(_, d)| **d == duty).map(|(bucket, _)| bucket)
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

    /// Returns the spans after which the bucket's flows are known and its SYNs are new ones.
    pub fn knowledge(&self, now: Instant, bucket: u32) -> (u32, u32) {
        let second = second(now);
        let known = match self.known[bucket as usize] {
            UNKNOWN => UNKNOWN,
            at => at.saturating_sub(second),
        };
        (known, self.careful[bucket as usize].saturating_sub(second))
    }

    /// Goes over all records: ends those whose time is over and counts the others.
    pub fn sweep(&mut self, now: Instant, layout: &Layout, limits: &impl Admit) -> Sweep {
        let mut sweep = Sweep { counts: vec![0; layout.names.len()], ..Sweep::default() };
        let mut pinned = vec![false; self.duties.len()];
        let mut silent = Vec::new();
        let at = second(now);
        let mut len = 0;
        for shard in &self.shards {
            let mut shard = lock(shard);
            shard.retain(|record| {
                let bucket = record.key().bucket(self.bits);
                let duty = self.duties[bucket as usize];
                if duty != Duty::Given && self.ended(record, at, layout) {
                    let counted = duty != Duty::Other || record.alone();
                    if !record.closed() && counted {
                        limits.release(self.service);
                        silent.push(bucket);
                    }
                    return false;
                }
                let index = record.target();
                if !record.closed() && duty.decides() {
                    sweep.counts[usize::from(index)] += 1;
                }
                pinned[bucket as usize] |= index != layout.choice(bucket) && !layout.is_gone(index);
                true
            });
            len += shard.len();
        }
        self.len.store(len, Ordering::Relaxed);
        for bucket in silent.into_iter().filter(|&bucket| !layout.is_held(bucket)) {
            self.known[bucket as usize] = UNKNOWN;
        }
        let plain = self.buckets(Duty::Own).filter(|&bucket| !layout.is_held(bucket));
        sweep.stray = plain.filter(|&bucket| pinned[bucket as usize]).collect();
        if layout.next.is_none() {
            let owned = self.buckets(Duty::Own).filter(|&bucket| layout.is_held(bucket));
            let whole = owned.filter(|&bucket| self.known[bucket as usize] <= at);
            sweep.settled = whole.filter(|&bucket| !pinned[bucket as usize]).collect();
        }
        sweep
    }

    /// Notes that the buckets which a prepared table would move are held.
    pub fn prepare(&mut self, before: &[bool], layout: &Layout) {
        let held = (0..).zip(before).filter(|&(bucket, was)| !was && layout.is_held(bucket));
        self.fresh.extend(held.map(|(bucket, _)| bucket));
    }

    /// Notes that every host relays the packets of the prepared buckets from now on.
    pub fn switch(&mut self, now: Instant) {
        let fresh = std::mem::take(&mut self.fresh);
        self.watch(now, &fresh);
    }

    /// Takes it that every packet of these buckets without a record comes by here from now on.
    pub fn watch(&mut self, now: Instant, buckets: &[u32]) {
        let at = second(now);
        let mut held = vec![false; self.duties.len()];
        for &bucket in buckets {
            held[bucket as usize] = true;
            if self.known[bucket as usize] == UNKNOWN {
                self.known[bucket as usize] = at + seconds(self.bounds.idle_limit);
            }
        }
        for shard in &self.shards {
            let mut shard = lock(shard);
            for record in shard.iter_mut() {
                if held[record.key().bucket(self.bits) as usize] {
                    record.touch(at);
                }
            }
        }
    }

    /// Takes the duties that follow from a changed view; returns the buckets given up.
    ///
    /// `present` says whether the view knows this host in its present life.
    pub fn change_view(
        &mut self,
        own: HostId,
        present: bool,
        prior: &View,
        view: &View,
        limits: &impl Admit,
    ) -> Vec<u32> {
        let mut dropped = Vec::new();
        let mut gained = Vec::new();
        for bucket in 0..self.duties.len() as u32 {
            let home = view.home(self.service, bucket);
            let former = prior.home(self.service, bucket);
            let old = self.duties[bucket as usize];
            let new = match present {
                true => old.next(own, home, former, view),
                false => Duty::Other,
            };
            if new == Duty::Other && old != Duty::Other {
                dropped.push(bucket);
            }
            if new != Duty::Other && old == Duty::Other {
                gained.push(bucket);
            }
            self.duties[bucket as usize] = new;
        }
        self.tally = Tally::of(&self.duties);
        self.count_in(&gained, limits);
        dropped
    }

    /// Begins to decide on the buckets whose former home is lost.
    pub fn settle(&mut self, now: Instant, layout: &Layout) {
        let paused: Vec<_> = self.buckets(Duty::Pause).collect();
        for &bucket in &paused {
            self.set_duty(bucket, Duty::Own);
            self.known[bucket as usize] = UNKNOWN;
            self.careful[bucket as usize] = second(now) + seconds(RETRY_SPAN);
        }
        let held: Vec<_> = paused.into_iter().filter(|&b| layout.is_held(b)).collect();
        self.watch(now, &held);
    }

    /// Begins to decide on all buckets of a new service that this host is the home of.
    pub fn begin(&mut self, now: Instant, own: HostId, view: &View, careful: Instant) {
        for bucket in 0..self.duties.len() as u32 {
            if view.home(self.service, bucket) == Some(own) {
                self.set_duty(bucket, Duty::Own);
                self.careful[bucket as usize] = second(careful);
                if careful <= now {
                    self.known[bucket as usize] = 0;
                }
            }
        }
    }

    /// Returns records that only this host knows and that the table can't tell, and takes them for
    /// replicated.
    pub fn take_pins(&mut self, now: Instant, layout: &Layout) -> Vec<Record> {
        let at = second(now);
        let refresh = at >= self.next_refresh;
        if refresh {
            self.next_refresh = at + seconds(self.bounds.idle_limit) / 2;
        }
        let mut pins = Vec::new();
        for shard in &self.shards {
            let mut shard = lock(shard);
            for record in shard.iter_mut() {
                let bucket = record.key().bucket(self.bits);
                let plain = record.target() == layout.fallback(bucket);
                if plain || record.closed() || self.duties[bucket as usize] != Duty::Own {
                    continue;
                }
                if refresh {
                    record.set_replicated(false);
                }
                if record.awaits_backup() && pins.len() < MAX_PINS {
                    record.set_replicated(true);
                    pins.push(*record);
                }
            }
        }
        pins.sort_unstable_by_key(Record::key);
        pins
    }

    /// Forgets what has been replicated of the buckets that have another backup from now on.
    pub fn change_backups(&self, prior: &View, view: &View) {
        let count = self.count();
        let other =
            |bucket| prior.backup(self.service, bucket) != view.backup(self.service, bucket);
        let moved: Vec<_> = (0..count).map(other).collect();
        for shard in &self.shards {
            for record in lock(shard).iter_mut() {
                if moved[record.key().bucket(self.bits) as usize] {
                    record.set_replicated(false);
                }
            }
        }
    }

    /// Sets the duty for a bucket.
    pub fn set_duty(&mut self, bucket: u32, duty: Duty) {
        let old = std::mem::replace(&mut self.duties[bucket as usize], duty);
        self.tally.remove(old);
        self.tally.add(duty);
    }

    /// Takes a bucket over with what its former home knows of it.
    pub fn take(&mut self, now: Instant, bucket: u32, knowledge: (u32, u32)) {
        let at = second(now);
        self.set_duty(bucket, Duty::Own);
        self.known[bucket as usize] = at.saturating_add(knowledge.0);
        self.careful[bucket as usize] = at.saturating_add(knowledge.1);
    }

    /// Adds a record that the former home has handed over, in place of a replicated one.
    pub fn receive(&self, record: Record, limits: &impl Admit) {
        let mut shard = lock(self.shard(record.key()));
        let old = shard.insert(record);
        if old.is_none() {
            self.len.fetch_add(1, Ordering::Relaxed);
        }
        let counted = old.is_some_and(|old| !old.closed());
        match (counted, record.closed()) {
            (false, false) => limits.adopt(self.service),
            (true, true) => limits.release(self.service),
            _ => {}
        }
    }

    /// Adds a replicated record, unless there is one of the same flow.
    pub fn replicate(&self, record: Record, limits: &impl Admit) {
        let mut shard = lock(self.shard(record.key()));
        if let Some(known) = shard.get_mut(record.key()) {
            if self.duty(record.key().bucket(self.bits)) == Duty::Other {
                known.touch(record.seen());
            }
            return;
        }
        if self.len() >= self.bounds.max_flows as usize {
            return;
        }
        shard.insert(record);
        self.len.fetch_add(1, Ordering::Relaxed);
        let decided = self.duty(record.key().bucket(self.bits)) != Duty::Other;
        if decided && !record.closed() {
            limits.adopt(self.service);
        }
    }

    /// Ends all records of these buckets, as another host decides on them from now on.
    pub fn discard(&self, buckets: &[u32], limits: &impl Admit) {
        let mut gone = vec![false; self.duties.len()];
        buckets.iter().for_each(|&bucket| gone[bucket as usize] = true);
        for shard in &self.shards {
            let mut shard = lock(shard);
            shard.retain(|record| {
                let keep = record.alone() || !gone[record.key().bucket(self.bits) as usize];
                if !keep {
                    self.len.fetch_sub(1, Ordering::Relaxed);
                    if !record.closed() {
                        limits.release(self.service);
                    }
                }
                keep
            });
        }
    }

    fn count_in(&self, buckets: &[u32], limits: &impl Admit) {
        let mut gained = vec![false; self.duties.len()];
        buckets.iter().for_each(|&bucket| gained[bucket as usize] = true);
        for shard in &self.shards {
            let shard = lock(shard);
            let open = shard.iter().filter(|record| !record.closed());
            let open = open.filter(|r| gained[r.key().bucket(self.bits) as usize]);
            open.for_each(|_| limits.adopt(self.service));
        }
    }

    fn ended(&self, record: &Record, at: u32, layout: &Layout) -> bool {
        if layout.is_gone(record.target()) {
            return record.ended(at, RETRY_SPAN);
        }
        record.ended(at, self.bounds.idle_limit)
    }

    pub(super) fn shard(&self, key: FlowKey) -> &Mutex<Shard> {
        &self.shards[key.bucket(SHARD_BITS) as usize]
    }

    fn shards_of(&self, bucket: u32) -> &[Mutex<Shard>] {
        let first = FlowKey::join(bucket, self.bits, 0).bucket(SHARD_BITS) as usize;
        let rest = (1u64 << (KEY_BITS - u32::from(self.bits))) - 1;
        let last = FlowKey::join(bucket, self.bits, rest).bucket(SHARD_BITS) as usize;
        &self.shards[first..=last]
    }
}

/// Locks a shard; what a panic left behind is still sound, as each change is one store.
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
        let lives = vec![1; hosts.len()];
        View { stamp: Stamp { epoch: 1, number }, hosts, lives, leaving: Vec::new() }
    }

    #[test]
    fn the_tally_counts_what_the_duties_say() {
        let bounds = Bounds { idle_limit: Span::seconds(60), max_flows: 100 };
        let mut ledger = Ledger::new(ServiceId(1), 8, bounds);
        let views = [view(1, &[1, 2]), view(2, &[1, 2, 3]), view(3, &[1, 3])];
        ledger.begin(Instant(0), OWN, &views[0], Instant(0));
        assert_eq!(ledger.tally, Tally::of(&ledger.duties));
        for pair in views.windows(2) {
            ledger.change_view(OWN, true, &pair[0], &pair[1], &Unlimited);
            assert_eq!(ledger.tally, Tally::of(&ledger.duties));
        }
        assert!(ledger.giving() && ledger.pending() > 0);
        let given: Vec<_> = ledger.buckets(Duty::Give).collect();
        given.iter().for_each(|&bucket| ledger.set_duty(bucket, Duty::Given));
        given.iter().for_each(|&bucket| ledger.set_duty(bucket, Duty::Other));
        assert!(!ledger.giving());
        let waiting: Vec<_> = ledger.buckets(Duty::Wait(HostId(2))).collect();
        waiting.iter().for_each(|&bucket| ledger.take(Instant(0), bucket, (0, 0)));
        assert_eq!(ledger.tally, Tally::of(&ledger.duties));
        assert_eq!(ledger.pending(), 0);
    }
}
