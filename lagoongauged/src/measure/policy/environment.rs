//! Simulated callers, targets and links around the entry hosts, and the event queue.

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

/// One-way delay between data centres.
const CROSS_CENTRE_DELAY_US: u64 = 500;
/// One-way delay within a data centre.
const LOCAL_DELAY_US: u64 = 100;
/// Upper bound of the random part of a delay.
const MAX_JITTER_US: u64 = 200;
/// Each link loses one packet in this many.
const LOSS_ONE_IN: u32 = 5000;
/// Lease that targets request in announcements.
const ANNOUNCEMENT_LEASE: Span = Span::seconds(10);

/// Index of a flow in [`Environment::flows`].
pub type FlowIndex = u32;

/// A packet in transit.
#[derive(Debug, Clone, Copy)]
pub struct Packet {
    /// Flow of the packet.
    pub flow: FlowIndex,
    /// Signal for the state of the flow.
    pub signal: Signal,
    /// Direction of the packet.
    pub direction: Direction,
    /// Target that sent the packet, if any.
    pub source: Option<u16>,
    /// Number of times it was resent.
    pub retries: u8,
    /// Number of hosts that have relayed it.
    pub hops: u8,
}

/// State of a flow.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Phase {
    /// The caller waits for the answer to its SYN.
    Opening,
    /// The caller has received the answer.
    Open,
    /// The caller has sent its FIN.
    Closing,
    /// The flow has ended, normally or not.
    Done,
}

/// State of a flow at its caller and target.
#[derive(Debug, Clone, Copy)]
pub struct Flow {
    /// Keyed hash of the flow.
    pub hash: FlowHash,
    /// Index of the service.
    pub service: u8,
    /// Data centre through which the caller is connected.
    pub centre: u8,
    /// Whether the SYN carries data.
    pub syn_data: bool,
    /// Whether the flow stays open for hours.
    pub is_feed: bool,
    /// State of the flow.
    pub phase: Phase,
    /// Target that accepted the flow first.
    pub target: Option<u16>,
    /// Number of packets that the caller still sends before its FIN.
    pub packets_left: u8,
}

/// A simulated target.
#[derive(Debug)]
pub struct Target {
    /// Announcement that it sends.
    pub announcement: Announcement,
    /// Index of the service.
    pub service: u8,
    /// Data centre of the target.
    pub centre: u8,
    /// Whether the target is running.
    pub up: bool,
    /// Whether it reports a false load.
    pub falsifies: bool,
    /// Number of open flows.
    pub open_flows: u32,
    /// Number of requests being processed.
    pub active_requests: u32,
    /// Time in microseconds since which it has more active requests than slots.
    pub overloaded_since: Option<u64>,
    /// Time in microseconds at which it began to drain.
    pub draining_since: Option<u64>,
}

/// A scheduled event.
#[derive(Debug)]
pub enum Event {
    /// A packet arrives at an entry host.
    DeliverToHost(u32, Packet),
    /// A packet arrives at a target.
    DeliverToTarget(u16, Packet),
    /// A packet arrives at its caller.
    DeliverToCaller(Packet),
    /// A caller or target resends a packet.
    Resend(Packet),
    /// A caller sends the next packet of its flow.
    SendNext(FlowIndex),
    /// A target has processed a request.
    RequestDone(u16, FlowIndex),
    /// A new flow of a service begins.
    FlowArrival(u8),
    /// A message from one entry host arrives at another.
    Message(u32, u32, Vec<u8>),
    /// The tick of an incarnation of a host.
    Tick(u32, u32),
    /// A target sends its announcement.
    Announce(u16),
    /// A step of the scenario is applied.
    ApplyStep(Step),
    /// A second ends.
    SecondEnd,
}

/// Everything outside the entry hosts.
#[derive(Debug)]
pub struct Environment {
    /// Current time in microseconds.
    pub now: u64,
    /// Random number generator of the run.
    pub rng: ChaCha8Rng,
    /// All flows so far.
    pub flows: Vec<Flow>,
    /// All targets.
    pub targets: Vec<Target>,
    /// Indices of targets by address.
    pub target_indices: IndexMap<SocketAddr, u16>,
    /// Data centre that is isolated from the others, if any.
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
    /// Creates the environment and its targets, whose announcements are not yet scheduled.
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
        // The last target of the first service is the spare target.
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
            address: address.parse().expect("the address is valid"),
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

    /// Adds a flow of a service and returns its index.
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

    /// Returns whether two data centres are connected.
    pub fn is_connected(&self, first: u8, second: u8) -> bool {
        first == second
            || self.isolated.is_none_or(|isolated| isolated != first && isolated != second)
    }

    /// Draws whether a link loses the next packet.
    pub fn draw_loss(&mut self) -> bool {
        self.rng.random_ratio(1, LOSS_ONE_IN)
    }

    /// Draws the one-way delay between two data centres.
    pub fn draw_delay(&mut self, first: u8, second: u8) -> u64 {
        let base = if first == second { LOCAL_DELAY_US } else { CROSS_CENTRE_DELAY_US };
        base + self.rng.random_range(0..MAX_JITTER_US)
    }

    /// Draws the one-way delay to or from a caller.
    pub fn draw_caller_delay(&mut self) -> u64 {
        self.size.caller_delay + self.rng.random_range(0..MAX_JITTER_US)
    }

    /// Draws an exponentially distributed delay with the given mean, in microseconds.
    pub fn draw_exponential(&mut self, mean: f64) -> u64 {
        let uniform: f64 = self.rng.random_range(1e-9..1.0);
        (-uniform.ln() * mean) as u64 + 1
    }

    /// Schedules an event after a delay in microseconds.
    pub fn schedule(&mut self, delay: u64, event: Event) {
        let slot = self.free_slots.pop().unwrap_or_else(|| {
            self.event_slots.push(None);
            self.event_slots.len() - 1
        });
        self.event_slots[slot] = Some(event);
        self.sequence += 1;
        self.queue.push(Reverse((self.now + delay, self.sequence, slot)));
    }

    /// Removes the next event and advances the current time to it.
    pub fn next_event(&mut self) -> Option<Event> {
        let Reverse((at, _, slot)) = self.queue.pop()?;
        self.now = at;
        self.free_slots.push(slot);
        self.event_slots[slot].take()
    }

    /// Ends a flow and removes it from its target's open flows.
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

    /// Returns the open flows of the fullest ready target of a service over the mean.
    pub fn imbalance(&self, service: u8) -> f64 {
        let ready = self.targets.iter().filter(|target| target.service == service && target.up);
        let open =
            ready.filter(|target| target.draining_since.is_none()).map(|target| target.open_flows);
        let open = open.collect::<Vec<_>>();
        let mean = f64::from(open.iter().sum::<u32>()) / open.len().max(1) as f64;
        f64::from(open.iter().copied().max().unwrap_or(0)) / mean.max(1.0)
    }
}
