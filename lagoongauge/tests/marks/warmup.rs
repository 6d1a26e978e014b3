//! The limit on new flows to warming targets, summed over all entry hosts.

use std::collections::VecDeque;

use lagoongauge::catalog::{Catalog, RawService};
use lagoongauge::id::{HostId, TargetId};
use lagoongauge::mark::warmup::{HostGroup, ServiceLimit, WarmupBudget};
use lagoongauge::mark::{Cause, Features, SegmentKind, Verdict, WarmupLimit};
use lagoongauge::time::{Instant, Span};
use proptest::prelude::*;

use super::world::{Fixture, FixtureOptions, entry, raw_catalog, target_of};

const SECOND: Span = Span::seconds(1);

/// Warm-up time of a target.
const WARMUP: Span = Span::seconds(2);

const LIMIT: WarmupLimit = WarmupLimit { overage: 1.5, slack: 5.0 };

fn catalog(rate: f64) -> Catalog {
    let mut raw = raw_catalog(5);
    raw.services[0] = RawService {
        warmup_rate: Some(rate),
        warmup_time: Some(WARMUP),
        ..raw.services[0].clone()
    };
    raw.try_into().unwrap()
}

/// Creates a host that limits new flows, of a group of this many hosts.
fn limited_host(own: u32, hosts: u32, targets: &[u64], rate: f64) -> Fixture {
    let features = Features { warmup_limit: Some(LIMIT), ..Features::default() };
    let mut fixture = Fixture::with_options(FixtureOptions { targets, features });
    fixture.router.set_catalog(&catalog(rate));
    // The catalog counts as active from the first packet on.
    fixture.send(1, SegmentKind::Rst, 0, 0, 0);
    let others = (1..=hosts).filter(|host| *host != own).map(HostId).collect();
    fixture.router.set_host_group(Some(HostGroup { own: HostId(own), others }));
    fixture
}

fn warm_up(fixture: &mut Fixture, target: u64) {
    let warming = lagoongauge::roster::Entry { warmup: WARMUP, ..entry(target, "desk") };
    fixture.set_entry(&warming);
}

/// Advances time while control hosts confirm this host.
fn advance_in_touch(fixture: &mut Fixture, millis: u64) {
    for _ in 0..millis / 200 {
        fixture.advance(200);
        fixture.router.set_current(fixture.now, true);
    }
}

/// Load pattern: a release replaces targets one by one, while the others have waiting requests.
#[test]
fn a_warming_target_receives_no_flow_while_a_warm_one_takes_them() {
    let mut fixture = limited_host(1, 1, &[1], 4.0);
    advance_in_touch(&mut fixture, 6000);
    warm_up(&mut fixture, 2);
    let targets: Vec<u64> = (10..17).map(|caller| target_of(fixture.open(caller)).0).collect();
    assert_eq!(targets, [1; 7]);
}

#[test]
fn a_target_receives_flows_again_once_it_is_warm() {
    let mut fixture = limited_host(1, 1, &[1, 2], 4.0);
    warm_up(&mut fixture, 2);
    advance_in_touch(&mut fixture, WARMUP.0);
    let targets: Vec<u64> = (10..20).map(|caller| target_of(fixture.open(caller)).0).collect();
    assert!(targets.contains(&2), "{targets:?}");
}

#[test]
fn deployments_without_a_limit_use_warming_targets_as_before() {
    let mut fixture = Fixture::new(&[1]);
    fixture.router.set_catalog(&catalog(4.0));
    warm_up(&mut fixture, 1);
    let verdicts = (10..40).map(|caller| fixture.open(caller));
    assert!(verdicts.map(target_of).all(|target| target == TargetId(1)));
}

/// Counts the flows that a host places on its only target, which is warming, in a second, while
/// control hosts confirm the host or do not.
fn place_on_warming(fixture: &mut Fixture, in_touch: bool) -> usize {
    warm_up(fixture, 1);
    let mut placed = 0;
    for step in 0..100 {
        fixture.advance(10);
        if in_touch {
            fixture.router.set_current(fixture.now, true);
        }
        match fixture.open(100 + step) {
            Verdict::Forward { .. } => placed += 1,
            verdict => assert_eq!(verdict, Verdict::Reset(Cause::NoTarget)),
        }
    }
    placed
}

#[test]
fn without_a_warm_target_a_settled_host_uses_its_share() {
    let mut settled = limited_host(1, 1, &[1], 4.0);
    advance_in_touch(&mut settled, 6000);
    assert_eq!(place_on_warming(&mut settled, true), 5, "half of 11 flows a second");
    let mut started = limited_host(1, 1, &[1], 4.0);
    advance_in_touch(&mut started, 3000);
    assert_eq!(place_on_warming(&mut started, true), 0, "it has just started");
    let mut paused = limited_host(1, 1, &[1], 4.0);
    advance_in_touch(&mut paused, 6000);
    paused.stall(1200);
    paused.tick();
    paused.router.set_current(paused.now, true);
    paused.advance(400);
    assert_eq!(place_on_warming(&mut paused, true), 0, "it was paused");
    let mut cut_off = limited_host(1, 1, &[1], 4.0);
    advance_in_touch(&mut cut_off, 6000);
    cut_off.advance(1600);
    assert_eq!(place_on_warming(&mut cut_off, false), 0, "it is out of touch");
    let mut unaware = limited_host(1, 1, &[1], 4.0);
    unaware.router.set_host_group(None);
    advance_in_touch(&mut unaware, 6000);
    assert_eq!(place_on_warming(&mut unaware, true), 0, "it does not know all hosts");
}

#[test]
fn a_rate_of_zero_leaves_the_slack() {
    let mut fixture = limited_host(1, 1, &[1], 0.0);
    advance_in_touch(&mut fixture, 6000);
    assert_eq!(place_on_warming(&mut fixture, true), 2, "half of five flows a second");
}

/// A target may have turned cold without an announcement yet.
#[test]
fn a_target_that_is_learned_of_late_is_doubted() {
    let mut fixture = limited_host(1, 1, &[1], 4.0);
    advance_in_touch(&mut fixture, 6000);
    fixture.add_target(2, "desk");
    let targets: Vec<u64> = (10..17).map(|caller| target_of(fixture.open(caller)).0).collect();
    assert_eq!(targets, [1; 7]);
    advance_in_touch(&mut fixture, WARMUP.0);
    assert!((20..30).any(|caller| target_of(fixture.open(caller)) == TargetId(2)));
}

/// The first copy may have been lost, so the later one may be the one that opens the flow.
#[test]
fn copies_of_a_syn_stay_with_a_warming_target_and_are_counted() {
    let mut fixture = limited_host(1, 1, &[1], 0.0);
    advance_in_touch(&mut fixture, 6000);
    warm_up(&mut fixture, 1);
    target_of(fixture.open(10));
    fixture.advance(400);
    fixture.acknowledge_answer(TargetId(1));
    target_of(fixture.open(10));
    fixture.advance(400);
    assert_eq!(fixture.open(11), Verdict::Reset(Cause::NoTarget), "the copy counts anew");
    fixture.advance(200);
    target_of(fixture.open(11));
}

#[test]
fn a_copy_of_a_syn_leaves_a_target_that_turned_cold() {
    let mut fixture = limited_host(1, 1, &[1], 4.0);
    target_of(fixture.open(10));
    fixture.add_target(2, "desk");
    warm_up(&mut fixture, 1);
    fixture.advance(200);
    fixture.acknowledge_answer(TargetId(1));
    assert_eq!(target_of(fixture.open(10)), TargetId(2));
}

/// Everything that may happen to one of several hosts.
#[derive(Debug, Clone, Copy)]
enum Event {
    /// All hosts go on for this many tenths of a second.
    Run(u8),
    Start(u8),
    Pause(u8),
    Cut(u8),
    Reconnect(u8),
}

fn event() -> impl Strategy<Value = Event> {
    prop_oneof![
        6 => (1..25u8).prop_map(Event::Run),
        1 => (0..HOSTS).prop_map(Event::Start),
        1 => (0..HOSTS).prop_map(Event::Pause),
        1 => (0..HOSTS).prop_map(Event::Cut),
        1 => (0..HOSTS).prop_map(Event::Reconnect),
    ]
}

const HOSTS: u8 = 6;

/// Time after its last contact for which other hosts still list a host.
const LISTED: Span = Span::seconds(4);

/// Delay with which hosts learn of a change of the list.
const LIST_DELAY: Span = Span::millis(1200);

/// One entry host with its share of the budgets.
#[derive(Debug, Clone, Default)]
struct Host {
    budget: WarmupBudget,
    started_at: Option<Instant>,
    paused_until: Instant,
    cut: bool,
    last_contact: Instant,
    /// Lists of hosts on their way here.
    lists: VecDeque<(Instant, Vec<HostId>)>,
    paced_until: Instant,
}

impl Host {
    fn is_running(&self, now: Instant) -> bool {
        now >= self.paused_until
    }
}

/// Several hosts that all receive more flows than the only target, which is warming, may take.
struct Group {
    now: Instant,
    hosts: Vec<Host>,
    limit: ServiceLimit,
    flows: Vec<Instant>,
}

impl Group {
    fn new(rate: f64) -> Self {
        let now = Instant(100_000);
        let limit = ServiceLimit { flows: LIMIT.flows_per_second(rate), warmup: WARMUP };
        let hosts = vec![Host::default(); usize::from(HOSTS)];
        Self { now, hosts, limit, flows: Vec::new() }
    }

    fn apply(&mut self, event: Event) {
        match event {
            Event::Run(tenths) => (0..u32::from(tenths) * 10).for_each(|_| self.step()),
            Event::Start(host) => {
                let started_at = Some(self.now);
                self.hosts[usize::from(host)] = Host { started_at, ..Host::default() };
            }
            Event::Pause(host) => {
                let host = &mut self.hosts[usize::from(host)];
                host.paused_until = self.now + Span::millis(2500);
            }
            Event::Cut(host) => self.hosts[usize::from(host)].cut = true,
            Event::Reconnect(host) => self.hosts[usize::from(host)].cut = false,
        }
    }

    fn step(&mut self) {
        self.now = self.now + Span::millis(10);
        let now = self.now;
        let is_listed = |host: &&(usize, Host)| {
            host.1.started_at.is_some() && now.since(host.1.last_contact) < LISTED
        };
        let hosts: Vec<(usize, Host)> = self.hosts.iter().cloned().enumerate().collect();
        let listed: Vec<HostId> =
            hosts.iter().filter(is_listed).map(|(index, _)| HostId(*index as u32)).collect();
        for (index, host) in self.hosts.iter_mut().enumerate() {
            let running = host.started_at.is_some() && host.is_running(now);
            if running && !host.cut && now.0.is_multiple_of(400) {
                // A pause that has just ended shows as a stall before anything else is handled.
                if now.since(host.last_contact) >= SECOND {
                    host.budget.record_disturbance(now);
                }
                host.budget.record_contact(now);
                host.last_contact = now;
                host.lists.push_back((now + LIST_DELAY, listed.clone()));
            }
            while host.lists.front().is_some_and(|(at, _)| running && *at <= now) {
                let Some((_, list)) = host.lists.pop_front() else { break };
                let own = HostId(index as u32);
                let others = list.into_iter().filter(|host| *host != own).collect();
                host.budget.set_group(Some(HostGroup { own, others }));
            }
            let spacing = host.budget.spacing(now, self.limit, TargetId(7));
            if let Some(spacing) = spacing.filter(|_| running && now >= host.paced_until) {
                host.paced_until = now + spacing;
                self.flows.push(now);
            }
        }
    }

    /// Returns the most flows in any second.
    fn worst_second(&self) -> usize {
        let in_second = |start: &Instant| {
            let flows = self.flows.iter().filter(|at| **at >= *start && **at <= *start + SECOND);
            flows.count()
        };
        self.flows.iter().map(in_second).max().unwrap_or(0)
    }
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 200, ..ProptestConfig::default() })]

    #[test]
    fn no_second_exceeds_the_limit(
        rate in 0.0..30.0f64,
        events in proptest::collection::vec(event(), 1..60),
    ) {
        let mut group = Group::new(rate);
        (0..HOSTS).for_each(|host| group.apply(Event::Start(host)));
        events.iter().for_each(|event| group.apply(*event));
        group.apply(Event::Run(10));
        prop_assert!(group.worst_second() as f64 <= group.limit.flows);
    }
}

#[test]
fn settled_hosts_use_the_shared_part_of_the_budget() {
    let mut group = Group::new(4.0);
    (0..HOSTS).for_each(|host| group.apply(Event::Start(host)));
    group.apply(Event::Run(100));
    assert_eq!(group.worst_second(), 5, "half of 11 flows a second");
}
