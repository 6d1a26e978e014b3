//! Replays a load: for some seconds callers of two priorities open more flows than all slots serve.
//!
//! Real routers of many entry hosts decide, and exchange their load reports within the byte budget.

use std::collections::{BTreeMap, VecDeque};
use std::net::{Ipv4Addr, SocketAddrV4};

use lagoongauge::catalog::{Catalog, Idempotency, RawCatalog, RawRoute, RawWeightedService};
use lagoongauge::flow::HashKey;
use lagoongauge::id::{HostId, TargetId};
use lagoongauge::mark::load::reporting::ReportScheduler;
use lagoongauge::mark::{
    Features, FlowKey, LoadReport, Mark, Router, RouterConfig, Segment, SegmentKind, Verdict,
};
use lagoongauge::roster::Entry;
use lagoongauge::time::{Instant, Span};

use super::world;

/// Clock of the hosts at the start of a run.
const OFFSET_MS: u64 = 100_000;

/// Length of a run.
const RUN_MS: u64 = 5_500;

/// Time span of the overload.
const OVERLOAD_MS: std::ops::Range<u64> = 1_000..4_000;

/// Time after the overload in which its last requests are still served.
const TAIL_MS: u64 = 500;

/// Delay between a caller and a host or target.
const HOP_MS: u64 = 2;

/// Requests that a target queues.
const QUEUE_LEN: usize = 8;

/// Tries of a caller, the first one included.
const MAX_TRIES: u8 = 3;

/// Time within which callers want an answer.
const OBJECTIVE_MS: u64 = 600;

/// Interval at which a host's router ticks.
const TICK_INTERVAL_MS: u64 = 200;

/// Interval at which a host checks for a new load report.
const REPORT_INTERVAL_MS: u64 = 25;

/// Requests of one priority.
#[derive(Debug, Clone, Copy)]
pub struct Kind {
    pub priority: u8,
    pub rate: f64,
    pub work_ms: u64,
}

/// Load of a run.
#[derive(Debug, Clone, Copy)]
pub struct Load {
    pub contended: bool,
    /// Entry hosts in each data centre.
    pub hosts: usize,
    /// Targets in each data centre.
    pub targets: usize,
    /// Factors on the usual load of each data centre during the overload.
    pub factors: &'static [f64],
    pub kinds: [Kind; 2],
    /// Whether hosts receive each other's reports.
    pub reports: bool,
    /// Interval at which the fabric moves all flows to other hosts, if it does.
    pub move_interval: Option<u64>,
}

/// How the requests of one kind ended.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Ends {
    pub requests: u32,
    pub on_time: u32,
    pub late: u32,
    /// Tries that a full target rejected.
    pub rejected: u32,
    /// Tries that a host refused.
    pub refused: u32,
}

impl Ends {
    pub fn share_on_time(&self) -> f64 {
        f64::from(self.on_time) / f64::from(self.requests.max(1))
    }
}

/// How requests ended by kind, of those that began in the overload and of those after its tail.
#[derive(Debug, Clone, Copy, Default)]
pub struct Outcome {
    pub during: [Ends; 2],
    pub after: [Ends; 2],
}

#[derive(Debug, Clone, Copy)]
struct Try {
    kind: usize,
    began_at: u64,
    number: u8,
    host: usize,
    caller: SocketAddrV4,
    target: usize,
}

#[derive(Debug, Clone, Copy)]
enum Event {
    Syn(Try),
    Data(Try),
    Arrive(Try),
    Answer(Try),
    Rejection(Try),
}

#[derive(Debug, Default)]
struct Target {
    running: Vec<(u64, Try)>,
    queue: VecDeque<Try>,
}

struct Host {
    router: Router,
    scheduler: ReportScheduler,
}

pub struct Replay {
    load: Load,
    hosts: Vec<Host>,
    targets: Vec<Target>,
    events: BTreeMap<u64, Vec<Event>>,
    outcome: Outcome,
    random: u64,
    ports: u32,
    now: u64,
}

impl Replay {
    pub fn run(load: Load, seed: u64) -> Outcome {
        let mut replay = Self {
            load,
            hosts: (0..load.hosts * load.factors.len()).map(|index| host(&load, index)).collect(),
            targets: (0..load.targets * load.factors.len()).map(|_| Target::default()).collect(),
            events: BTreeMap::new(),
            outcome: Outcome::default(),
            random: seed,
            ports: 0,
            now: 0,
        };
        while replay.now < RUN_MS {
            replay.step();
            replay.now += 1;
        }
        replay.outcome
    }

    fn step(&mut self) {
        self.open_flows();
        for event in self.events.remove(&self.now).unwrap_or_default() {
            self.handle(event);
        }
        self.serve();
        if self.now.is_multiple_of(REPORT_INTERVAL_MS) {
            self.exchange_reports();
        }
    }

    fn open_flows(&mut self) {
        let overloaded = OVERLOAD_MS.contains(&self.now);
        for (centre, factor) in self.load.factors.iter().enumerate() {
            let factor = if overloaded { *factor } else { 1.0 };
            for kind in 0..2 {
                let mut expected = self.load.kinds[kind].rate * factor / 1000.0;
                while expected > 0.0 {
                    if self.random_unit() < expected {
                        self.count(kind, self.now, |ends| ends.requests += 1);
                        self.open(centre, kind, self.now, 1);
                    }
                    expected -= 1.0;
                }
            }
        }
    }

    fn host_in(&mut self, centre: usize) -> usize {
        centre * self.load.hosts + (self.random_unit() * self.load.hosts as f64) as usize
    }

    fn open(&mut self, centre: usize, kind: usize, began_at: u64, number: u8) {
        let host = self.host_in(centre);
        self.ports += 1;
        let address = Ipv4Addr::from(0x6440_0000 + self.ports / 60_000);
        let caller = SocketAddrV4::new(address, 1024 + (self.ports % 60_000) as u16);
        self.schedule(HOP_MS, Event::Syn(Try { kind, began_at, number, host, caller, target: 0 }));
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Syn(attempt) => match self.send(&attempt, SegmentKind::Syn, 0, 0) {
                Verdict::Forward { target, .. } => {
                    let target = target.0 as usize - 1;
                    self.schedule(2 * HOP_MS, Event::Data(Try { target, ..attempt }));
                }
                Verdict::Reset(_) => {
                    self.count(attempt.kind, attempt.began_at, |ends| ends.refused += 1);
                    self.repeat(attempt);
                }
                other => panic!("a SYN has to be forwarded or refused, not {other:?}"),
            },
            Event::Data(attempt) => {
                self.send(&attempt, SegmentKind::Data, 100, 1);
                self.schedule(HOP_MS, Event::Arrive(attempt));
            }
            Event::Arrive(attempt) => self.arrive(attempt),
            Event::Answer(attempt) => {
                self.send(&attempt, SegmentKind::Fin, 0, 200);
                let on_time = self.now - attempt.began_at <= OBJECTIVE_MS;
                self.count(attempt.kind, attempt.began_at, |ends| {
                    ends.on_time += u32::from(on_time);
                    ends.late += u32::from(!on_time);
                });
            }
            Event::Rejection(attempt) => {
                self.send(&attempt, SegmentKind::Fin, 0, 200);
                self.count(attempt.kind, attempt.began_at, |ends| ends.rejected += 1);
                self.repeat(attempt);
            }
        }
    }

    fn arrive(&mut self, attempt: Try) {
        let work = self.work_time(attempt.kind);
        let target = &mut self.targets[attempt.target];
        if target.running.len() < 2 {
            target.running.push((self.now + work, attempt));
        } else if target.queue.len() < QUEUE_LEN {
            target.queue.push_back(attempt);
        } else {
            self.schedule(2 * HOP_MS, Event::Rejection(attempt));
        }
    }

    fn serve(&mut self) {
        for index in 0..self.targets.len() {
            let target = &mut self.targets[index];
            let (done, running): (Vec<_>, Vec<_>) =
                target.running.drain(..).partition(|(end, _)| *end <= self.now);
            target.running = running;
            for (_, attempt) in done {
                self.schedule(2 * HOP_MS, Event::Answer(attempt));
            }
            while self.targets[index].running.len() < 2 {
                let Some(next) = self.targets[index].queue.pop_front() else { break };
                let end = self.now + self.work_time(next.kind);
                self.targets[index].running.push((end, next));
            }
        }
    }

    fn repeat(&mut self, attempt: Try) {
        if attempt.number >= MAX_TRIES {
            return;
        }
        let pause = 50 + (self.random_unit() * 100.0) as u64 * u64::from(attempt.number);
        let host = self.host_in(attempt.host / self.load.hosts);
        self.ports += 1;
        let caller = SocketAddrV4::new(*attempt.caller.ip(), 1024 + (self.ports % 60_000) as u16);
        let number = attempt.number + 1;
        self.schedule(pause, Event::Syn(Try { number, host, caller, ..attempt }));
    }

    fn send(&mut self, attempt: &Try, kind: SegmentKind, length: u16, acked: u32) -> Verdict {
        let frontend = frontend(attempt.kind);
        let mark = match kind {
            SegmentKind::Syn => None,
            _ => Some(Mark::of(TargetId(attempt.target as u64 + 1))),
        };
        let sequence = match (kind, length) {
            (SegmentKind::Syn, _) => 1000,
            (_, 0) => 1101,
            _ => 1001,
        };
        let flow_key = FlowKey { caller: attempt.caller, frontend };
        let segment = Segment { flow_key, kind, mark, sequence, acknowledged: acked, length };
        let host = self.current_host(attempt);
        self.hosts[host].router.decide(Instant(OFFSET_MS + self.now), &segment)
    }

    /// Returns the host to which the fabric currently sends the packets of an attempt.
    fn current_host(&self, attempt: &Try) -> usize {
        let moves = self.load.move_interval.map_or(0, |interval| self.now / interval) as usize;
        let (centre, index) = (attempt.host / self.load.hosts, attempt.host % self.load.hosts);
        centre * self.load.hosts + (index + moves) % self.load.hosts
    }

    fn exchange_reports(&mut self) {
        let now = Instant(OFFSET_MS + self.now);
        let all: Vec<HostId> = (0..self.hosts.len() as u32).map(HostId).collect();
        for index in 0..self.hosts.len() {
            let host = &mut self.hosts[index];
            if self.now.is_multiple_of(TICK_INTERVAL_MS) {
                host.router.tick(now);
            }
            let report = host.router.report();
            let size = report.to_bytes().map_or(0, |bytes| bytes.len());
            let own = index / self.load.hosts;
            let others = all.iter().copied().filter(|id| id.0 as usize != index);
            let (local, remote): (Vec<_>, Vec<_>) =
                others.partition(|id| id.0 as usize / self.load.hosts == own);
            let mut receivers = Vec::new();
            host.scheduler.take_receivers(now, size, (&local, &remote), &mut receivers);
            for receiver in receivers.into_iter().filter(|_| self.load.reports) {
                let router = &mut self.hosts[receiver.0 as usize].router;
                router.set_report(now, HostId(index as u32), LoadReport::clone(&report));
            }
        }
    }

    fn work_time(&mut self, kind: usize) -> u64 {
        let mean = self.load.kinds[kind].work_ms as f64;
        (mean * (0.4 + 1.2 * self.random_unit())) as u64
    }

    fn schedule(&mut self, delay: u64, event: Event) {
        self.events.entry(self.now + delay).or_default().push(event);
    }

    fn count(&mut self, kind: usize, began_at: u64, change: impl FnOnce(&mut Ends)) {
        if OVERLOAD_MS.contains(&began_at) {
            change(&mut self.outcome.during[kind]);
        } else if (OVERLOAD_MS.end + TAIL_MS..RUN_MS - OBJECTIVE_MS).contains(&began_at) {
            change(&mut self.outcome.after[kind]);
        }
    }

    fn random_unit(&mut self) -> f64 {
        self.random = self.random.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let mut bits = (self.random ^ (self.random >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        bits = (bits ^ (bits >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        ((bits ^ (bits >> 31)) >> 11) as f64 / (1u64 << 53) as f64
    }
}

fn frontend(kind: usize) -> SocketAddrV4 {
    SocketAddrV4::new(Ipv4Addr::new(198, 18, 0, 1), 443 + kind as u16)
}

fn centre_name(index: usize) -> String {
    format!("centre-{index}")
}

fn host(load: &Load, index: usize) -> Host {
    let now = Instant(OFFSET_MS - 60_000);
    let config = RouterConfig {
        centre: centre_name(index / load.hosts),
        hash_key: HashKey([7; 16]),
        max_flows: 10_000,
        features: Features { contended: load.contended, ..Features::default() },
    };
    let mut router = Router::new(config);
    router.set_catalog(&catalog(load));
    router.set_current(now, true);
    router.set_local_hosts(load.hosts as u32 - 1);
    for number in 0..load.targets * load.factors.len() {
        let centre = centre_name(number / load.targets);
        let entry = Entry { centre, ..world::entry(number as u64 + 1, "desk") };
        router.set_target(now, &entry, false);
    }
    router.decide(now, &world::segment(1, SegmentKind::Rst, 0, 0));
    router.tick(Instant(OFFSET_MS));
    Host { router, scheduler: ReportScheduler::new(Instant(OFFSET_MS)) }
}

fn catalog(load: &Load) -> Catalog {
    let route = |kind: usize| RawRoute {
        name: kind.to_string(),
        address: frontend(kind),
        services: vec![RawWeightedService { service: "desk".into(), weight: 1 }],
        idempotency: Idempotency::AtMostOnce,
        timeout: Span(4000),
        objective: Span(OBJECTIVE_MS),
        priority: load.kinds[kind].priority,
        bulk: false,
    };
    let raw = RawCatalog {
        version: 1,
        services: vec!["desk".into()],
        routes: vec![route(0), route(1)],
        idle_timeout: Span(15_000),
    };
    Catalog::try_from(raw).expect("the catalog names its own service")
}

/// Bookings take half of the work, and both kinds together 1.35 times what all slots serve.
const QUAY: Load = Load {
    contended: true,
    hosts: 14,
    targets: 20,
    factors: &[5.0],
    kinds: [
        Kind { priority: 1, rate: 81.5, work_ms: 52 },
        Kind { priority: 2, rate: 164.0, work_ms: 40 },
    ],
    reports: true,
    move_interval: None,
};

/// The load as it was served before admission.
const FORMER_QUAY: Load = Load { contended: false, ..QUAY };

fn rejected(ends: &[Ends; 2]) -> u32 {
    ends.iter().map(|ends| ends.rejected).sum()
}

#[test]
fn the_highest_priority_is_served_in_an_overload_and_slots_stay_busy() {
    for seed in 1..=2 {
        let former = Replay::run(FORMER_QUAY, seed).during;
        let [bookings, views] = Replay::run(QUAY, seed).during;
        assert!(former[0].share_on_time() < 0.85, "{former:?}");
        assert!(bookings.share_on_time() >= 0.98, "{bookings:?}");
        // The slots serve 58 % of the views beside all bookings.
        assert!(views.share_on_time() >= 0.5, "{views:?}");
        assert!(2 * rejected(&[bookings, views]) <= rejected(&former), "{bookings:?} {views:?}");
    }
}

#[test]
fn an_overload_does_not_outlive_its_cause() {
    let after = Replay::run(QUAY, 3).after;
    assert!(after.iter().all(|ends| ends.on_time == ends.requests), "{after:?}");
    assert_eq!(rejected(&after), 0, "{after:?}");
}

/// Two data centres have more callers than they can serve, and the third has slots to spare: all
/// three together have room for 1.15 times these.
#[test]
fn an_overload_of_some_data_centres_uses_spare_room_in_another() {
    let uneven = Load { factors: &[4.6, 4.0, 1.0], ..QUAY };
    let [bookings, views] = Replay::run(uneven, 4).during;
    let alone = Replay::run(Load { reports: false, ..uneven }, 4).during;
    assert!(bookings.share_on_time() >= 0.98, "{bookings:?}");
    assert!(views.share_on_time() >= 0.95, "{views:?}");
    assert!(alone[0].share_on_time() >= 0.98, "own shares need no reports: {alone:?}");
    assert!(views.refused < alone[1].refused, "{views:?} {alone:?}");
}

/// Bookings alone ask for more than all slots serve.
#[test]
fn a_lower_priority_is_not_starved() {
    let kinds = [Kind { rate: 163.0, ..QUAY.kinds[0] }, QUAY.kinds[1]];
    let [bookings, views] = Replay::run(Load { kinds, ..QUAY }, 5).during;
    let served = views.on_time + views.late;
    let all = served + bookings.on_time + bookings.late;
    assert!(12 * served >= all, "{bookings:?} {views:?}");
    assert!(served < bookings.on_time, "{bookings:?} {views:?}");
}

#[test]
fn hosts_refuse_nothing_where_nobody_competes_for_room() {
    let former = Replay::run(FORMER_QUAY, 6).during;
    assert!(former.iter().all(|ends| ends.refused == 0), "{former:?}");
}

/// Eighty percent of the slots are in use, and requests come unevenly.
#[test]
fn hardly_anything_is_refused_while_slots_are_free() {
    let [bookings, views] = Replay::run(Load { factors: &[3.0], ..QUAY }, 7).during;
    assert!(bookings.on_time == bookings.requests, "{bookings:?}");
    assert!(views.share_on_time() >= 0.99, "{views:?}");
    assert!(50 * (bookings.refused + views.refused) <= views.requests, "{bookings:?} {views:?}");
}

/// Hosts join and leave, and with each change nearly all flows go to other hosts.
#[test]
fn flows_that_moved_to_other_hosts_take_no_room() {
    let moving = Load { move_interval: Some(1300), ..QUAY };
    let [bookings, views] = Replay::run(Load { factors: &[3.0], ..moving }, 8).during;
    assert!(bookings.share_on_time() >= 0.98, "{bookings:?}");
    assert!(views.share_on_time() >= 0.95, "{views:?}");
    let [bookings, views] = Replay::run(moving, 8).during;
    assert!(bookings.share_on_time() >= 0.98, "{bookings:?}");
    assert!(views.share_on_time() >= 0.5, "{views:?}");
}
