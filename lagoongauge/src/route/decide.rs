//! What a home decides on a packet: record first, then table, limits and refusal.

use std::sync::atomic::Ordering;

use super::admit::Admit;
use super::flow_table::{FlowTable, lock, to_seconds};
use super::plan::Layout;
use super::record::{FlowKey, Record, Shard};
use super::table::NO_TARGET;
use super::{Direction, PacketFacts, Verdict};
use crate::error::Kind;
use crate::flow::Signal;
use crate::time::Instant;

impl FlowTable {
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
                self.update_record(record, now, facts, limits);
            }
            return Verdict::ToCaller;
        }
        let opens = matches!(facts.signal, Signal::Open | Signal::OpenData);
        let Some(record) = shard.get_mut(key) else {
            return self.decide_unrecorded(now, facts, layout, limits, &mut shard);
        };
        if opens && record.is_closed() {
            let keep_target = layout.accepts_new(record.target());
            let target =
                if keep_target { record.target() } else { layout.choice(key.bucket(self.bits)) };
            return self.open_flow(now, facts, target, layout, limits, &mut shard);
        }
        if layout.is_gone(record.target()) {
            return Verdict::Drop(Kind::Unroutable);
        }
        self.update_record(record, now, facts, limits);
        forward(layout, record.target())
    }

    pub(super) fn update_record(
        &self,
        record: &mut Record,
        now: Instant,
        facts: &PacketFacts,
        limits: &impl Admit,
    ) {
        let was_open = !record.is_closed();
        record.touch(to_seconds(now));
        match facts.signal {
            Signal::Finish => record.mark_fin(facts.direction == Direction::Inward),
            Signal::Reset => record.mark_reset(),
            _ => {}
        }
        if was_open && record.is_closed() {
            limits.release(self.service);
        }
    }

    fn decide_unrecorded(
        &self,
        now: Instant,
        facts: &PacketFacts,
        layout: &Layout,
        limits: &impl Admit,
        shard: &mut Shard,
    ) -> Verdict {
        let key = FlowKey::new(facts.flow);
        let bucket = key.bucket(self.bits);
        let incomplete = to_seconds(now) < self.complete_at[bucket as usize];
        let fallback = layout.fallback(bucket);
        match facts.signal {
            Signal::Open | Signal::OpenData => {
                self.open_flow(now, facts, layout.choice(bucket), layout, limits, shard)
            }
            Signal::Datagram if !(incomplete && layout.is_held(bucket)) => {
                self.open_flow(now, facts, layout.choice(bucket), layout, limits, shard)
            }
            Signal::Middle | Signal::Datagram
                if incomplete && layout.target(fallback).is_some() =>
            {
                self.add_learned(now, key, fallback, limits, shard);
                forward(layout, fallback)
            }
            _ => forward(layout, fallback),
        }
    }

    fn add_learned(
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
        shard.insert(Record::new(key, target, to_seconds(now)));
        self.len.fetch_add(1, Ordering::Relaxed);
        limits.adopt(self.service);
    }

    fn open_flow(
        &self,
        now: Instant,
        facts: &PacketFacts,
        target: u16,
        layout: &Layout,
        limits: &impl Admit,
        shard: &mut Shard,
    ) -> Verdict {
        let key = FlowKey::new(facts.flow);
        let Some(name) = layout.target(target) else {
            return self.refuse(now, key, Kind::NoTarget);
        };
        if self.len() >= self.bounds.max_flows as usize {
            return self.refuse(now, key, Kind::FlowLimit);
        }
        if let Err(kind) = limits.admit(now, self.service) {
            return self.refuse(now, key, kind);
        }
        if shard.insert(Record::new(key, target, to_seconds(now))).is_none() {
            self.len.fetch_add(1, Ordering::Relaxed);
        }
        Verdict::Forward(name)
    }

    /// Refuses a flow, but only where no lost home can have forwarded an earlier SYN of it.
    fn refuse(&self, now: Instant, key: FlowKey, kind: Kind) -> Verdict {
        if to_seconds(now) < self.retry_until[key.bucket(self.bits) as usize] {
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
    layout.target(target).map_or(Verdict::Drop(Kind::Unroutable), Verdict::Forward)
}
