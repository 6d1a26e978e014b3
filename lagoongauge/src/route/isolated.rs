//! What a host decides that is cut off from a majority of its group; see "Cut off" in
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

/// How often a host that was cut off tells the homes of its flows.
const RESYNC_ROUNDS: u8 = 4;

/// Time between two of these.
const RESYNC_INTERVAL: Span = Span::seconds(2);

impl FlowTable {
    /// Decides on a packet with the last table and the targets that this host can reach.
    ///
    /// Hosts that are cut off together take the same decisions without talking, as long as they
    /// reach the same targets. Nothing is refused: the other hosts may have forwarded it.
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
        let Some((index, name)) = target else { return Verdict::Drop(Kind::Unroutable) };
        if !opens {
            return Verdict::Forward(name);
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
        Verdict::Forward(name)
    }

    /// Returns the target of a flow that this host opened while cut off.
    pub fn detached_target(&self, facts: &PacketFacts, layout: &Layout) -> Option<TargetId> {
        let key = FlowKey::new(facts.flow);
        let mut shard = lock(self.shard(key));
        let record = shard.get_mut(key).filter(|record| record.is_detached())?;
        layout.target(record.target())
    }

    /// Keeps the records that the table can't tell of buckets that other hosts have taken over.
    pub fn detach(&self, buckets: &[u32], layout: &Layout) {
        let mut is_taken = vec![false; self.count() as usize];
        buckets.iter().for_each(|&bucket| is_taken[bucket as usize] = true);
        for shard in &self.shards {
            for record in lock(shard).iter_mut() {
                let bucket = record.key().bucket(self.bits());
                let in_table = record.target() == layout.fallback(bucket) || record.is_closed();
                if is_taken[bucket as usize] && !in_table {
                    record.set_detached(true);
                }
            }
        }
    }

    /// Returns the records of flows that other homes should know of.
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

    /// Ends the records of flows that other homes know of by now.
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
    /// Brings the flows of a host that was cut off to their homes.
    ///
    /// It does so a few times, as the homes change again when the hosts return.
    pub fn tick_resync(&mut self, now: Instant, limits: &impl Admit) {
        if !self.follower.was_isolated || !self.leased(now) || now < self.follower.next_resync {
            return;
        }
        self.follower.next_resync = now + RESYNC_INTERVAL;
        self.follower.resync_rounds += 1;
        let done = self.follower.resync_rounds > RESYNC_ROUNDS;
        for (&service, flows) in &self.flow_tables {
            let Some(layout) = self.plan.services.get(&service) else { continue };
            let (stamp, view) = (self.plan.stamp, &self.plan.view);
            let mut records = flows.detached_records(self.own, view);
            if done {
                flows.drop_detached(limits);
                continue;
            }
            records.retain(|r| r.target() != layout.fallback(r.key().bucket(layout.bits)));
            self.handover.replicate_to_homes(service, layout.bits, stamp, &records, view);
        }
        if done {
            self.follower.was_isolated = false;
            self.follower.resync_rounds = 0;
        }
    }
}

/// Returns the bucket's target, or the first in its rendezvous order that this host reaches.
fn reachable_target(
    layout: &Layout,
    reachable: &Table,
    bucket: u32,
    opens: bool,
) -> Option<(u16, TargetId)> {
    let reaches = |target: TargetId| match reachable.weight(target) {
        Some(weight) => weight > 0 || !opens,
        None => false,
    };
    let fallback = layout.fallback(bucket);
    let first =
        if opens && !layout.accepts_new(fallback) { layout.choice(bucket) } else { fallback };
    if let Some(name) = layout.target(first).filter(|&name| reaches(name)) {
        return Some((first, name));
    }
    let name = layout.table.choose_among(bucket, reaches)?;
    let index = layout.targets.iter().position(|&other| other == name)?;
    Some((index as u16, name))
}
