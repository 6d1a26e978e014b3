//! A group of real entry nodes in given time, whose messages all arrive; counts what each spends.

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

use super::host::DATAGRAM;
use crate::measure::meter;

/// Milliseconds between two ticks of a node.
const TICK_MS: u64 = 100;

/// Milliseconds between two announcements of a target.
const ANNOUNCE_MS: u64 = 3_000;

/// Secret that the targets announce with.
const SECRET: &str = "capacity";

/// Seed of the flows and of the hosts that they land on.
const SEED: u64 = 7;

/// Most hosts that a packet passes in one decision.
const MAX_PATH: usize = 4;

/// Size of a group.
#[derive(Debug, Clone, Copy)]
pub struct Shape {
    /// Entry hosts.
    pub hosts: u32,
    /// Services.
    pub services: u32,
    /// Targets of all services together.
    pub targets: u32,
}

/// What one node has spent since the counts were last cleared.
#[derive(Debug, Clone, Copy, Default)]
pub struct Spent {
    /// Bytes sent and received, headers and proofs included.
    pub bytes: u64,
    /// Bytes of the second in which most were spent.
    pub worst: u64,
    /// Seconds of processor time for ticks and messages.
    pub processor: f64,
    second: u64,
}

/// The group.
pub struct Group {
    shape: Shape,
    nodes: Vec<Option<Node>>,
    spent: Vec<Spent>,
    settings: Resolved,
    targets: Vec<Announcement>,
    now: Instant,
    random: ChaCha8Rng,
}

impl Group {
    /// Starts a group and lets it settle until its targets are known.
    pub fn new(shape: Shape) -> Result<Self> {
        let settings = settings(shape);
        let targets = (0..shape.targets).map(|target| announcement(shape, target)).collect();
        let mut group = Self {
            shape,
            nodes: (1..=shape.hosts).map(|host| Some(node(HostId(host), Instant(0), 1))).collect(),
            spent: vec![Spent::default(); shape.hosts as usize],
            settings,
            targets,
            now: Instant(0),
            random: ChaCha8Rng::seed_from_u64(SEED),
        };
        for node in group.nodes.iter().flatten() {
            node.apply(Instant(0), &group.settings);
        }
        group.run(Span::seconds(30));
        let synced = |node: &Node| node.status(group.now).targets == shape.targets as usize;
        ensure!(group.nodes.iter().flatten().all(synced), "a node has not heard of every target");
        group.clear();
        Ok(group)
    }

    /// Returns the place of the planner.
    pub fn planner(&self) -> Option<usize> {
        let plans = |node: &Option<Node>| {
            node.as_ref().is_some_and(|node| node.status(self.now).route.planning)
        };
        self.nodes.iter().position(plans)
    }

    /// Returns the place of a host that does not plan.
    pub fn other(&self) -> usize {
        usize::from(self.planner() == Some(0))
    }

    /// Returns what a node has spent.
    pub fn spent(&self, place: usize) -> Spent {
        self.spent[place]
    }

    /// Returns the largest spending of all nodes in their worst second.
    pub fn worst(&self) -> u64 {
        self.spent.iter().map(|spent| spent.worst.max(spent.second)).max().unwrap_or_default()
    }

    /// Returns what the nodes have spent on the average.
    pub fn mean_bytes(&self) -> f64 {
        let sum: u64 = self.spent.iter().map(|spent| spent.bytes).sum();
        sum as f64 / self.spent.len() as f64
    }

    /// Tells whether no running node gives the first target new flows.
    pub fn drained(&self) -> bool {
        let takes = |node: &Node| {
            let table = node.router().table(ServiceId(0));
            let known = node.router().summary(self.now).leased;
            let first = node.target_at(self.targets[0].address, Protocol::Tcp);
            let first = first.map(|(_, target)| target);
            known && table.iter().any(|(target, weight)| Some(*target) == first && *weight > 0)
        };
        !self.nodes.iter().flatten().any(takes)
    }

    /// Returns the number of homes in the view of the first running node that may act.
    pub fn hosts_in_view(&self) -> usize {
        let summaries = self.nodes.iter().flatten().map(|node| node.router().summary(self.now));
        summaries
            .filter(|summary| summary.leased)
            .map(|summary| summary.hosts.len())
            .min()
            .unwrap_or(0)
    }

    /// Tells whether every host is a home again and no handover is under way.
    pub fn whole(&self) -> bool {
        let settled = |node: &Node| {
            let status = node.status(self.now).route;
            status.hosts.len() == self.shape.hosts as usize && status.leased && status.pending == 0
        };
        self.nodes.iter().all(|node| node.as_ref().is_some_and(settled))
    }

    /// Returns a running node.
    pub fn node(&self, place: usize) -> Option<&Node> {
        self.nodes.get(place)?.as_ref()
    }

    /// Returns the current instant.
    pub fn now(&self) -> Instant {
        self.now
    }

    /// Forgets what was spent so far.
    pub fn clear(&mut self) {
        self.spent.fill(Spent::default());
    }

    /// Opens flows of all services and returns the processor time of their decisions.
    pub fn open(&mut self, count: u32) -> f64 {
        let mut seconds = 0.0;
        for _ in 0..count {
            let service = ServiceId(self.random.random_range(0..self.shape.services));
            let flow = FlowHash(self.random.random());
            let first = self.random.random_range(0..self.nodes.len());
            let ((), spent) = meter::measure_cpu_time(|| self.decide(first, service, flow));
            seconds += spent;
        }
        seconds
    }

    /// Lets a target announce that it drains, at a random host.
    pub fn drain(&mut self, target: usize) {
        self.targets[target].state = State::Draining;
        let place = self.random.random_range(0..self.nodes.len());
        if let Some(node) = &self.nodes[place] {
            node.announce(self.now, &self.targets[target], SECRET);
        }
    }

    /// Lets a host leave as planned.
    pub fn leave(&mut self, place: usize) {
        if let Some(node) = &self.nodes[place] {
            let actions = node.leave(self.now);
            self.deliver(place, actions);
        }
    }

    /// Ends a host at once.
    pub fn kill(&mut self, place: usize) {
        self.nodes[place] = None;
    }

    /// Starts a host anew.
    pub fn start(&mut self, place: usize) {
        let node = node(HostId(place as u32 + 1), self.now, self.now.0);
        node.apply(self.now, &self.settings);
        self.nodes[place] = Some(node);
    }

    /// Lets time pass.
    pub fn run(&mut self, span: Span) {
        let end = self.now + span;
        while self.now < end {
            self.now = self.now + Span::millis(TICK_MS);
            if self.now.0.is_multiple_of(1000) {
                self.end_second();
            }
            self.announce();
            for place in 0..self.nodes.len() {
                let Some(node) = &self.nodes[place] else { continue };
                let (actions, seconds) = meter::measure_cpu_time(|| node.tick(self.now));
                self.spent[place].processor += seconds;
                self.deliver(place, actions);
            }
        }
    }

    fn end_second(&mut self) {
        for spent in &mut self.spent {
            spent.worst = spent.worst.max(spent.second);
            spent.second = 0;
        }
    }

    /// Lets the targets whose turn it is announce themselves, each at a random host.
    fn announce(&mut self) {
        let turns = (ANNOUNCE_MS / TICK_MS) as usize;
        let turn = (self.now.0 / TICK_MS) as usize % turns;
        for at in (turn..self.targets.len()).step_by(turns) {
            let place = self.random.random_range(0..self.nodes.len());
            let Some(node) = &self.nodes[place] else { continue };
            let (outcome, seconds) =
                meter::measure_cpu_time(|| node.announce(self.now, &self.targets[at], SECRET));
            self.spent[place].processor += seconds;
            if let Outcome::Refused(error) = outcome {
                log::debug!("A target was refused: {error}.");
            }
        }
    }

    fn deliver(&mut self, from: usize, actions: Vec<Action>) {
        let mut mail: VecDeque<(usize, Action)> =
            actions.into_iter().map(|action| (from, action)).collect();
        while let Some((from, action)) = mail.pop_front() {
            let Action::Send(to, message) = action else { continue };
            let to = to.0 as usize - 1;
            let bytes = message.to_bytes();
            self.pay(from, bytes.len());
            self.pay(to, bytes.len());
            let Some(node) = &self.nodes[to] else { continue };
            let (actions, seconds) = meter::measure_cpu_time(|| {
                let message = Message::from_bytes(&bytes).ok()?;
                Some(node.handle_message(self.now, HostId(from as u32 + 1), message))
            });
            self.spent[to].processor += seconds;
            mail.extend(actions.into_iter().flatten().map(|action| (to, action)));
        }
    }

    fn pay(&mut self, place: usize, payload: usize) {
        let bytes = (payload + OVERHEAD_BYTES + DATAGRAM) as u64;
        self.spent[place].bytes += bytes;
        self.spent[place].second += bytes;
    }

    fn decide(&self, first: usize, service: ServiceId, flow: FlowHash) {
        let mut place = first;
        for hops in 0..MAX_PATH {
            let Some(node) = &self.nodes[place] else { return };
            let facts = PacketFacts {
                service,
                flow,
                signal: Signal::Open,
                direction: Direction::Inward,
                source: None::<TargetId>,
                hops: hops as u8,
            };
            match node.route(self.now, &facts) {
                Verdict::Relay(host) => place = host.0 as usize - 1,
                _ => return,
            }
        }
    }
}

fn node(own: HostId, now: Instant, seed: u64) -> Node {
    let setup = NodeSetup { own, key: HashKey([3; 16]), seed, start_time: now.0 + 1 };
    Node::new(now, setup)
}

fn settings(shape: Shape) -> Resolved {
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
    for id in 0..shape.services {
        settings.services.insert(ServiceId(id), service(id));
        settings.groups.insert(ServiceId(id), 1);
    }
    for id in 1..=shape.hosts {
        let peer = ([10, 200, 0, id as u8], 4700).into();
        settings.hosts.insert(HostId(id), Host { centre: CentreId(1), group: 1, peer });
    }
    settings
}

fn service(id: u32) -> Service {
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

fn announcement(shape: Shape, target: u32) -> Announcement {
    Announcement {
        service: ServiceId(target % shape.services),
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
