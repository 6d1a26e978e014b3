//! Callers, targets and links around the cores: delay, loss and what each end remembers.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::net::SocketAddr;

use indexmap::IndexMap;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

use lagoongauge::flow::{FlowHash, HashKey, Protocol, Signal, Tuple};
use lagoongauge::id::ServiceId;
use lagoongauge::route::Direction;
use lagoongauge::target::{Announcement, State};
use lagoongauge::time::Span;

use super::scenario::{Size, Step};

/// Microseconds one way between data centres.
const CROSS_CENTRE_DELAY_US: u64 = 500;
/// Microseconds one way within a data centre.
const LOCAL_DELAY_US: u64 = 100;
/// Longest random part of a delay in microseconds.
const MAX_JITTER_US: u64 = 200;
/// One packet of this many is lost on each link.
const LOSS_ONE_IN: u32 = 5000;
/// Lease that targets ask for.
const ANNOUNCEMENT_LEASE: Span = Span::seconds(10);

/// Index of a flow in the environment.
pub type FlowIndex = u32;

/// A packet on its way.
#[derive(Debug, Clone, Copy)]
pub struct Packet {
    /// Its flow.
    pub flow: FlowIndex,
    /// What it says of the flow.
    pub signal: Signal,
    /// Which way it goes.
    pub direction: Direction,
    /// The target that sent it.
    pub source: Option<u16>,
    /// How often it was sent before.
    pub retries: u8,
    /// How many hosts have relayed it.
    pub hops: u8,
}

/// How far a flow has come.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Phase {
    /// The caller waits for the target's answer.
    Opening,
    /// The caller has the answer.
    Open,
    /// The caller has sent its FIN.
    Closing,
    /// The flow is over, one way or the other.
    Done,
}

/// A flow as its caller and its target know it.
#[derive(Debug, Clone, Copy)]
pub struct Flow {
    /// Its keyed hash.
    pub hash: FlowHash,
    /// Index of its service.
    pub service: u8,
    /// Data centre whose links its caller uses.
    pub centre: u8,
    /// Whether its SYN carries data.
    pub syn_data: bool,
    /// Whether it stays open for hours.
    pub is_feed: bool,
    /// How far it has come.
    pub phase: Phase,
    /// The target that took it first.
    pub target: Option<u16>,
    /// Packets that the caller still sends before its FIN.
    pub packets_left: u8,
}

/// A target and what it counts.
#[derive(Debug)]
pub struct Target {
    /// What it announces.
    pub announcement: Announcement,
    /// Index of its service.
    pub service: u8,
    /// Its data centre.
    pub centre: u8,
    /// Whether it runs.
    pub up: bool,
    /// Whether it reports a false load.
    pub falsifies: bool,
    /// Open flows.
    pub open_flows: u32,
    /// Requests in work.
    pub active_requests: u32,
    /// Microsecond since which it has more requests in work than slots.
    pub overloaded_since: Option<u64>,
    /// Microsecond at which it began to drain.
    pub draining_since: Option<u64>,
}

/// Something that happens at a given microsecond.
#[derive(Debug)]
pub enum Event {
    /// A packet arrives at an entry host.
    DeliverToHost(u32, Packet),
    /// A packet arrives at a target.
    DeliverToTarget(u16, Packet),
    /// A packet arrives at its caller.
    DeliverToCaller(Packet),
    /// A caller or target sends a packet again.
    Resend(Packet),
    /// A caller does the next thing on its flow.
    SendNext(FlowIndex),
    /// A target has done a request.
    RequestDone(u16, FlowIndex),
    /// A new flow of a service begins.
    FlowArrival(u8),
    /// A message arrives at an entry host.
    Message(u32, u32, Vec<u8>),
    /// A host's tick, for one life of it.
    Tick(u32, u32),
    /// A target announces itself.
    Announce(u16),
    /// A change or fault of the scenario.
    ApplyStep(Step),
    /// The end of a second.
    SecondEnd,
}

/// Everything outside the entry hosts.
#[derive(Debug)]
pub struct Environment {
    /// The present microsecond.
    pub now: u64,
    /// Source of all random choices.
    pub rng: ChaCha8Rng,
    /// All flows so far.
    pub flows: Vec<Flow>,
    /// All targets.
    pub targets: Vec<Target>,
    /// Targets by address.
    pub target_indices: IndexMap<SocketAddr, u16>,
    /// The data centre that is cut off.
    pub isolated: Option<u8>,
    /// Key of the flow hash.
    pub key: HashKey,
    size: Size,
    queue: BinaryHeap<Reverse<(u64, u64, usize)>>,
    event_slots: Vec<Option<Event>>,
    free_slots: Vec<usize>,
    sequence: u64,
}

impl Environment {
    /// Builds a environment with its targets, which the driver still has to let announce themselves.
    pub fn new(size: Size, seed: u64) -> Self {
        let mut environment = Self {
            now: 0,
            rng: ChaCha8Rng::seed_from_u64(seed),
            flows: Vec::new(),
            targets: Vec::new(),
            target_indices: IndexMap::new(),
            isolated: None,
            key: HashKey([11; 16]),
            size,
            queue: BinaryHeap::new(),
            event_slots: Vec::new(),
            free_slots: Vec::new(),
            sequence: 0,
        };
        // The last target of the first service is the spare one.
        for (service, count) in [(0, size.targets[0] + 1), (1, size.targets[1]), (2, 4)] {
            for index in 0..count {
                environment.add_target(service, index, size);
            }
        }
        environment
    }

    fn add_target(&mut self, service: u8, index: usize, size: Size) {
        let member = if service == 2 { 2 } else { 1 };
        let address = format!("10.{member}.{service}.{}:80", index + 1);
        let announcement = Announcement {
            service: ServiceId(u32::from(service) + 1),
            address: address.parse().expect("an address"),
            protocol: Protocol::Tcp,
            state: State::Ready,
            generation: 1,
            slots: size.slots,
            connections: 0,
            load: 0,
            lease: ANNOUNCEMENT_LEASE,
            deadline: None,
        };
        self.target_indices.insert(announcement.address, self.targets.len() as u16);
        let centre = (index % usize::from(size.centres)) as u8;
        let spare = service == 0 && index == size.targets[0];
        self.targets.push(Target {
            announcement,
            service,
            centre,
            up: !spare,
            falsifies: false,
            open_flows: 0,
            active_requests: 0,
            overloaded_since: None,
            draining_since: None,
        });
    }

    /// Begins a flow of a service and returns its index.
    pub fn add_flow(&mut self, service: u8, is_feed: bool) -> FlowIndex {
        let index = self.flows.len() as u32;
        let [_, a, b, c] = index.to_be_bytes();
        let caller = SocketAddr::from(([100, a, b, c], 1024 + service as u16));
        let service_address = SocketAddr::from(([192, 0, 2, service + 1], 80));
        let tuple = Tuple { protocol: Protocol::Tcp, caller, service: service_address };
        let flow = Flow {
            hash: FlowHash::new(&self.key, &tuple),
            service,
            centre: self.rng.random_range(0..self.size.centres),
            syn_data: self.rng.random_ratio(1, 5),
            is_feed,
            phase: Phase::Opening,
            target: None,
            packets_left: 3,
        };
        self.flows.push(flow);
        index
    }

    /// Tells whether the links between two data centres carry packets.
    pub fn is_connected(&self, first: u8, second: u8) -> bool {
        first == second
            || self.isolated.is_none_or(|isolated| isolated != first && isolated != second)
    }

    /// Tells whether a link loses the next packet.
    pub fn draw_loss(&mut self) -> bool {
        self.rng.random_ratio(1, LOSS_ONE_IN)
    }

    /// Returns the delay between two places of the system.
    pub fn draw_delay(&mut self, first: u8, second: u8) -> u64 {
        let base = if first == second { LOCAL_DELAY_US } else { CROSS_CENTRE_DELAY_US };
        base + self.rng.random_range(0..MAX_JITTER_US)
    }

    /// Returns the delay to or from a caller.
    pub fn draw_caller_delay(&mut self) -> u64 {
        self.size.caller_delay + self.rng.random_range(0..MAX_JITTER_US)
    }

    /// Draws an exponentially distributed span of the given mean, in microseconds.
    pub fn draw_exponential(&mut self, mean: f64) -> u64 {
        let uniform: f64 = self.rng.random_range(1e-9..1.0);
        (-uniform.ln() * mean) as u64 + 1
    }

    /// Lets an event happen after a number of microseconds.
    pub fn schedule(&mut self, delay: u64, event: Event) {
        let slot = self.free_slots.pop().unwrap_or_else(|| {
            self.event_slots.push(None);
            self.event_slots.len() - 1
        });
        self.event_slots[slot] = Some(event);
        self.sequence += 1;
        self.queue.push(Reverse((self.now + delay, self.sequence, slot)));
    }

    /// Takes the next event and moves the present to it.
    pub fn next_event(&mut self) -> Option<Event> {
        let Reverse((at, _, slot)) = self.queue.pop()?;
        self.now = at;
        self.free_slots.push(slot);
        self.event_slots[slot].take()
    }

    /// Ends a flow and frees its target of it.
    pub fn close_flow(&mut self, index: FlowIndex) {
        let flow = &mut self.flows[index as usize];
        if flow.phase == Phase::Done {
            return;
        }
        flow.phase = Phase::Done;
        if let Some(target) = flow.target {
            self.targets[usize::from(target)].open_flows -= 1;
        }
    }

    /// Returns the ratio of the fullest ready target's open flows to the mean, for one service.
    pub fn imbalance(&self, service: u8) -> f64 {
        let ready = self.targets.iter().filter(|target| target.service == service && target.up);
        let open =
            ready.filter(|target| target.draining_since.is_none()).map(|target| target.open_flows);
        let open = open.collect::<Vec<_>>();
        let mean = f64::from(open.iter().sum::<u32>()) / open.len().max(1) as f64;
        f64::from(open.iter().copied().max().unwrap_or(0)) / mean.max(1.0)
    }
}
