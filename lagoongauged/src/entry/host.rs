//! A running entry host: its sockets, its threads and the way it leaves.

use std::io;
use std::net::{SocketAddr, TcpListener, UdpSocket};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::thread::{self, JoinHandle};
use std::time::Duration;

use lagoongauge::error::{Error, Kind};
use lagoongauge::id::ServiceId;
use lagoongauge::node::{Node, NodeSetup};
use lagoongauge::time::Span;
use lagoongauge::wire::{Channel, Session};
use socket2::SockRef;

use super::core::{Core, TICK_INTERVAL};
use super::http::{Api, serve};
use super::link::Link;
use super::metrics::Metrics;
use super::settings::Settings;
use super::{DataPlane, Snapshot, Sockets};
use crate::control::{Progress, Subscriber, Traffic};
use crate::daemon::{Clock, Stop};

/// How long a host that has left still relays packets that were under way to it.
const RELAY_LINGER: Duration = Duration::from_secs(1);

/// Bytes that the operating system is asked to queue for each UDP socket.
const RECEIVE_BUFFER_BYTES: usize = 4 << 20;

/// The sockets of an entry host, bound.
#[derive(Debug)]
pub struct BoundSockets {
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

impl TryFrom<&Settings> for BoundSockets {
    type Error = Error;

    fn try_from(settings: &Settings) -> Result<Self, Error> {
        Ok(Self {
            data: UdpSocket::bind(settings.data)
                .map_err(|e| bind_error("data", settings.data, &e))?,
            peer: UdpSocket::bind(settings.peer)
                .map_err(|e| bind_error("peer", settings.peer, &e))?,
            http: TcpListener::bind(settings.http)
                .map_err(|e| bind_error("http", settings.http, &e))?,
        })
    }
}

fn bind_error(flag: &str, address: SocketAddr, error: &io::Error) -> Error {
    Error::new(Kind::Usage, format!("--{flag} {address} can't be bound: {error}"))
}

impl EntryHost {
    /// Starts the threads of a host.
    ///
    /// # Errors
    ///
    /// Fails where the operating system gives no thread or socket option.
    pub fn start(settings: &Settings, bound: BoundSockets) -> eyre::Result<Self> {
        let start_time = Clock::calendar();
        let key = settings.cluster_key.hash_key();
        let seed = rand::random();
        let setup = NodeSetup { own: settings.host, key, seed, start_time };
        for socket in [&bound.data, &bound.peer] {
            // A shorter queue only drops earlier under load.
            let _ = SockRef::from(socket).set_recv_buffer_size(RECEIVE_BUFFER_BYTES);
        }
        let channel =
            Channel::new(settings.host, Session(start_time), settings.cluster_key.clone());
        let link = Link::new(bound.peer, channel);
        let sockets = Sockets { data: bound.data, link, fabric: settings.fabric };
        let plane = DataPlane::new(key, |now| Node::new(now, setup), sockets)?;
        let core = Arc::new(Core {
            own: settings.host,
            plane: Arc::new(plane),
            metrics: Metrics::new()?,
            traffic: Traffic::default(),
            version: AtomicU64::new(0),
            services: Snapshot::new(Vec::new()),
            leaving: AtomicBool::new(false),
            stop: Stop::default(),
            log: settings.log_setup(),
        });
        let mut threads = core.plane.start(settings.threads)?;
        threads.push(spawn("peer", &core, |core| core.receive_from_peers())?);
        threads.push(spawn("tick", &core, |core| core.run_ticks())?);
        let subscriber = Subscriber {
            own: settings.host,
            centre: settings.centre,
            controls: settings.control.clone(),
            key: settings.cluster_key.clone(),
            traffic: core.traffic.clone(),
            progress: Progress::default(),
        };
        threads.push(spawn("settings", &core, move |core| core.watch_settings(subscriber))?);
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
    pub fn target_count(&self) -> usize {
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
    pub fn plane(&self) -> &DataPlane<Node> {
        &self.core.plane
    }

    /// Returns whether no flow needs this host any more once it leaves.
    ///
    /// The last host of a group has nobody to hand over to and waits for its flows to end.
    fn has_drained(&self) -> bool {
        let plane = &self.core.plane;
        let status = plane.route.status(plane.clock.now());
        let sole_host = status.route.hosts == [self.core.own];
        status.left || (sole_host && status.route.records == 0)
    }

    /// Tells that this host leaves: health turns bad and the flows are handed over.
    pub fn leave(&self) {
        if !self.core.leaving.swap(true, Ordering::AcqRel) {
            log::info!("The host leaves and hands its flows over.");
        }
        let plane = &self.core.plane;
        let actions = plane.route.leave(plane.clock.now());
        self.core.perform(actions);
    }

    /// Leaves, waits until every flow is handed over or the limit is reached, and ends all threads.
    ///
    /// Returns whether everything was handed over or has ended.
    pub fn shut_down(self) -> bool {
        self.leave();
        let clock = self.core.plane.clock;
        let start = clock.now();
        let drained = loop {
            if self.has_drained() {
                break true;
            }
            if clock.now().since(start) >= self.drain_limit {
                break false;
            }
            thread::sleep(TICK_INTERVAL);
        };
        thread::sleep(RELAY_LINGER);
        self.stop();
        log::info!("The host has ended; everything handed over or ended: {drained}.");
        drained
    }

    /// Ends all threads at once, without handing anything over.
    pub fn stop(self) {
        self.core.stop.raise();
        self.core.plane.stop();
        for handle in self.threads {
            if handle.join().is_err() {
                log::error!("A thread of the entry host panicked.");
            }
        }
    }
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
