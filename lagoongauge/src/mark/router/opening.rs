//! Decides on SYNs, which open flows.
//!
//! Failure pattern: the answer to a SYN is lost, and the caller sends a copy. The target that answered
//! holds half of the flow and repeats its answer for seconds, so the copy has to reach the same target unless
//! others found that target silent, too. A flow whose SYN may have reached two targets is contested: its
//! mark may name the wrong one. See docs/incidents/lost-syn-answer.md.
//!
//! The copy may reach another host than the SYN, if entry hosts join or leave in between, and that host does
//! not know the target. The target repeats its answer as soon as the caller repeats its SYN, so the first
//! copy is not needed: it is dropped, and the second one is placed, as the SYN itself was probably lost. See
//! docs/incidents/copy-at-another-host.md.

use super::Router;
use crate::mark::flow::Flow;
use crate::mark::key::TargetKey;
use crate::mark::placement::Policy;
use crate::mark::{Cause, PacketTimes, Segment, Verdict};
use crate::time::{Instant, Span};

/// Minimum delay at which a copy of a SYN shows that the first was not answered; with a shorter
/// delay both may have been queued at this host.
const MIN_RETRANSMIT_DELAY: Span = Span::millis(100);

/// Minimum number of packets repeated to a target without an answer at which a copy of a SYN leaves it.
/// One alone may follow from the loss of a single answer.
const MIN_UNANSWERED_REPEATS: u16 = 2;

/// Number of copies of a SYN from which on a host that saw none of them places the flow.
const MIN_UNSEEN_COPIES: u32 = 2;

impl<P: Policy> Router<P> {
    /// Decides on a SYN or a retransmission of one.
    ///
    /// A retransmission goes to the same target, unless that target had time to answer, has shown no
    /// activity since, and is repeatedly sent packets in vain: if two targets answered, the caller would
    /// get halves of two flows. While this host's link is busy, the answer may be on its way.
    pub(super) fn open_flow(&mut self, times: PacketTimes, segment: &Segment) -> Verdict {
        let PacketTimes { now, arrived } = times;
        self.record_returns(now);
        self.room.demands.clear();
        let mut avoided = None;
        let mut unseen_syns = segment.acknowledged;
        let link_busy = self.is_link_busy(now);
        let known = self.flows.get(segment.flow_key);
        if let Some(flow) = known {
            if flow.began_with(segment) {
                return self.forward(flow.target, false);
            }
            let ejected = self.is_ejected(now, flow.target);
            let retransmitted = flow.initial_sequence == segment.sequence;
            let target = &mut self.targets[flow.target];
            if retransmitted {
                target.record_retransmit(now);
            }
            let waited = now.since(flow.opened_at) >= MIN_RETRANSMIT_DELAY;
            let unanswered = waited
                && !target.is_active_since(flow.opened_at)
                && (ejected || target.retransmits(now) >= MIN_UNANSWERED_REPEATS);
            let dead = target.is_silent(now) || (unanswered && !link_busy);
            let may_stay = self.accepts_new_flows(flow.target)
                && self.may_repeat_syn(now, flow.target)
                && !dead;
            if retransmitted && (flow.established || may_stay) {
                self.flows.count_repeated_syn(segment.flow_key);
                self.count_warmup_flow(now, flow.target);
                return self.forward(flow.target, false);
            }
            if retransmitted && dead {
                avoided = Some(flow.target);
                unseen_syns = unseen_syns.max(1);
            }
        } else if (1..MIN_UNSEEN_COPIES).contains(&segment.acknowledged) {
            return Verdict::Drop(Cause::EarlyCopy);
        } else if self.must_yield_syn(now, arrived, segment) {
            return Verdict::Hold;
        } else if let Some(verdict) = self.yield_link(times, segment) {
            return verdict;
        } else if let Some(cause) = self.refuse_for_load(now, segment) {
            self.record_refusal(segment, cause);
            return Verdict::Reset(cause);
        }
        self.flows.remove(&mut self.targets, segment.flow_key);
        let Some(key) = self.place_flow(now, segment, avoided) else {
            return self.refuse_placement(segment, known);
        };
        self.record_placed(now, key);
        self.count_warmup_flow(now, key);
        self.room.moves.record_opened(now);
        if let Some(frontend) = self.frontends.get_mut(&segment.flow_key.frontend) {
            frontend.count_flow();
        }
        let contested = self.is_contested(segment, known, key);
        let opened = Flow::opened(key, segment.sequence, unseen_syns, times);
        self.insert_flow(segment.flow_key, Flow { contested, ..opened });
        self.forward(key, true)
    }

    /// Returns whether another target may hold half of a flow that is placed now: a target to which this
    /// host sent the SYN before, or one to which another host sent a copy that this one did not see.
    fn is_contested(&self, segment: &Segment, known: Option<Flow>, key: TargetKey) -> bool {
        match known.filter(|flow| flow.initial_sequence == segment.sequence) {
            Some(flow) => flow.contested || flow.target != key,
            None => segment.acknowledged > 0,
        }
    }

    /// Returns why a new flow must not be placed now for the load of its service.
    fn refuse_for_load(&mut self, now: Instant, segment: &Segment) -> Option<Cause> {
        self.refuse_for_overload(now, segment).or_else(|| self.refuse_for_room(now, segment))
    }

    /// Refuses a flow that no target takes. A copy of a SYN that this host did not see before is
    /// dropped: another host may have opened the flow, and a reset would end it.
    fn refuse_placement(&mut self, segment: &Segment, known: Option<Flow>) -> Verdict {
        if known.is_none() && segment.acknowledged > 0 {
            return Verdict::Drop(Cause::NoTarget);
        }
        self.record_refusal(segment, Cause::NoTarget);
        Verdict::Reset(Cause::NoTarget)
    }
}
