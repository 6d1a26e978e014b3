//! State machine of one entry host: lease, routing, registry, limits and load balancing.
//!
//! The daemon, the tests and the measurements use the same [`Node`]; see "Node" in docs/DESIGN.md.

mod message;
mod policy;
mod stats;

use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Mutex, MutexGuard, PoisonError, RwLock, RwLockReadGuard, RwLockWriteGuard};

use indexmap::IndexMap;

pub use self::message::{Message, TargetReport};
use self::policy::Policy;
use self::stats::StatsCollector;
use crate::flow::{HashKey, Protocol};
use crate::forward::{AddressLookup, Directory, Origin};
use crate::group::{Epoch, Lease};
use crate::id::{CentreId, HostId, ServiceId, TargetId};
use crate::limit::Limits;
use crate::route::{Action as RouteAction, Election, PacketFacts, Route, Router, Verdict};
use crate::settings::Resolved;
use crate::target::{Announcement, Endpoint, Outcome, Registry, Setup};
use crate::time::{Instant, Span};

/// Interval between the host's reports of its target statistics.
const REPORT_INTERVAL: Span = Span::seconds(2);

/// Parameters of a node.
#[derive(Debug, Clone)]
pub struct NodeSetup {
    /// The host itself.
    pub own: HostId,
    /// Hash key that all entry hosts share.
    pub key: HashKey,
    /// Random seed that differs between the host's processes.
    pub seed: u64,
    /// Unix time of the process's start in milliseconds; keeps epochs increasing.
    pub start_time: u64,
}

/// Behaviour of a target as observed by the data path.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Observation {
    /// A flow's first packet was sent to the target.
    Opened,
    /// The target answered a flow's first packet.
    Answered,
    /// The target reset a flow.
    Reset,
    /// An ICMP error reported the target as unreachable.
    Unreachable,
}

/// Event for operators.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Event {
    /// Routing event.
    Route(crate::route::Event),
    /// Target registry event.
    Target(crate::target::Event),
}

/// Action that the caller of a node must carry out.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Action {
    /// Send a message to a peer.
    Send(HostId, Message),
    /// Log an event for operators.
    Event(Event),
}

/// Status of a node for operators.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Status {
    /// Status of the router.
    pub route: crate::route::Status,
    /// Whether the registry has synchronized with the group.
    pub synced: bool,
    /// Number of targets with a valid announcement.
    pub targets: usize,
    /// Whether the host has left the group after [`Node::leave`].
    pub left: bool,
}

/// State machine of one entry host; all methods may be called from any thread.
#[derive(Debug)]
pub struct Node {
    setup: NodeSetup,
    clock: AtomicU64,
    router: Router<Limits>,
    registry: RwLock<Registry>,
    state: Mutex<NodeState>,
    stats: StatsCollector,
}

#[derive(Debug)]
struct NodeState {
    settings: Resolved,
    lease: Option<Lease>,
    policy: Policy,
    next_report: Instant,
    leaving: bool,
}

impl Node {
    /// Creates the node of a host that has just started and has no settings yet.
    pub fn new(now: Instant, setup: NodeSetup) -> Self {
        let registry = Setup { own: setup.own, centre: CentreId(0), key: setup.key };
        let state = NodeState {
            settings: Resolved::default(),
            lease: None,
            policy: Policy::default(),
            next_report: now + REPORT_INTERVAL,
            leaving: false,
        };
        Self {
            clock: AtomicU64::new(now.0),
            router: Router::with_limits(setup.own, setup.key, setup.seed, now, Limits::default()),
            registry: RwLock::new(Registry::new(now, registry)),
            state: Mutex::new(state),
            stats: StatsCollector::default(),
            setup,
        }
    }

    /// Returns the address of a target, unless the target is gone.
    pub fn target_address(&self, target: TargetId) -> Option<SocketAddr> {
        let now = Instant(self.clock.load(Ordering::Relaxed));
        self.read_registry().usable_entry(now, target).map(|(endpoint, _)| endpoint.address)
    }

    /// Returns the service and the target at an address, also for a while after the target left.
    pub fn target_at(
        &self,
        address: SocketAddr,
        protocol: Protocol,
    ) -> Option<(ServiceId, TargetId)> {
        let registry = self.read_registry();
        let entry = registry.entry(&Endpoint { address, protocol })?;
        Some((entry.service, entry.target))
    }

    /// Returns a snapshot of all addresses for the data threads.
    pub fn directory(&self, now: Instant) -> Directory {
        let state = self.lock_state();
        let mut directory = Directory::default();
        for (id, service) in &state.settings.services {
            directory.add_service(service.protocol, service.address, *id);
        }
        for (endpoint, entry) in self.read_registry().entries() {
            let Some(service) = state.settings.services.get(&entry.service) else { continue };
            let origin =
                Origin { target: entry.target, service: entry.service, address: service.address };
            if entry.is_usable(now) {
                directory.add_target(endpoint.protocol, endpoint.address, origin);
            } else {
                directory.add_former_target(endpoint.protocol, endpoint.address, origin);
            }
        }
        directory
    }

    /// Returns the limits of this host.
    pub fn limits(&self) -> &Limits {
        self.router.limits()
    }

    /// Returns the router of this host.
    pub fn router(&self) -> &Router<Limits> {
        &self.router
    }

    /// Returns the status for operators.
    pub fn status(&self, now: Instant) -> Status {
        let registry = self.read_registry();
        let live = registry.entries().filter(|(_, entry)| entry.is_live(now));
        Status {
            route: self.router.status(now),
            synced: registry.is_synced(),
            targets: live.count(),
            left: self.router.has_left(),
        }
    }

    /// Applies settings; ignores versions older than the active one.
    pub fn apply(&self, now: Instant, settings: &Resolved) {
        let mut state = self.lock_state();
        if settings.version < state.settings.version {
            return;
        }
        let Some(host) = settings.hosts.get(&self.setup.own) else { return };
        let group = settings.hosts.iter().filter(|(_, other)| other.group == host.group);
        let group = group.map(|(id, _)| *id).collect::<Vec<_>>();
        let NodeSetup { own, seed, start_time, .. } = self.setup;
        match &mut state.lease {
            Some(lease) => lease.set_hosts(now, &group),
            None => {
                state.lease =
                    Some(Lease::new(now, own, &group, seed, Epoch::from_start_time(start_time)));
            }
        }
        state.settings.clone_from(settings);
        self.router.limits().apply(settings);
        self.router.apply(now, settings);
        let mut registry = self.write_registry();
        registry.set_centre(host.centre);
        registry.apply(now, settings);
    }

    /// Handles a target's announcement.
    pub fn announce(&self, now: Instant, from: &Announcement, token: &str) -> Outcome {
        let outcome = self.write_registry().announce(now, from, token);
        if let Outcome::Accepted(target) = outcome {
            self.stats.record_load(target, from.load);
        }
        outcome
    }

    /// Records an observation of a target.
    pub fn observe(&self, target: TargetId, observation: Observation) {
        self.stats.record(target, observation);
    }

    /// Handles a message of a peer.
    pub fn handle_message(&self, now: Instant, from: HostId, message: Message) -> Vec<Action> {
        self.advance_clock(now);
        let mut state = self.lock_state();
        let mut actions = Vec::new();
        match message {
            Message::Lease(message) => {
                let Some(lease) = &mut state.lease else { return actions };
                let out = lease.handle_message(now, from, message);
                actions.extend(
                    out.into_iter().map(|(to, message)| Action::Send(to, Message::Lease(message))),
                );
                self.update_election(now, &state);
            }
            Message::Route(message) => {
                let routed = self.router.handle_message(now, from, message);
                add_route_actions(routed, &mut actions);
            }
            Message::Gossip(gossip) => {
                let mut registry = self.write_registry();
                registry.handle_message(now, from, gossip);
                add_registry_actions(&mut registry, &mut actions);
            }
            Message::Report(reports) => state.policy.add_reports(&reports),
        }
        actions
    }

    /// Advances time; must be called about ten times per second.
    pub fn tick(&self, now: Instant) -> Vec<Action> {
        self.advance_clock(now);
        let mut state = self.lock_state();
        let mut actions = Vec::new();
        if let Some(lease) = &mut state.lease {
            let out = lease.tick(now);
            actions.extend(
                out.into_iter().map(|(to, message)| Action::Send(to, Message::Lease(message))),
            );
        }
        let is_last_host = self.router.summary(now).hosts.len() <= 1;
        if let (true, false, Some(lease)) = (state.leaving, is_last_host, &mut state.lease) {
            lease.resign(now);
        }
        self.update_election(now, &state);
        self.tick_registry(now, &state, &mut actions);
        self.send_report(now, &mut state, &mut actions);
        self.update_weights(now, &mut state);
        add_route_actions(self.router.tick(now), &mut actions);
        actions
    }

    /// Starts a planned shutdown; the process may end once [`Status::left`] is set.
    pub fn leave(&self, now: Instant) -> Vec<Action> {
        let mut state = self.lock_state();
        state.leaving = true;
        let mut actions = Vec::new();
        add_route_actions(self.router.leave(now), &mut actions);
        actions
    }

    fn update_election(&self, now: Instant, state: &NodeState) {
        let Some(lease) = &state.lease else { return };
        let holder = lease.holder(now).map(|(host, epoch)| (host, epoch.0));
        let until = lease.expires_at(now).unwrap_or_default();
        self.router.set_election(now, Election { holder, until });
    }

    fn tick_registry(&self, now: Instant, state: &NodeState, actions: &mut Vec<Action>) {
        let status = self.router.summary(now);
        self.router.limits().set_host_count(status.hosts.len(), &state.settings);
        let mut registry = self.write_registry();
        registry.set_view(now, status.epoch, &status.hosts, status.leased);
        registry.tick(now);
        add_registry_actions(&mut registry, actions);
    }

    /// Sends this host's target statistics to the planner, or keeps them if it is the planner.
    fn send_report(&self, now: Instant, state: &mut NodeState, actions: &mut Vec<Action>) {
        if now < state.next_report {
            return;
        }
        state.next_report = now + REPORT_INTERVAL;
        let reports = self.stats.take();
        let holder = state.lease.as_ref().and_then(|lease| lease.holder(now));
        match holder {
            Some((host, _)) if host == self.setup.own => state.policy.add_reports(&reports),
            Some((host, _)) if !reports.is_empty() => {
                actions.push(Action::Send(host, Message::Report(reports)));
            }
            _ => {}
        }
    }

    fn update_weights(&self, now: Instant, state: &mut NodeState) {
        let planning = self.router.summary(now).planning;
        let NodeState { settings, policy, .. } = state;
        let registry = self.read_registry();
        if !registry.is_synced() {
            return;
        }
        let mut entries = IndexMap::<ServiceId, Vec<_>>::new();
        for (_, entry) in registry.entries() {
            entries.entry(entry.service).or_default().push(*entry);
        }
        drop(registry);
        for (id, service) in &settings.services {
            let entries = entries.swap_remove(id).unwrap_or_default();
            policy.update(now, planning, &self.router, *id, service, &entries);
        }
    }

    fn advance_clock(&self, now: Instant) {
        self.clock.fetch_max(now.0, Ordering::Relaxed);
    }

    fn read_registry(&self) -> RwLockReadGuard<'_, Registry> {
        self.registry.read().unwrap_or_else(PoisonError::into_inner)
    }

    fn write_registry(&self) -> RwLockWriteGuard<'_, Registry> {
        self.registry.write().unwrap_or_else(PoisonError::into_inner)
    }

    fn lock_state(&self) -> MutexGuard<'_, NodeState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Route for Node {
    fn route(&self, now: Instant, facts: &PacketFacts) -> Verdict {
        self.router.route(now, facts)
    }
}

impl AddressLookup for Node {
    fn service(&self, protocol: Protocol, address: SocketAddr) -> Option<ServiceId> {
        let state = self.lock_state();
        let mut services = state.settings.services.iter();
        let found = services
            .find(|(_, service)| (service.protocol, service.address) == (protocol, address));
        found.map(|(id, _)| *id)
    }

    fn origin(&self, protocol: Protocol, address: SocketAddr) -> Option<Origin> {
        let (service, target) = self.target_at(address, protocol)?;
        let address = self.lock_state().settings.services.get(&service)?.address;
        Some(Origin { target, service, address })
    }

    fn address(&self, target: TargetId) -> Option<SocketAddr> {
        Self::target_address(self, target)
    }
}

fn add_route_actions(from: Vec<RouteAction>, to: &mut Vec<Action>) {
    to.extend(from.into_iter().map(|action| match action {
        RouteAction::Send(host, message) => Action::Send(host, Message::Route(message)),
        RouteAction::Event(event) => Action::Event(Event::Route(event)),
    }));
}

fn add_registry_actions(registry: &mut Registry, to: &mut Vec<Action>) {
    let sends = registry.take_outbox().into_iter();
    to.extend(sends.map(|send| Action::Send(send.to, Message::Gossip(send.gossip))));
    let events = registry.take_events().into_iter();
    to.extend(events.map(|event| Action::Event(Event::Target(event))));
}
