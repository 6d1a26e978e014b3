//! Router state behind the lock, and the application of plan steps to it.

use std::collections::VecDeque;

use indexmap::IndexMap;

use super::admit::Admit;
use super::flow_table::{Bounds, FlowTable, SYN_RETRY_SPAN};
use super::follower::{Follower, History};
use super::handover::Handover;
use super::message::{Action, Event, Message};
use super::plan::{Plan, Stamp, Step};
use super::planner::Planner;
use super::role::BucketRole;
use super::table::Table;
use crate::forward::BuildAddressHasher;
use crate::id::{HostId, ServiceId};
use crate::settings::Resolved;
use crate::time::{Instant, Span};

/// Bounds of a service whose settings have not been received yet.
const DEFAULT_BOUNDS: Bounds = Bounds { idle_limit: Span::seconds(7200), max_flows: 1 << 20 };

/// Number of recent steps kept for retransmission to hosts that missed them.
const MAX_LOGGED_STEPS: usize = 128;

/// Interval between two sweeps over the flow records.
const SWEEP_INTERVAL: Span = Span::seconds(1);

/// Settings of one service of this host's group.
#[derive(Debug, Clone)]
pub(super) struct ServiceSettings {
    pub bits: u8,
    pub bounds: Bounds,
}

/// Mutable state of a router.
#[derive(Debug)]
pub(super) struct RouterState {
    pub own: HostId,
    pub started: Instant,
    /// Other entry hosts of the group.
    pub peers: Vec<HostId>,
    pub service_settings: IndexMap<ServiceId, ServiceSettings>,
    /// Tables of the policy: proposed by this host as the planner, and the reachable targets while
    /// it is isolated.
    pub desired_tables: IndexMap<ServiceId, Table>,
    pub plan: Plan,
    /// The most recent steps.
    pub step_log: VecDeque<(Stamp, Step)>,
    /// Stamp of the step before the first one in `step_log`.
    pub log_base: Stamp,
    pub flow_tables: IndexMap<ServiceId, FlowTable, BuildAddressHasher>,
    pub follower: Follower,
    pub planner: Option<Planner>,
    pub handover: Handover,
    /// Open flows by service and target index, from the last sweep.
    pub open_counts: IndexMap<ServiceId, Vec<u32>>,
    next_sweep: Instant,
}

impl RouterState {
    /// Builds the state of a host that has just started.
    pub fn new(own: HostId, seed: u64, now: Instant) -> Self {
        Self {
            own,
            started: now,
            peers: Vec::new(),
            service_settings: IndexMap::new(),
            desired_tables: IndexMap::new(),
            plan: Plan::default(),
            step_log: VecDeque::new(),
            log_base: Stamp::default(),
            flow_tables: IndexMap::default(),
            follower: Follower::new(seed, now),
            planner: None,
            handover: Handover::default(),
            open_counts: IndexMap::new(),
            next_sweep: now + SWEEP_INTERVAL,
        }
    }

    /// Returns whether this host holds a serving lease.
    pub fn leased(&self, now: Instant) -> bool {
        now < self.follower.leased_until
    }

    /// Returns the number of buckets in transfer from or to this host.
    pub fn pending(&self) -> u32 {
        self.flow_tables.values().map(|flows| flows.pending() as u32).sum()
    }

    /// Returns whether the view contains this host's current incarnation, or lists it as leaving.
    pub fn is_in_view(&self) -> bool {
        match self.plan.view.incarnation(self.own) {
            Some(incarnation) => incarnation == self.follower.incarnation,
            None => self.plan.view.leaving.contains(&self.own),
        }
    }

    /// Applies new settings.
    pub fn apply_settings(&mut self, resolved: &Resolved) {
        let Some(host) = resolved.hosts.get(&self.own) else { return };
        let peers = resolved.hosts.iter().filter(|(_, other)| other.group == host.group);
        self.peers = peers.map(|(&id, _)| id).filter(|&id| id != self.own).collect();
        self.service_settings.clear();
        for (&id, service) in &resolved.services {
            if resolved.groups.get(&id) != Some(&host.group) {
                continue;
            }
            let bounds = Bounds { idle_limit: service.idle_limit, max_flows: service.max_flows };
            self.service_settings.insert(id, ServiceSettings { bits: service.bucket_bits, bounds });
            if let Some(flows) = self.flow_tables.get_mut(&id) {
                flows.bounds = bounds;
            }
        }
    }

    /// Applies a step to the plan and to this host's flow tables.
    pub fn apply_step(
        &mut self,
        now: Instant,
        stamp: Stamp,
        step: &Step,
        limits: &impl Admit,
    ) -> Vec<Action> {
        self.step_log.push_back((stamp, step.clone()));
        if self.step_log.len() > MAX_LOGGED_STEPS
            && let Some((first, _)) = self.step_log.pop_front()
        {
            self.log_base = first;
        }
        match step {
            Step::Epoch(_) | Step::Release { .. } => {
                self.plan.apply(stamp, step);
                Vec::new()
            }
            Step::Hold { service, buckets } => {
                self.plan.apply(stamp, step);
                if let Some(flows) = self.flow_tables.get_mut(service) {
                    let valid = buckets.iter().copied().filter(|&b| b < flows.count());
                    let valid: Vec<_> = valid.collect();
                    flows.start_holding(now, &valid);
                }
                Vec::new()
            }
            Step::View { .. } => self.change_view(stamp, step, limits),
            Step::ConfirmView => {
                self.plan.apply(stamp, step);
                self.confirm_view(now);
                Vec::new()
            }
            Step::Prepare { service, .. } => {
                self.prepare(now, stamp, step, *service);
                Vec::new()
            }
            Step::Switch { service } => {
                self.plan.apply(stamp, step);
                if let Some(flows) = self.flow_tables.get_mut(service) {
                    flows.switch(now);
                }
                let held = self.plan.services.get(service).map_or(0, |l| l.held_count() as u32);
                vec![Action::Event(Event::TableSwitched { service: *service, held })]
            }
        }
    }

    /// Replaces the plan by a fetched one.
    ///
    /// Records are kept only if the new plan has the same view, bucket counts and target indexes.
    pub fn adopt_plan(
        &mut self,
        now: Instant,
        history: History,
        limits: &impl Admit,
    ) -> Vec<Action> {
        let plan = history.plan;
        let continues = plan.view.stamp == self.plan.view.stamp
            && self.plan.services.iter().all(|(service, old)| {
                plan.services.get(service).is_some_and(|new| {
                    new.bits == old.bits && new.targets.starts_with(&old.targets)
                })
            });
        let is_first = self.plan.stamp == Stamp::default();
        let confirms = plan.confirmed && !self.plan.confirmed;
        self.plan = plan;
        self.step_log = history.steps.into();
        self.log_base = history.base;
        let mut actions = Vec::new();
        if !continues && !is_first {
            let services: Vec<_> = self.flow_tables.values().map(|flows| flows.service).collect();
            for service in services {
                let flows = &self.flow_tables[&service];
                let owned = |&bucket: &u32| flows.role(bucket) != BucketRole::NotOwner;
                let buckets: Vec<_> = (0..flows.count()).filter(owned).collect();
                flows.discard(&buckets, limits);
            }
            self.flow_tables.clear();
            self.handover = Handover::default();
            self.follower.incarnation = self.follower.incarnation.wrapping_add(1);
            actions.push(Action::Event(Event::Restarted));
        }
        let services: Vec<_> = self.plan.services.keys().copied().collect();
        for service in services {
            self.ensure_flow_table(service);
            let layout = &self.plan.services[&service];
            let held: Vec<_> = (0..1 << layout.bits).filter(|&b| layout.is_held(b)).collect();
            self.flow_tables[&service].start_holding(now, &held);
        }
        if confirms && continues {
            self.confirm_view(now);
        }
        actions
    }

    /// Sweeps and replicates the records if due; returns reports on buckets to release or to hold.
    pub fn sweep(&mut self, now: Instant, limits: &impl Admit) -> Vec<Message> {
        if now < self.next_sweep {
            return Vec::new();
        }
        self.next_sweep = now + SWEEP_INTERVAL;
        let mut reports = Vec::new();
        for (&service, flows) in &mut self.flow_tables {
            let Some(layout) = self.plan.services.get(&service) else { continue };
            let sweep = flows.sweep(now, layout, limits);
            self.open_counts.insert(service, sweep.counts);
            let unreplicated = flows.take_unreplicated(now, layout);
            let bits = layout.bits;
            self.handover.replicate_to_backups(
                service,
                bits,
                self.plan.stamp,
                &unreplicated,
                &self.plan.view,
            );
            if !self.plan.confirmed {
                continue;
            }
            let stamp = self.plan.stamp;
            reports.push(self.follower.report(now, stamp, service, sweep.to_release, false));
            reports.push(self.follower.report(now, stamp, service, sweep.to_hold, true));
        }
        reports.into_iter().flatten().collect()
    }

    /// Creates the service's flow table unless it exists; returns whether it was created.
    fn ensure_flow_table(&mut self, service: ServiceId) -> bool {
        if self.flow_tables.contains_key(&service) {
            return false;
        }
        let Some(layout) = self.plan.services.get(&service) else { return false };
        let bounds =
            self.service_settings.get(&service).map_or(DEFAULT_BOUNDS, |settings| settings.bounds);
        self.flow_tables.insert(service, FlowTable::new(service, layout.bits, bounds));
        true
    }

    fn prepare(&mut self, now: Instant, stamp: Stamp, step: &Step, service: ServiceId) {
        let held_before: Vec<_> = match self.plan.services.get(&service) {
            Some(layout) => (0..1 << layout.bits).map(|b| layout.is_held(b)).collect(),
            None => Vec::new(),
        };
        self.plan.apply(stamp, step);
        let is_new = self.ensure_flow_table(service);
        let in_view = self.is_in_view();
        let (Some(layout), Some(flows)) =
            (self.plan.services.get(&service), self.flow_tables.get_mut(&service))
        else {
            return;
        };
        if is_new && in_view {
            flows.claim_buckets(now, self.own, &self.plan.view, self.started + SYN_RETRY_SPAN);
        }
        flows.prepare(&held_before, layout);
    }

    fn change_view(&mut self, stamp: Stamp, step: &Step, limits: &impl Admit) -> Vec<Action> {
        self.plan.apply(stamp, step);
        let in_view = self.is_in_view();
        for (service, flows) in &mut self.flow_tables {
            let (prior, view) = (&self.plan.prior_view, &self.plan.view);
            let dropped = flows.change_view(self.own, in_view, prior, view, limits);
            if let Some(layout) = self.plan.services.get(service)
                && !in_view
            {
                flows.detach(&dropped, layout);
                self.follower.was_isolated = true;
                self.follower.resync_rounds = 0;
            }
            flows.discard(&dropped, limits);
            flows.reset_replicated(prior, view);
        }
        self.handover.change_view(&self.plan.view);
        vec![Action::Event(Event::ViewChanged { hosts: self.plan.view.hosts.clone() })]
    }

    fn confirm_view(&mut self, now: Instant) {
        for (service, flows) in &mut self.flow_tables {
            if let Some(layout) = self.plan.services.get(service) {
                flows.confirm_view(now, layout);
            }
        }
    }

    /// Returns whether this host still has buckets to transfer.
    pub fn has_outgoing(&self) -> bool {
        self.flow_tables.values().any(FlowTable::has_outgoing)
    }
}
