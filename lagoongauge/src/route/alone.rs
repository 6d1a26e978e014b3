//! What a host decides that is cut off from a majority of its group; see "Cut off" in
//! docs/DESIGN.md.

use std::sync::atomic::Ordering;

use super::admit::Admit;
use super::core::Core;
use super::decide::forward;
use super::duty::Duty;
use super::ledger::{Ledger, lock, second};
use super::plan::{Layout, View};
use super::record::{FlowKey, Record};
use super::table::Table;
use super::{Direction, PacketFacts, Verdict};
use crate::error::Kind;
use crate::flow::Signal;
use crate::id::{HostId, TargetId};
use crate::time::{Instant, Span};

/// How often a host that was cut off tells the homes of its flows.
const RETURNS: u8 = 4;

/// Time between two of these.
const RETURN_INTERVAL: Span = Span::seconds(2);

impl Ledger {
    /// Decides on a packet with the last table and the targets that this host can reach.
    ///
    /// Hosts that are cut off together take the same decisions without talking, as long as they
    /// reach the same targets. Nothing is refused: the other hosts may have forwarded it.
    pub fn decide_alone(
        &self,
        now: Instant,
        facts: &PacketFacts,
        layout: &Layout,
        reached: &Table,
        limits: &impl Admit,
    ) -> Verdict {
        let key = FlowKey::new(facts.flow);
        let opens = !matches!(facts.signal, Signal::Middle | Signal::Finish | Signal::Reset);
        let mut shard = lock(self.shard(key));
        let known = shard.get_mut(key).filter(|record| !(opens && record.closed()));
        if let Some(record) = known {
            self.note(record, now, facts, limits);
            return match facts.direction {
                Direction::Outward => Verdict::ToCaller,
                Direction::Inward => forward(layout, record.target()),
            };
        }
        if facts.direction == Direction::Outward {
            return Verdict::ToCaller;
        }
        let bucket = key.bucket(self.bits());
        let target = reached_target(layout, reached, bucket, opens);
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
        let mut record = Record::new(key, index, second(now));
        record.set_alone(self.duty(bucket) == Duty::Other);
        if shard.insert(record).is_none() {
            self.len.fetch_add(1, Ordering::Relaxed);
        }
        Verdict::Forward(name)
    }

    /// Returns the target of a flow that this host opened while cut off.
    pub fn target_alone(&self, facts: &PacketFacts, layout: &Layout) -> Option<TargetId> {
        let key = FlowKey::new(facts.flow);
        let mut shard = lock(self.shard(key));
        let record = shard.get_mut(key).filter(|record| record.alone())?;
        layout.name(record.target())
    }

    /// Keeps the records that the table can't tell of buckets that other hosts have taken over.
    pub fn set_aside(&self, buckets: &[u32], layout: &Layout) {
        let mut taken = vec![false; self.count() as usize];
        buckets.iter().for_each(|&bucket| taken[bucket as usize] = true);
        for shard in &self.shards {
            for record in lock(shard).iter_mut() {
                let bucket = record.key().bucket(self.bits());
                let told = record.target() == layout.fallback(bucket) || record.closed();
                if taken[bucket as usize] && !told {
                    record.set_alone(true);
                }
            }
        }
    }

    /// Returns the records of flows that other homes should know of.
    fn alone(&self, own: HostId, view: &View) -> Vec<Record> {
        let mut records = Vec::new();
        for shard in &self.shards {
            for record in lock(shard).iter_mut().filter(|record| record.alone()) {
                let bucket = record.key().bucket(self.bits());
                let home = view.home(self.service, bucket);
                if home == Some(own) && self.duty(bucket) == Duty::Own {
                    record.set_alone(false);
                } else if !record.closed() {
                    records.push(*record);
                }
            }
        }
        records.sort_unstable_by_key(Record::key);
        records
    }

    /// Ends the records of flows that other homes know of by now.
    fn forget_alone(&self, limits: &impl Admit) {
        for shard in &self.shards {
            lock(shard).retain(|record| {
                if !record.alone() {
                    return true;
                }
                self.len.fetch_sub(1, Ordering::Relaxed);
                if !record.closed() {
                    limits.release(self.service);
                }
                false
            });
        }
    }
}

impl Core {
    /// Brings the flows of a host that was cut off to their homes.
    ///
    /// It does so a few times, as the homes change again when the hosts return.
    pub fn return_tick(&mut self, now: Instant, limits: &impl Admit) {
        if !self.follower.was_alone || !self.leased(now) || now < self.follower.next_return {
            return;
        }
        self.follower.next_return = now + RETURN_INTERVAL;
        self.follower.returns += 1;
        let over = self.follower.returns > RETURNS;
        for (&service, ledger) in &self.ledgers {
            let Some(layout) = self.plan.services.get(&service) else { continue };
            let (stamp, view) = (self.plan.stamp, &self.plan.view);
            let mut records = ledger.alone(self.own, view);
            if over {
                ledger.forget_alone(limits);
                continue;
            }
            records.retain(|r| r.target() != layout.fallback(r.key().bucket(layout.bits)));
            self.handover.bring_home(service, layout.bits, stamp, &records, view);
        }
        if over {
            self.follower.was_alone = false;
            self.follower.returns = 0;
        }
    }
}

/// Returns the bucket's target, or the first in its rendezvous order that this host reaches.
fn reached_target(
    layout: &Layout,
    reached: &Table,
    bucket: u32,
    opens: bool,
) -> Option<(u16, TargetId)> {
    let reaches = |target: TargetId| match reached.weight(target) {
        Some(weight) => weight > 0 || !opens,
        None => false,
    };
    let old = layout.fallback(bucket);
    let first = if opens && !layout.takes_new(old) { layout.choice(bucket) } else { old };
    if let Some(name) = layout.name(first).filter(|&name| reaches(name)) {
        return Some((first, name));
    }
    let name = layout.table.choose_among(bucket, reaches)?;
    let index = layout.names.iter().position(|&other| other == name)?;
    Some((index as u16, name))
}
