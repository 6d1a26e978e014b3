//! The data threads: a datagram of the fabric or of a peer in, at most one datagram out.

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

/// How long a thread waits for a datagram before it looks whether it has to stop.
const STOP_POLL_INTERVAL: Duration = Duration::from_millis(20);

/// What the data threads look up, replaced as a whole at each change.
#[derive(Debug, Default)]
pub struct View {
    /// Addresses of services and targets.
    pub directory: Directory,
    /// Peers by key.
    pub peers: IndexMap<HostId, SocketAddr>,
}

/// The sockets of an entry host's data path.
#[derive(Debug)]
pub struct Sockets {
    /// Carries packets from and to the fabric.
    pub data: UdpSocket,
    /// Carries relayed packets and messages between entry hosts.
    pub link: Link,
    /// Where the fabric takes packets.
    pub fabric: SocketAddr,
}

/// What the data threads share.
#[derive(Debug)]
pub struct DataPlane<R> {
    /// Key of the flow hash.
    pub key: HashKey,
    /// Decides on packets.
    pub route: R,
    /// Addresses and peers.
    pub view: Snapshot<View>,
    /// Counts of what was done.
    pub counters: Counters,
    /// The data path's sockets.
    pub sockets: Sockets,
    /// Gives the instants.
    pub clock: Clock,
    stop: Stop,
}

/// One data thread's own buffers.
#[derive(Debug)]
pub struct Worker<'a, R> {
    plane: &'a DataPlane<R>,
    view: Reader<'a, View>,
    reply: Vec<u8>,
}

impl<R: Route + Observe + Send + Sync + 'static> DataPlane<R> {
    /// Builds the shared state around opened sockets; `route` builds the decisions at an instant.
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

    /// Starts `threads` threads for the fabric's datagrams.
    pub fn start(self: &Arc<Self>, threads: usize) -> io::Result<Vec<JoinHandle<()>>> {
        let mut handles = Vec::new();
        for index in 0..threads {
            let plane = Arc::clone(self);
            let builder = std::thread::Builder::new().name(format!("data-{index}"));
            handles.push(builder.spawn(move || plane.receive_from_fabric())?);
        }
        Ok(handles)
    }

    /// Lets the threads end once they have carried what they hold.
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

    /// Decides on one packet and sends what follows from it.
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
