//! Decides on SYNs, which open flows.

use super::Router;
use crate::mark::flow::Flow;
use crate::mark::placement::Policy;
use crate::mark::{Cause, PacketTimes, Segment, Verdict};
use crate::time::{Instant, Span};

/// Minimum delay at which a copy of a SYN shows that the first was not answered; with a shorter
/// delay both may have been queued at this host.
const MIN_RETRANSMIT_DELAY: Span = Span::millis(100);

impl<P: Policy> Router<P> {
    /// Decides on a SYN or a retransmission of one.
    ///
    /// A retransmission goes to the same target, unless that target had time to answer and has
    /// shown no activity since: if two targets answered, the caller would get halves of two flows.
    /// While this host's link is busy, the answer may be on its way.
    pub(super) fn open_flow(&mut self, times: PacketTimes, segment: &Segment) -> Verdict {
        let PacketTimes { now, arrived } = times;
        self.record_returns(now);
        self.room.demands.clear();
        let mut avoided = None;
        let mut unseen_syns = segment.acknowledged;
        let link_busy = self.is_link_busy(now);
        let known = self.flows.get(segment.flow_key);
        if let Some(flow) = known {
            let retransmitted = flow.initial_sequence == segment.sequence;
            let target = &mut self.targets[flow.target];
            if retransmitted {
                target.record_retransmit(now);
            }
            let waited = now.since(flow.opened_at) >= MIN_RETRANSMIT_DELAY;
            let unanswered = waited && !target.is_active_since(flow.opened_at);
            let dead = target.silent || (unanswered && !link_busy);
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
        self.flows.insert(
            &mut self.targets,
            segment.flow_key,
            Flow::opened(key, segment.sequence, unseen_syns, times),
        );
        self.forward(key, true)
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
