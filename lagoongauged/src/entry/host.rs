//! A running entry host: its sockets, its threads and the way it leaves.

use std::io;
use std::net::{SocketAddr, TcpListener, UdpSocket};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::thread::{self, JoinHandle};
use std::time::Duration;

use lagoongauge::error::{Error, Kind};
use lagoongauge::id::{HostId, ServiceId};
use lagoongauge::node::{Action, Message, Node, NodeSetup};
use lagoongauge::settings::Resolved;
use lagoongauge::target::{Announcement, Outcome};
use lagoongauge::time::Span;
use lagoongauge::wire::{Channel, Session};
use serde_json::{Value, json};
use socket2::SockRef;

use super::http::{Api, serve};
use super::link::{Link, MAX_DATAGRAM, Received};
use super::metrics::{Metrics, Shown};
use super::settings::Settings;
use super::{Plane, Snapshot, Sockets, View, Worker};
use crate::control::{Progress, Subscriber, Traffic, subscribe};
use crate::daemon::{Clock, LogSetup, Stop};

/// Time between two ticks of the decisions.
const TICK: Duration = Duration::from_millis(50);

/// Ticks between two takings of the addresses.
const VIEW_TICKS: u64 = 2;

/// Ticks between two greetings of a peer that does not know this process.
const GREET_TICKS: u64 = 10;

/// How long a host that has left still relays packets that were under way to it.
const LINGER: Duration = Duration::from_secs(1);

/// Bytes that the operating system is asked to queue for each UDP socket.
const QUEUE: usize = 4 << 20;

/// The sockets of an entry host, bound.
#[derive(Debug)]
pub struct Bound {
    /// Takes the fabric's datagrams.
    pub data: UdpSocket,
    /// Takes the datagrams of other entry hosts.
    pub peer: UdpSocket,
    /// Takes HTTP connections.
    pub http: TcpListener,
}

/// A running entry host.
#[derive(Debug)]
pub struct EntryHost {
    core: Arc<Core>,
    drain_limit: Span,
    threads: Vec<JoinHandle<()>>,
}

/// What the threads of a host share.
#[derive(Debug)]
struct Core {
    own: HostId,
    plane: Arc<Plane<Node>>,
    metrics: Metrics,
    traffic: Traffic,
    version: AtomicU64,
    services: Snapshot<Vec<(String, ServiceId)>>,
    leaving: AtomicBool,
    stop: Stop,
    log: LogSetup,
}

impl TryFrom<&Settings> for Bound {
    type Error = Error;

    fn try_from(settings: &Settings) -> Result<Self, Error> {
        Ok(Self {
            data: UdpSocket::bind(settings.data).map_err(|e| unbound("data", settings.data, &e))?,
            peer: UdpSocket::bind(settings.peer).map_err(|e| unbound("peer", settings.peer, &e))?,
            http: TcpListener::bind(settings.http)
                .map_err(|e| unbound("http", settings.http, &e))?,
        })
    }
}

fn unbound(flag: &str, address: SocketAddr, error: &io::Error) -> Error {
    Error::new(Kind::Usage, format!("--{flag} {address} can't be bound: {error}"))
}

impl EntryHost {
    /// Starts the threads of a host.
    ///
    /// # Errors
    ///
    /// Fails where the operating system gives no thread or socket option.
    pub fn start(settings: &Settings, bound: Bound) -> eyre::Result<Self> {
        let calendar = Clock::calendar();
        let key = settings.cluster_key.hash_key();
        let seed = rand::random();
        let setup = NodeSetup { own: settings.host, key, seed, calendar };
        for socket in [&bound.data, &bound.peer] {
            // A shorter queue only drops earlier under load.
            let _ = SockRef::from(socket).set_recv_buffer_size(QUEUE);
        }
        let channel = Channel::new(settings.host, Session(calendar), settings.cluster_key.clone());
        let link = Link::new(bound.peer, channel);
        let sockets = Sockets { data: bound.data, link, fabric: settings.fabric };
        let plane = Plane::new(key, |now| Node::new(now, setup), sockets)?;
        let core = Arc::new(Core {
            own: settings.host,
            plane: Arc::new(plane),
            metrics: Metrics::new()?,
            traffic: Traffic::default(),
            version: AtomicU64::new(0),
            services: Snapshot::new(Vec::new()),
            leaving: AtomicBool::new(false),
            stop: Stop::default(),
            log: settings.log(),
        });
        let mut threads = core.plane.start(settings.threads)?;
        threads.push(spawn("peer", &core, |core| core.serve_peers())?);
        threads.push(spawn("tick", &core, |core| core.serve_time())?);
        let subscriber = Subscriber {
            own: settings.host,
            centre: settings.centre,
            controls: settings.control.clone(),
            key: settings.cluster_key.clone(),
            traffic: core.traffic.clone(),
            progress: Progress::default(),
        };
        threads.push(spawn("settings", &core, move |core| core.serve_settings(subscriber))?);
        let http = bound.http;
        threads.push(spawn("http", &core, move |core| {
            if let Err(error) = serve(http, core, &core.stop) {
                log::error!("HTTP is not served any more: {error}.");
            }
        })?);
        Ok(Self { core, drain_limit: settings.drain_limit, threads })
    }

    /// Returns whether the fabric may send packets here.
    pub fn is_ready(&self) -> bool {
        self.core.is_ready()
    }

    /// Returns the version of the settings in force; zero before there is one.
    pub fn version(&self) -> u64 {
        self.core.version.load(Ordering::Relaxed)
    }

    /// Returns the targets whose announcements hold, as this host knows them.
    pub fn targets(&self) -> usize {
        let plane = &self.core.plane;
        plane.route.status(plane.clock.now()).targets
    }

    /// Returns the services in force with their paths in the settings tree.
    pub fn services(&self) -> Vec<(String, ServiceId)> {
        self.core.services.load().to_vec()
    }

    /// Returns the bytes sent and received for control: messages between hosts, and settings.
    pub fn control_bytes(&self) -> u64 {
        self.core.plane.counters.control_bytes()
            + self.core.traffic.sent()
            + self.core.traffic.received()
    }

    /// Returns the shared data path.
    pub fn plane(&self) -> &Plane<Node> {
        &self.core.plane
    }

    /// Tells that this host leaves: health turns bad and the flows are handed over.
    pub fn leave(&self) {
        if !self.core.leaving.swap(true, Ordering::AcqRel) {
            log::info!("The host leaves and hands its flows over.");
        }
        let plane = &self.core.plane;
        let actions = plane.route.leave(plane.clock.now());
        self.core.act(actions);
    }

    /// Leaves, waits until every flow is handed over or the limit is reached, and ends all threads.
    ///
    /// Returns whether everything was handed over.
    pub fn shut_down(self) -> bool {
        self.leave();
        let clock = self.core.plane.clock;
        let start = clock.now();
        let left = loop {
            let now = clock.now();
            if self.core.plane.route.status(now).left {
                break true;
            }
            if now.since(start) >= self.drain_limit {
                break false;
            }
            thread::sleep(TICK);
        };
        thread::sleep(LINGER);
        self.end();
        log::info!("The host has ended; everything handed over: {left}.");
        left
    }

    /// Ends all threads at once, without handing anything over.
    pub fn end(self) {
        self.core.stop.raise();
        self.core.plane.stop();
        for handle in self.threads {
            if handle.join().is_err() {
                log::error!("A thread of the entry host panicked.");
            }
        }
    }
}

impl Core {
    fn serve_peers(&self) {
        let mut worker = Worker::new(&self.plane);
        let mut buffer = vec![0; MAX_DATAGRAM];
        let mut packet = Vec::new();
        while !self.stop.is_raised() {
            let Ok((len, _)) = self.plane.sockets.link.socket().recv_from(&mut buffer) else {
                continue;
            };
            match self.plane.sockets.link.open(&buffer[..len]) {
                Some(Received::Message(from, payload)) => self.hear(from, payload),
                Some(Received::Packet(hops, payload)) => {
                    packet.clear();
                    packet.extend_from_slice(payload);
                    worker.carry(&mut packet, hops);
                }
                Some(Received::Greet(host)) => self.greet(host),
                None => {}
            }
        }
    }

    fn serve_time(&self) {
        let mut ticks = 0;
        while !self.stop.is_raised() {
            thread::sleep(TICK);
            ticks += 1;
            let now = self.plane.clock.now();
            let actions = self.plane.route.tick(now);
            self.act(actions);
            if ticks % VIEW_TICKS == 0 {
                self.take_addresses();
            }
            if ticks % GREET_TICKS == 0 {
                self.greet_strangers();
            }
        }
    }

    fn serve_settings(&self, subscriber: Subscriber) {
        let deliver = |resolved: Resolved| self.apply(&resolved);
        subscribe(subscriber, &self.stop, deliver, || self.report().to_string());
    }

    fn apply(&self, resolved: &Resolved) {
        self.plane.route.apply(self.plane.clock.now(), resolved);
        let before = self.plane.view.load();
        let others = resolved.hosts.iter().filter(|(host, _)| **host != self.own);
        let peers = others.map(|(host, entry)| (*host, entry.peer)).collect();
        self.plane.view.store(View { directory: before.directory.clone(), peers });
        self.take_addresses();
        self.services.store(paths(resolved));
        self.version.store(resolved.version, Ordering::Release);
        log::info!("Version {} of the settings is in force.", resolved.version);
    }

    fn take_addresses(&self) {
        let directory = self.plane.route.directory(self.plane.clock.now());
        self.plane.view.update(|view| View { directory, peers: view.peers.clone() });
    }

    fn hear(&self, from: HostId, payload: &[u8]) {
        match Message::from_bytes(payload) {
            Ok(message) => {
                let now = self.plane.clock.now();
                self.act(self.plane.route.message(now, from, message));
            }
            Err(error) => log::warn!("A message of {from} can't be read: {error}."),
        }
    }

    fn act(&self, actions: Vec<Action>) {
        let view = self.plane.view.load();
        for action in actions {
            match action {
                Action::Send(host, message) => {
                    let Some(peer) = view.peers.get(&host) else { continue };
                    let link = &self.plane.sockets.link;
                    link.message((host, *peer), &message.to_bytes(), &self.plane.counters);
                }
                Action::Event(event) => log::info!("{event:?}"),
            }
        }
    }

    fn greet(&self, host: HostId) {
        if let Some(peer) = self.plane.view.load().peers.get(&host) {
            self.plane.sockets.link.greet((host, *peer), &self.plane.counters);
        }
    }

    fn greet_strangers(&self) {
        let view = self.plane.view.load();
        for (host, peer) in &view.peers {
            if !self.plane.sockets.link.knows(*host) {
                self.plane.sockets.link.greet((*host, *peer), &self.plane.counters);
            }
        }
    }

    fn report(&self) -> Value {
        let now = self.plane.clock.now();
        let status = self.plane.route.status(now);
        let hosts: Vec<u32> = status.route.hosts.iter().map(|host| host.0).collect();
        json!({
            "host": self.own.0,
            "ready": self.is_ready(),
            "version": self.version.load(Ordering::Relaxed),
            "leased": status.route.leased,
            "planning": status.route.planning,
            "hosts": hosts,
            "targets": status.targets,
            "records": status.route.records,
            "record_bytes": status.route.record_bytes,
            "held_buckets": status.route.held,
            "pending_buckets": status.route.pending,
            "left": status.left,
        })
    }
}

impl Api for Core {
    fn announce(&self, from: &Announcement, token: &str) -> Result<Value, Error> {
        let outcome = self.plane.route.announce(self.plane.clock.now(), from, token);
        match outcome {
            Outcome::Accepted(target) => {
                Ok(json!({ "outcome": "accepted", "target": target.to_string() }))
            }
            Outcome::Forwarded(home) => Ok(json!({ "outcome": "forwarded", "to": home.0 })),
            Outcome::Refused(error) => Err(error),
        }
    }

    fn is_ready(&self) -> bool {
        let status = self.plane.route.status(self.plane.clock.now());
        status.route.leased && !self.leaving.load(Ordering::Acquire)
    }

    fn metrics(&self) -> String {
        let status = self.plane.route.status(self.plane.clock.now());
        let shown = Shown {
            version: self.version.load(Ordering::Relaxed),
            records: status.route.records as u64,
            targets: status.targets as u64,
            leased: status.route.leased,
        };
        self.metrics.render(&self.plane.counters, shown).unwrap_or_else(|error| {
            log::error!("The metrics can't be rendered: {error}.");
            String::new()
        })
    }

    fn status(&self) -> Value {
        let mut status = self.report();
        let services = self.services.load();
        let services = services.iter().map(|(path, id)| json!({ "path": path, "service": id.0 }));
        status["services"] = services.collect();
        status
    }
}

/// Returns the services' paths in the settings tree.
fn paths(resolved: &Resolved) -> Vec<(String, ServiceId)> {
    let services = resolved.services.iter().filter_map(|(id, service)| {
        let member = resolved.members.get(&service.member)?;
        Some((format!("/{}/{}", member.name, service.name), *id))
    });
    services.collect()
}

fn spawn<F>(name: &str, core: &Arc<Core>, work: F) -> io::Result<JoinHandle<()>>
where
    F: FnOnce(&Arc<Core>) + Send + 'static,
{
    let core = Arc::clone(core);
    thread::Builder::new().name(name.to_owned()).spawn(move || {
        core.log.enter();
        work(&core);
    })
}
