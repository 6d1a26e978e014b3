//! The limit on new flows to warming targets, summed over all entry hosts.

use std::collections::VecDeque;

use lagoongauge::catalog::{Catalog, RawService};
use lagoongauge::id::{HostId, TargetId};
use lagoongauge::mark::admission::warmup::HostGroup;
use lagoongauge::mark::{Cause, Features, SegmentKind, Verdict, WarmupLimit};
use lagoongauge::roster::{Entry, Phase};
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
    let warming = Entry { warmup: WARMUP, ..entry(target, "desk") };
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

fn names(centres: &[&str]) -> Vec<String> {
    centres.iter().map(ToString::to_string).collect()
}

/// Load pattern: a data centre returns from an evacuation, and its targets turned cold meanwhile.
#[test]
fn targets_of_a_data_centre_that_returned_are_doubted() {
    for started_late in [false, true] {
        let mut fixture = limited_host(1, 1, &[1, 2], 4.0);
        fixture.set_centre(&[2], "b");
        if started_late {
            fixture.router.set_evacuated(&[]);
            fixture.router.set_returned(fixture.now, &names(&["b"]));
        } else {
            fixture.router.set_evacuated(&names(&["b"]));
            fixture.open(9);
            fixture.router.set_evacuated(&[]);
        }
        // An announcement from before the data centre returned proves nothing.
        fixture.set_centre(&[2], "b");
        let targets: Vec<u64> = (10..17).map(|caller| target_of(fixture.open(caller)).0).collect();
        assert_eq!(targets, [1; 7]);
        advance_in_touch(&mut fixture, WARMUP.0);
        assert!((20..200).any(|caller| target_of(fixture.open(caller)) == TargetId(2)));
    }
}

/// Everything that may happen to several hosts and their targets.
#[derive(Debug, Clone, Copy)]
enum Event {
    /// All hosts go on for this many tenths of a second.
    Run(u8),
    Start(u8),
    Pause(u8),
    Cut(u8),
    Reconnect(u8),
    /// These targets, as bits, end and others start in their place.
    Replace(u8),
    /// The data centre "b" is evacuated.
    Evacuate,
    /// It returns; its targets have turned cold and will announce that.
    Return,
}

fn event() -> impl Strategy<Value = Event> {
    let host = 0..HOSTS;
    prop_oneof![
        8 => (1..40u8).prop_map(Event::Run),
        1 => host.clone().prop_map(Event::Start),
        1 => host.clone().prop_map(Event::Pause),
        1 => host.clone().prop_map(Event::Cut),
        1 => host.prop_map(Event::Reconnect),
        3 => (1..ALL_TARGETS).prop_map(Event::Replace),
        1 => Just(Event::Replace(ALL_TARGETS)),
        2 => Just(Event::Evacuate),
        3 => Just(Event::Return),
    ]
}

const HOSTS: u8 = 9;

const TARGETS: u8 = 4;

/// Number of targets in data centre "a"; the others are in "b".
const LOCAL_TARGETS: usize = 2;

/// Time in which a target announces that it turned cold.
const ANNOUNCE_DELAY: Span = Span::millis(1200);

/// Time for which control hosts report the end of an evacuation.
const RETURN_PERIOD: Span = Span::seconds(30);

/// All targets, as bits.
const ALL_TARGETS: u8 = (1 << TARGETS) - 1;

/// Interval between the packets that each host receives.
const STEP: Span = Span::millis(20);

/// Interval of the control hosts' status messages.
const STATUS_INTERVAL: Span = Span::millis(400);

/// Time after its last contact for which others list a host.
const LISTED: Span = Span::seconds(4);

/// Delay with which hosts learn of a change of the list.
const LIST_DELAY: Span = Span::millis(1200);

const PAUSE: Span = Span::millis(2500);

struct Host {
    fixture: Fixture,
    paused_until: Instant,
    cut: bool,
    last_contact: Instant,
    /// Lists of hosts on their way here.
    lists: VecDeque<(Instant, Vec<HostId>)>,
    /// Number of targets that it knows to have ended.
    known_ended: usize,
    /// Revisions of the targets and of the orders that it knows.
    known: (u64, u64),
}

/// Several hosts that receive more flows than warming targets may take.
struct Group {
    now: Instant,
    hosts: Vec<Host>,
    rate: f64,
    /// Running targets, each with the instant at which it is warm.
    targets: Vec<(u64, Instant)>,
    next_target: u64,
    ended: Vec<u64>,
    /// What the targets have announced.
    announced: Vec<(u64, Instant)>,
    announce_at: Option<Instant>,
    evacuated: bool,
    returned_at: Option<Instant>,
    /// Revisions of the announcements and of the orders.
    revisions: (u64, u64),
    /// New flows to warming targets.
    flows: Vec<(u64, Instant)>,
    callers: u16,
}

impl Group {
    fn new(rate: f64) -> Self {
        let now = Instant(100_000);
        let targets: Vec<_> = (1..=u64::from(TARGETS)).map(|target| (target, now)).collect();
        let mut group = Self {
            now,
            hosts: Vec::new(),
            rate,
            announced: targets.clone(),
            targets,
            next_target: u64::from(TARGETS) + 1,
            ended: Vec::new(),
            announce_at: None,
            evacuated: false,
            returned_at: None,
            revisions: (0, 0),
            flows: Vec::new(),
            callers: 0,
        };
        group.hosts = (0..HOSTS).map(|host| group.start_host(host)).collect();
        group
    }

    fn start_host(&self, host: u8) -> Host {
        let mut fixture = limited_host(u32::from(host), 0, &[], self.rate);
        fixture.router.set_host_group(None);
        fixture.now = self.now;
        fixture.tick();
        let mut host = Host {
            fixture,
            paused_until: self.now,
            cut: false,
            last_contact: Instant::default(),
            lists: VecDeque::new(),
            known_ended: self.ended.len(),
            known: self.revisions,
        };
        host.learn_orders(self.now, self.evacuated, self.returned_at);
        host.learn_targets(self.now, &self.announced, &[]);
        host
    }

    fn apply(&mut self, event: Event) {
        match event {
            Event::Run(tenths) => (0..u64::from(tenths) * 100 / STEP.0).for_each(|_| self.step()),
            Event::Start(host) => self.hosts[usize::from(host)] = self.start_host(host),
            Event::Pause(host) => self.hosts[usize::from(host)].paused_until = self.now + PAUSE,
            Event::Cut(host) => self.hosts[usize::from(host)].cut = true,
            Event::Reconnect(host) => self.hosts[usize::from(host)].cut = false,
            Event::Replace(bits) => self.replace(bits),
            Event::Evacuate => {
                self.evacuated = true;
                self.revisions.1 += 1;
            }
            Event::Return => self.take_back(),
        }
    }

    fn replace(&mut self, bits: u8) {
        for index in (0..usize::from(TARGETS)).filter(|index| bits & (1 << index) != 0) {
            let started = (self.next_target, self.now + WARMUP);
            self.next_target += 1;
            self.announced[index] = started;
            self.ended.push(std::mem::replace(&mut self.targets[index], started).0);
        }
        self.revisions.0 += 1;
    }

    /// Takes data centre "b" back, unless a host is cut off that knows nothing of its evacuation.
    fn take_back(&mut self) {
        let unaware = |host: &Host| host.cut && host.known.1 < self.revisions.1;
        if !self.evacuated || self.hosts.iter().any(unaware) {
            return;
        }
        self.evacuated = false;
        self.returned_at = Some(self.now);
        self.revisions.1 += 1;
        self.announce_at = Some(self.now + ANNOUNCE_DELAY);
        for (_, warm_at) in &mut self.targets[LOCAL_TARGETS..] {
            *warm_at = self.now + WARMUP;
        }
    }

    fn announce(&mut self) {
        if self.announce_at.is_some_and(|at| self.now >= at) {
            self.announce_at = None;
            self.announced.clone_from(&self.targets);
            self.revisions.0 += 1;
        }
    }

    fn step(&mut self) {
        self.now = self.now + STEP;
        let now = self.now;
        self.announce();
        let listed: Vec<HostId> = (0u32..)
            .zip(&self.hosts)
            .filter(|(_, host)| now.since(host.last_contact) < LISTED)
            .map(|(index, _)| HostId(index))
            .collect();
        for (own, host) in (0u32..).zip(&mut self.hosts) {
            if now < host.paused_until {
                continue;
            }
            host.fixture.now = now;
            host.exchange(now, HostId(own), &listed);
            if !host.cut && host.known.1 < self.revisions.1 {
                host.learn_orders(now, self.evacuated, self.returned_at);
            }
            if !host.cut && host.known.0 < self.revisions.0 {
                host.learn_targets(now, &self.announced, &self.ended[host.known_ended..]);
                host.known_ended = self.ended.len();
            }
            if !host.cut {
                host.known = self.revisions;
            }
            self.callers = self.callers.wrapping_add(1);
            let verdict = host.fixture.open(self.callers);
            if let Verdict::Forward { target, .. } = verdict
                && self.targets.iter().any(|(id, warm_at)| *id == target.0 && now < *warm_at)
            {
                self.flows.push((target.0, now));
            }
            if now.0.is_multiple_of(100) {
                host.fixture.tick();
            }
        }
    }

    /// Returns the most flows to a warming target in any second.
    fn worst_second(&self) -> usize {
        let in_second = |(target, start): &(u64, Instant)| {
            let flows = self.flows.iter().filter(|(other, _)| other == target);
            flows.filter(|(_, at)| *at >= *start && *at <= *start + SECOND).count()
        };
        self.flows.iter().map(in_second).max().unwrap_or(0)
    }
}

impl Host {
    /// Receives what control hosts report.
    fn exchange(&mut self, now: Instant, own: HostId, listed: &[HostId]) {
        if !self.cut && now.0.is_multiple_of(STATUS_INTERVAL.0) {
            self.fixture.router.set_current(now, true);
            self.last_contact = now;
            self.lists.push_back((now + LIST_DELAY, listed.to_vec()));
        }
        while self.lists.front().is_some_and(|(at, _)| *at <= now) {
            let Some((_, list)) = self.lists.pop_front() else { return };
            let others = list.into_iter().filter(|host| *host != own).collect();
            self.fixture.router.set_host_group(Some(HostGroup { own, others }));
        }
    }

    /// Receives the evacuated data centres, and those that returned recently.
    fn learn_orders(&mut self, now: Instant, evacuated: bool, returned_at: Option<Instant>) {
        let evacuated = if evacuated { names(&["b"]) } else { Vec::new() };
        let recent = returned_at.is_some_and(|at| now.since(at) < RETURN_PERIOD);
        let returned = if recent && evacuated.is_empty() { names(&["b"]) } else { Vec::new() };
        self.fixture.router.set_evacuated(&evacuated);
        self.fixture.router.set_returned(now, &returned);
    }

    /// Receives the latest announcements of all targets, and which have ended.
    fn learn_targets(&mut self, now: Instant, targets: &[(u64, Instant)], ended: &[u64]) {
        for (index, (target, warm_at)) in targets.iter().enumerate() {
            let centre = if index < LOCAL_TARGETS { "a" } else { "b" }.into();
            let warmup = warm_at.since(now);
            self.fixture.set_entry(&Entry { warmup, centre, ..entry(*target, "desk") });
        }
        for target in ended {
            self.fixture.set_phase(TargetId(*target), Phase::Gone);
        }
    }
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 60, ..ProptestConfig::default() })]

    /// Load pattern: targets return together while hosts join, restart, pause and are cut off.
    #[test]
    fn no_second_exceeds_the_limit(
        rate in 0.0..30.0f64,
        events in proptest::collection::vec(event(), 1..40),
    ) {
        let mut group = Group::new(rate);
        group.apply(Event::Run(80));
        events.iter().for_each(|event| group.apply(*event));
        group.apply(Event::Run(10));
        prop_assert!(group.worst_second() as f64 <= LIMIT.flows_per_second(rate));
    }
}

#[test]
fn settled_hosts_use_the_shared_part_of_the_budget() {
    let mut group = Group::new(4.0);
    group.apply(Event::Run(80));
    group.apply(Event::Replace(ALL_TARGETS));
    group.apply(Event::Run(15));
    assert_eq!(group.worst_second(), 5, "half of 11 flows a second");
}
