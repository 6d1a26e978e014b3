//! Records how requests end, for the counts in [`crate::mark::loss`].

use super::Router;
use crate::mark::flow::{Flow, Request};
use crate::mark::loss::{Circumstances, LossCause, Miss};
use crate::mark::placement::Policy;
use crate::mark::verdict::Cause;
use crate::mark::{FlowKey, Segment, SegmentKind};
use crate::roster::Phase;
use crate::time::{Instant, Span};

/// Time after the first catalog in which flows that were open before still show the start of this
/// host: callers repeat data after 1.6 s at most.
const START_PERIOD: Span = Span::millis(1600);

impl<P: Policy> Router<P> {
    /// Records that the request of a flow was answered; `flow` is its state before that.
    pub(super) fn record_answer(&mut self, now: Instant, flow_key: FlowKey, flow: &Flow) {
        let Some(frontend) = self.frontends.get(&flow_key.frontend) else { return };
        let kind = frontend.request_kind();
        let began_at = flow.request.map_or(flow.opened_at, |request| request.began_at);
        if now.since(began_at) <= kind.objective {
            self.losses.count_on_time(kind);
            return;
        }
        let cause = self.circumstances(now, flow).cause();
        self.losses.count_miss(kind, Miss::Late, cause);
    }

    /// Records flows that never opened. Where this host saw no copy of the SYN, the caller's later
    /// packets went through another host.
    pub(super) fn record_unopened(&mut self, now: Instant, flows: &[(FlowKey, Flow)]) {
        let repeated = flows.iter().filter(|(_, flow)| flow.repeated_syns > 0);
        for (flow_key, flow) in repeated {
            self.record_loss(now, *flow_key, flow);
        }
    }

    /// Records requests that were not answered in time. Where the caller repeated no data at this
    /// host, its later packets went through another host.
    pub(super) fn record_overdue(&mut self, now: Instant, flows: &[(FlowKey, Flow)]) {
        let is_repeated = |request: Request| request.repeats > 0;
        let repeated = flows.iter().filter(|(_, flow)| flow.request.is_some_and(is_repeated));
        for (flow_key, flow) in repeated {
            self.record_loss(now, *flow_key, flow);
        }
    }

    /// Records that a request was refused by a reset. Packets that carry no request lose nothing.
    pub(super) fn record_refusal(&mut self, segment: &Segment, cause: Cause) {
        let waits = self.flows.get(segment.flow_key).is_some_and(|flow| flow.request.is_some());
        if segment.kind != SegmentKind::Syn && segment.length == 0 && !waits {
            return;
        }
        if let Some(frontend) = self.frontends.get(&segment.flow_key.frontend) {
            let kind = frontend.request_kind();
            self.losses.count_miss(kind, Miss::Lost, LossCause::Refused(cause));
        }
    }

    fn record_loss(&mut self, now: Instant, flow_key: FlowKey, flow: &Flow) {
        let Some(frontend) = self.frontends.get(&flow_key.frontend) else { return };
        let kind = frontend.request_kind();
        let cause = self.circumstances(now, flow).cause();
        self.losses.count_miss(kind, Miss::Lost, cause);
    }

    fn circumstances(&self, now: Instant, flow: &Flow) -> Circumstances {
        let target = &self.targets[flow.target];
        let began_at = flow.request.map_or(flow.opened_at, |request| request.began_at);
        let started_since = |ready_at: Instant| {
            began_at < ready_at || (flow.resumed && flow.opened_at <= ready_at + START_PERIOD)
        };
        Circumstances {
            unseen_syns: flow.unseen_syns,
            repeated_syns: flow.repeated_syns,
            repeated_data: flow.request.map_or(0, |request| request.repeats),
            host_started: self.status.ready_at.is_some_and(started_since),
            host_stalled: self.status.stale_until > began_at,
            host_cut_off: self.status.is_cut_off(now),
            centre_unreachable: self.centres.is_unreachable(target.centre),
            target_dead: target.is_silent(now) || target.phase == Phase::Gone,
            target_unresponsive: target.is_suspect(now),
            target_draining: target.phase == Phase::Draining,
            target_cold: target.is_cold(now),
            target_busy: flow.request.is_some_and(|request| request.queued),
        }
    }
}
