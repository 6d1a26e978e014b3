//! A group of real entry nodes on a simulated clock and a lossless network, which records the
//! traffic and CPU time of each node.

use std::collections::VecDeque;

use eyre::{Result, ensure};
use ipnet::IpNet;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

use lagoongauge::flow::{FlowHash, HashKey, Protocol, Signal};
use lagoongauge::id::{CentreId, HostId, MemberId, ServiceId, TargetId};
use lagoongauge::node::{Action, Message, Node, NodeSetup};
use lagoongauge::route::{Direction, PacketFacts, Route, Verdict};
use lagoongauge::settings::{Host, Member, Resolved, Service, TokenHash};
use lagoongauge::target::{Announcement, Outcome, State};
use lagoongauge::time::{Instant, Span};
use lagoongauge::wire::OVERHEAD_BYTES;

use super::host::HEADER_BYTES;
use crate::measure::meter;

/// Interval between two ticks of a node.
const TICK_INTERVAL_MS: u64 = 100;

/// Interval between two announcements of a target.
const ANNOUNCE_INTERVAL_MS: u64 = 3_000;

/// Secret that authenticates the announcements of the targets.
const SECRET: &str = "capacity";

/// Seed for the choice of flows and of the hosts that receive packets and announcements.
const SEED: u64 = 7;

/// Maximum number of hosts that route a packet before it is given up.
const MAX_HOPS: usize = 4;

/// Size of a group.
#[derive(Debug, Clone, Copy)]
pub struct GroupSize {
    /// Entry hosts.
    pub hosts: u32,
    /// Services of the group.
    pub services: u32,
    /// Targets of all services together.
    pub targets: u32,
}

/// Traffic and CPU time of a node since the last reset.
#[derive(Debug, Clone, Copy, Default)]
pub struct Usage {
    /// Bytes sent and received, including headers and authentication tags.
    pub bytes: u64,
    /// Maximum bytes sent and received within a completed second.
    pub peak_bytes: u64,
    /// Seconds of CPU time for ticks, messages and announcements.
    pub cpu_seconds: f64,
    /// Bytes sent and received in the current second.
    second_bytes: u64,
}

/// A simulated group of entry nodes.
pub struct Group {
    size: GroupSize,
    nodes: Vec<Option<Node>>,
    usage: Vec<Usage>,
    settings: Resolved,
    targets: Vec<Announcement>,
    now: Instant,
    rng: ChaCha8Rng,
}

impl Group {
    /// Starts a group and advances it until all nodes know all targets.
    pub fn new(size: GroupSize) -> Result<Self> {
        let settings = resolved_settings(size);
        let targets = (0..size.targets).map(|target| new_announcement(size, target)).collect();
        let mut group = Self {
            size,
            nodes: (1..=size.hosts)
                .map(|host| Some(new_node(HostId(host), Instant(0), 1)))
                .collect(),
            usage: vec![Usage::default(); size.hosts as usize],
            settings,
            targets,
            now: Instant(0),
            rng: ChaCha8Rng::seed_from_u64(SEED),
        };
        for node in group.nodes.iter().flatten() {
            node.apply(Instant(0), &group.settings);
        }
        group.advance(Span::seconds(30));
        let knows_targets = |node: &Node| node.status(group.now).targets == size.targets as usize;
        ensure!(
            group.nodes.iter().flatten().all(knows_targets),
            "a node does not know all targets of the group"
        );
        group.reset_usage();
        Ok(group)
    }

    /// Returns the index of the planner.
    pub fn planner(&self) -> Option<usize> {
        let is_planning = |node: &Option<Node>| {
            node.as_ref().is_some_and(|node| node.status(self.now).route.planning)
        };
        self.nodes.iter().position(is_planning)
    }

    /// Returns the index of a host other than the planner.
    pub fn non_planner(&self) -> usize {
        usize::from(self.planner() == Some(0))
    }

    /// Returns the usage of a node.
    pub fn usage(&self, index: usize) -> Usage {
        self.usage[index]
    }

    /// Returns the most bytes that any node sent and received within one second.
    pub fn peak_bytes(&self) -> u64 {
        self.usage
            .iter()
            .map(|usage| usage.peak_bytes.max(usage.second_bytes))
            .max()
            .unwrap_or_default()
    }

    /// Returns the mean number of bytes that a node sent and received.
    pub fn mean_bytes(&self) -> f64 {
        let sum: u64 = self.usage.iter().map(|usage| usage.bytes).sum();
        sum as f64 / self.usage.len() as f64
    }

    /// Returns whether no running node with a serving lease assigns new flows to the first target.
    pub fn first_target_drained(&self) -> bool {
        let assigns_flows = |node: &Node| {
            let table = node.router().table(ServiceId(0));
            let leased = node.router().summary(self.now).leased;
            let first = node.target_at(self.targets[0].address, Protocol::Tcp);
            let first = first.map(|(_, target)| target);
            leased && table.iter().any(|(target, weight)| Some(*target) == first && *weight > 0)
        };
        !self.nodes.iter().flatten().any(assigns_flows)
    }

    /// Returns the smallest number of homes in the view of any running node with a serving lease.
    pub fn min_view_hosts(&self) -> usize {
        let summaries = self.nodes.iter().flatten().map(|node| node.router().summary(self.now));
        summaries
            .filter(|summary| summary.leased)
            .map(|summary| summary.hosts.len())
            .min()
            .unwrap_or(0)
    }

    /// Returns whether every host is a home with a serving lease and no handover is in progress.
    pub fn is_restored(&self) -> bool {
        let is_settled = |node: &Node| {
            let status = node.status(self.now).route;
            status.hosts.len() == self.size.hosts as usize && status.leased && status.pending == 0
        };
        self.nodes.iter().all(|node| node.as_ref().is_some_and(is_settled))
    }

    /// Returns a node; `None` if it is not running.
    pub fn node(&self, index: usize) -> Option<&Node> {
        self.nodes.get(index)?.as_ref()
    }

    /// Returns the current instant.
    pub fn now(&self) -> Instant {
        self.now
    }

    /// Resets the usage of all nodes.
    pub fn reset_usage(&mut self) {
        self.usage.fill(Usage::default());
    }

    /// Opens flows of random services and returns the CPU time of the routing decisions in
    /// seconds.
    pub fn open_flows(&mut self, count: u32) -> f64 {
        let mut seconds = 0.0;
        for _ in 0..count {
            let service = ServiceId(self.rng.random_range(0..self.size.services));
            let flow = FlowHash(self.rng.random());
            let first = self.rng.random_range(0..self.nodes.len());
            let ((), elapsed) =
                meter::measure_cpu_time(|| self.route_first_packet(first, service, flow));
            seconds += elapsed;
        }
        seconds
    }

    /// Announces at a random host that a target drains.
    pub fn drain_target(&mut self, target: usize) {
        self.targets[target].state = State::Draining;
        let index = self.rng.random_range(0..self.nodes.len());
        if let Some(node) = &self.nodes[index] {
            node.announce(self.now, &self.targets[target], SECRET);
        }
    }

    /// Starts the planned leave of a host.
    pub fn leave_host(&mut self, index: usize) {
        if let Some(node) = &self.nodes[index] {
            let actions = node.leave(self.now);
            self.deliver_messages(index, actions);
        }
    }

    /// Stops a host without notice.
    pub fn kill_host(&mut self, index: usize) {
        self.nodes[index] = None;
    }

    /// Starts a stopped host.
    pub fn start_host(&mut self, index: usize) {
        let node = new_node(HostId(index as u32 + 1), self.now, self.now.0);
        node.apply(self.now, &self.settings);
        self.nodes[index] = Some(node);
    }

    /// Advances the simulated clock, with ticks and announcements when they are due.
    pub fn advance(&mut self, span: Span) {
        let end = self.now + span;
        while self.now < end {
            self.now = self.now + Span::millis(TICK_INTERVAL_MS);
            if self.now.0.is_multiple_of(1000) {
                self.end_second();
            }
            self.announce_targets();
            for index in 0..self.nodes.len() {
                let Some(node) = &self.nodes[index] else { continue };
                let (actions, seconds) = meter::measure_cpu_time(|| node.tick(self.now));
                self.usage[index].cpu_seconds += seconds;
                self.deliver_messages(index, actions);
            }
        }
    }

    fn end_second(&mut self) {
        for usage in &mut self.usage {
            usage.peak_bytes = usage.peak_bytes.max(usage.second_bytes);
            usage.second_bytes = 0;
        }
    }

    /// Announces the targets that are due in this tick, each at a random host.
    fn announce_targets(&mut self) {
        let interval_ticks = (ANNOUNCE_INTERVAL_MS / TICK_INTERVAL_MS) as usize;
        let phase = (self.now.0 / TICK_INTERVAL_MS) as usize % interval_ticks;
        for target in (phase..self.targets.len()).step_by(interval_ticks) {
            let index = self.rng.random_range(0..self.nodes.len());
            let Some(node) = &self.nodes[index] else { continue };
            let (outcome, seconds) =
                meter::measure_cpu_time(|| node.announce(self.now, &self.targets[target], SECRET));
            self.usage[index].cpu_seconds += seconds;
            if let Outcome::Refused(error) = outcome {
                log::debug!("target announcement refused: {error}");
            }
        }
    }

    fn deliver_messages(&mut self, from: usize, actions: Vec<Action>) {
        let mut queue: VecDeque<(usize, Action)> =
            actions.into_iter().map(|action| (from, action)).collect();
        while let Some((from, action)) = queue.pop_front() {
            let Action::Send(to, message) = action else { continue };
            let to = to.0 as usize - 1;
            let bytes = message.to_bytes();
            self.record_bytes(from, bytes.len());
            self.record_bytes(to, bytes.len());
            let Some(node) = &self.nodes[to] else { continue };
            let (actions, seconds) = meter::measure_cpu_time(|| {
                let message = Message::from_bytes(&bytes).ok()?;
                Some(node.handle_message(self.now, HostId(from as u32 + 1), message))
            });
            self.usage[to].cpu_seconds += seconds;
            queue.extend(actions.into_iter().flatten().map(|action| (to, action)));
        }
    }

    fn record_bytes(&mut self, index: usize, payload: usize) {
        let bytes = (payload + OVERHEAD_BYTES + HEADER_BYTES) as u64;
        self.usage[index].bytes += bytes;
        self.usage[index].second_bytes += bytes;
    }

    fn route_first_packet(&self, first: usize, service: ServiceId, flow: FlowHash) {
        let mut index = first;
        for hops in 0..MAX_HOPS {
            let Some(node) = &self.nodes[index] else { return };
            let facts = PacketFacts {
                service,
                flow,
                signal: Signal::Open,
                direction: Direction::Inward,
                source: None::<TargetId>,
                hops: hops as u8,
            };
            match node.route(self.now, &facts) {
                Verdict::Relay(host) => index = host.0 as usize - 1,
                _ => return,
            }
        }
    }
}

fn new_node(own: HostId, now: Instant, seed: u64) -> Node {
    let setup = NodeSetup { own, key: HashKey([3; 16]), seed, start_time: now.0 + 1 };
    Node::new(now, setup)
}

fn resolved_settings(size: GroupSize) -> Resolved {
    let mut settings = Resolved { version: 1, ..Resolved::default() };
    let member = Member {
        name: "member".to_string(),
        networks: vec![IpNet::from(ipnet::Ipv4Net::new_assert([10, 0, 0, 0].into(), 8))],
        tokens: vec![TokenHash::new([5; 16], SECRET).to_string()],
        max_flows: 10_000_000,
        max_rate: 10_000_000,
        max_targets: 65_536,
    };
    settings.members.insert(MemberId(1), member);
    for id in 0..size.services {
        settings.services.insert(ServiceId(id), service_settings(id));
        settings.groups.insert(ServiceId(id), 1);
    }
    for id in 1..=size.hosts {
        let peer = ([10, 200, 0, id as u8], 4700).into();
        settings.hosts.insert(HostId(id), Host { centre: CentreId(1), group: 1, peer });
    }
    settings
}

fn service_settings(id: u32) -> Service {
    Service {
        member: MemberId(1),
        name: format!("s{id}"),
        protocol: Protocol::Tcp,
        address: ([198, 18, (id / 250) as u8, (id % 250) as u8], 443).into(),
        bucket_bits: 14,
        max_flows: 1_000_000,
        max_rate: 1_000_000,
        idle_limit: Span::seconds(86_400),
        drain_limit: Span::seconds(43_200),
        slow_start: Span::seconds(30),
        established_goal: 999_000,
        unbroken_goal: 999_900,
        answer_goal: Span::millis(100),
        imbalance_goal: 1_250,
    }
}

fn new_announcement(size: GroupSize, target: u32) -> Announcement {
    Announcement {
        service: ServiceId(target % size.services),
        address: ([10, 1, (target / 250) as u8, (target % 250) as u8], 8080).into(),
        protocol: Protocol::Tcp,
        state: State::Ready,
        generation: 1,
        slots: 2,
        connections: 0,
        load: 0,
        lease: Span::seconds(10),
        deadline: None,
    }
}
