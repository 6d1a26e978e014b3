//! One entry host's decisions as a whole: lease, routing, registry, limits and choice of target.
//!
//! The daemon, the tests and the measurement drive the same [`Node`]; see "Node" in docs/DESIGN.md.

mod message;
mod policy;
mod sights;

use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Mutex, MutexGuard, PoisonError, RwLock, RwLockReadGuard, RwLockWriteGuard};

use indexmap::IndexMap;

pub use self::message::{Message, Seen};
use self::policy::Policy;
use self::sights::Sights;
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
    pub calendar: u64,
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
    Silent,
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
    sights: Sights,
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
            sights: Sights::default(),
            setup,
        }
    }

    /// Returns where packets to a target go, unless the target is gone.
    pub fn address(&self, target: TargetId) -> Option<SocketAddr> {
        let now = Instant(self.clock.load(Ordering::Relaxed));
        self.read().usable_entry(now, target).map(|(endpoint, _)| endpoint.address)
    }

    /// Returns the service and the target that send from an address, also after they left.
    pub fn source(&self, address: SocketAddr, protocol: Protocol) -> Option<(ServiceId, TargetId)> {
        let registry = self.read();
        let entry = registry.entry(&Endpoint { address, protocol })?;
        Some((entry.service, entry.target))
    }

    /// Returns all addresses as they are now, for data threads that keep a copy.
    pub fn directory(&self, now: Instant) -> Directory {
        let control = self.lock();
        let mut directory = Directory::default();
        for (id, service) in &control.settings.services {
            directory.add_service(service.protocol, service.address, *id);
        }
        for (endpoint, entry) in self.read().entries() {
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
        let registry = self.read();
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
        let mut control = self.lock();
        if settings.version < control.settings.version {
            return;
        }
        let Some(host) = settings.hosts.get(&self.setup.own) else { return };
        let group = settings.hosts.iter().filter(|(_, other)| other.group == host.group);
        let group = group.map(|(id, _)| *id).collect::<Vec<_>>();
        let NodeSetup { own, seed, calendar, .. } = self.setup;
        match &mut control.lease {
            Some(lease) => lease.set_hosts(now, &group),
            None => control.lease = Some(Lease::new(now, own, &group, seed, Epoch::at(calendar))),
        }
        control.settings.clone_from(settings);
        self.router.limits().apply(settings);
        self.router.apply(now, settings);
        let mut registry = self.write();
        registry.set_centre(host.centre);
        registry.apply(now, settings);
    }

    /// Takes a target's announcement.
    pub fn announce(&self, now: Instant, from: &Announcement, token: &str) -> Outcome {
        let outcome = self.write().announce(now, from, token);
        if let Outcome::Accepted(target) = outcome {
            self.sights.load(target, from.load);
        }
        outcome
    }

    /// Takes note of what a target did.
    pub fn observe(&self, target: TargetId, observation: Observation) {
        self.sights.note(target, observation);
    }

    /// Takes a peer's message in.
    pub fn message(&self, now: Instant, from: HostId, message: Message) -> Vec<Action> {
        self.advance(now);
        let mut control = self.lock();
        let mut actions = Vec::new();
        match message {
            Message::Lease(message) => {
                let Some(lease) = &mut control.lease else { return actions };
                let out = lease.message(now, from, message);
                actions
                    .extend(out.into_iter().map(|(to, one)| Action::Send(to, Message::Lease(one))));
                self.elect(now, &control);
            }
            Message::Route(message) => {
                let routed = self.router.handle_message(now, from, message);
                collect(routed, &mut actions);
            }
            Message::Gossip(gossip) => {
                let mut registry = self.write();
                registry.handle_message(now, from, gossip);
                drain(&mut registry, &mut actions);
            }
            Message::Report(seen) => control.policy.hear(&seen),
        }
        actions
    }

    /// Lets time pass; to be called about ten times a second.
    pub fn tick(&self, now: Instant) -> Vec<Action> {
        self.advance(now);
        let mut control = self.lock();
        let mut actions = Vec::new();
        if let Some(lease) = &mut control.lease {
            let out = lease.tick(now);
            actions.extend(out.into_iter().map(|(to, one)| Action::Send(to, Message::Lease(one))));
        }
        let alone = self.router.summary(now).hosts.len() <= 1;
        if let (true, false, Some(lease)) = (control.leaving, alone, &mut control.lease) {
            lease.resign(now);
        }
        self.elect(now, &control);
        self.tick_registry(now, &control, &mut actions);
        self.report(now, &mut control, &mut actions);
        self.weigh(now, &mut control);
        collect(self.router.tick(now), &mut actions);
        actions
    }

    /// Begins a planned stop; [`Status::left`] tells when it may end.
    pub fn leave(&self, now: Instant) -> Vec<Action> {
        let mut control = self.lock();
        control.leaving = true;
        let mut actions = Vec::new();
        collect(self.router.leave(now), &mut actions);
        actions
    }

    fn elect(&self, now: Instant, control: &Control) {
        let Some(lease) = &control.lease else { return };
        let holder = lease.holder(now).map(|(host, epoch)| (host, epoch.0));
        let until = lease.until(now).unwrap_or_default();
        self.router.set_election(now, Election { holder, until });
    }

    fn tick_registry(&self, now: Instant, control: &Control, actions: &mut Vec<Action>) {
        let status = self.router.summary(now);
        self.router.limits().share(status.hosts.len(), &control.settings);
        let mut registry = self.write();
        registry.set_view(now, status.epoch, &status.hosts, status.leased);
        registry.tick(now);
        drain(&mut registry, actions);
    }

    /// Sends the planner what this host has seen, or keeps it where this host plans.
    fn report(&self, now: Instant, control: &mut Control, actions: &mut Vec<Action>) {
        if now < control.next_report {
            return;
        }
        control.next_report = now + REPORT_INTERVAL;
        let seen = self.sights.take();
        let holder = control.lease.as_ref().and_then(|lease| lease.holder(now));
        match holder {
            Some((host, _)) if host == self.setup.own => control.policy.hear(&seen),
            Some((host, _)) if !seen.is_empty() => {
                actions.push(Action::Send(host, Message::Report(seen)));
            }
            _ => {}
        }
    }

    fn weigh(&self, now: Instant, control: &mut Control) {
        let planning = self.router.summary(now).planning;
        let Control { settings, policy, .. } = control;
        let registry = self.read();
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
            policy.weigh(now, planning, &self.router, *id, service, &entries);
        }
    }

    fn advance(&self, now: Instant) {
        self.clock.fetch_max(now.0, Ordering::Relaxed);
    }

    fn read(&self) -> RwLockReadGuard<'_, Registry> {
        self.registry.read().unwrap_or_else(PoisonError::into_inner)
    }

    fn write(&self) -> RwLockWriteGuard<'_, Registry> {
        self.registry.write().unwrap_or_else(PoisonError::into_inner)
    }

    fn lock(&self) -> MutexGuard<'_, Control> {
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
        let control = self.lock();
        let mut services = control.settings.services.iter();
        let found = services.find(|(_, one)| (one.protocol, one.address) == (protocol, address));
        found.map(|(id, _)| *id)
    }

    fn origin(&self, protocol: Protocol, address: SocketAddr) -> Option<Origin> {
        let (service, target) = self.source(address, protocol)?;
        let address = self.lock().settings.services.get(&service)?.address;
        Some(Origin { target, service, address })
    }

    fn address(&self, target: TargetId) -> Option<SocketAddr> {
        Self::address(self, target)
    }
}

fn collect(from: Vec<RouteAction>, to: &mut Vec<Action>) {
    to.extend(from.into_iter().map(|action| match action {
        RouteAction::Send(host, message) => Action::Send(host, Message::Route(message)),
        RouteAction::Event(event) => Action::Event(Event::Route(event)),
    }));
}

fn drain(registry: &mut Registry, to: &mut Vec<Action>) {
    let sends = registry.take_outbox().into_iter();
    to.extend(sends.map(|send| Action::Send(send.to, Message::Gossip(send.gossip))));
    let events = registry.take_events().into_iter();
    to.extend(events.map(|event| Action::Event(Event::Target(event))));
}
