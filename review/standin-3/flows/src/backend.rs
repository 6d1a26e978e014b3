//! Backends: they hold flows, answer requests and report to control.

use std::collections::HashMap;
use std::io::{ErrorKind, Read, Write};
use std::net::{SocketAddrV4, TcpListener, UdpSocket};
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::{sleep, spawn};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use crate::http;
use crate::packet::{ACK, FIN, Packet, RST, SYN};
use crate::record::Record;

/// Interval between two liveness reports.
const BEAT: Duration = Duration::from_millis(1200);
/// Work of a request.
const WORK: Duration = Duration::from_millis(30);
/// First interval between two copies of a SYN+ACK, the longest one, and the number of copies.
const FIRST_RETRY: Duration = Duration::from_millis(200);
const MAX_RETRY: Duration = Duration::from_millis(1600);
const RETRIES: usize = 8;
/// Interval at which threads check whether the backend has ended.
const POLL: Duration = Duration::from_millis(10);

/// What distinguishes a lifetime of a backend.
#[derive(Debug, Clone)]
pub struct Identity {
    /// Hex digits of its id.
    pub id: u64,
    /// Address of its packets and its status check.
    pub address: SocketAddrV4,
    /// Its service.
    pub service: String,
    /// Its zone.
    pub zone: String,
    /// Whether it says when it started.
    pub born: bool,
}

/// A flow that a backend holds.
#[derive(Debug)]
struct Flow {
    own_seq: u32,
    next: u32,
    open: bool,
    answered: u32,
    last: Vec<u8>,
}

/// State shared by the threads of a backend.
#[derive(Debug)]
struct Shared {
    identity: Identity,
    born_ms: u64,
    ended: AtomicBool,
    sequence: AtomicU64,
    flows: Mutex<HashMap<(SocketAddrV4, SocketAddrV4), Flow>>,
    record: Arc<Record>,
    /// Number of SYN+ACKs that the network loses next.
    losses: Arc<AtomicUsize>,
    /// Nodes that serve control, in the order in which this backend picks them.
    nodes: Vec<SocketAddrV4>,
    client_port: u16,
}

/// One lifetime of a backend; it crashes on drop.
#[derive(Debug)]
pub struct Backend {
    shared: Arc<Shared>,
}

impl Backend {
    /// Starts a lifetime. It calls the nodes of control in the given order.
    pub fn start(
        identity: Identity,
        nodes: Vec<SocketAddrV4>,
        client_port: u16,
        losses: &Arc<AtomicUsize>,
        record: &Arc<Record>,
    ) -> std::io::Result<Self> {
        let socket = UdpSocket::bind(identity.address)?;
        socket.set_read_timeout(Some(POLL))?;
        let health = TcpListener::bind(identity.address)?;
        health.set_nonblocking(true)?;
        let born_ms = SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |at| at.as_millis());
        let shared = Arc::new(Shared {
            identity,
            born_ms: born_ms as u64,
            ended: AtomicBool::new(false),
            sequence: AtomicU64::new(0),
            flows: Mutex::default(),
            losses: Arc::clone(losses),
            record: Arc::clone(record),
            nodes,
            client_port,
        });
        shared.say("starts");
        let packets = Arc::clone(&shared);
        spawn(move || packets.serve_packets(&socket));
        let checks = Arc::clone(&shared);
        spawn(move || checks.serve_checks(&health));
        Ok(Self { shared })
    }

    /// Reports every 1.2 s from now on, as a thread of its own.
    pub fn report(&self) {
        let shared = Arc::clone(&self.shared);
        spawn(move || shared.report_loop());
    }

    /// Reports once; returns whether that was acknowledged.
    pub fn report_now(&self) -> bool {
        self.shared.report_once()
    }

    /// Reports every 1.2 s, for the next time after that interval.
    pub fn report_later(&self) {
        let shared = Arc::clone(&self.shared);
        spawn(move || {
            sleep(BEAT);
            shared.report_loop();
        });
    }

    /// Sends one report to a node and does not wait for the response.
    pub fn send_report(&self, node: SocketAddrV4) -> Option<std::net::TcpStream> {
        let body = self.shared.next_report();
        self.shared.say(&format!("PUT to {node}: {body}"));
        http::send(node, "PUT", &self.shared.path(), &body).ok()
    }

    /// Ends the process of the backend: nothing is sent any more.
    pub fn end(self) {
        drop(self);
        sleep(3 * POLL);
    }

    /// Returns whether it holds an open flow of a client.
    pub fn holds(&self, client: SocketAddrV4) -> bool {
        let flows = self.shared.flows.lock().expect("no holder panics");
        flows.iter().any(|((from, _), flow)| *from == client && flow.open)
    }

    /// Returns its id as written in paths.
    pub fn name(&self) -> String {
        self.shared.name()
    }
}

impl Drop for Backend {
    fn drop(&mut self) {
        self.shared.say("ends");
        self.shared.ended.store(true, Ordering::Release);
    }
}

impl Shared {
    fn name(&self) -> String {
        format!("i-{:08x}", self.identity.id)
    }

    fn path(&self) -> String {
        format!("/lagoongauge/backends/{}", self.name())
    }

    fn say(&self, text: &str) {
        let at = self.identity.address;
        self.record.line(format!("backend {} at {at}, born {}: {text}", self.name(), self.born_ms));
    }

    fn has_ended(&self) -> bool {
        self.ended.load(Ordering::Acquire)
    }

    fn next_report(&self) -> String {
        let sequence = 1 + self.sequence.fetch_add(1, Ordering::AcqRel);
        let born =
            if self.identity.born { format!(",\"born\":{}", self.born_ms) } else { String::new() };
        let Identity { address, service, zone, .. } = &self.identity;
        format!(
            "{{\"Service\":\"{service}\",\"Address\":\"{address}\",\"Zone\":\"{zone}\",\
             \"Version\":\"v1\",\"Slots\":2,\"State\":\"ready\",\"ColdRemainingMs\":0,\
             \"Sequence\":{sequence}{born}}}"
        )
    }

    /// Reports to one node after the other until one acknowledges it; at most to each once.
    fn report_once(&self) -> bool {
        for node in &self.nodes {
            if self.has_ended() {
                return false;
            }
            let body = self.next_report();
            let response = http::call(*node, "PUT", &self.path(), &body);
            let status = response.map(|response| response.status);
            self.say(&format!("PUT to {node}: answered {status:?}: {body}"));
            if status == Some(200) {
                return true;
            }
        }
        false
    }

    fn report_loop(&self) {
        while !self.has_ended() {
            let next = Instant::now() + BEAT;
            self.report_once();
            while Instant::now() < next && !self.has_ended() {
                sleep(POLL);
            }
        }
    }

    fn serve_checks(&self, listener: &TcpListener) {
        while !self.has_ended() {
            match listener.accept() {
                Ok((mut stream, _)) => {
                    let _ = stream.set_read_timeout(Some(Duration::from_millis(200)));
                    let _ = stream.read(&mut [0; 1024]);
                    let _ = stream.write_all(
                        b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\nConnection: close\r\n\r\n",
                    );
                }
                Err(_) => sleep(POLL),
            }
        }
    }

    fn serve_packets(self: &Arc<Self>, socket: &UdpSocket) {
        let mut bytes = vec![0; 2048];
        while !self.has_ended() {
            let length = match socket.recv_from(&mut bytes) {
                Ok((length, _)) => length,
                Err(error) if error.kind() == ErrorKind::Interrupted => continue,
                Err(_) => continue,
            };
            let Some((intended, rest)) = bytes[..length].split_at_checked(8) else { continue };
            let intended = u64::from_be_bytes(intended.try_into().expect("8 bytes"));
            if intended != 0 && intended != self.identity.id {
                continue;
            }
            let Some(packet) = Packet::parse(rest) else { continue };
            if let Some(reply) = self.handle(&packet) {
                self.reply(socket, &packet, reply);
            }
        }
    }

    /// Handles a packet; returns the reply.
    fn handle(&self, packet: &Packet) -> Option<Packet> {
        let reply = |flags, seq, ack, data: Vec<u8>| Packet {
            src: packet.dst,
            dst: packet.src,
            flags,
            echo: packet.echo,
            seq,
            ack,
            data,
            unsigned: false,
        };
        let key = (packet.src, packet.dst);
        let mut flows = self.flows.lock().expect("no holder panics");
        if packet.flags & SYN != 0 {
            let next = packet.seq.wrapping_add(1);
            let own_seq = (self.identity.id as u32) ^ packet.seq.rotate_left(7);
            let fresh = || Flow { own_seq, next, open: false, answered: 0, last: Vec::new() };
            let flow = flows.entry(key).or_insert_with(fresh);
            return Some(reply(SYN | ACK, flow.own_seq, flow.next, Vec::new()));
        }
        if packet.flags & RST != 0 {
            flows.remove(&key);
            return None;
        }
        let Some(flow) = flows.get_mut(&key) else {
            drop(flows);
            self.say(&format!("resets a flow that it does not hold: {}", packet.src));
            return Some(reply(RST, packet.ack, 0, Vec::new()));
        };
        flow.open |= packet.ack == flow.own_seq.wrapping_add(1);
        if !flow.open {
            flows.remove(&key);
            drop(flows);
            self.say(&format!("resets a flow that is not open here: {}", packet.src));
            return Some(reply(RST, packet.ack, 0, Vec::new()));
        }
        let sent = flow.own_seq.wrapping_add(1);
        if packet.flags & FIN != 0 {
            let (seq, ack) = (sent.wrapping_add(flow.answered), packet.seq.wrapping_add(1));
            flows.remove(&key);
            return Some(reply(FIN | ACK, seq, ack, Vec::new()));
        }
        if packet.data.is_empty() {
            return None;
        }
        if packet.seq != flow.next {
            let seq = sent.wrapping_add(flow.answered).wrapping_sub(flow.last.len() as u32);
            return Some(reply(ACK, seq, flow.next, flow.last.clone()));
        }
        let request = String::from_utf8_lossy(&packet.data);
        let request = request.lines().find(|line| line.starts_with("Attempt-Id")).unwrap_or("?");
        self.say(&format!("runs {request} of {}", packet.src));
        flow.next = flow.next.wrapping_add(packet.data.len() as u32);
        let body = self.name();
        flow.last = format!(
            "HTTP/1.1 200 OK\r\nInstance-Id: {body}\r\nContent-Length: {}\r\n\r\n{body}",
            body.len()
        )
        .into_bytes();
        let seq = sent.wrapping_add(flow.answered);
        flow.answered = flow.answered.wrapping_add(flow.last.len() as u32);
        Some(reply(ACK, seq, flow.next, flow.last.clone()))
    }

    /// Sends a reply to the client directly; an answer follows after the work.
    fn reply(self: &Arc<Self>, socket: &UdpSocket, packet: &Packet, reply: Packet) {
        let to = SocketAddrV4::new(*packet.src.ip(), self.client_port);
        let Ok(socket) = socket.try_clone() else { return };
        if reply.flags & SYN != 0 {
            let copies = packet.ack;
            self.answer_syn(socket, reply, copies, to);
            return;
        }
        if reply.data.is_empty() {
            let _ = socket.send_to(&reply.to_bytes(), to);
            return;
        }
        let shared = Arc::clone(self);
        spawn(move || {
            sleep(WORK);
            if !shared.has_ended() {
                let _ = socket.send_to(&reply.to_bytes(), to);
            }
        });
    }

    /// Answers a SYN, and repeats the answer to the first one until it is acknowledged.
    fn answer_syn(
        self: &Arc<Self>,
        socket: UdpSocket,
        reply: Packet,
        copies: u32,
        to: SocketAddrV4,
    ) {
        let take = |left: usize| left.checked_sub(1);
        if self.losses.fetch_update(Ordering::AcqRel, Ordering::Acquire, take).is_ok() {
            self.say(&format!("answers a SYN of {}; the answer is lost", reply.dst));
        } else {
            self.say(&format!("answers a SYN of {}, with {copies} copies before it", reply.dst));
            let _ = socket.send_to(&reply.to_bytes(), to);
        }
        let shared = Arc::clone(self);
        spawn(move || {
            let mut pause = FIRST_RETRY;
            for _ in 0..RETRIES {
                sleep(pause);
                pause = (2 * pause).min(MAX_RETRY);
                if !shared.is_half_open((reply.dst, reply.src)) {
                    return;
                }
                let take = |left: usize| left.checked_sub(1);
                if shared.losses.fetch_update(Ordering::AcqRel, Ordering::Acquire, take).is_ok() {
                    shared.say(&format!("repeats its answer to {}; it is lost", reply.dst));
                    continue;
                }
                shared.say(&format!("repeats its answer to the SYN of {}", reply.dst));
                let _ = socket.send_to(&reply.to_bytes(), to);
            }
        });
    }

    fn is_half_open(&self, key: (SocketAddrV4, SocketAddrV4)) -> bool {
        let flows = self.flows.lock().expect("no holder panics");
        !self.has_ended() && flows.get(&key).is_some_and(|flow| !flow.open)
    }
}
