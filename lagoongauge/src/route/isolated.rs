//! Decisions of a host that is isolated from a majority of its group; see "Cut off" in
//! docs/DESIGN.md.

use std::sync::atomic::Ordering;

use super::admit::Admit;
use super::decide::forward;
use super::flow_table::{FlowTable, lock, to_seconds};
use super::plan::{Layout, View};
use super::record::{FlowKey, Record};
use super::role::BucketRole;
use super::state::RouterState;
use super::table::Table;
use super::{Direction, PacketFacts, Verdict};
use crate::error::Kind;
use crate::flow::Signal;
use crate::id::{HostId, TargetId};
use crate::time::{Instant, Span};

/// Number of times that a formerly isolated host sends its records to their homes.
const RESYNC_ROUNDS: u8 = 4;

/// Interval between two of these rounds.
const RESYNC_INTERVAL: Span = Span::seconds(2);

impl FlowTable {
    /// Decides on a packet by the last table and the targets that this host can reach.
    ///
    /// Hosts on the same side of a partition take the same decisions without messages, as long as
    /// they reach the same targets. No flow is refused, as other hosts may have forwarded it.
    pub fn decide_isolated(
        &self,
        now: Instant,
        facts: &PacketFacts,
        layout: &Layout,
        reachable: &Table,
        limits: &impl Admit,
    ) -> Verdict {
        let key = FlowKey::new(facts.flow);
        let opens = !matches!(facts.signal, Signal::Middle | Signal::Finish | Signal::Reset);
        let mut shard = lock(self.shard(key));
        let record = shard.get_mut(key).filter(|record| !(opens && record.is_closed()));
        if let Some(record) = record {
            self.update_record(record, now, facts, limits);
            return match facts.direction {
                Direction::Outward => Verdict::ToCaller,
                Direction::Inward => forward(layout, record.target()),
            };
        }
        if facts.direction == Direction::Outward {
            return Verdict::ToCaller;
        }
        let bucket = key.bucket(self.bits());
        let target = reachable_target(layout, reachable, bucket, opens);
        let Some((index, target)) = target else { return Verdict::Drop(Kind::Unroutable) };
        if !opens {
            return Verdict::Forward(target);
        }
        if self.len() >= self.bounds.max_flows as usize {
            return Verdict::Drop(Kind::FlowLimit);
        }
        if let Err(kind) = limits.admit(now, self.service) {
            return Verdict::Drop(kind);
        }
        let mut record = Record::new(key, index, to_seconds(now));
        record.set_detached(self.role(bucket) == BucketRole::NotOwner);
        if shard.insert(record).is_none() {
            self.len.fetch_add(1, Ordering::Relaxed);
        }
        Verdict::Forward(target)
    }

    /// Returns the target of a flow with a detached record.
    pub fn detached_target(&self, facts: &PacketFacts, layout: &Layout) -> Option<TargetId> {
        let key = FlowKey::new(facts.flow);
        let mut shard = lock(self.shard(key));
        let record = shard.get_mut(key).filter(|record| record.is_detached())?;
        layout.target(record.target())
    }

    /// Detaches the records of open flows in buckets that this host gave up, unless the table
    /// implies them.
    pub fn detach(&self, buckets: &[u32], layout: &Layout) {
        let mut is_dropped = vec![false; self.count() as usize];
        buckets.iter().for_each(|&bucket| is_dropped[bucket as usize] = true);
        for shard in &self.shards {
            for record in lock(shard).iter_mut() {
                let bucket = record.key().bucket(self.bits());
                let is_unneeded = record.target() == layout.fallback(bucket) || record.is_closed();
                if is_dropped[bucket as usize] && !is_unneeded {
                    record.set_detached(true);
                }
            }
        }
    }

    /// Returns the detached records of open flows, which their homes may lack.
    fn detached_records(&self, own: HostId, view: &View) -> Vec<Record> {
        let mut records = Vec::new();
        for shard in &self.shards {
            for record in lock(shard).iter_mut().filter(|record| record.is_detached()) {
                let bucket = record.key().bucket(self.bits());
                let home = view.home(self.service, bucket);
                if home == Some(own) && self.role(bucket) == BucketRole::Owner {
                    record.set_detached(false);
                } else if !record.is_closed() {
                    records.push(*record);
                }
            }
        }
        records.sort_unstable_by_key(Record::key);
        records
    }

    /// Removes the detached records, which their homes have by now.
    fn drop_detached(&self, limits: &impl Admit) {
        for shard in &self.shards {
            lock(shard).retain(|record| {
                if !record.is_detached() {
                    return true;
                }
                self.len.fetch_sub(1, Ordering::Relaxed);
                if !record.is_closed() {
                    limits.release(self.service);
                }
                false
            });
        }
    }
}

impl RouterState {
    /// Sends the detached records of a formerly isolated host to their homes.
    ///
    /// This is repeated a few times, as the homes change again when the isolated hosts rejoin.
    pub fn tick_resync(&mut self, now: Instant, limits: &impl Admit) {
        if !self.follower.was_isolated || !self.leased(now) || now < self.follower.next_resync {
            return;
        }
        self.follower.next_resync = now + RESYNC_INTERVAL;
        self.follower.resync_rounds += 1;
        let finished = self.follower.resync_rounds > RESYNC_ROUNDS;
        for (&service, flows) in &self.flow_tables {
            let Some(layout) = self.plan.services.get(&service) else { continue };
            let (stamp, view) = (self.plan.stamp, &self.plan.view);
            let mut records = flows.detached_records(self.own, view);
            if finished {
                flows.drop_detached(limits);
                continue;
            }
            records.retain(|r| r.target() != layout.fallback(r.key().bucket(layout.bits)));
            self.handover.replicate_to_homes(service, layout.bits, stamp, &records, view);
        }
        if finished {
            self.follower.was_isolated = false;
            self.follower.resync_rounds = 0;
        }
    }
}

/// Returns the bucket's target, or the first reachable one in its rendezvous order.
fn reachable_target(
    layout: &Layout,
    reachable: &Table,
    bucket: u32,
    opens: bool,
) -> Option<(u16, TargetId)> {
    let usable = |target: TargetId| match reachable.weight(target) {
        Some(weight) => weight > 0 || !opens,
        None => false,
    };
    let fallback = layout.fallback(bucket);
    let first =
        if opens && !layout.accepts_new(fallback) { layout.choice(bucket) } else { fallback };
    if let Some(target) = layout.target(first).filter(|&target| usable(target)) {
        return Some((first, target));
    }
    let target = layout.table.choose_among(bucket, usable)?;
    let index = layout.targets.iter().position(|&other| other == target)?;
    Some((index as u16, target))
}
