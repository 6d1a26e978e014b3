//! Decides on packets that follow the SYN, and keeps the state of their flows.

use super::Router;
use crate::catalog::Idempotency;
use crate::mark::admission::overload::Answer;
use crate::mark::flow::Flow;
use crate::mark::key::TargetKey;
use crate::mark::placement::Policy;
use crate::mark::switches::Mechanism;
use crate::mark::{Cause, FlowKey, LostTarget, PacketTimes, Segment, SegmentKind, Verdict};
use crate::time::{Instant, Span};

/// Time that a request may wait before it is checked whether its target is unreachable; callers repeat it
/// 200 and 600 ms after they sent it.
const LOSS_CHECK_DELAY: Span = Span::millis(500);

/// Maximum number of response times kept until they are collected.
const MAX_RESPONSE_TIMES: usize = 4096;

impl<P: Policy> Router<P> {
    /// Decides on a packet other than a SYN.
    pub(super) fn continue_flow(
        &mut self,
        times: PacketTimes,
        segment: &Segment,
        idempotency: Idempotency,
    ) -> Verdict {
        let PacketTimes { now, arrived } = times;
        self.track_bulk(now, segment);
        let known = self.flows.get(segment.flow_key);
        if known.is_some_and(|flow| !flow.may_continue_with(segment)) {
            return self.forward_stray(now, segment);
        }
        let key = match known {
            Some(flow) if flow.established => flow.target,
            _ => match self.resolve_target(segment, known) {
                Ok(key) => key,
                Err(cause) => return Verdict::Drop(cause),
            },
        };
        if self.targets[key].has_ended(now) {
            self.record_refusal(segment, Cause::TargetGone);
            self.flows.remove(&mut self.targets, segment.flow_key);
            return Verdict::Reset(Cause::TargetGone);
        }
        let request = segment.kind == SegmentKind::Data && segment.length > 0;
        let may_reset = request && idempotency == Idempotency::Idempotent;
        if may_reset
            && self.is_on(Mechanism::EarlyReset)
            && known.is_some_and(|flow| is_overdue(now, &flow, segment))
            && self.is_unreachable(now, key)
        {
            self.lost_target = Some(self.lost_view(now, key, known));
            self.targets[key].record_retransmit(now);
            self.record_refusal(segment, Cause::TargetLost);
            self.flows.remove(&mut self.targets, segment.flow_key);
            return Verdict::Reset(Cause::TargetLost);
        }
        if request && known.is_none() && self.must_yield_data(now, arrived, key) {
            return Verdict::Hold;
        }
        if segment.kind == SegmentKind::Rst {
            self.flows.remove(&mut self.targets, segment.flow_key);
        } else {
            if known.is_none_or(|flow| flow.target != key) {
                if self.is_on(Mechanism::MoveDetection) {
                    self.room.moves.record_resumed(now);
                }
                self.flows.remove(&mut self.targets, segment.flow_key);
                let contested = known.is_some();
                let resumed = Flow::resumed(key, segment.sequence, now);
                self.insert_flow(segment.flow_key, Flow { contested, ..resumed });
            }
            self.update_flow(times, key, segment);
        }
        self.forward(key, false)
    }

    /// Forwards a packet of an earlier flow between the same endpoints to that flow's target, without
    /// an effect on the flow that has begun since.
    fn forward_stray(&self, now: Instant, segment: &Segment) -> Verdict {
        match self.resolve_target(segment, None) {
            Ok(key) if self.targets[key].has_ended(now) => Verdict::Drop(Cause::TargetGone),
            Ok(key) => self.forward(key, false),
            Err(cause) => Verdict::Drop(cause),
        }
    }

    /// Finds the target of a flow that is not established on this host: the mark takes precedence
    /// over the target chosen for the SYN.
    fn resolve_target(&self, segment: &Segment, known: Option<Flow>) -> Result<TargetKey, Cause> {
        let marked = segment.mark.and_then(|mark| self.targets.key_of_mark(mark));
        match (marked, known) {
            (Some(key), _) => {
                let frontend = &self.frontends[&segment.flow_key.frontend];
                let allowed = frontend.allows(&self.targets[key].service);
                if allowed { Ok(key) } else { Err(Cause::ForeignMark) }
            }
            (None, Some(flow)) => Ok(flow.target),
            (None, None) if segment.mark.is_some() => Err(Cause::UnknownMark),
            (None, None) => Err(Cause::NoMark),
        }
    }

    /// Returns whether a target, or its whole data centre, seems unreachable. A host whose own link was
    /// busy may have received neither answers nor messages of control hosts.
    fn is_unreachable(&self, now: Instant, key: TargetKey) -> bool {
        let cut_off = self.status.is_cut_off(now) && !self.is_link_busy(now);
        let target = &self.targets[key];
        target.is_unreachable(now, cut_off)
            || (self.centres.is_unreachable(target.centre)
                && target.is_unanswered(now, LOSS_CHECK_DELAY))
    }

    /// Returns what this host believes of the target of a flow that is about to be reset.
    fn lost_view(&self, now: Instant, key: TargetKey, flow: Option<Flow>) -> LostTarget {
        let target = &self.targets[key];
        let request = flow.and_then(|flow| flow.request);
        LostTarget {
            target: target.id,
            unanswered: target.time_since_activity(now),
            retransmits: target.retransmits(now),
            repeated: target.time_since_retransmit(now),
            silent: target.silent_since().map(|since| now.since(since)),
            waited: request.map(|request| now.since(request.seen_at)),
        }
    }

    /// Updates a flow and its target from a packet.
    fn update_flow(&mut self, times: PacketTimes, key: TargetKey, segment: &Segment) {
        let now = times.now;
        let Some(flow) = self.flows.get_mut(segment.flow_key) else { return };
        let target = &mut self.targets[key];
        flow.last_seen = now;
        flow.finished |= segment.kind == SegmentKind::Fin;
        let answered = flow.record_acknowledgement(segment.acknowledged);
        target.opening = target.opening.saturating_sub(u16::from(!flow.established));
        if !flow.established && answered {
            self.evidence.record_answered_syn(flow.opened_at);
        }
        flow.established = true;
        if answered {
            target.record_activity(now);
        }
        let new_data = flow.record_data(segment.sequence, segment.length);
        if segment.length > 0 && !new_data && !answered {
            target.record_retransmit(now);
            flow.count_repeat();
        }
        if flow.finished || (answered && !new_data) {
            self.end_request(now, key, segment.flow_key, answered);
        }
        if new_data {
            self.begin_request(times, key, segment.flow_key);
        }
    }

    /// Ends the request of a flow, if one waits.
    fn end_request(&mut self, now: Instant, key: TargetKey, flow_key: FlowKey, answered: bool) {
        let Some(flow) = self.flows.get_mut(flow_key) else { return };
        let before = *flow;
        let Some(request) = flow.end_request() else { return };
        let overtaken = self.targets[key].end_request(request.seen_at);
        if !answered {
            return;
        }
        if self.response_times.len() < MAX_RESPONSE_TIMES {
            self.response_times.push(now.since(request.seen_at));
        }
        if let Some(frontend) = self.frontends.get(&flow_key.frontend) {
            let late = now.since(request.seen_at) > frontend.objective();
            let target = &self.targets[key];
            let answer = Answer { late, overtaken, slots: target.slots };
            self.overloads.record_answer(&target.service, answer);
        }
        self.record_answer(now, flow_key, &before);
    }

    /// Begins a request on a flow, unless one waits or the caller has finished the flow.
    fn begin_request(&mut self, times: PacketTimes, key: TargetKey, flow_key: FlowKey) {
        let Some(flow) = self.flows.get_mut(flow_key) else { return };
        if flow.finished || flow.request.is_some() {
            return;
        }
        let target = &mut self.targets[key];
        flow.begin_request(times, target.is_busy());
        target.begin_request(times.now);
        if let Some(frontend) = self.frontends.get_mut(&flow_key.frontend) {
            frontend.count_request();
        }
    }
}

/// Returns whether this packet repeats a request of the flow that has waited for long.
///
/// That a target is unreachable is inferred from what other flows met, which may be over. It ends no flow
/// that has not itself waited in vain. See docs/incidents/idle-flow-reset.md.
fn is_overdue(now: Instant, flow: &Flow, segment: &Segment) -> bool {
    let waits = flow.request.is_some_and(|request| now.since(request.seen_at) >= LOSS_CHECK_DELAY);
    waits && flow.has_seen_data(segment)
}
