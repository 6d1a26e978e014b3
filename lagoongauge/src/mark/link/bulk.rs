//! Bound on the bulk flows that share a host's link.
//!
//! Load pattern: after a burst of uploads a host's link stays full. A packet that waits on the link
//! for longer than callers wait for its acknowledgement is sent again, so most of the link carries
//! repeats, uploads outlast their callers, and these begin again at another port. So a host lets
//! only as many bulk flows begin as its link carries without such a queue; more wait for their
//! turn, and those whose turn would come too late are refused before they have sent any data. See
//! docs/design/link.md.

use indexmap::IndexMap;

use super::HEADER_BYTES;
use crate::mark::FlowKey;
use crate::time::{Instant, Span};

/// Bytes on the link that a bulk flow has under way at most: 16 full packets.
const WINDOW_BYTES: u64 = 16 * (1200 + HEADER_BYTES);

/// Longest queue that bulk flows may cause. Callers repeat a packet after 200 ms without an
/// acknowledgement; the rest is for the way and for other packets.
const MAX_QUEUE: Span = Span::millis(120);

/// Longest expected time until a waiting flow begins. Callers give up a SYN after 1.4 s.
const MAX_WAIT: Span = Span::millis(1000);

/// Duration of a bulk flow that is assumed before one has ended.
const INITIAL_DURATION: Span = Span::millis(200);

/// Weight of earlier durations in the mean, for one of the latest.
const DURATION_WEIGHT: u64 = 7;

/// Time without data after which a bulk flow makes room: its caller has repeated its packets in
/// vain, sends through another host, or waits for the answer.
const IDLE_TIMEOUT: Span = Span::millis(500);

/// Whether a bulk flow may begin.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(in crate::mark) enum Admission {
    /// It may begin now.
    Begin,
    /// It has to wait until another one ends.
    Wait,
    /// There will be no room for it in time.
    Refuse,
}

/// Bulk flows that share the link.
#[derive(Debug, Clone, Default)]
pub(in crate::mark) struct BulkFlows {
    max_active: usize,
    active: IndexMap<FlowKey, Active>,
    /// Waiting flows, by when their callers send their next SYN or give up.
    waiting: IndexMap<FlowKey, Instant>,
    /// Mean time for which flows were active.
    duration: Span,
}

/// A flow that sends data.
#[derive(Debug, Clone, Copy)]
struct Active {
    began_at: Instant,
    /// When its last data arrived.
    sent_at: Instant,
}

impl BulkFlows {
    /// Creates the bound for a link that carries `rate` bytes per second.
    pub(in crate::mark) fn new(rate: u64) -> Self {
        let max_active = (rate * MAX_QUEUE.0 / 1000 / WINDOW_BYTES).max(1);
        Self { max_active: max_active as usize, duration: INITIAL_DURATION, ..Self::default() }
    }

    /// Decides on a new flow whose caller sends its next SYN at `next_syn`.
    pub(in crate::mark) fn admit(
        &mut self,
        now: Instant,
        flow_key: FlowKey,
        next_syn: Instant,
    ) -> Admission {
        self.remove_expired(now);
        if self.active.len() < self.max_active {
            self.waiting.swap_remove(&flow_key);
            self.record_data(now, flow_key);
            return Admission::Begin;
        }
        if !self.waiting.contains_key(&flow_key) && self.expected_wait() > MAX_WAIT {
            return Admission::Refuse;
        }
        self.waiting.insert(flow_key, next_syn);
        Admission::Wait
    }

    /// Records data of a flow, which begins if this host does not know it.
    pub(in crate::mark) fn record_data(&mut self, now: Instant, flow_key: FlowKey) {
        let flow = self.active.entry(flow_key).or_insert(Active { began_at: now, sent_at: now });
        flow.sent_at = now;
    }

    /// Records that a flow has ended.
    pub(in crate::mark) fn end(&mut self, now: Instant, flow_key: FlowKey) {
        let Some(flow) = self.active.swap_remove(&flow_key) else { return };
        let sum = self.duration.0 * DURATION_WEIGHT + now.since(flow.began_at).0;
        self.duration = Span(sum / (DURATION_WEIGHT + 1));
    }

    /// Forgets flows that have made room, and callers that wait no longer.
    pub(in crate::mark) fn remove_expired(&mut self, now: Instant) {
        self.active.retain(|_, flow| now.since(flow.sent_at) < IDLE_TIMEOUT);
        self.waiting.retain(|_, next_syn| now < *next_syn);
    }

    /// Returns the time until another waiting flow could begin.
    fn expected_wait(&self) -> Span {
        let turns = self.waiting.len() as u64 + 1;
        Span(turns * self.duration.0 / self.max_active as u64)
    }
}
