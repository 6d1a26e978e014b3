//! A simulated network between real routers, with a reference model of the flows.

#![allow(dead_code)]

use std::collections::{BTreeMap, BinaryHeap};

use indexmap::IndexMap;
use lagoongauge::flow::{FlowHash, HashKey, Protocol, Signal};
use lagoongauge::id::{CentreId, HostId, MemberId, ServiceId, TargetId};
use lagoongauge::route::{
    Action, Candidate, CandidateState, Direction, Election, Event, Message, PacketFacts, Route,
    Router, Verdict,
};
use lagoongauge::settings::{Host, Resolved, Service};
use lagoongauge::time::{Instant, Span};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

/// Bytes of IP and UDP headers.
const HEADER_BYTES: usize = 28;

/// Interval between two ticks of a router.
const TICK_MS: u64 = 50;

pub const SERVICE: ServiceId = ServiceId(1);
pub const OTHER_SERVICE: ServiceId = ServiceId(2);
pub const IDLE_LIMIT: Span = Span::seconds(600);

/// Behaviour of the network for messages and packets.
#[derive(Debug, Clone, Copy)]
pub struct Conditions {
    /// Percentage of lost messages.
    pub loss: u32,
    /// Percentage of duplicated messages.
    pub duplicates: u32,
    /// Maximum delay in milliseconds.
    pub delay: u64,
}

pub const RELIABLE: Conditions = Conditions { loss: 0, duplicates: 0, delay: 2 };

#[derive(Debug, Clone, PartialEq, Eq)]
enum Payload {
    Message(HostId, Vec<u8>),
    Packet(usize, PacketFacts),
}

#[derive(Debug, PartialEq, Eq)]
struct Delivery {
    at: u64,
    sequence: u64,
    to: HostId,
    payload: Payload,
}

impl Ord for Delivery {
    fn cmp(&self, other: &Self) -> std::cmp::Ordering {
        (other.at, other.sequence).cmp(&(self.at, self.sequence))
    }
}

impl PartialOrd for Delivery {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}

/// A flow in the reference model.
#[derive(Debug, Clone)]
pub struct Flow {
    pub service: ServiceId,
    pub hash: FlowHash,
    /// Target of the flow's first forwarded packet, the only one that may get any.
    pub target: Option<TargetId>,
    pub refused: bool,
    pub closed: bool,
    /// Descriptions of the violated rules.
    pub violations: Vec<String>,
    /// Number of packets delivered to a target since the last reset of the count.
    pub delivered: u32,
    pub opened_at: u64,
}

pub struct Node {
    pub router: Router,
    /// Start of the process by the simulation's clock, in milliseconds.
    pub started: u64,
    pub up: bool,
}

/// Routers, network and flows.
pub struct Net {
    pub now: u64,
    pub nodes: IndexMap<HostId, Node>,
    pub conditions: Conditions,
    pub flows: Vec<Flow>,
    pub resolved: Resolved,
    /// Pairs of hosts that can't reach each other.
    pub partitions: Vec<(HostId, HostId)>,
    /// Hosts whose messages to others are all lost.
    pub muted: Vec<HostId>,
    pub events: Vec<(u64, HostId, Event)>,
    /// Bytes sent by host and second.
    pub sent: BTreeMap<(HostId, u64), usize>,
    /// Bytes sent by kind of message.
    pub sent_kinds: BTreeMap<&'static str, usize>,
    /// Holder of the lease, its epoch, and the time at which the lease ends.
    pub holder: Option<(HostId, u64, u64)>,
    candidates: BTreeMap<ServiceId, Vec<Candidate>>,
    queue: BinaryHeap<Delivery>,
    sequence: u64,
    process_count: u64,
    pub relays: u64,
    pub forwards: u64,
    rng: ChaCha8Rng,
}

/// Placeholder for a lease holder that has crashed.
const NO_HOLDER: HostId = HostId(0);

/// Time until a lease ends after its last renewal.
const LEASE_MS: u64 = 2_000;

impl Net {
    /// Builds a network with `up` running hosts out of `all` configured ones.
    pub fn new(seed: u64, all: u32, up: u32, conditions: Conditions) -> Self {
        let mut net = Self {
            now: 0,
            nodes: IndexMap::new(),
            conditions,
            flows: Vec::new(),
            resolved: resolved(all, 10),
            partitions: Vec::new(),
            muted: Vec::new(),
            events: Vec::new(),
            sent: BTreeMap::new(),
            sent_kinds: BTreeMap::new(),
            holder: None,
            candidates: BTreeMap::new(),
            queue: BinaryHeap::new(),
            sequence: 0,
            process_count: 0,
            relays: 0,
            forwards: 0,
            rng: ChaCha8Rng::seed_from_u64(seed),
        };
        (1..=up).for_each(|host| net.start(HostId(host)));
        net
    }

    pub fn rng(&mut self) -> &mut ChaCha8Rng {
        &mut self.rng
    }

    /// Starts a host as a new process without state.
    pub fn start(&mut self, host: HostId) {
        self.process_count += 1;
        let seed = u64::from(host.0) << 32 | self.process_count;
        let router = Router::new(host, HashKey([7; 16]), seed, Instant(0));
        router.apply(Instant(0), &self.resolved);
        for (&service, list) in &self.candidates {
            router.set_targets(Instant(0), service, list);
        }
        self.nodes.insert(host, Node { router, started: self.now, up: true });
    }

    /// Stops a host immediately.
    pub fn crash(&mut self, host: HostId) {
        if let Some(node) = self.nodes.get_mut(&host) {
            node.up = false;
        }
        // A new process of the host does not hold the lease of the former one.
        if let Some((holder, _, free_at)) = &mut self.holder
            && *holder == host
        {
            *holder = NO_HOLDER;
            *free_at = self.now + LEASE_MS;
        }
    }

    pub fn leave(&mut self, host: HostId) {
        let now = self.clock(host);
        let actions = self.nodes[&host].router.leave(now);
        self.perform(host, actions);
    }

    pub fn up(&self) -> Vec<HostId> {
        self.nodes.iter().filter(|(_, node)| node.up).map(|(&host, _)| host).collect()
    }

    pub fn router(&self, host: u32) -> &Router {
        &self.nodes[&HostId(host)].router
    }

    pub fn clock(&self, host: HostId) -> Instant {
        Instant(self.now - self.nodes[&host].started)
    }

    /// Sets the weights of a service's targets at every host; weight 0 drains a target.
    pub fn set_targets(&mut self, service: ServiceId, weights: &[(u64, u16)]) {
        let candidate = |&(target, weight): &(u64, u16)| Candidate {
            target: TargetId(target),
            weight,
            state: match weight {
                0 => CandidateState::Established,
                _ => CandidateState::New,
            },
        };
        let list: Vec<_> = weights.iter().map(candidate).collect();
        for host in self.up() {
            let now = self.clock(host);
            self.nodes[&host].router.set_targets(now, service, &list);
        }
        self.candidates.insert(service, list);
    }

    /// Advances time in steps of 10 ms.
    pub fn run(&mut self, millis: u64) {
        let end = self.now + millis;
        while self.now < end {
            self.now += 10;
            self.run_election();
            self.deliver();
            if self.now.is_multiple_of(TICK_MS) {
                for host in self.up() {
                    let now = self.clock(host);
                    let actions = self.nodes[&host].router.tick(now);
                    self.perform(host, actions);
                }
            }
        }
    }

    /// Opens a flow with a SYN to a random host.
    pub fn open(&mut self, service: ServiceId) -> usize {
        let hosts = self.up();
        let host = hosts[self.rng.random_range(0..hosts.len())];
        self.open_at(service, host)
    }

    /// Opens a flow with a SYN to this host.
    pub fn open_at(&mut self, service: ServiceId, host: HostId) -> usize {
        let hash = FlowHash(self.rng.random());
        let flow = Flow {
            service,
            hash,
            target: None,
            refused: false,
            closed: false,
            violations: Vec::new(),
            delivered: 0,
            opened_at: self.now,
        };
        self.flows.push(flow);
        let flow = self.flows.len() - 1;
        self.packet_at(flow, Signal::Open, host);
        flow
    }

    /// Sends a packet of a flow to a random host.
    pub fn packet(&mut self, flow: usize, signal: Signal) {
        let hosts = self.up();
        let host = hosts[self.rng.random_range(0..hosts.len())];
        self.packet_at(flow, signal, host);
    }

    pub fn packet_at(&mut self, flow: usize, signal: Signal, host: HostId) {
        let facts = PacketFacts {
            service: self.flows[flow].service,
            flow: self.flows[flow].hash,
            signal,
            direction: Direction::Inward,
            source: None,
            hops: 0,
        };
        self.route(host, flow, facts);
    }

    /// Sends a packet of each open flow, or its SYN again if it has no target yet.
    pub fn send_traffic(&mut self) {
        for flow in 0..self.flows.len() {
            if self.flows[flow].closed || self.flows[flow].refused {
                continue;
            }
            match self.flows[flow].target {
                Some(_) => self.packet(flow, Signal::Middle),
                None => self.packet(flow, Signal::Open),
            }
        }
    }

    pub fn close(&mut self, flow: usize) {
        self.flows[flow].closed = true;
        self.packet(flow, Signal::Reset);
    }

    /// Returns the violations of all flows.
    pub fn violations(&self) -> Vec<String> {
        self.flows.iter().flat_map(|flow| flow.violations.clone()).collect()
    }

    /// Returns the open flows with a target.
    pub fn established(&self) -> Vec<usize> {
        let is_open = |i: &usize| self.flows[*i].target.is_some() && !self.flows[*i].closed;
        (0..self.flows.len()).filter(is_open).collect()
    }

    /// Returns the maximum number of bytes that a host sent in one second since `from`.
    pub fn worst_second(&self, from: u64) -> usize {
        let late = self.sent.iter().filter(|((_, second), _)| *second >= from / 1000);
        late.map(|(_, &bytes)| bytes).max().unwrap_or(0)
    }

    fn route(&mut self, host: HostId, flow: usize, facts: PacketFacts) {
        let now = self.clock(host);
        let verdict = self.nodes[&host].router.route(now, &facts);
        let now_ms = self.now;
        let state = &mut self.flows[flow];
        match verdict {
            Verdict::Forward(target) => {
                self.forwards += 1;
                state.delivered += 1;
                if state.refused {
                    state.violations.push(format!("{now_ms}: {host} forwarded a refused flow"));
                }
                if !belongs_to(state.service, target) {
                    state
                        .violations
                        .push(format!("{now_ms}: {host} forwarded to {target} of another service"));
                }
                match state.target {
                    None => state.target = Some(target),
                    Some(first) if first != target => state.violations.push(format!(
                        "{now_ms}: {host} forwarded {:?} (hops {}) of a flow of {first}, opened at {}, to {target}",
                        facts.signal, facts.hops, state.opened_at
                    )),
                    Some(_) => {}
                }
            }
            Verdict::Refuse(kind) => {
                if state.target.is_some() {
                    state
                        .violations
                        .push(format!("{now_ms}: {host} refused a forwarded flow: {kind}"));
                }
                state.refused = true;
            }
            Verdict::Relay(to) => {
                self.relays += 1;
                let hops = facts.hops + 1;
                self.send(host, to, Payload::Packet(flow, PacketFacts { hops, ..facts }));
            }
            Verdict::ToCaller | Verdict::Drop(_) => {}
        }
    }

    fn perform(&mut self, host: HostId, actions: Vec<Action>) {
        for action in actions {
            match action {
                Action::Send(to, message) => {
                    let bytes = message.encode();
                    let second = self.now / 1000;
                    *self.sent.entry((host, second)).or_default() += bytes.len() + HEADER_BYTES;
                    *self.sent_kinds.entry(message_kind(&message)).or_default() +=
                        bytes.len() + HEADER_BYTES;
                    self.send(host, to, Payload::Message(host, bytes));
                }
                Action::Event(event) => self.events.push((self.now, host, event)),
            }
        }
    }

    fn send(&mut self, from: HostId, to: HostId, payload: Payload) {
        let partitioned =
            self.partitions.contains(&(from, to)) || self.partitions.contains(&(to, from));
        if partitioned
            || self.muted.contains(&from)
            || self.rng.random_range(0..100) < self.conditions.loss
        {
            return;
        }
        let duplicated = self.rng.random_range(0..100) < self.conditions.duplicates;
        for _ in 0..=u32::from(duplicated) {
            let at = self.now + self.rng.random_range(0..=self.conditions.delay);
            self.sequence += 1;
            self.queue.push(Delivery { at, sequence: self.sequence, to, payload: payload.clone() });
        }
    }

    fn deliver(&mut self) {
        while self.queue.peek().is_some_and(|delivery| delivery.at <= self.now) {
            let Some(delivery) = self.queue.pop() else { return };
            if !self.nodes.get(&delivery.to).is_some_and(|node| node.up) {
                continue;
            }
            match delivery.payload {
                Payload::Message(from, bytes) => {
                    let message = Message::decode(&bytes).expect("decode a sent message");
                    let now = self.clock(delivery.to);
                    let actions =
                        self.nodes[&delivery.to].router.handle_message(now, from, message);
                    self.perform(delivery.to, actions);
                }
                Payload::Packet(flow, facts) => self.route(delivery.to, flow, facts),
            }
        }
    }

    /// Grants the lease to the first host that is up and reaches a majority.
    fn run_election(&mut self) {
        let healthy = |net: &Self, host: HostId| {
            let partitioned = |&&other: &&HostId| {
                net.partitions.contains(&(host, other)) || net.partitions.contains(&(other, host))
            };
            let hosts: Vec<_> = net.resolved.hosts.keys().copied().collect();
            let reached = hosts.iter().filter(|h| net.nodes.get(*h).is_some_and(|n| n.up));
            let reached = reached.filter(|h| !partitioned(h)).count();
            net.nodes.get(&host).is_some_and(|node| node.up)
                && !net.muted.contains(&host)
                && reached * 2 > hosts.len()
        };
        match self.holder {
            Some((host, epoch, _)) if healthy(self, host) => {
                self.holder = Some((host, epoch, self.now + LEASE_MS));
            }
            Some((_, _, free_at)) if self.now < free_at => {}
            other => {
                let epoch = other.map_or(0, |(_, epoch, _)| epoch) + 1;
                let next = self.up().into_iter().find(|&host| healthy(self, host));
                let Some(host) = next else { return };
                self.holder = Some((host, epoch, self.now + LEASE_MS));
            }
        }
        let Some((holder, epoch, free_at)) = self.holder else { return };
        for host in self.up() {
            let started = self.nodes[&host].started;
            let partitioned = self.partitions.contains(&(host, holder))
                || self.partitions.contains(&(holder, host));
            let known = (host == holder || !partitioned).then_some((holder, epoch));
            let until = Instant(free_at.saturating_sub(started));
            let now = self.clock(host);
            let election = Election { holder: known, until };
            self.nodes[&host].router.set_election(now, election);
        }
    }
}

fn message_kind(message: &Message) -> &'static str {
    match message {
        Message::Heartbeat(_) => "heartbeat",
        Message::Grant { .. } => "grant",
        Message::Probe { .. } => "probe",
        Message::Steps(_) => "steps",
        Message::PlanOffer { .. } => "plan offer",
        Message::FetchPlan { .. } => "fetch plan",
        Message::PlanChunk(_) => "plan chunk",
        Message::HoldReport(_) => "hold report",
        Message::Transfers(_) => "transfers",
        Message::TransferAck { .. } => "transfer ack",
        Message::Replication(_) => "replication",
        Message::ReplicationAck { .. } => "replication ack",
    }
}

/// Targets below 1000 belong to `SERVICE`, the others to `OTHER_SERVICE`.
fn belongs_to(service: ServiceId, target: TargetId) -> bool {
    (target.0 < 1000) == (service == SERVICE)
}

/// Builds settings with `hosts` hosts and a service of `2^bits` buckets for each of two members.
pub fn resolved(hosts: u32, bits: u8) -> Resolved {
    let service = |member: u16| Service {
        member: MemberId(member),
        name: format!("service of {member}"),
        protocol: Protocol::Tcp,
        address: format!("192.0.2.{member}:443").parse().expect("an address"),
        bucket_bits: bits,
        max_flows: 100_000,
        max_rate: 100_000,
        idle_limit: IDLE_LIMIT,
        drain_limit: Span::seconds(3600),
        slow_start: Span::seconds(10),
        established_goal: 999_000,
        unbroken_goal: 999_900,
        answer_goal: Span::millis(100),
        imbalance_goal: 1100,
    };
    let host = |id: u32| {
        let peer = format!("127.0.0.{id}:7000").parse().expect("an address");
        (HostId(id), Host { centre: CentreId(1), group: 1, peer })
    };
    Resolved {
        version: 1,
        members: IndexMap::new(),
        services: [(SERVICE, service(1)), (OTHER_SERVICE, service(2))].into_iter().collect(),
        groups: [(SERVICE, 1), (OTHER_SERVICE, 1)].into_iter().collect(),
        hosts: (1..=hosts).map(host).collect(),
    }
}
