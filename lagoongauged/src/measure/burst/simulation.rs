//! Simulated entry hosts, targets and callers; a step is one millisecond.

use std::collections::BTreeMap;
use std::net::{Ipv4Addr, SocketAddrV4};

use lagoongauge::catalog::{Catalog, Idempotency, RawCatalog, RawRoute, RawWeightedService};
use lagoongauge::flow::HashKey;
use lagoongauge::id::{HostId, TargetId};
use lagoongauge::mark::load::reporting::ReportScheduler;
use lagoongauge::mark::placement::Policy;
use lagoongauge::mark::{
    Features, FlowKey, LoadReport, Mark, Router, RouterConfig, Segment, SegmentKind, Verdict,
};
use lagoongauge::roster::{Entry, Phase};
use lagoongauge::time::{Instant, Span};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

use super::Figures;
use super::target::{Target, TargetRequest};

/// Clock of the entry hosts at the start of a run; not zero, as in a real process.
const CLOCK_OFFSET_MS: u64 = 100_000;

/// Length of a run.
const RUN_MS: u64 = 16_000;

/// Time span of the burst.
const BURST_MS: std::ops::Range<u64> = 6_000..10_000;

/// Time before requests are counted, in which flows open and traffic patterns are learned.
const WARM_UP_MS: u64 = 2_000;

/// Delay from a caller to an entry host, and from a target to the caller.
const CALLER_DELAY_MS: u64 = 3;

/// Interval at which a host checks whether it has a new load report to send.
const REPORT_INTERVAL_MS: u64 = 25;

/// Bytes of IP and UDP headers of a datagram.
const HEADER_BYTES: usize = 28;

/// Simulated load.
#[derive(Debug, Clone, Copy)]
pub struct Load {
    /// Number of data centres.
    pub centres: u16,
    /// Entry hosts per data centre.
    pub hosts: u16,
    /// Targets per data centre.
    pub targets: u16,
    /// Slots per target.
    pub slots: u16,
    /// Long-lived flows per data centre.
    pub long_lived: u16,
    /// Requests per second of a long-lived flow.
    pub request_rate: f64,
    /// New single-request flows per second and data centre.
    pub single_rate: f64,
    /// Mean processing time of a request in milliseconds.
    pub work_time: f64,
    /// Response time objective in milliseconds.
    pub objective: u64,
    /// Factor by which the burst multiplies the load.
    pub burst_factor: f64,
}

impl Default for Load {
    fn default() -> Self {
        Self {
            centres: 4,
            hosts: 2,
            targets: 4,
            slots: 2,
            long_lived: 75,
            request_rate: 0.95,
            single_rate: 21.0,
            work_time: 32.0,
            objective: 150,
            burst_factor: 2.0,
        }
    }
}

/// A flow of a caller.
#[derive(Debug, Clone, Copy)]
struct Flow {
    flow_key: FlowKey,
    centre: u16,
    host: usize,
    long_lived: bool,
    mark: Option<Mark>,
    target: Option<usize>,
    sent_bytes: u32,
    received_bytes: u32,
    busy: bool,
}

/// A request.
#[derive(Debug, Clone, Copy)]
struct Request {
    flow: usize,
    sent_at: u64,
}

/// A scheduled event.
#[derive(Debug, Clone, Copy)]
enum Event {
    /// A long-lived flow sends its next request.
    NextRequest(usize),
    /// A response arrives at the caller.
    Response(usize),
}

/// An entry host.
#[derive(Debug)]
struct Host<P> {
    router: Router<P>,
    scheduler: ReportScheduler,
    last_report: LoadReport,
    sent_bytes: usize,
}

/// State of a run.
pub(super) struct Simulation<P> {
    load: Load,
    rng: ChaCha8Rng,
    hosts: Vec<Host<P>>,
    targets: Vec<Target>,
    flows: Vec<Flow>,
    requests: Vec<Request>,
    events: BTreeMap<u64, Vec<Event>>,
    /// Requests sent, answered, and answered within the objective, per window of two seconds.
    windows: BTreeMap<u64, [u64; 3]>,
    shed: u64,
    /// Flows placed on a target in the local and in another data centre.
    placements: [u64; 2],
    now: u64,
}

impl<P: Policy + Copy> Simulation<P> {
    pub(super) fn new(load: Load, seed: u64, policy: P) -> Self {
        let mut simulation = Self {
            load,
            rng: ChaCha8Rng::seed_from_u64(seed),
            hosts: Vec::new(),
            targets: Vec::new(),
            flows: Vec::new(),
            requests: Vec::new(),
            events: BTreeMap::new(),
            windows: BTreeMap::new(),
            shed: 0,
            placements: [0; 2],
            now: 0,
        };
        for centre in 0..load.centres {
            for _ in 0..load.targets {
                simulation.targets.push(Target::new(centre, load.slots.into()));
            }
        }
        for centre in 0..load.centres {
            for _ in 0..load.hosts {
                let host = simulation.build_host(centre, policy);
                simulation.hosts.push(host);
            }
            for _ in 0..load.long_lived {
                let flow = simulation.add_flow(centre, true);
                let first = simulation.rng.random_range(0..1_000);
                simulation.events.entry(first).or_default().push(Event::NextRequest(flow));
            }
        }
        simulation
    }

    /// Simulates the run to its end.
    pub(super) fn run(mut self) -> Figures {
        let mut finished = Vec::new();
        while self.now < RUN_MS {
            self.open_single_flows();
            for event in self.events.remove(&self.now).unwrap_or_default() {
                match event {
                    Event::NextRequest(flow) => self.send_long_lived_request(flow),
                    Event::Response(request) => self.handle_response(request),
                }
            }
            for target in &mut self.targets {
                target.advance(self.now, &mut finished);
            }
            for request in finished.drain(..) {
                self.events
                    .entry(self.now + CALLER_DELAY_MS)
                    .or_default()
                    .push(Event::Response(request));
            }
            if self.now.is_multiple_of(REPORT_INTERVAL_MS) {
                self.exchange_reports();
            }
            self.now += 1;
        }
        self.figures()
    }

    fn build_host(&self, centre: u16, policy: P) -> Host<P> {
        let now = Instant(CLOCK_OFFSET_MS);
        let config = RouterConfig {
            centre: centre.to_string(),
            hash_key: HashKey([7; 16]),
            max_flows: 100_000,
            features: Features::default(),
        };
        let mut router = Router::with_policy(config, policy);
        router.set_catalog(&catalog(self.load));
        router.set_current(now, true);
        for (number, target) in self.targets.iter().enumerate() {
            router.set_target(now, &entry(number, target.centre, self.load.slots), false);
        }
        Host {
            router,
            scheduler: ReportScheduler::new(now),
            last_report: LoadReport::default(),
            sent_bytes: 0,
        }
    }

    /// Adds a flow of a new caller, which the fabric assigns to a random host of its data centre.
    fn add_flow(&mut self, centre: u16, long_lived: bool) -> usize {
        let number = self.flows.len() as u32;
        let caller =
            SocketAddrV4::new(Ipv4Addr::from(0x6440_0000 + number / 60_000), number as u16);
        let port = if long_lived { 443 } else { 8080 };
        let frontend = SocketAddrV4::new(Ipv4Addr::new(198, 18, 0, 1), port);
        let per_centre = usize::from(self.load.hosts);
        let host = usize::from(centre) * per_centre + self.rng.random_range(0..per_centre);
        let flow_key = FlowKey { caller, frontend };
        let (mark, target, sent_bytes, received_bytes, busy) = Default::default();
        self.flows.push(Flow {
            flow_key,
            centre,
            host,
            long_lived,
            mark,
            target,
            sent_bytes,
            received_bytes,
            busy,
        });
        number as usize
    }

    fn load_factor(&self) -> f64 {
        if BURST_MS.contains(&self.now) { self.load.burst_factor } else { 1.0 }
    }

    fn open_single_flows(&mut self) {
        let chance = self.load.single_rate * self.load_factor() / 1000.0;
        for centre in 0..self.load.centres {
            if self.rng.random_bool(chance.min(1.0)) {
                let flow = self.add_flow(centre, false);
                self.send_request(flow);
            }
        }
    }

    fn send_long_lived_request(&mut self, flow: usize) {
        let interval = 1000.0 / (self.load.request_rate * self.load_factor());
        let next = self.now + (interval * self.rng.random_range(0.5..1.5)) as u64;
        self.events.entry(next).or_default().push(Event::NextRequest(flow));
        if !self.flows[flow].busy {
            self.send_request(flow);
        }
    }

    /// Sends a request on a flow, which is opened first unless it has a target.
    fn send_request(&mut self, index: usize) {
        if self.flows[index].target.is_none() && !self.open_flow(index) {
            return;
        }
        self.flows[index].busy = true;
        self.flows[index].sent_bytes += 100;
        self.send_packet(index, SegmentKind::Data, 100);
        let request = self.requests.len();
        self.requests.push(Request { flow: index, sent_at: self.now });
        if self.now >= WARM_UP_MS {
            self.window_mut(self.now)[0] += 1;
        }
        let duration = (self.load.work_time * self.rng.random_range(0.4..1.6)).round() as u64;
        let target = self.flows[index].target.unwrap_or_default();
        if !self.targets[target]
            .try_accept(self.now + CALLER_DELAY_MS, TargetRequest { index: request, duration })
        {
            self.shed += u64::from(self.now >= WARM_UP_MS);
            self.finish_request(index);
        }
    }

    fn open_flow(&mut self, index: usize) -> bool {
        let Flow { host, flow_key, centre, .. } = self.flows[index];
        let segment = Segment {
            flow_key,
            kind: SegmentKind::Syn,
            mark: None,
            sequence: 0,
            acknowledged: 0,
            length: 0,
        };
        let verdict = self.hosts[host].router.decide(Instant(CLOCK_OFFSET_MS + self.now), &segment);
        let Verdict::Forward { target, mark, .. } = verdict else { return false };
        let target = target.0 as usize - 1;
        self.placements[usize::from(self.targets[target].centre != centre)] += 1;
        let flow = &mut self.flows[index];
        (flow.target, flow.mark) = (Some(target), Some(mark));
        true
    }

    fn handle_response(&mut self, request: usize) {
        let Request { flow, sent_at } = self.requests[request];
        self.flows[flow].received_bytes += 100;
        if sent_at >= WARM_UP_MS {
            let on_time = self.now + CALLER_DELAY_MS - sent_at <= self.load.objective;
            let window = self.window_mut(sent_at);
            window[1] += 1;
            window[2] += u64::from(on_time);
        }
        self.finish_request(flow);
    }

    /// Ends a request, and its flow if that is for a single request.
    fn finish_request(&mut self, index: usize) {
        self.flows[index].busy = false;
        let kind = if self.flows[index].long_lived { SegmentKind::Data } else { SegmentKind::Fin };
        self.send_packet(index, kind, 0);
    }

    fn send_packet(&mut self, index: usize, kind: SegmentKind, length: u16) {
        let Flow { host, flow_key, mark, sent_bytes, received_bytes, .. } = self.flows[index];
        let sequence = sent_bytes - u32::from(length);
        let segment =
            Segment { flow_key, kind, mark, sequence, acknowledged: received_bytes, length };
        let _ = self.hosts[host].router.decide(Instant(CLOCK_OFFSET_MS + self.now), &segment);
    }

    fn exchange_reports(&mut self) {
        let now = Instant(CLOCK_OFFSET_MS + self.now);
        let per_centre = usize::from(self.load.hosts);
        let ids: Vec<HostId> = (0..self.hosts.len() as u32).map(HostId).collect();
        let mut receivers = Vec::new();
        for index in 0..self.hosts.len() {
            let host = &mut self.hosts[index];
            host.router.tick(now);
            let report = host.router.report();
            if report == host.last_report {
                continue;
            }
            let size = report.to_bytes().map_or(0, |bytes| bytes.len());
            let centre = index / per_centre;
            let is_local = |id: &HostId| id.0 as usize / per_centre == centre;
            let others = ids.iter().copied().filter(|id| id.0 as usize != index);
            let (local, remote): (Vec<_>, Vec<_>) = others.partition(is_local);
            receivers.clear();
            host.scheduler.take_receivers(now, size, (&local, &remote), &mut receivers);
            host.sent_bytes += receivers.len() * (size + HEADER_BYTES);
            host.last_report = report.clone();
            for receiver in &receivers {
                let router = &mut self.hosts[receiver.0 as usize].router;
                router.set_report(now, HostId(index as u32), report.clone());
            }
        }
    }

    fn window_mut(&mut self, sent_at: u64) -> &mut [u64; 3] {
        self.windows.entry(sent_at / 2000).or_default()
    }

    fn figures(&self) -> Figures {
        let sum = |column: usize| self.windows.values().map(|window| window[column]).sum::<u64>();
        let requests = sum(0);
        let share = |part: u64, whole: u64| part as f64 / whole.max(1) as f64;
        let worst = self.windows.values().map(|[requests, _, on_time]| share(*on_time, *requests));
        let accepted: Vec<u64> = self.targets.iter().map(|target| target.accepted).collect();
        let mean = share(accepted.iter().sum(), accepted.len() as u64);
        let bytes: usize = self.hosts.iter().map(|host| host.sent_bytes).sum();
        let seconds = RUN_MS as f64 / 1000.0;
        Figures {
            requests,
            served: share(sum(1), requests),
            on_time: share(sum(2), requests),
            worst_on_time: worst.fold(1.0, f64::min),
            shed: share(self.shed, requests),
            imbalance: accepted.iter().copied().max().unwrap_or(0) as f64 / mean,
            control_rate: bytes as f64 / seconds / self.hosts.len() as f64,
            remote: share(self.placements[1], self.placements[0] + self.placements[1]),
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
        bulk: false,
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
