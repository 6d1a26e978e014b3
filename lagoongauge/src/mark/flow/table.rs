//! Table of the flows that an entry host tracks.

use std::net::SocketAddrV4;

use indexmap::IndexMap;

use crate::mark::FlowKey;
use crate::mark::admission::late::is_late;
use crate::mark::flow::Flow;
use crate::mark::frontend::Frontend;
use crate::mark::key::TargetKey;
use crate::mark::target::table::TargetTable;
use crate::time::{Instant, Span};

/// Time without packets after which a flow is no longer tracked; its mark still routes it. A contested
/// flow is tracked for the idle timeout of the catalog instead.
const FLOW_IDLE_TIMEOUT: Span = Span::seconds(5);

/// Time without packets after which a flow that the caller finished is no longer tracked.
const FINISHED_FLOW_TIMEOUT: Span = Span::millis(2500);

/// Time after which a flow whose SYN was not acknowledged is no longer tracked; callers give up
/// after 1.4 s.
const UNACKNOWLEDGED_SYN_TIMEOUT: Span = Span::millis(1600);

/// Tracked flows; each counts as load of its target in the [`TargetTable`] that is passed in.
#[derive(Debug)]
pub(in crate::mark) struct FlowTable {
    flows: IndexMap<FlowKey, Flow>,
    max_flows: usize,
    /// Time without packets after which callers and targets may discard a flow.
    idle_timeout: Span,
}

impl FlowTable {
    /// Creates a table that tracks at most `max_flows` flows.
    pub(in crate::mark) fn new(max_flows: usize) -> Self {
        Self { flows: IndexMap::new(), max_flows, idle_timeout: FLOW_IDLE_TIMEOUT }
    }

    /// Sets the time without packets after which callers and targets may discard a flow.
    pub(in crate::mark) fn set_idle_timeout(&mut self, timeout: Span) {
        self.idle_timeout = timeout.max(FLOW_IDLE_TIMEOUT);
    }

    pub(in crate::mark) fn len(&self) -> usize {
        self.flows.len()
    }

    pub(in crate::mark) fn get(&self, flow_key: FlowKey) -> Option<Flow> {
        self.flows.get(&flow_key).copied()
    }

    pub(in crate::mark) fn get_mut(&mut self, flow_key: FlowKey) -> Option<&mut Flow> {
        self.flows.get_mut(&flow_key)
    }

    /// Tracks a flow unless the table is full.
    pub(in crate::mark) fn insert(
        &mut self,
        targets: &mut TargetTable,
        flow_key: FlowKey,
        flow: Flow,
    ) {
        if self.flows.len() >= self.max_flows {
            return;
        }
        let target = &mut targets[flow.target];
        target.own_load.flows = target.own_load.flows.saturating_add(1);
        target.opening = target.opening.saturating_add(u16::from(!flow.established));
        if let Some(replaced) = self.flows.insert(flow_key, flow) {
            release_load(targets, &replaced);
        }
    }

    pub(in crate::mark) fn remove(&mut self, targets: &mut TargetTable, flow_key: FlowKey) {
        if let Some(flow) = self.flows.swap_remove(&flow_key) {
            release_load(targets, &flow);
        }
    }

    /// Counts a copy of the SYN of a flow.
    pub(in crate::mark) fn count_repeated_syn(&mut self, flow_key: FlowKey) {
        if let Some(flow) = self.flows.get_mut(&flow_key) {
            flow.repeated_syns = flow.repeated_syns.saturating_add(1);
        }
    }

    /// Removes all flows of a target.
    pub(in crate::mark) fn remove_of_target(
        &mut self,
        targets: &mut TargetTable,
        target: TargetKey,
    ) {
        self.remove_if(targets, |flow| flow.target == target);
    }

    /// Removes the flows without recent packets; returns those that never opened.
    pub(in crate::mark) fn remove_expired(
        &mut self,
        now: Instant,
        targets: &mut TargetTable,
    ) -> Vec<(FlowKey, Flow)> {
        let idle_timeout = self.idle_timeout;
        let removed = self.remove_if(targets, |flow| match (flow.finished, flow.established) {
            (true, _) => now.since(flow.last_seen) >= FINISHED_FLOW_TIMEOUT,
            (_, false) => now.since(flow.opened_at) >= UNACKNOWLEDGED_SYN_TIMEOUT,
            _ if flow.contested => now.since(flow.last_seen) >= idle_timeout,
            _ => now.since(flow.last_seen) >= FLOW_IDLE_TIMEOUT,
        });
        removed.into_iter().filter(|(_, flow)| !flow.established).collect()
    }

    /// Ends the requests whose callers no longer wait for an answer, and returns the flows as they
    /// were before.
    pub(in crate::mark) fn end_overdue_requests(
        &mut self,
        now: Instant,
        targets: &mut TargetTable,
        frontends: &IndexMap<SocketAddrV4, Frontend>,
    ) -> Vec<(FlowKey, Flow)> {
        let mut overdue = Vec::new();
        for (flow_key, flow) in &mut self.flows {
            let timeout = frontends
                .get(&flow_key.frontend)
                .map_or(FLOW_IDLE_TIMEOUT, |frontend| frontend.timeout);
            if let Some(request) = flow.request
                && now.since(request.seen_at) >= timeout
            {
                overdue.push((*flow_key, *flow));
                flow.end_request();
                targets[flow.target].end_request(request.seen_at);
            }
        }
        overdue
    }

    /// Counts, for each target, the requests and unopened flows that take no room: they have waited
    /// for half of the objective, or the fabric has moved them, and another host sees them end.
    pub(in crate::mark) fn count_overstayed(
        &self,
        now: Instant,
        moved_at: Instant,
        targets: &mut TargetTable,
        frontends: &IndexMap<SocketAddrV4, Frontend>,
    ) {
        targets.iter_mut().for_each(|target| target.overstayed = 0);
        for (flow_key, flow) in &self.flows {
            let Some(frontend) = frontends.get(&flow_key.frontend) else { continue };
            let waits_since = match flow.request {
                Some(request) => request.seen_at,
                None if !flow.established => flow.opened_at,
                None => continue,
            };
            let late = is_late(now.since(waits_since), frontend.objective());
            if late || waits_since < moved_at {
                let overstayed = &mut targets[flow.target].overstayed;
                *overstayed = overstayed.saturating_add(1);
            }
        }
    }

    fn remove_if(
        &mut self,
        targets: &mut TargetTable,
        condition: impl Fn(&Flow) -> bool,
    ) -> Vec<(FlowKey, Flow)> {
        let matching = self.flows.iter().filter(|(_, flow)| condition(flow));
        let removed: Vec<_> = matching.map(|(flow_key, flow)| (*flow_key, *flow)).collect();
        for (flow_key, _) in &removed {
            self.remove(targets, *flow_key);
        }
        removed
    }
}

fn release_load(targets: &mut TargetTable, flow: &Flow) {
    let target = &mut targets[flow.target];
    target.opening = target.opening.saturating_sub(u16::from(!flow.established));
    let own = &mut target.own_load;
    own.flows = own.flows.saturating_sub(1);
    if let Some(request) = flow.request {
        target.end_request(request.seen_at);
    }
}
