//! Clients, and the routers that hand their packets to entry hosts.

use std::io::Result;
use std::net::{Ipv4Addr, SocketAddrV4, UdpSocket};
use std::time::{Duration, Instant};

use crate::cluster::PACKET_PORT;
use crate::packet::{ACK, FIN, Packet, RST, SYN};
use crate::record::Record;

/// When a client sends its SYN and the copies of it, and when it gives up.
const SYN_TIMES: [Duration; 3] =
    [Duration::ZERO, Duration::from_millis(200), Duration::from_millis(600)];
const SYN_LIMIT: Duration = Duration::from_millis(1400);

/// First and longest pause before data is sent again.
const FIRST_RETRY: Duration = Duration::from_millis(200);
const LAST_RETRY: Duration = Duration::from_millis(1600);

/// A client's machine, with one flow after the other.
#[derive(Debug)]
pub struct Client {
    record: Record,
    name: String,
    address: Ipv4Addr,
    socket: UdpSocket,
    /// Entry hosts in rotation.
    pub entries: Vec<SocketAddrV4>,
    /// Datagrams to this client that the network is about to lose.
    pub losses: usize,
    next_port: u16,
}

/// A flow as its client sees it.
#[derive(Debug, Clone)]
pub struct Flow {
    pub source: SocketAddrV4,
    pub route: SocketAddrV4,
    pub opened_at: Instant,
    /// Id of the backend that answered last.
    pub instance: Option<String>,
    seq: u32,
    expected: u32,
    echo: u32,
}

/// How an attempt ended.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Outcome {
    /// The whole answer, with the id of its backend.
    Answered(String),
    /// A reset of the system's own.
    SystemReset,
    /// A reset of a backend.
    BackendReset,
    /// Nothing until the client gave up.
    Nothing,
}

impl Client {
    /// Creates a client that reaches the given entry hosts.
    pub fn bind(
        record: &Record,
        name: &str,
        address: Ipv4Addr,
        entries: Vec<SocketAddrV4>,
    ) -> Result<Self> {
        let socket = UdpSocket::bind((address, PACKET_PORT))?;
        let name = name.to_string();
        let (record, losses, next_port) = (record.clone(), 0, 40_001);
        Ok(Self { record, name, address, socket, entries, losses, next_port })
    }

    /// Opens a flow; `Err` tells how the attempt ended.
    pub fn open(&mut self, route: SocketAddrV4) -> std::result::Result<Flow, Outcome> {
        let source = SocketAddrV4::new(self.address, self.next_port);
        self.next_port += 1;
        let seq = u32::from(self.next_port).wrapping_mul(2_654_435_761);
        let start = Instant::now();
        for (copies, at) in SYN_TIMES.iter().enumerate() {
            self.send(&Packet { seq, ack: copies as u32, ..Packet::new(source, route, SYN) });
            let until = SYN_TIMES.get(copies + 1).copied().unwrap_or(SYN_LIMIT);
            while let Some(packet) = self.receive(source, start + until) {
                if packet.flags & RST != 0 {
                    let outcome = outcome_of_reset(&packet);
                    self.line(format!("SYN of {source} to {route}: {outcome:?}"));
                    return Err(outcome);
                }
                if packet.flags & SYN != 0 && packet.ack == seq.wrapping_add(1) {
                    let flow = Flow {
                        source,
                        route,
                        opened_at: Instant::now(),
                        instance: None,
                        seq: seq.wrapping_add(1),
                        expected: packet.seq.wrapping_add(1),
                        echo: packet.echo,
                    };
                    self.send(&flow.packet(ACK, Vec::new()));
                    self.line(format!("flow {source} to {route} is open"));
                    return Ok(flow);
                }
            }
            let _ = at;
        }
        self.line(format!("SYN of {source} to {route}: no answer in {SYN_LIMIT:?}"));
        Err(Outcome::Nothing)
    }

    /// Sends a request on an open flow, and waits for the answer within the time budget.
    pub fn request(&mut self, flow: &mut Flow, id: &str, budget: Duration) -> Outcome {
        let text = format!("GET /feed HTTP/1.1\r\nHost: feed\r\nAttempt-Id: {id}\r\n\r\n");
        let data = text.into_bytes();
        let deadline = Instant::now() + budget;
        let mut pause = FIRST_RETRY;
        self.line(format!("request {id} on flow {}", flow.source));
        let outcome = loop {
            self.send(&flow.packet(ACK, data.clone()));
            let until = (Instant::now() + pause).min(deadline);
            if let Some(outcome) = self.await_answer(flow, data.len(), until) {
                break outcome;
            }
            if Instant::now() >= deadline {
                break Outcome::Nothing;
            }
            pause = (pause * 2).min(LAST_RETRY);
        };
        self.line(format!("request {id} on flow {}: {outcome:?}", flow.source));
        outcome
    }

    /// Sends nothing on an open flow for some time. What arrives on it meanwhile is taken in; returns how
    /// the flow ended if it was reset.
    pub fn idle(&mut self, flow: &mut Flow, time: Duration) -> Option<Outcome> {
        let until = Instant::now() + time;
        while let Some(packet) = self.receive(flow.source, until) {
            let from = packet.echo;
            self.line(format!(
                "{} on idle flow {}, echo {from:08x}",
                packet.flag_names(),
                flow.source
            ));
            if packet.flags & RST != 0 {
                return Some(outcome_of_reset(&packet));
            }
            // The last echo that was received on the flow goes into the next packet.
            flow.echo = packet.echo;
        }
        None
    }

    /// Closes a flow, without waiting for the answer.
    pub fn close(&mut self, flow: &Flow) {
        self.send(&flow.packet(ACK | FIN, Vec::new()));
    }

    fn await_answer(&mut self, flow: &mut Flow, length: usize, until: Instant) -> Option<Outcome> {
        while let Some(packet) = self.receive(flow.source, until) {
            if packet.flags & RST != 0 {
                return Some(outcome_of_reset(&packet));
            }
            flow.echo = packet.echo;
            if packet.data.is_empty() || packet.seq != flow.expected {
                // An earlier answer may be on its way again.
                if !packet.data.is_empty() {
                    self.send(&flow.packet(ACK, Vec::new()));
                }
                continue;
            }
            flow.expected = flow.expected.wrapping_add(packet.data.len() as u32);
            flow.seq = flow.seq.wrapping_add(length as u32);
            self.send(&flow.packet(ACK, Vec::new()));
            let text = String::from_utf8_lossy(&packet.data).into_owned();
            let instance = text.lines().find_map(|line| line.strip_prefix("Instance-Id: "));
            let instance = instance.unwrap_or("none").to_string();
            flow.instance = Some(instance.clone());
            return Some(Outcome::Answered(instance));
        }
        None
    }

    /// Sends a packet through the entry host that its addresses and ports select.
    fn send(&self, packet: &Packet) {
        let bytes = packet.encode();
        // The four addresses and ports of the head, from its 19th byte on.
        let hash = bytes[19..31].iter().fold(0xcbf2_9ce4_8422_2325u64, |hash, byte| {
            (hash ^ u64::from(*byte)).wrapping_mul(0x0000_0100_0000_01b3)
        });
        let entry = self.entries[(hash >> 32) as usize % self.entries.len()];
        let _ = self.socket.send_to(&bytes, entry);
    }

    /// Waits for a packet of the flow with this source.
    fn receive(&mut self, source: SocketAddrV4, until: Instant) -> Option<Packet> {
        let mut bytes = [0; 2048];
        loop {
            let left = until.saturating_duration_since(Instant::now());
            if left.is_zero() {
                return None;
            }
            self.socket.set_read_timeout(Some(left)).ok()?;
            let Ok((length, from)) = self.socket.recv_from(&mut bytes) else { continue };
            let Some(packet) = Packet::decode(&bytes[..length]) else { continue };
            if self.losses > 0 {
                self.losses -= 1;
                self.line(format!("network: lost {} from {from}", packet.flag_names()));
                continue;
            }
            if packet.destination == source {
                return Some(packet);
            }
        }
    }

    fn line(&self, text: String) {
        self.record.line(format!("client {}: {text}", self.name));
    }
}

impl Flow {
    fn packet(&self, flags: u8, data: Vec<u8>) -> Packet {
        let Self { seq, expected: ack, echo, .. } = *self;
        Packet { seq, ack, echo, data, ..Packet::new(self.source, self.route, flags) }
    }
}

fn outcome_of_reset(packet: &Packet) -> Outcome {
    if packet.is_system_reset() { Outcome::SystemReset } else { Outcome::BackendReset }
}
