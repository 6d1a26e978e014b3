//! Connection tracking: state of the flows whose packets an entry host has seen.

pub mod held;
pub(super) mod table;

use crate::mark::key::TargetKey;
use crate::mark::{PacketTimes, Segment};
use crate::time::{Instant, Span};

/// Half of the sequence number space; a smaller forward distance means "later".
const HALF_SEQUENCE_SPACE: u32 = 1 << 31;

/// Offset from its SYN below which the first packet of a flow has to begin; callers send a few packets
/// before the first acknowledgement.
const MAX_FIRST_OFFSET: u32 = 1 << 20;

/// Times at which callers send a SYN and its copies, counted from the first, and give up.
const SYN_SCHEDULE: [Span; 4] =
    [Span::millis(0), Span::millis(200), Span::millis(600), Span::millis(1400)];

/// A request that waits for its answer.
#[derive(Debug, Clone, Copy)]
pub(super) struct Request {
    /// When this host saw it first.
    pub(super) seen_at: Instant,
    /// When the caller began to wait; for the first request of a flow, when it sent the SYN.
    pub(super) began_at: Instant,
    /// Times that the caller repeated data of it.
    pub(super) repeats: u8,
    /// Whether all slots of the target were taken when it arrived.
    pub(super) queued: bool,
}

/// State of a flow on this entry host.
#[derive(Debug, Clone, Copy)]
pub(super) struct Flow {
    /// Target that receives its packets.
    pub(super) target: TargetKey,
    /// Whether the caller acknowledged the target's answer, after which the target is fixed.
    pub(super) established: bool,
    /// Whether the caller sent a FIN.
    pub(super) finished: bool,
    /// Sequence number of its SYN, or of the first packet seen on this host.
    pub(super) initial_sequence: u32,
    /// Sequence number after the caller's last byte of data.
    pub(super) next_sequence: u32,
    /// Highest acknowledgement number of the caller.
    pub(super) acknowledged: u32,
    /// When it was opened, or first seen on this host.
    pub(super) opened_at: Instant,
    /// When its last packet was seen.
    pub(super) last_seen: Instant,
    /// The request that waits for an answer.
    pub(super) request: Option<Request>,
    /// Whether this host did not see the flow's beginning.
    pub(super) resumed: bool,
    /// Whether its SYN may have reached two targets, so that its mark may name the wrong one.
    pub(super) contested: bool,
    /// When the caller sent the first SYN; taken by the flow's first request.
    pub(super) syn_sent_at: Option<Instant>,
    /// Copies of the SYN that were sent before this host saw the first one.
    pub(super) unseen_syns: u8,
    /// Copies of the SYN that this host saw after the first one.
    pub(super) repeated_syns: u8,
}

impl Flow {
    /// Returns whether a packet may be the first one that this host sees after the flow's SYN. A
    /// caller that uses its port again begins elsewhere in the sequence number space.
    pub(super) fn may_continue_with(&self, segment: &Segment) -> bool {
        let offset = segment.sequence.wrapping_sub(self.initial_sequence);
        self.established || self.resumed || offset < MAX_FIRST_OFFSET
    }

    /// Returns whether this host learned of the flow by a later packet than this SYN, which is late.
    pub(in crate::mark) fn began_with(&self, syn: &Segment) -> bool {
        let offset = self.initial_sequence.wrapping_sub(syn.sequence);
        self.resumed && (1..MAX_FIRST_OFFSET).contains(&offset)
    }

    /// Creates a flow whose beginning this host did not see.
    pub(super) fn resumed(target: TargetKey, sequence: u32, now: Instant) -> Self {
        Self {
            target,
            established: false,
            finished: false,
            initial_sequence: sequence,
            next_sequence: sequence,
            acknowledged: 0,
            opened_at: now,
            last_seen: now,
            request: None,
            resumed: true,
            contested: false,
            syn_sent_at: None,
            unseen_syns: 0,
            repeated_syns: 0,
        }
    }

    /// Creates a flow from a SYN before which the caller sent `unseen_syns` copies of it.
    pub(super) fn opened(
        target: TargetKey,
        sequence: u32,
        unseen_syns: u32,
        PacketTimes { now, arrived }: PacketTimes,
    ) -> Self {
        Self {
            resumed: false,
            syn_sent_at: Some(arrived - syn_copy_delay(unseen_syns)),
            unseen_syns: unseen_syns.min(u32::from(u8::MAX)) as u8,
            ..Self::resumed(target, sequence, now)
        }
    }

    /// Begins a request; `queued` tells whether all slots of the target were taken.
    pub(super) fn begin_request(&mut self, times: PacketTimes, queued: bool) {
        let began_at = self.syn_sent_at.take().unwrap_or(times.arrived);
        self.request = Some(Request { seen_at: times.now, began_at, repeats: 0, queued });
    }

    /// Counts that the caller repeated data of the request that waits.
    pub(super) fn count_repeat(&mut self) {
        if let Some(request) = &mut self.request {
            request.repeats = request.repeats.saturating_add(1);
        }
    }

    /// Ends the request that waits, if there is one.
    pub(super) fn end_request(&mut self) -> Option<Request> {
        let request = self.request.take();
        if request.is_some() {
            (self.unseen_syns, self.repeated_syns) = (0, 0);
        }
        request
    }

    /// Returns whether the packet's data was seen before.
    pub(super) fn has_seen_data(&self, segment: &Segment) -> bool {
        let end = segment.sequence.wrapping_add(u32::from(segment.length));
        !is_later(end, self.next_sequence)
    }

    /// Records the packet's data; returns whether it was not seen before.
    pub(super) fn record_data(&mut self, sequence: u32, length: u16) -> bool {
        let end = sequence.wrapping_add(u32::from(length));
        let later = length > 0 && is_later(end, self.next_sequence);
        if later {
            self.next_sequence = end;
        }
        later
    }

    /// Records the packet's acknowledgement; returns whether it acknowledges an answer that the target gave
    /// lately. The first packet of a resumed flow may repeat what its caller acknowledged long ago.
    pub(super) fn record_acknowledgement(&mut self, acknowledged: u32) -> bool {
        let first = !self.established;
        let later = first || is_later(acknowledged, self.acknowledged);
        if later {
            self.acknowledged = acknowledged;
        }
        later && !(first && self.resumed)
    }
}

/// Returns how long before a SYN its caller sent the first one, given the number of copies before.
pub(super) fn syn_copy_delay(copies: u32) -> Span {
    SYN_SCHEDULE[syn_index(copies)]
}

/// Returns how long after a SYN its caller sends the next copy or gives up.
pub(super) fn next_syn_delay(copies: u32) -> Span {
    let index = syn_index(copies);
    Span(SYN_SCHEDULE[index + 1].0 - SYN_SCHEDULE[index].0)
}

/// Returns the place of a SYN in the schedule, given the number of copies before.
fn syn_index(copies: u32) -> usize {
    (copies as usize).min(SYN_SCHEDULE.len() - 2)
}

/// Returns whether a sequence number is later than another one, with wrap-around.
fn is_later(number: u32, other: u32) -> bool {
    let distance = number.wrapping_sub(other);
    distance != 0 && distance < HALF_SEQUENCE_SPACE
}
