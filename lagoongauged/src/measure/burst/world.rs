//! Entry hosts, targets and callers in given time, one millisecond a step.

use std::collections::BTreeMap;
use std::net::{Ipv4Addr, SocketAddrV4};

use lagoongauge::catalog::{Catalog, Idempotency, RawCatalog, RawRoute, RawWeightedService};
use lagoongauge::flow::HashKey;
use lagoongauge::id::{HostId, TargetId};
use lagoongauge::mark::placement::Policy;
use lagoongauge::mark::reporting::ReportScheduler;
use lagoongauge::mark::{
    FlowKey, LoadReport, Mark, Router, RouterConfig, Segment, SegmentKind, Verdict,
};
use lagoongauge::roster::{Entry, Phase};
use lagoongauge::time::{Instant, Span};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

use super::Figures;
use super::target::{Target, Work};

/// Instant at which a run begins, ahead of zero as clocks of processes are.
const BEGIN: u64 = 100_000;

/// Milliseconds of a run.
const LENGTH: u64 = 16_000;

/// Milliseconds in which the burst comes.
const BURST: std::ops::Range<u64> = 6_000..10_000;

/// Milliseconds before what is asked counts, in which flows open and habits are learned.
const WARM_UP: u64 = 2_000;

/// Milliseconds from a caller to an entry host, and from a target to the caller.
const CALLER_DELAY: u64 = 3;

/// Milliseconds between two looks of a host at what it has to tell others.
const SHARE_LOOK: u64 = 25;

/// Headers of a datagram in bytes.
const HEADERS: usize = 28;

/// The load that is played.
#[derive(Debug, Clone, Copy)]
pub struct Load {
    /// Data centres.
    pub centres: u16,
    /// Entry hosts in each.
    pub hosts: u16,
    /// Targets in each.
    pub targets: u16,
    /// Slots of a target.
    pub slots: u16,
    /// Flows in each data centre that last.
    pub lasting: u16,
    /// Requests a second that such a flow brings.
    pub rate: f64,
    /// Flows of one request a second in each data centre.
    pub single: f64,
    /// Mean milliseconds of work of a request.
    pub work: f64,
    /// Milliseconds within which answers are wanted.
    pub objective: u64,
    /// Times the usual load that comes in the burst.
    pub burst: f64,
}

impl Default for Load {
    fn default() -> Self {
        Self {
            centres: 4,
            hosts: 2,
            targets: 4,
            slots: 2,
            lasting: 75,
            rate: 0.95,
            single: 21.0,
            work: 32.0,
            objective: 150,
            burst: 2.0,
        }
    }
}

/// A flow of some caller.
#[derive(Debug, Clone, Copy)]
struct Flow {
    ends: FlowKey,
    centre: u16,
    host: usize,
    lasting: bool,
    mark: Option<Mark>,
    target: Option<usize>,
    sent: u32,
    received: u32,
    busy: bool,
}

/// A request.
#[derive(Debug, Clone, Copy)]
struct Request {
    flow: usize,
    asked: u64,
}

/// What happens at some millisecond.
#[derive(Debug, Clone, Copy)]
enum Event {
    /// A lasting flow brings its next request.
    Ask(usize),
    /// An answer arrives at its caller.
    Answer(usize),
}

/// An entry host.
#[derive(Debug)]
struct Host<P> {
    router: Router<P>,
    sharing: ReportScheduler,
    sent: LoadReport,
    bytes: usize,
}

/// All that a run consists of.
pub(super) struct World<P> {
    load: Load,
    random: ChaCha8Rng,
    hosts: Vec<Host<P>>,
    targets: Vec<Target>,
    flows: Vec<Flow>,
    requests: Vec<Request>,
    events: BTreeMap<u64, Vec<Event>>,
    /// Requests asked, answered and answered in time, by two seconds.
    windows: BTreeMap<u64, [u64; 3]>,
    shed: u64,
    placed: [u64; 2],
    now: u64,
}

impl<P: Policy + Copy> World<P> {
    pub(super) fn new(load: Load, seed: u64, policy: P) -> Self {
        let mut world = Self {
            load,
            random: ChaCha8Rng::seed_from_u64(seed),
            hosts: Vec::new(),
            targets: Vec::new(),
            flows: Vec::new(),
            requests: Vec::new(),
            events: BTreeMap::new(),
            windows: BTreeMap::new(),
            shed: 0,
            placed: [0; 2],
            now: 0,
        };
        for centre in 0..load.centres {
            for _ in 0..load.targets {
                world.targets.push(Target::new(centre, load.slots.into()));
            }
        }
        for centre in 0..load.centres {
            for _ in 0..load.hosts {
                let host = world.host(centre, policy);
                world.hosts.push(host);
            }
            for _ in 0..load.lasting {
                let flow = world.flow(centre, true);
                let first = world.random.random_range(0..1_000);
                world.events.entry(first).or_default().push(Event::Ask(flow));
            }
        }
        world
    }

    /// Plays the whole run.
    pub(super) fn run(mut self) -> Figures {
        let mut ended = Vec::new();
        while self.now < LENGTH {
            self.open_singles();
            for event in self.events.remove(&self.now).unwrap_or_default() {
                match event {
                    Event::Ask(flow) => self.ask_lasting(flow),
                    Event::Answer(request) => self.answer(request),
                }
            }
            for target in &mut self.targets {
                target.advance(self.now, &mut ended);
            }
            for request in ended.drain(..) {
                self.events
                    .entry(self.now + CALLER_DELAY)
                    .or_default()
                    .push(Event::Answer(request));
            }
            if self.now.is_multiple_of(SHARE_LOOK) {
                self.share();
            }
            self.now += 1;
        }
        self.figures()
    }

    fn host(&self, centre: u16, policy: P) -> Host<P> {
        let now = Instant(BEGIN);
        let setup = RouterConfig {
            centre: centre.to_string(),
            hash_key: HashKey([7; 16]),
            max_flows: 100_000,
        };
        let mut router = Router::with_policy(setup, policy);
        router.set_catalog(&catalog(self.load));
        router.set_current(now, true);
        for (number, target) in self.targets.iter().enumerate() {
            router.set_target(now, &entry(number, target.centre, self.load.slots), false);
        }
        Host { router, sharing: ReportScheduler::new(now), sent: LoadReport::default(), bytes: 0 }
    }

    /// Adds a flow of a new caller, which the fabric hands to any host of its data centre.
    fn flow(&mut self, centre: u16, lasting: bool) -> usize {
        let number = self.flows.len() as u32;
        let caller =
            SocketAddrV4::new(Ipv4Addr::from(0x6440_0000 + number / 60_000), number as u16);
        let port = if lasting { 443 } else { 8080 };
        let front = SocketAddrV4::new(Ipv4Addr::new(198, 18, 0, 1), port);
        let per_centre = usize::from(self.load.hosts);
        let host = usize::from(centre) * per_centre + self.random.random_range(0..per_centre);
        let ends = FlowKey { caller, frontend: front };
        let (mark, target, sent, received, busy) = Default::default();
        self.flows.push(Flow { ends, centre, host, lasting, mark, target, sent, received, busy });
        number as usize
    }

    fn factor(&self) -> f64 {
        if BURST.contains(&self.now) { self.load.burst } else { 1.0 }
    }

    fn open_singles(&mut self) {
        let chance = self.load.single * self.factor() / 1000.0;
        for centre in 0..self.load.centres {
            if self.random.random_bool(chance.min(1.0)) {
                let flow = self.flow(centre, false);
                self.ask(flow);
            }
        }
    }

    fn ask_lasting(&mut self, flow: usize) {
        let pause = 1000.0 / (self.load.rate * self.factor());
        let next = self.now + (pause * self.random.random_range(0.5..1.5)) as u64;
        self.events.entry(next).or_default().push(Event::Ask(flow));
        if !self.flows[flow].busy {
            self.ask(flow);
        }
    }

    /// Lets a caller bring a request, on a new flow if it has none.
    fn ask(&mut self, number: usize) {
        if self.flows[number].target.is_none() && !self.open(number) {
            return;
        }
        self.flows[number].busy = true;
        self.flows[number].sent += 100;
        self.packet(number, SegmentKind::Data, 100);
        let request = self.requests.len();
        self.requests.push(Request { flow: number, asked: self.now });
        if self.now >= WARM_UP {
            self.window(self.now)[0] += 1;
        }
        let takes = (self.load.work * self.random.random_range(0.4..1.6)).round() as u64;
        let target = self.flows[number].target.unwrap_or_default();
        if !self.targets[target].take(self.now + CALLER_DELAY, Work { request, takes }) {
            self.shed += u64::from(self.now >= WARM_UP);
            self.finish(number);
        }
    }

    fn open(&mut self, number: usize) -> bool {
        let Flow { host, ends, centre, .. } = self.flows[number];
        let segment = Segment {
            flow_key: ends,
            kind: SegmentKind::Syn,
            mark: None,
            sequence: 0,
            acknowledged: 0,
            length: 0,
        };
        let verdict = self.hosts[host].router.decide(Instant(BEGIN + self.now), &segment);
        let Verdict::Forward { target, mark, .. } = verdict else { return false };
        let target = target.0 as usize - 1;
        self.placed[usize::from(self.targets[target].centre != centre)] += 1;
        let flow = &mut self.flows[number];
        (flow.target, flow.mark) = (Some(target), Some(mark));
        true
    }

    fn answer(&mut self, request: usize) {
        let Request { flow, asked } = self.requests[request];
        self.flows[flow].received += 100;
        if asked >= WARM_UP {
            let timely = self.now + CALLER_DELAY - asked <= self.load.objective;
            let window = self.window(asked);
            window[1] += 1;
            window[2] += u64::from(timely);
        }
        self.finish(flow);
    }

    /// Ends a request; a flow of one request ends with it.
    fn finish(&mut self, number: usize) {
        self.flows[number].busy = false;
        let signal = if self.flows[number].lasting { SegmentKind::Data } else { SegmentKind::Fin };
        self.packet(number, signal, 0);
    }

    fn packet(&mut self, number: usize, signal: SegmentKind, length: u16) {
        let Flow { host, ends, mark, sent, received, .. } = self.flows[number];
        let sequence = sent - u32::from(length);
        let segment = Segment {
            flow_key: ends,
            kind: signal,
            mark,
            sequence,
            acknowledged: received,
            length,
        };
        let _ = self.hosts[host].router.decide(Instant(BEGIN + self.now), &segment);
    }

    fn share(&mut self) {
        let now = Instant(BEGIN + self.now);
        let per_centre = usize::from(self.load.hosts);
        let ids: Vec<HostId> = (0..self.hosts.len() as u32).map(HostId).collect();
        let mut receivers = Vec::new();
        for at in 0..self.hosts.len() {
            let host = &mut self.hosts[at];
            host.router.tick(now);
            let report = host.router.report();
            if report == host.sent {
                continue;
            }
            let size = postcard::to_stdvec(&report).map_or(0, |bytes| bytes.len());
            let centre = at / per_centre;
            let is_near = |id: &HostId| id.0 as usize / per_centre == centre;
            let others = ids.iter().copied().filter(|id| id.0 as usize != at);
            let (near, far): (Vec<_>, Vec<_>) = others.partition(is_near);
            receivers.clear();
            host.sharing.take_receivers(now, size, (&near, &far), &mut receivers);
            host.bytes += receivers.len() * (size + HEADERS);
            host.sent = report.clone();
            for receiver in &receivers {
                let router = &mut self.hosts[receiver.0 as usize].router;
                router.set_report(now, HostId(at as u32), report.clone());
            }
        }
    }

    fn window(&mut self, asked: u64) -> &mut [u64; 3] {
        self.windows.entry(asked / 2000).or_default()
    }

    fn figures(&self) -> Figures {
        let sum = |place: usize| self.windows.values().map(|window| window[place]).sum::<u64>();
        let asked = sum(0);
        let share = |part: u64, whole: u64| part as f64 / whole.max(1) as f64;
        let worst = self.windows.values().map(|[asked, _, timely]| share(*timely, *asked));
        let taken: Vec<u64> = self.targets.iter().map(|target| target.taken).collect();
        let mean = share(taken.iter().sum(), taken.len() as u64);
        let bytes: usize = self.hosts.iter().map(|host| host.bytes).sum();
        let seconds = LENGTH as f64 / 1000.0;
        Figures {
            asked,
            served: share(sum(1), asked),
            timely: share(sum(2), asked),
            worst: worst.fold(1.0, f64::min),
            shed: share(self.shed, asked),
            imbalance: taken.iter().copied().max().unwrap_or(0) as f64 / mean,
            control: bytes as f64 / seconds / self.hosts.len() as f64,
            far: share(self.placed[1], self.placed[0] + self.placed[1]),
        }
    }
}

fn catalog(load: Load) -> Catalog {
    let route = |port: u16| RawRoute {
        name: port.to_string(),
        address: SocketAddrV4::new(Ipv4Addr::new(198, 18, 0, 1), port),
        services: vec![RawWeightedService { service: "desk".into(), weight: 1 }],
        idempotency: Idempotency::Idempotent,
        timeout: Span(10 * load.objective),
        objective: Span(load.objective),
        priority: 1,
    };
    let routes = vec![route(443), route(8080)];
    let raw = RawCatalog {
        version: 1,
        services: vec!["desk".into()],
        routes,
        idle_timeout: Span(15_000),
    };
    Catalog::try_from(raw).expect("the catalog names its own service")
}

fn entry(number: usize, centre: u16, slots: u16) -> Entry {
    Entry {
        target: TargetId(number as u64 + 1),
        incarnation: 1 + number as u64,
        sequence: 1,
        phase: Phase::Serving,
        service: "desk".into(),
        address: SocketAddrV4::new(Ipv4Addr::from(0x0a00_0000 + number as u32), 80),
        centre: centre.to_string(),
        slots,
        warmup: Span(0),
    }
}
