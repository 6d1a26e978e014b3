//! A running entry host: its sockets, its threads and its shutdown.

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

/// Time for which a host that has left its group still relays packets in flight to it.
const RELAY_LINGER: Duration = Duration::from_secs(1);

/// Receive buffer requested for each UDP socket, in bytes.
const RECEIVE_BUFFER_BYTES: usize = 4 << 20;

/// Bound sockets of an entry host.
#[derive(Debug)]
pub struct BoundSockets {
    /// Receives datagrams from the fabric.
    pub data: UdpSocket,
    /// Receives datagrams from other entry hosts.
    pub peer: UdpSocket,
    /// Accepts HTTP connections.
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
    Error::new(Kind::Usage, format!("failed to bind --{flag} {address}: {error}"))
}

impl EntryHost {
    /// Starts the threads of an entry host.
    ///
    /// # Errors
    ///
    /// Fails if a thread can't be spawned, a socket option can't be set or a metric can't be
    /// registered.
    pub fn start(settings: &Settings, bound: BoundSockets) -> eyre::Result<Self> {
        let start_time = Clock::unix_millis();
        let key = settings.cluster_key.hash_key();
        let seed = rand::random();
        let setup = NodeSetup { own: settings.host, key, seed, start_time };
        for socket in [&bound.data, &bound.peer] {
            // Failure is harmless: a smaller buffer only drops packets earlier under load.
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
            host_id: settings.host,
            centre: settings.centre,
            seeds: settings.control.clone(),
            key: settings.cluster_key.clone(),
            traffic: core.traffic.clone(),
            progress: Progress::default(),
        };
        threads.push(spawn("settings", &core, move |core| core.watch_settings(subscriber))?);
        let http = bound.http;
        threads.push(spawn("http", &core, move |core| {
            if let Err(error) = serve(http, core, &core.stop) {
                log::error!("HTTP server stopped: {error}");
            }
        })?);
        Ok(Self { core, drain_limit: settings.drain_limit, threads })
    }

    /// Returns whether the fabric may send packets here.
    pub fn is_ready(&self) -> bool {
        self.core.is_ready()
    }

    /// Returns the version of the active settings, or zero before any are applied.
    pub fn version(&self) -> u64 {
        self.core.version.load(Ordering::Relaxed)
    }

    /// Returns the number of targets with a valid announcement known to this host.
    pub fn target_count(&self) -> usize {
        let plane = &self.core.plane;
        plane.route.status(plane.clock.now()).targets
    }

    /// Returns the active services with their paths in the settings tree.
    pub fn services(&self) -> Vec<(String, ServiceId)> {
        self.core.services.load().to_vec()
    }

    /// Returns the bytes of control traffic: messages sent to peers, settings sent and received.
    pub fn control_bytes(&self) -> u64 {
        self.core.plane.counters.peer_bytes()
            + self.core.traffic.sent_bytes()
            + self.core.traffic.received_bytes()
    }

    /// Returns the data plane.
    pub fn plane(&self) -> &DataPlane<Node> {
        &self.core.plane
    }

    /// Returns whether the drain is complete: no flow depends on this host any more.
    ///
    /// The last host of a group has no peer to hand over to and waits for its flows to end.
    fn has_drained(&self) -> bool {
        let plane = &self.core.plane;
        let status = plane.route.status(plane.clock.now());
        let sole_host = status.route.hosts == [self.core.own];
        status.left || (sole_host && status.route.records == 0)
    }

    /// Starts to drain this host: health turns to not ready and the flows are handed over.
    pub fn leave(&self) {
        if !self.core.leaving.swap(true, Ordering::AcqRel) {
            log::info!("entry host leaves its group and hands over its flows");
        }
        let plane = &self.core.plane;
        let actions = plane.route.leave(plane.clock.now());
        self.core.perform(actions);
    }

    /// Drains this host until all flows are handed over or the limit is reached, then stops.
    ///
    /// Returns whether every flow was handed over or has ended.
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
        log::info!("entry host stopped; everything handed over or ended: {drained}");
        drained
    }

    /// Stops all threads immediately, without handing flows over.
    pub fn stop(self) {
        self.core.stop.raise();
        self.core.plane.stop();
        for handle in self.threads {
            if handle.join().is_err() {
                log::error!("a thread of the entry host panicked");
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
