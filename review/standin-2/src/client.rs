//! Clients with their flows, and the provider's routers.

use std::collections::HashMap;
use std::io::ErrorKind;
use std::net::{Ipv4Addr, SocketAddrV4, UdpSocket};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::thread::{sleep, spawn};
use std::time::{Duration, Instant};

use crate::http;
use crate::packet::{ACK, Packet, RST, SYN};
use crate::record::Record;
use crate::system::Net;

/// Times after the first SYN at which its copies follow, and at which the client gives up.
const SYN_TIMES: [u64; 3] = [200, 600, 1400];
/// Time between the last readiness check and the rotation that follows from it.
const NOTICE: Duration = Duration::from_millis(100);
/// Interval of the readiness checks.
const PROBE: Duration = Duration::from_millis(500);
/// Longest interval between two copies of data.
const MAX_RETRY: Duration = Duration::from_millis(1600);

/// How an attempt to open a flow or a request ended.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Outcome {
    /// Answered by the backend that holds the flow.
    Answered(String),
    /// A reset of the system.
    SystemReset,
    /// A reset of a backend.
    BackendReset,
    /// No answer in the time budget.
    NoAnswer,
}

/// A client's end of a flow.
#[derive(Debug)]
pub struct Flow {
    /// The client's address and port.
    pub client: SocketAddrV4,
    route: SocketAddrV4,
    seq: u32,
    ack: u32,
    echo: u32,
    inbox: Arc<Inbox>,
}

/// Packets that have arrived for a flow.
#[derive(Debug, Default)]
struct Inbox {
    packets: Mutex<Vec<Packet>>,
    arrived: Condvar,
}

/// Clients at one address, in front of the routers of one zone.
#[derive(Debug)]
pub struct Clients {
    net: Net,
    ip: Ipv4Addr,
    socket: UdpSocket,
    inboxes: Arc<Mutex<HashMap<u16, Arc<Inbox>>>>,
    next_port: Mutex<u16>,
    routers: Arc<Routers>,
    record: Arc<Record>,
}

/// The provider's routers: they hash packets over the nodes in rotation.
#[derive(Debug)]
pub struct Routers {
    rotation: Mutex<Vec<Ipv4Addr>>,
    /// The next rotation, a moment before it applies.
    coming: Mutex<Option<Vec<Ipv4Addr>>>,
    ended: AtomicBool,
}

impl Routers {
    /// Starts to check the readiness of entry hosts.
    pub fn start(net: Net, entries: Vec<Ipv4Addr>, record: &Arc<Record>) -> Arc<Self> {
        let (rotation, coming, ended) = Default::default();
        let routers = Arc::new(Self { rotation, coming, ended });
        let (shared, record) = (Arc::clone(&routers), Arc::clone(record));
        spawn(move || shared.check(net, &entries, &record));
        routers
    }

    fn check(&self, net: Net, entries: &[Ipv4Addr], record: &Record) {
        let mut misses = vec![2u32; entries.len()];
        while !self.ended.load(Ordering::Acquire) {
            for (index, ip) in entries.iter().enumerate() {
                let at = SocketAddrV4::new(*ip, net.readiness);
                let response = http::call(at, "GET", "/lagoongauge/readiness", "");
                let ready = response.is_some_and(|response| response.status == 200);
                misses[index] = if ready { 0 } else { misses[index] + 1 };
            }
            let ready = entries.iter().zip(&misses).filter(|(_, misses)| **misses < 2);
            let rotation: Vec<Ipv4Addr> = ready.map(|(ip, _)| *ip).collect();
            if self.rotation() != rotation {
                *self.coming.lock().expect("no holder panics") = Some(rotation.clone());
                sleep(NOTICE);
                record.line(format!("routers: in rotation {rotation:?}"));
                *self.rotation.lock().expect("no holder panics") = rotation;
                *self.coming.lock().expect("no holder panics") = None;
            }
            sleep(PROBE);
        }
    }

    /// Returns the rotation that is about to apply.
    pub fn coming(&self) -> Option<Vec<Ipv4Addr>> {
        self.coming.lock().expect("no holder panics").clone()
    }

    /// Returns the nodes in rotation.
    pub fn rotation(&self) -> Vec<Ipv4Addr> {
        self.rotation.lock().expect("no holder panics").clone()
    }

    /// Returns the node that takes the packets between two ends.
    pub fn node(&self, from: SocketAddrV4, to: SocketAddrV4) -> Option<Ipv4Addr> {
        hash(&self.rotation(), from, to)
    }
}

/// Returns the node of a rotation that takes the packets between two ends.
fn hash(rotation: &[Ipv4Addr], from: SocketAddrV4, to: SocketAddrV4) -> Option<Ipv4Addr> {
    let ports = u64::from(from.port()) << 16 | u64::from(to.port());
    let key = (ports ^ u64::from(u32::from(*from.ip()))).wrapping_mul(0x9e37_79b9_7f4a_7c15) >> 33;
    rotation.get((key % rotation.len().max(1) as u64) as usize).copied()
}

impl Drop for Clients {
    fn drop(&mut self) {
        self.routers.ended.store(true, Ordering::Release);
    }
}

impl Clients {
    /// Starts clients at an address.
    pub fn start(net: Net, routers: &Arc<Routers>, record: &Arc<Record>) -> std::io::Result<Self> {
        let ip = net.client(1);
        let socket = UdpSocket::bind((ip, net.datagram))?;
        let inboxes: Arc<Mutex<HashMap<u16, Arc<Inbox>>>> = Arc::default();
        let (receiver, boxes) = (socket.try_clone()?, Arc::clone(&inboxes));
        spawn(move || receive(&receiver, &boxes));
        Ok(Self {
            net,
            ip,
            socket,
            inboxes,
            next_port: Mutex::new(40_000),
            routers: Arc::clone(routers),
            record: Arc::clone(record),
        })
    }

    fn send(&self, flow: &Flow, flags: u8, ack: u32, data: &[u8]) {
        let Some(node) = self.routers.node(flow.client, flow.route) else { return };
        let packet = Packet {
            src: flow.client,
            dst: flow.route,
            flags,
            echo: if flags & SYN != 0 { 0 } else { flow.echo },
            seq: flow.seq,
            ack,
            data: data.to_vec(),
            unsigned: false,
        };
        let _ = self.socket.send_to(&packet.to_bytes(), (node, self.net.datagram));
    }

    /// Takes new ports until the routers send one's packets to another node in the coming rotation,
    /// though its present one stays.
    pub fn take_moving_port(&self, route: SocketAddrV4) -> Option<u16> {
        let coming = self.routers.coming()?;
        for _ in 0..64 {
            let port = self.take_port();
            let client = SocketAddrV4::new(self.ip, port);
            let present = self.routers.node(client, route)?;
            if coming.contains(&present) && hash(&coming, client, route) != Some(present) {
                return Some(port);
            }
        }
        None
    }

    fn take_port(&self) -> u16 {
        let mut next = self.next_port.lock().expect("no holder panics");
        *next += 1;
        *next
    }

    /// Opens a flow from a new port; fails with how the attempt ended.
    pub fn open(&self, route: SocketAddrV4) -> Result<Flow, Outcome> {
        self.open_from(self.take_port(), route)
    }

    /// Opens a flow from a port; fails with how the attempt ended.
    pub fn open_from(&self, port: u16, route: SocketAddrV4) -> Result<Flow, Outcome> {
        let inbox: Arc<Inbox> = Arc::default();
        self.inboxes.lock().expect("no holder panics").insert(port, Arc::clone(&inbox));
        let client = SocketAddrV4::new(self.ip, port);
        let seq = u32::from(port) << 12;
        let mut flow = Flow { client, route, seq, ack: 0, echo: 0, inbox };
        let began = Instant::now();
        for (copies, until) in SYN_TIMES.into_iter().enumerate() {
            self.send(&flow, SYN, copies as u32, &[]);
            let deadline = began + Duration::from_millis(until);
            while let Some(packet) = flow.inbox.take(deadline) {
                if packet.flags & RST != 0 {
                    return Err(reset(&packet));
                }
                if packet.flags & (SYN | ACK) == SYN | ACK && packet.ack == seq.wrapping_add(1) {
                    flow.seq = packet.ack;
                    flow.ack = packet.seq.wrapping_add(1);
                    flow.echo = packet.echo;
                    self.send(&flow, ACK, flow.ack, &[]);
                    return Ok(flow);
                }
            }
        }
        Err(Outcome::NoAnswer)
    }

    /// Sends a request on a flow and waits for its answer.
    pub fn request(&self, flow: &mut Flow, attempt: &str, budget: Duration) -> Outcome {
        let data = format!("GET / HTTP/1.1\r\nAttempt-Id: {attempt}\r\n\r\n").into_bytes();
        // What arrived since the last request: the last echo goes into the next packet.
        while let Some(packet) = flow.inbox.take(Instant::now()) {
            flow.echo = packet.echo;
        }
        let deadline = Instant::now() + budget;
        let mut pause = Duration::from_millis(200);
        while Instant::now() < deadline {
            self.send(flow, ACK, flow.ack, &data);
            let retry_at = (Instant::now() + pause).min(deadline);
            pause = (2 * pause).min(MAX_RETRY);
            while let Some(packet) = flow.inbox.take(retry_at) {
                if packet.flags & RST != 0 {
                    return reset(&packet);
                }
                flow.echo = packet.echo;
                if packet.seq == flow.ack && !packet.data.is_empty() {
                    flow.seq = flow.seq.wrapping_add(data.len() as u32);
                    flow.ack = flow.ack.wrapping_add(packet.data.len() as u32);
                    self.send(flow, ACK, flow.ack, &[]);
                    let text = String::from_utf8_lossy(&packet.data);
                    let body = text.rsplit("\r\n\r\n").next().unwrap_or_default();
                    return Outcome::Answered(body.into());
                }
            }
        }
        Outcome::NoAnswer
    }

    /// Sends a request, and records what was sent and how it ended.
    pub fn recorded(&self, flow: &mut Flow, attempt: &str, budget: Duration) -> Outcome {
        let node = self.routers.node(flow.client, flow.route);
        self.record.line(format!("client {}: sends {attempt} by way of {node:?}", flow.client));
        let outcome = self.request(flow, attempt, budget);
        self.record.line(format!("client {}: {attempt} ended: {outcome:?}", flow.client));
        outcome
    }
}

impl Inbox {
    /// Waits for the next packet until a deadline.
    fn take(&self, deadline: Instant) -> Option<Packet> {
        let mut packets = self.packets.lock().expect("no holder panics");
        loop {
            if !packets.is_empty() {
                return Some(packets.remove(0));
            }
            let left = deadline.checked_duration_since(Instant::now())?;
            packets = self.arrived.wait_timeout(packets, left).expect("no holder panics").0;
        }
    }
}

fn reset(packet: &Packet) -> Outcome {
    if packet.unsigned { Outcome::SystemReset } else { Outcome::BackendReset }
}

/// Hands packets to the flows of their ports.
fn receive(socket: &UdpSocket, inboxes: &Mutex<HashMap<u16, Arc<Inbox>>>) {
    let mut bytes = vec![0; 2048];
    loop {
        let length = match socket.recv_from(&mut bytes) {
            Ok((length, _)) => length,
            Err(error) if error.kind() == ErrorKind::Interrupted => continue,
            Err(_) => return,
        };
        let Some(packet) = Packet::parse(&bytes[..length]) else { continue };
        let boxes = inboxes.lock().expect("no holder panics");
        if let Some(inbox) = boxes.get(&packet.dst.port()) {
            inbox.packets.lock().expect("no holder panics").push(packet);
            inbox.arrived.notify_all();
        }
    }
}
