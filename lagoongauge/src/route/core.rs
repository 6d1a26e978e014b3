//! A router's state behind its lock, and how it follows the steps of the plan.

use std::collections::VecDeque;

use indexmap::IndexMap;

use super::admit::Admit;
use super::duty::Duty;
use super::follower::{Follower, History};
use super::handover::Handover;
use super::ledger::{Bounds, Ledger, RETRY_SPAN};
use super::message::{Action, Event, Message};
use super::plan::{Plan, Stamp, Step};
use super::planner::Planner;
use super::table::Table;
use crate::forward::BuildAddressHasher;
use crate::id::{HostId, ServiceId};
use crate::settings::Resolved;
use crate::time::{Instant, Span};

/// Bounds of a service whose settings have not arrived yet.
const DEFAULT_BOUNDS: Bounds = Bounds { idle_limit: Span::seconds(7200), max_flows: 1 << 20 };

/// Most steps kept for hosts that have missed them.
const LOG_STEPS: usize = 128;

/// How often records are gone over.
const SWEEP_INTERVAL: Span = Span::seconds(1);

/// A service of this host's group as the settings give it.
#[derive(Debug, Clone)]
pub(super) struct Served {
    pub bits: u8,
    pub bounds: Bounds,
}

/// State of a router.
#[derive(Debug)]
pub(super) struct Core {
    pub own: HostId,
    pub started: Instant,
    /// Other entry hosts of the group.
    pub peers: Vec<HostId>,
    pub served: IndexMap<ServiceId, Served>,
    /// The tables that this host would plan.
    pub wanted: IndexMap<ServiceId, Table>,
    pub plan: Plan,
    /// The last steps, and the stamp before the first of them.
    pub log: VecDeque<(Stamp, Step)>,
    pub log_base: Stamp,
    pub ledgers: IndexMap<ServiceId, Ledger, BuildAddressHasher>,
    pub follower: Follower,
    pub planner: Option<Planner>,
    pub handover: Handover,
    /// Open flows by service and index of target, as this host counted them last.
    pub counts: IndexMap<ServiceId, Vec<u32>>,
    next_sweep: Instant,
}

impl Core {
    /// Builds the state of a host that has just started.
    pub fn new(own: HostId, seed: u64, now: Instant) -> Self {
        Self {
            own,
            started: now,
            peers: Vec::new(),
            served: IndexMap::new(),
            wanted: IndexMap::new(),
            plan: Plan::default(),
            log: VecDeque::new(),
            log_base: Stamp::default(),
            ledgers: IndexMap::default(),
            follower: Follower::new(seed, now),
            planner: None,
            handover: Handover::default(),
            counts: IndexMap::new(),
            next_sweep: now + SWEEP_INTERVAL,
        }
    }

    /// Returns whether this host may act on its own.
    pub fn leased(&self, now: Instant) -> bool {
        now < self.follower.leased_until
    }

    /// Returns the number of buckets whose handover is under way.
    pub fn pending(&self) -> u32 {
        self.ledgers.values().map(|ledger| ledger.pending() as u32).sum()
    }

    /// Returns whether the view holds this host, or waits for it, in its present life.
    pub fn present(&self) -> bool {
        match self.plan.view.life(self.own) {
            Some(life) => life == self.follower.life,
            None => self.plan.view.leaving.contains(&self.own),
        }
    }

    /// Takes new settings.
    pub fn apply_settings(&mut self, resolved: &Resolved) {
        let Some(host) = resolved.hosts.get(&self.own) else { return };
        let peers = resolved.hosts.iter().filter(|(_, other)| other.group == host.group);
        self.peers = peers.map(|(&id, _)| id).filter(|&id| id != self.own).collect();
        self.served.clear();
        for (&id, service) in &resolved.services {
            if resolved.groups.get(&id) != Some(&host.group) {
                continue;
            }
            let bounds = Bounds { idle_limit: service.idle_limit, max_flows: service.max_flows };
            self.served.insert(id, Served { bits: service.bucket_bits, bounds });
            if let Some(ledger) = self.ledgers.get_mut(&id) {
                ledger.bounds = bounds;
            }
        }
    }

    /// Applies a step and does what follows from it at this host.
    pub fn apply_step(
        &mut self,
        now: Instant,
        stamp: Stamp,
        step: &Step,
        limits: &impl Admit,
    ) -> Vec<Action> {
        self.log.push_back((stamp, step.clone()));
        if self.log.len() > LOG_STEPS
            && let Some((first, _)) = self.log.pop_front()
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
                if let Some(ledger) = self.ledgers.get_mut(service) {
                    let known = buckets.iter().copied().filter(|&b| b < ledger.count());
                    let known: Vec<_> = known.collect();
                    ledger.watch(now, &known);
                }
                Vec::new()
            }
            Step::View { .. } => self.change_view(stamp, step, limits),
            Step::ConfirmView => {
                self.plan.apply(stamp, step);
                self.settle(now);
                Vec::new()
            }
            Step::Prepare { service, .. } => {
                self.prepare(now, stamp, step, *service);
                Vec::new()
            }
            Step::Switch { service } => {
                self.plan.apply(stamp, step);
                if let Some(ledger) = self.ledgers.get_mut(service) {
                    ledger.switch(now);
                }
                let held = self.plan.services.get(service).map_or(0, |l| l.held_count() as u32);
                vec![Action::Event(Event::TableSwitched { service: *service, held })]
            }
        }
    }

    /// Replaces the plan by a fetched one; records survive only where it continues the own one.
    pub fn adopt_plan(
        &mut self,
        now: Instant,
        history: History,
        limits: &impl Admit,
    ) -> Vec<Action> {
        let plan = history.plan;
        let continues = plan.view.stamp == self.plan.view.stamp
            && self.plan.services.iter().all(|(service, old)| {
                plan.services
                    .get(service)
                    .is_some_and(|new| new.bits == old.bits && new.names.starts_with(&old.names))
            });
        let fresh = self.plan.stamp == Stamp::default();
        let settles = plan.settled && !self.plan.settled;
        self.plan = plan;
        self.log = history.steps.into();
        self.log_base = history.base;
        let mut actions = Vec::new();
        if !continues && !fresh {
            let all: Vec<_> = self.ledgers.values().map(|l| l.service).collect();
            for service in all {
                let ledger = &self.ledgers[&service];
                let decided = |&bucket: &u32| ledger.duty(bucket) != Duty::Other;
                let buckets: Vec<_> = (0..ledger.count()).filter(decided).collect();
                ledger.discard(&buckets, limits);
            }
            self.ledgers.clear();
            self.handover = Handover::default();
            self.follower.life = self.follower.life.wrapping_add(1);
            actions.push(Action::Event(Event::Restarted));
        }
        let services: Vec<_> = self.plan.services.keys().copied().collect();
        for service in services {
            self.ensure_ledger(service);
            let layout = &self.plan.services[&service];
            let held: Vec<_> = (0..1 << layout.bits).filter(|&b| layout.is_held(b)).collect();
            self.ledgers[&service].watch(now, &held);
        }
        if settles && continues {
            self.settle(now);
        }
        actions
    }

    /// Goes over the records where it is time to, and reports buckets that need not be held.
    pub fn sweep(&mut self, now: Instant, limits: &impl Admit) -> Vec<Message> {
        if now < self.next_sweep {
            return Vec::new();
        }
        self.next_sweep = now + SWEEP_INTERVAL;
        let mut reports = Vec::new();
        for (&service, ledger) in &mut self.ledgers {
            let Some(layout) = self.plan.services.get(&service) else { continue };
            let sweep = ledger.sweep(now, layout, limits);
            self.counts.insert(service, sweep.counts);
            let pins = ledger.take_pins(now, layout);
            let bits = layout.bits;
            self.handover.replicate(service, bits, self.plan.stamp, &pins, &self.plan.view);
            if !self.plan.settled {
                continue;
            }
            let stamp = self.plan.stamp;
            reports.push(self.follower.report(now, stamp, service, sweep.settled, false));
            reports.push(self.follower.report(now, stamp, service, sweep.stray, true));
        }
        reports.into_iter().flatten().collect()
    }

    fn ensure_ledger(&mut self, service: ServiceId) -> bool {
        if self.ledgers.contains_key(&service) {
            return false;
        }
        let Some(layout) = self.plan.services.get(&service) else { return false };
        let bounds = self.served.get(&service).map_or(DEFAULT_BOUNDS, |served| served.bounds);
        self.ledgers.insert(service, Ledger::new(service, layout.bits, bounds));
        true
    }

    fn prepare(&mut self, now: Instant, stamp: Stamp, step: &Step, service: ServiceId) {
        let before: Vec<_> = match self.plan.services.get(&service) {
            Some(layout) => (0..1 << layout.bits).map(|b| layout.is_held(b)).collect(),
            None => Vec::new(),
        };
        self.plan.apply(stamp, step);
        let new = self.ensure_ledger(service);
        let present = self.present();
        let (Some(layout), Some(ledger)) =
            (self.plan.services.get(&service), self.ledgers.get_mut(&service))
        else {
            return;
        };
        if new && present {
            ledger.begin(now, self.own, &self.plan.view, self.started + RETRY_SPAN);
        }
        ledger.prepare(&before, layout);
    }

    fn change_view(&mut self, stamp: Stamp, step: &Step, limits: &impl Admit) -> Vec<Action> {
        self.plan.apply(stamp, step);
        let present = self.present();
        for (service, ledger) in &mut self.ledgers {
            let (prior, view) = (&self.plan.prior, &self.plan.view);
            let dropped = ledger.change_view(self.own, present, prior, view, limits);
            if let Some(layout) = self.plan.services.get(service)
                && !present
            {
                ledger.set_aside(&dropped, layout);
                self.follower.was_alone = true;
                self.follower.returns = 0;
            }
            ledger.discard(&dropped, limits);
            ledger.change_backups(prior, view);
        }
        self.handover.change_view(&self.plan.view);
        vec![Action::Event(Event::ViewChanged { hosts: self.plan.view.hosts.clone() })]
    }

    fn settle(&mut self, now: Instant) {
        for (service, ledger) in &mut self.ledgers {
            if let Some(layout) = self.plan.services.get(service) {
                ledger.settle(now, layout);
            }
        }
    }

    /// Returns whether any bucket is still to be handed over by this host.
    pub fn giving(&self) -> bool {
        self.ledgers.values().any(Ledger::giving)
    }
}
