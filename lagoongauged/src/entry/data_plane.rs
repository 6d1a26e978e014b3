//! Data threads: each datagram received from the fabric or a peer yields at most one datagram.

use std::io;
use std::net::{SocketAddr, UdpSocket};
use std::sync::Arc;
use std::thread::JoinHandle;
use std::time::Duration;

use indexmap::IndexMap;
use lagoongauge::flow::HashKey;
use lagoongauge::forward::{Directory, Observe, PacketAction, forward};
use lagoongauge::id::HostId;
use lagoongauge::packet::DropReason;
use lagoongauge::route::Route;
use lagoongauge::time::Instant;

use super::link::{Link, MAX_DATAGRAM_BYTES};
use super::{Counters, Reader, Snapshot};
use crate::daemon::{Clock, Stop};

/// Receive timeout of the sockets, after which a thread checks the stop flag.
const STOP_POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Lookup tables of the data threads, replaced as a whole on each change.
#[derive(Debug, Default)]
pub struct View {
    /// Addresses of services and targets.
    pub directory: Directory,
    /// Addresses of peers by host.
    pub peers: IndexMap<HostId, SocketAddr>,
}

/// Sockets of an entry host's data plane.
#[derive(Debug)]
pub struct Sockets {
    /// Receives packets from the fabric and sends packets to it.
    pub data: UdpSocket,
    /// Carries relayed packets and messages between entry hosts.
    pub link: Link,
    /// Address at which the fabric receives packets.
    pub fabric: SocketAddr,
}

/// State shared by the data threads.
#[derive(Debug)]
pub struct DataPlane<R> {
    /// Key of the flow hash.
    pub key: HashKey,
    /// Router that decides on packets.
    pub route: R,
    /// Current lookup tables.
    pub view: Snapshot<View>,
    /// Packet counters.
    pub counters: Counters,
    /// Sockets for packets and peer messages.
    pub sockets: Sockets,
    /// Source of the current time.
    pub clock: Clock,
    stop: Stop,
}

/// Buffers and table reader of one thread.
#[derive(Debug)]
pub struct Worker<'a, R> {
    plane: &'a DataPlane<R>,
    view: Reader<'a, View>,
    reply: Vec<u8>,
}

impl<R: Route + Observe + Send + Sync + 'static> DataPlane<R> {
    /// Builds the shared state around bound sockets; `route` builds the router, given the current
    /// time.
    pub fn new(
        key: HashKey,
        route: impl FnOnce(Instant) -> R,
        sockets: Sockets,
    ) -> io::Result<Self> {
        let clock = Clock::start();
        sockets.data.set_read_timeout(Some(STOP_POLL_INTERVAL))?;
        sockets.link.socket().set_read_timeout(Some(STOP_POLL_INTERVAL))?;
        Ok(Self {
            key,
            route: route(clock.now()),
            view: Snapshot::new(View::default()),
            counters: Counters::default(),
            sockets,
            clock,
            stop: Stop::default(),
        })
    }

    /// Spawns `threads` threads that handle datagrams from the fabric.
    pub fn start(self: &Arc<Self>, threads: usize) -> io::Result<Vec<JoinHandle<()>>> {
        let mut handles = Vec::new();
        for index in 0..threads {
            let plane = Arc::clone(self);
            let builder = std::thread::Builder::new().name(format!("data-{index}"));
            handles.push(builder.spawn(move || plane.receive_from_fabric())?);
        }
        Ok(handles)
    }

    /// Signals the threads to stop; each finishes the packet that it is processing.
    pub fn stop(&self) {
        self.stop.raise();
    }

    fn receive_from_fabric(&self) {
        let mut worker = Worker::new(self);
        let mut buffer = vec![0; MAX_DATAGRAM_BYTES];
        while !self.stop.is_raised() {
            let Ok((len, from)) = self.sockets.data.recv_from(&mut buffer) else {
                continue;
            };
            if from.ip() != self.sockets.fabric.ip() {
                self.counters.count(&PacketAction::Drop(DropReason::Source));
                continue;
            }
            worker.process_packet(&mut buffer[..len], 0);
        }
    }
}

impl<'a, R: Route + Observe> Worker<'a, R> {
    /// Returns a worker for one thread.
    pub fn new(plane: &'a DataPlane<R>) -> Self {
        Self { plane, view: plane.view.reader(), reply: Vec::new() }
    }

    /// Routes one packet and sends the resulting datagram, if any; `hops` is the number of hosts
    /// that have relayed the packet.
    pub fn process_packet(&mut self, bytes: &mut [u8], hops: u8) {
        self.view.refresh();
        let plane = self.plane;
        let now = plane.clock.now();
        let parts = (&plane.route, &self.view.directory);
        let action = forward(now, &plane.key, parts, bytes, hops, &mut self.reply);
        plane.counters.count(&action);
        match action {
            PacketAction::Send { len } => self.send(&bytes[..len]),
            PacketAction::Refuse(_) => self.send(&self.reply),
            PacketAction::Relay { host, len } => self.relay(host, hops + 1, &bytes[..len]),
            PacketAction::Drop(_) => {}
        }
    }

    fn send(&self, packet: &[u8]) {
        let sockets = &self.plane.sockets;
        if sockets.data.send_to(packet, sockets.fabric).is_err() {
            self.plane.counters.count_unsent();
        }
    }

    fn relay(&self, host: HostId, hops: u8, packet: &[u8]) {
        let sockets = &self.plane.sockets;
        let peer = self.view.peers.get(&host);
        let sent = peer.is_some_and(|peer| sockets.link.relay_packet((host, *peer), hops, packet));
        if !sent {
            self.plane.counters.count_unsent();
        }
    }
}
