//! Decisions of a home on packets: by record first, then by table and limits.

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
    /// Decides on a packet of a bucket for which this host decides.
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
            let index =
                if keep_target { record.target() } else { layout.choice(key.bucket(self.bits)) };
            return self.open_flow(now, facts, index, layout, limits, &mut shard);
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

    /// Decides on an inward packet of a flow without a record.
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
                self.add_missing_record(now, key, fallback, limits, shard);
                forward(layout, fallback)
            }
            _ => forward(layout, fallback),
        }
    }

    /// Records a flow that was opened before the bucket's records were complete.
    fn add_missing_record(
        &self,
        now: Instant,
        key: FlowKey,
        index: u16,
        limits: &impl Admit,
        shard: &mut Shard,
    ) {
        if self.len() >= self.bounds.max_flows as usize {
            return;
        }
        shard.insert(Record::new(key, index, to_seconds(now)));
        self.len.fetch_add(1, Ordering::Relaxed);
        limits.adopt(self.service);
    }

    fn open_flow(
        &self,
        now: Instant,
        facts: &PacketFacts,
        index: u16,
        layout: &Layout,
        limits: &impl Admit,
        shard: &mut Shard,
    ) -> Verdict {
        let key = FlowKey::new(facts.flow);
        let Some(target) = layout.target(index) else {
            return self.refuse(now, key, Kind::NoTarget);
        };
        if self.len() >= self.bounds.max_flows as usize {
            return self.refuse(now, key, Kind::FlowLimit);
        }
        if let Err(kind) = limits.admit(now, self.service) {
            return self.refuse(now, key, kind);
        }
        if shard.insert(Record::new(key, index, to_seconds(now))).is_none() {
            self.len.fetch_add(1, Ordering::Relaxed);
        }
        Verdict::Forward(target)
    }

    /// Refuses a flow; drops the packet instead while a lost home may have forwarded its first SYN.
    fn refuse(&self, now: Instant, key: FlowKey, kind: Kind) -> Verdict {
        if to_seconds(now) < self.retry_until[key.bucket(self.bits) as usize] {
            return Verdict::Drop(kind);
        }
        Verdict::Refuse(kind)
    }
}

/// Returns the verdict that forwards a packet to the target at an index.
pub(super) fn forward(layout: &Layout, index: u16) -> Verdict {
    if index == NO_TARGET || layout.is_gone(index) {
        return Verdict::Drop(Kind::Unroutable);
    }
    layout.target(index).map_or(Verdict::Drop(Kind::Unroutable), Verdict::Forward)
}
