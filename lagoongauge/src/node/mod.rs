//! One entry host's decisions as a whole: lease, routing, registry, limits and choice of target.
//!
//! The daemon, the tests and the measurement drive the same [`Node`]; see "Node" in docs/DESIGN.md.

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

/// Time between two reports of what this host has seen of targets.
const REPORT_INTERVAL: Span = Span::seconds(2);

/// What a node is built from.
#[derive(Debug, Clone)]
pub struct NodeSetup {
    /// The host itself.
    pub own: HostId,
    /// Key that all entry hosts share.
    pub key: HashKey,
    /// Random number that differs from those of the host's earlier processes.
    pub seed: u64,
    /// Calendar time of the process's start in milliseconds, which keeps epochs rising.
    pub start_time: u64,
}

/// What a target did, as the data path sees it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Observation {
    /// A flow's first packet was sent to the target.
    Opened,
    /// The target answered a flow's first packet.
    Answered,
    /// The target reset a flow.
    Reset,
    /// The network says that the target can't be reached.
    Unreachable,
}

/// Something for operators.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Event {
    /// The routing has news.
    Route(crate::route::Event),
    /// The registry has news.
    Target(crate::target::Event),
}

/// What a node asks its host to do.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Action {
    /// Send a message to a peer.
    Send(HostId, Message),
    /// Note an event for the operators.
    Event(Event),
}

/// A node's state for operators.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Status {
    /// State of the routing.
    pub route: crate::route::Status,
    /// Whether the registry has heard from the group.
    pub synced: bool,
    /// Targets whose announcements hold.
    pub targets: usize,
    /// Whether the host has left after [`Node::leave`].
    pub left: bool,
}

/// The decisions of one entry host; every method may be called from any thread.
#[derive(Debug)]
pub struct Node {
    setup: NodeSetup,
    clock: AtomicU64,
    router: Router<Limits>,
    registry: RwLock<Registry>,
    control: Mutex<Control>,
    stats: StatsCollector,
}

#[derive(Debug)]
struct Control {
    settings: Resolved,
    lease: Option<Lease>,
    policy: Policy,
    next_report: Instant,
    leaving: bool,
}

impl Node {
    /// Builds the node of a host that has just started and knows no settings yet.
    pub fn new(now: Instant, setup: NodeSetup) -> Self {
        let registry = Setup { own: setup.own, centre: CentreId(0), key: setup.key };
        let control = Control {
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
            control: Mutex::new(control),
            stats: StatsCollector::default(),
            setup,
        }
    }

    /// Returns where packets to a target go, unless the target is gone.
    pub fn target_address(&self, target: TargetId) -> Option<SocketAddr> {
        let now = Instant(self.clock.load(Ordering::Relaxed));
        self.read_registry().usable_entry(now, target).map(|(endpoint, _)| endpoint.address)
    }

    /// Returns the service and the target that send from an address, also after they left.
    pub fn target_at(
        &self,
        address: SocketAddr,
        protocol: Protocol,
    ) -> Option<(ServiceId, TargetId)> {
        let registry = self.read_registry();
        let entry = registry.entry(&Endpoint { address, protocol })?;
        Some((entry.service, entry.target))
    }

    /// Returns all addresses as they are now, for data threads that keep a copy.
    pub fn directory(&self, now: Instant) -> Directory {
        let control = self.lock_control();
        let mut directory = Directory::default();
        for (id, service) in &control.settings.services {
            directory.add_service(service.protocol, service.address, *id);
        }
        for (endpoint, entry) in self.read_registry().entries() {
            let Some(service) = control.settings.services.get(&entry.service) else { continue };
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

    /// Returns the routing of this host.
    pub fn router(&self) -> &Router<Limits> {
        &self.router
    }

    /// Returns the node's state for operators.
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

    /// Takes settings; older ones than those in force are left aside.
    pub fn apply(&self, now: Instant, settings: &Resolved) {
        let mut control = self.lock_control();
        if settings.version < control.settings.version {
            return;
        }
        let Some(host) = settings.hosts.get(&self.setup.own) else { return };
        let group = settings.hosts.iter().filter(|(_, other)| other.group == host.group);
        let group = group.map(|(id, _)| *id).collect::<Vec<_>>();
        let NodeSetup { own, seed, start_time, .. } = self.setup;
        match &mut control.lease {
            Some(lease) => lease.set_hosts(now, &group),
            None => {
                control.lease =
                    Some(Lease::new(now, own, &group, seed, Epoch::from_start_time(start_time)));
            }
        }
        control.settings.clone_from(settings);
        self.router.limits().apply(settings);
        self.router.apply(now, settings);
        let mut registry = self.write_registry();
        registry.set_centre(host.centre);
        registry.apply(now, settings);
    }

    /// Takes a target's announcement.
    pub fn announce(&self, now: Instant, from: &Announcement, token: &str) -> Outcome {
        let outcome = self.write_registry().announce(now, from, token);
        if let Outcome::Accepted(target) = outcome {
            self.stats.record_load(target, from.load);
        }
        outcome
    }

    /// Takes note of what a target did.
    pub fn observe(&self, target: TargetId, observation: Observation) {
        self.stats.record(target, observation);
    }

    /// Takes a peer's message in.
    pub fn handle_message(&self, now: Instant, from: HostId, message: Message) -> Vec<Action> {
        self.advance_clock(now);
        let mut control = self.lock_control();
        let mut actions = Vec::new();
        match message {
            Message::Lease(message) => {
                let Some(lease) = &mut control.lease else { return actions };
                let out = lease.handle_message(now, from, message);
                actions
                    .extend(out.into_iter().map(|(to, one)| Action::Send(to, Message::Lease(one))));
                self.update_election(now, &control);
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
            Message::Report(reports) => control.policy.add_reports(&reports),
        }
        actions
    }

    /// Lets time pass; to be called about ten times a second.
    pub fn tick(&self, now: Instant) -> Vec<Action> {
        self.advance_clock(now);
        let mut control = self.lock_control();
        let mut actions = Vec::new();
        if let Some(lease) = &mut control.lease {
            let out = lease.tick(now);
            actions.extend(out.into_iter().map(|(to, one)| Action::Send(to, Message::Lease(one))));
        }
        let alone = self.router.summary(now).hosts.len() <= 1;
        if let (true, false, Some(lease)) = (control.leaving, alone, &mut control.lease) {
            lease.resign(now);
        }
        self.update_election(now, &control);
        self.tick_registry(now, &control, &mut actions);
        self.send_report(now, &mut control, &mut actions);
        self.update_weights(now, &mut control);
        add_route_actions(self.router.tick(now), &mut actions);
        actions
    }

    /// Begins a planned stop; [`Status::left`] tells when it may end.
    pub fn leave(&self, now: Instant) -> Vec<Action> {
        let mut control = self.lock_control();
        control.leaving = true;
        let mut actions = Vec::new();
        add_route_actions(self.router.leave(now), &mut actions);
        actions
    }

    fn update_election(&self, now: Instant, control: &Control) {
        let Some(lease) = &control.lease else { return };
        let holder = lease.holder(now).map(|(host, epoch)| (host, epoch.0));
        let until = lease.expires_at(now).unwrap_or_default();
        self.router.set_election(now, Election { holder, until });
    }

    fn tick_registry(&self, now: Instant, control: &Control, actions: &mut Vec<Action>) {
        let status = self.router.summary(now);
        self.router.limits().set_host_count(status.hosts.len(), &control.settings);
        let mut registry = self.write_registry();
        registry.set_view(now, status.epoch, &status.hosts, status.leased);
        registry.tick(now);
        add_registry_actions(&mut registry, actions);
    }

    /// Sends the planner what this host has seen, or keeps it where this host plans.
    fn send_report(&self, now: Instant, control: &mut Control, actions: &mut Vec<Action>) {
        if now < control.next_report {
            return;
        }
        control.next_report = now + REPORT_INTERVAL;
        let reports = self.stats.take();
        let holder = control.lease.as_ref().and_then(|lease| lease.holder(now));
        match holder {
            Some((host, _)) if host == self.setup.own => control.policy.add_reports(&reports),
            Some((host, _)) if !reports.is_empty() => {
                actions.push(Action::Send(host, Message::Report(reports)));
            }
            _ => {}
        }
    }

    fn update_weights(&self, now: Instant, control: &mut Control) {
        let planning = self.router.summary(now).planning;
        let Control { settings, policy, .. } = control;
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

    fn lock_control(&self) -> MutexGuard<'_, Control> {
        self.control.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Route for Node {
    fn route(&self, now: Instant, facts: &PacketFacts) -> Verdict {
        self.router.route(now, facts)
    }
}

impl AddressLookup for Node {
    fn service(&self, protocol: Protocol, address: SocketAddr) -> Option<ServiceId> {
        let control = self.lock_control();
        let mut services = control.settings.services.iter();
        let found = services.find(|(_, one)| (one.protocol, one.address) == (protocol, address));
        found.map(|(id, _)| *id)
    }

    fn origin(&self, protocol: Protocol, address: SocketAddr) -> Option<Origin> {
        let (service, target) = self.target_at(address, protocol)?;
        let address = self.lock_control().settings.services.get(&service)?.address;
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
