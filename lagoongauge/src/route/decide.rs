//! What a home decides on a packet: record first, then table, limits and refusal.

use std::sync::atomic::Ordering;

use super::admit::Admit;
use super::ledger::{Ledger, lock, second};
use super::plan::Layout;
use super::record::{FlowKey, Record, Shard};
use super::table::NO_TARGET;
use super::{Direction, PacketFacts, Verdict};
use crate::error::Kind;
use crate::flow::Signal;
use crate::time::Instant;

impl Ledger {
    /// Decides on a packet of a bucket that this host decides on.
    pub fn decide(
        &self,
        now: Instant,
        facts: &PacketFacts,
        layout: &Layout,
        limits: &impl Admit,
    ) -> Verdict {
        let key = FlowKey::new(facts.flow);
        let mut shard = lock(self.shard(key));
        if facts.direction == Direction::Outward {
            if let Some(record) = shard.get_mut(key) {
                self.note(record, now, facts, limits);
            }
            return Verdict::ToCaller;
        }
        let opens = matches!(facts.signal, Signal::Open | Signal::OpenData);
        let Some(record) = shard.get_mut(key) else {
            return self.unrecorded(now, facts, layout, limits, &mut shard);
        };
        if opens && record.closed() {
            let again = layout.takes_new(record.target());
            let target = if again { record.target() } else { layout.choice(key.bucket(self.bits)) };
            return self.open(now, facts, target, layout, limits, &mut shard);
        }
        if layout.is_gone(record.target()) {
            return Verdict::Drop(Kind::Unroutable);
        }
        self.note(record, now, facts, limits);
        forward(layout, record.target())
    }

    pub(super) fn note(
        &self,
        record: &mut Record,
        now: Instant,
        facts: &PacketFacts,
        limits: &impl Admit,
    ) {
        let open = !record.closed();
        record.touch(second(now));
        match facts.signal {
            Signal::Finish => record.finish(facts.direction == Direction::Inward),
            Signal::Reset => record.reset(),
            _ => {}
        }
        if open && record.closed() {
            limits.release(self.service);
        }
    }

    fn unrecorded(
        &self,
        now: Instant,
        facts: &PacketFacts,
        layout: &Layout,
        limits: &impl Admit,
        shard: &mut Shard,
    ) -> Verdict {
        let key = FlowKey::new(facts.flow);
        let bucket = key.bucket(self.bits);
        let unknown = second(now) < self.known[bucket as usize];
        let old = layout.fallback(bucket);
        match facts.signal {
            Signal::Open | Signal::OpenData => {
                self.open(now, facts, layout.choice(bucket), layout, limits, shard)
            }
            Signal::Datagram if !(unknown && layout.is_held(bucket)) => {
                self.open(now, facts, layout.choice(bucket), layout, limits, shard)
            }
            Signal::Middle | Signal::Datagram if unknown && layout.name(old).is_some() => {
                self.learn(now, key, old, limits, shard);
                forward(layout, old)
            }
            _ => forward(layout, old),
        }
    }

    fn learn(
        &self,
        now: Instant,
        key: FlowKey,
        target: u16,
        limits: &impl Admit,
        shard: &mut Shard,
    ) {
        if self.len() >= self.bounds.max_flows as usize {
            return;
        }
        shard.insert(Record::new(key, target, second(now)));
        self.len.fetch_add(1, Ordering::Relaxed);
        limits.adopt(self.service);
    }

    fn open(
        &self,
        now: Instant,
        facts: &PacketFacts,
        target: u16,
        layout: &Layout,
        limits: &impl Admit,
        shard: &mut Shard,
    ) -> Verdict {
        let key = FlowKey::new(facts.flow);
        let Some(name) = layout.name(target) else {
            return self.refuse(now, key, Kind::NoTarget);
        };
        if self.len() >= self.bounds.max_flows as usize {
            return self.refuse(now, key, Kind::FlowLimit);
        }
        if let Err(kind) = limits.admit(now, self.service) {
            return self.refuse(now, key, kind);
        }
        if shard.insert(Record::new(key, target, second(now))).is_none() {
            self.len.fetch_add(1, Ordering::Relaxed);
        }
        Verdict::Forward(name)
    }

    /// Refuses a flow, but only where no lost home can have forwarded an earlier SYN of it.
    fn refuse(&self, now: Instant, key: FlowKey, kind: Kind) -> Verdict {
        if second(now) < self.careful[key.bucket(self.bits) as usize] {
            return Verdict::Drop(kind);
        }
        Verdict::Refuse(kind)
    }
}

/// Returns the verdict that sends a packet to the target of an index.
pub(super) fn forward(layout: &Layout, target: u16) -> Verdict {
    if target == NO_TARGET || layout.is_gone(target) {
        return Verdict::Drop(Kind::Unroutable);
    }
    layout.name(target).map_or(Verdict::Drop(Kind::Unroutable), Verdict::Forward)
}
