//! A backend: takes flows, runs requests, and reports to the control hosts.

use std::collections::HashMap;
use std::io::Result;
use std::net::{SocketAddr, SocketAddrV4, UdpSocket};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use crate::cluster::{CALL_LIMIT, PACKET_PORT};
use crate::http;
use crate::packet::{ACK, FIN, Packet, RST, SYN};
use crate::record::Record;

/// Interval between two liveness reports.
const BEAT_INTERVAL: Duration = Duration::from_millis(1200);

/// First and longest pause before a packet is sent again, and how often it is.
const FIRST_RETRY: Duration = Duration::from_millis(200);
const LAST_RETRY: Duration = Duration::from_millis(1600);
const MAX_RETRIES: u32 = 8;

/// Longest wait for a packet, after which timers are checked.
const POLL: Duration = Duration::from_millis(5);

/// What a backend says of itself.
#[derive(Debug, Clone)]
pub struct Identity {
    /// Name in the record.
    pub name: String,
    pub id: u64,
    /// Unix milliseconds of the start of this lifetime.
    pub born: u64,
    pub service: String,
    pub address: SocketAddrV4,
    pub zone: String,
}

impl Identity {
    /// Returns the path of the backend's calls.
    pub fn path(&self) -> String {
        format!("/lagoongauge/backends/i-{:x}", self.id)
    }

    /// Returns the body of a liveness report.
    pub fn body(&self, state: &str, sequence: u64) -> String {
        let Self { service, address, zone, born, .. } = self;
        format!(
            "{{\"Service\":\"{service}\",\"Address\":\"{address}\",\"Zone\":\"{zone}\",\
             \"Version\":\"v1\",\"Slots\":2,\"State\":\"{state}\",\"ColdRemainingMs\":0,\
             \"Sequence\":{sequence},\"born\":{born}}}"
        )
    }
}

/// Returns the time of day in Unix milliseconds.
pub fn unix_millis() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |age| age.as_millis() as u64)
}

/// One lifetime of a backend. Dropping it ends the process that it stands for, without a word.
#[derive(Debug)]
pub struct Backend {
    pub identity: Identity,
    record: Record,
    shared: Arc<Shared>,
    threads: Vec<JoinHandle<()>>,
}

#[derive(Debug)]
struct Shared {
    stopping: AtomicBool,
    draining: AtomicBool,
    sequence: AtomicU64,
    /// Ids of the requests that ran, in order.
    ran: Mutex<Vec<String>>,
    /// SYNs taken, with the time and the client's end.
    opened: Mutex<Vec<(Instant, SocketAddrV4)>>,
}

#[derive(Debug)]
struct Flow {
    /// Sequence number of the next byte from this end.
    seq: u32,
    /// Sequence number of the next byte from the client.
    expected: u32,
    echo: u32,
    open: bool,
    /// Packet to send again until it is acknowledged.
    unacked: Option<Unacked>,
    /// Answer that is being worked on.
    due: Option<(Instant, String)>,
}

#[derive(Debug)]
struct Unacked {
    packet: Packet,
    at: Instant,
    pause: Duration,
    tries: u32,
}

impl Unacked {
    /// Records a packet that is sent now.
    fn new(packet: Packet) -> Self {
        Self { packet, at: Instant::now() + FIRST_RETRY, pause: FIRST_RETRY, tries: 0 }
    }
}

impl Backend {
    /// Starts a lifetime: takes flows at its address, and reports to `controls`, the first of them first.
    pub fn start(
        record: &Record,
        identity: Identity,
        work: Duration,
        controls: Vec<SocketAddrV4>,
    ) -> Result<Self> {
        let socket = UdpSocket::bind(identity.address)?;
        socket.set_read_timeout(Some(POLL))?;
        let shared = Arc::new(Shared {
            stopping: AtomicBool::new(false),
            draining: AtomicBool::new(false),
            sequence: AtomicU64::new(0),
            ran: Mutex::default(),
            opened: Mutex::default(),
        });
        record.line(format!(
            "backend {}: starts, id {:x}, born {}, service {}, at {}",
            identity.name, identity.id, identity.born, identity.service, identity.address
        ));
        let receiver = Receiver {
            identity: identity.clone(),
            record: record.clone(),
            shared: Arc::clone(&shared),
            socket,
            work,
            flows: HashMap::new(),
        };
        let mut threads = vec![thread::spawn(move || receiver.run())];
        let (own, at, log) = (identity.clone(), Arc::clone(&shared), record.clone());
        threads.push(thread::spawn(move || report(&own, &at, &log, &controls)));
        Ok(Self { identity, record: record.clone(), shared, threads })
    }

    /// Reports that the backend leaves, to the first of `controls` that acknowledges it.
    pub fn drain(&self, controls: &[SocketAddrV4]) -> bool {
        self.shared.draining.store(true, Ordering::Release);
        let body = self.identity.body("draining", self.shared.next_sequence());
        self.call("PUT", &body, controls)
    }

    /// Says that the backend has ended, to the first of `controls` that acknowledges it.
    pub fn leave(&self, controls: &[SocketAddrV4]) -> bool {
        // Reports end before the last call.
        self.shared.stopping.store(true, Ordering::Release);
        self.call("DELETE", "", controls)
    }

    fn call(&self, method: &str, body: &str, controls: &[SocketAddrV4]) -> bool {
        for control in controls {
            let result = http::call(*control, method, &self.identity.path(), body, CALL_LIMIT);
            let status = result.map(|response| response.status);
            let name = &self.identity.name;
            self.record.line(format!("backend {name}: {method} {body} at {control}: {status:?}"));
            if status.is_ok_and(|status| (200..300).contains(&status)) {
                return true;
            }
        }
        false
    }

    /// Returns what the backend says of itself in its answers: its id and its lifetime.
    pub fn instance(&self) -> String {
        instance(&self.identity)
    }

    /// Returns the ids of the requests that ran.
    pub fn ran(&self) -> Vec<String> {
        self.shared.ran.lock().unwrap_or_else(PoisonError::into_inner).clone()
    }

    /// Returns when SYNs were taken, and from which ends.
    pub fn opened(&self) -> Vec<(Instant, SocketAddrV4)> {
        self.shared.opened.lock().unwrap_or_else(PoisonError::into_inner).clone()
    }

    /// Ends the process: its flows are gone and its address is free.
    pub fn end(mut self) {
        self.stop();
    }

    fn stop(&mut self) {
        self.shared.stopping.store(true, Ordering::Release);
        if self.threads.is_empty() {
            return;
        }
        for thread in self.threads.drain(..) {
            let _ = thread.join();
        }
        self.record.line(format!("backend {}: has ended", self.identity.name));
    }
}

impl Drop for Backend {
    fn drop(&mut self) {
        self.stop();
    }
}

impl Shared {
    fn next_sequence(&self) -> u64 {
        self.sequence.fetch_add(1, Ordering::AcqRel) + 1
    }

    fn is_stopping(&self) -> bool {
        self.stopping.load(Ordering::Acquire)
    }
}

/// Sends a liveness report every [`BEAT_INTERVAL`], to another node if one does not acknowledge it.
fn report(identity: &Identity, shared: &Shared, record: &Record, controls: &[SocketAddrV4]) {
    let mut last = None;
    while !shared.is_stopping() {
        let draining = shared.draining.load(Ordering::Acquire);
        let state = if draining { "draining" } else { "ready" };
        let body = identity.body(state, shared.next_sequence());
        for control in controls {
            let result = http::call(*control, "PUT", &identity.path(), &body, CALL_LIMIT);
            let status = result.map(|response| response.status);
            let done = status.as_ref().is_ok_and(|status| (200..300).contains(status));
            // Only what is new goes into the record.
            let outcome = (state, status.ok());
            if last != Some(outcome) {
                let name = &identity.name;
                record.line(format!("backend {name}: PUT {body} at {control}: {:?}", outcome.1));
                last = Some(outcome);
            }
            if done || shared.is_stopping() {
                break;
            }
        }
        let until = Instant::now() + BEAT_INTERVAL;
        while Instant::now() < until && !shared.is_stopping() {
            thread::sleep(Duration::from_millis(20));
        }
    }
}

/// The part of a backend that takes packets.
struct Receiver {
    identity: Identity,
    record: Record,
    shared: Arc<Shared>,
    socket: UdpSocket,
    work: Duration,
    flows: HashMap<(SocketAddrV4, SocketAddrV4), Flow>,
}

impl Receiver {
    fn run(mut self) {
        let mut bytes = [0; 2048];
        // The backend goes on serving until its process ends, also while it says that it leaves.
        while Arc::strong_count(&self.shared) > 1 && !self.has_ended() {
            if let Ok((length, _)) = self.socket.recv_from(&mut bytes)
                && let Some((id, packet)) = Packet::decode_delivered(&bytes[..length])
                && (id == self.identity.id || id == 0)
            {
                self.handle(&packet);
            }
            self.check_timers();
        }
    }

    fn has_ended(&self) -> bool {
        self.shared.is_stopping()
    }

    fn handle(&mut self, packet: &Packet) {
        let key = (packet.source, packet.destination);
        if packet.flags & SYN != 0 {
            self.handle_syn(packet);
            return;
        }
        let Some(flow) = self.flows.get_mut(&key) else {
            if packet.flags & RST == 0 {
                self.line(format!("{} of unknown flow {}", packet.flag_names(), packet.source));
                self.send(&Packet { seq: packet.ack, ..reply(packet, RST) });
            }
            return;
        };
        flow.echo = packet.echo;
        if packet.flags & RST != 0 {
            self.flows.remove(&key);
            return;
        }
        if packet.ack == flow.seq {
            flow.open = true;
            flow.unacked = None;
        }
        if !packet.data.is_empty() {
            self.handle_data(packet);
        }
        if packet.flags & FIN != 0 {
            self.flows.remove(&key);
            self.send(&Packet { ack: packet.seq.wrapping_add(1), ..reply(packet, ACK | FIN) });
        }
    }

    fn handle_syn(&mut self, packet: &Packet) {
        let key = (packet.source, packet.destination);
        if !self.flows.contains_key(&key) {
            self.line(format!("SYN from {} to {}", packet.source, packet.destination));
            let opened = &self.shared.opened;
            let mut opened = opened.lock().unwrap_or_else(PoisonError::into_inner);
            opened.push((Instant::now(), packet.source));
        }
        let seq = packet.seq.rotate_left(11) ^ self.identity.id as u32;
        let flow = Flow {
            seq: seq.wrapping_add(1),
            expected: packet.seq.wrapping_add(1),
            echo: packet.echo,
            open: false,
            unacked: None,
            due: None,
        };
        let answer =
            Packet { seq, ack: flow.expected, echo: packet.echo, ..reply(packet, SYN | ACK) };
        self.send(&answer);
        self.flows.entry(key).or_insert(Flow { unacked: Some(Unacked::new(answer)), ..flow });
    }

    fn handle_data(&mut self, packet: &Packet) {
        let key = (packet.source, packet.destination);
        let Some(flow) = self.flows.get_mut(&key) else { return };
        if !flow.open || packet.seq != flow.expected {
            return;
        }
        flow.expected = flow.expected.wrapping_add(packet.data.len() as u32);
        let text = String::from_utf8_lossy(&packet.data).into_owned();
        let id = text.lines().find_map(|line| line.strip_prefix("Attempt-Id: "));
        let id = id.unwrap_or("none").to_string();
        flow.due = Some((Instant::now() + self.work, id.clone()));
        self.line(format!("runs request {id} of {}", packet.source));
        self.shared.ran.lock().unwrap_or_else(PoisonError::into_inner).push(id);
    }

    /// Sends the answers that are ready, and again what was not acknowledged.
    fn check_timers(&mut self) {
        let now = Instant::now();
        let mut packets = Vec::new();
        let identity = &self.identity;
        for ((client, route), flow) in &mut self.flows {
            if flow.due.as_ref().is_some_and(|(at, _)| now >= *at)
                && let Some((_, id)) = flow.due.take()
            {
                let body = format!("answer to {id}");
                let data = format!(
                    "HTTP/1.1 200 OK\r\nInstance-Id: {}\r\nResponse-Signature: {:x}\r\n\
                     Content-Length: {}\r\n\r\n{body}",
                    instance(identity),
                    identity.id ^ identity.born,
                    body.len()
                );
                let packet = Packet {
                    seq: flow.seq,
                    ack: flow.expected,
                    echo: flow.echo,
                    data: data.into_bytes(),
                    ..Packet::new(*route, *client, ACK)
                };
                flow.seq = flow.seq.wrapping_add(packet.data.len() as u32);
                packets.push(packet.clone());
                flow.unacked = Some(Unacked::new(packet));
            }
            if let Some(unacked) = &mut flow.unacked
                && now >= unacked.at
            {
                unacked.pause = (unacked.pause * 2).min(LAST_RETRY);
                unacked.at = now + unacked.pause;
                unacked.tries += 1;
                if unacked.tries <= MAX_RETRIES {
                    packets.push(Packet { echo: flow.echo, ..unacked.packet.clone() });
                }
            }
        }
        packets.iter().for_each(|packet| self.send(packet));
        self.flows.retain(|_, flow| {
            flow.unacked.as_ref().is_none_or(|unacked| unacked.tries <= MAX_RETRIES)
        });
    }

    /// Sends a packet to the client's address, at the port of the packets.
    fn send(&self, packet: &Packet) {
        let to = SocketAddr::from((*packet.destination.ip(), PACKET_PORT));
        let _ = self.socket.send_to(&packet.encode(), to);
    }

    fn line(&self, text: String) {
        self.record.line(format!("backend {}: {text}", self.identity.name));
    }
}

fn instance(identity: &Identity) -> String {
    format!("i-{:x}/{}", identity.id, identity.born)
}

/// Returns a packet back to the sender of `packet`.
fn reply(packet: &Packet, flags: u8) -> Packet {
    let echo = packet.echo;
    Packet { echo, ..Packet::new(packet.destination, packet.source, flags) }
}
