//! Evidence on failing targets that the entry hosts of a data centre pool.
//!
//! Load pattern: 490 new flows a second arrive at 28 entry hosts before 40 targets, of which ten fall
//! silent at one moment. Each host has less than one flow a second to a target.

use lagoongauge::id::{HostId, TargetId};
use lagoongauge::mark::evidence::budget::EvidenceBudget;
use lagoongauge::mark::evidence::statement::{
    MAX_STATEMENTS, Observation, Statement, decode, encode, is_evidence,
};
use lagoongauge::mark::{Features, LoadReport, Mark, SegmentKind};
use lagoongauge::roster::Phase;
use lagoongauge::time::{Instant, Span};
use proptest::prelude::*;

use super::world::{FRONTEND, Fixture, target_of};

/// Steps of time in which packets and statements are delivered.
const STEP_MS: u64 = 25;

/// Times after a SYN at which callers send copies of it.
const COPY_DELAYS_MS: [u64; 2] = [200, 600];

/// The entry hosts of a data centre with their callers.
struct Centre {
    hosts: Vec<Fixture>,
    budgets: Vec<EvidenceBudget>,
    dead: Vec<TargetId>,
    /// The only host that can't reach the dead targets, or `None` if no host can.
    cut_off: Option<usize>,
    /// Percentage of SYNs that links lose.
    loss: u16,
    /// SYNs without an answer: caller, host, and when the caller sent the first one.
    waiting: Vec<(u16, usize, u64)>,
    next_caller: u16,
    elapsed: u64,
    /// Flows whose SYN went to a dead target, with the time of the first.
    misplaced: Vec<u64>,
}

impl Centre {
    fn new(host_count: usize, target_count: u64, contended: bool) -> Self {
        let targets: Vec<u64> = (1..=target_count).collect();
        let host = |index: usize| {
            let features = Features { contended, ..Features::default() };
            let mut host = Fixture::with_features(&targets, features);
            host.set_routes(1, &[(FRONTEND, "desk")]);
            host.now = Instant(110_000 + 977 * index as u64);
            host.router.set_local_hosts(host_count as u32 - 1);
            host
        };
        Self {
            hosts: (0..host_count).map(host).collect(),
            budgets: vec![EvidenceBudget::default(); host_count],
            dead: Vec::new(),
            cut_off: None,
            loss: 0,
            waiting: Vec::new(),
            next_caller: 0,
            elapsed: 0,
            misplaced: Vec::new(),
        }
    }

    fn with_dead_targets(mut self, dead: impl IntoIterator<Item = u64>) -> Self {
        self.run(1000);
        self.dead = dead.into_iter().map(TargetId).collect();
        self.misplaced.clear();
        self.elapsed = 0;
        self
    }

    /// Lets callers open a flow at each host in turn, 12 in each step.
    fn run(&mut self, millis: u64) {
        for _ in 0..millis / STEP_MS {
            self.step();
        }
    }

    fn step(&mut self) {
        self.elapsed += STEP_MS;
        for host in &mut self.hosts {
            host.now = host.now + Span(STEP_MS);
            if self.elapsed.is_multiple_of(200) {
                host.tick();
            }
        }
        for _ in 0..12 {
            self.next_caller += 1;
            let caller = self.next_caller;
            let host = usize::from(caller.wrapping_mul(40_503) >> 3) % self.hosts.len();
            self.send_syn(caller, host, self.elapsed);
        }
        let waiting = std::mem::take(&mut self.waiting);
        for (caller, host, sent_at) in waiting {
            if COPY_DELAYS_MS.contains(&(self.elapsed - sent_at)) {
                self.send_syn(caller, host, sent_at);
            } else if self.elapsed - sent_at < COPY_DELAYS_MS[1] {
                self.waiting.push((caller, host, sent_at));
            }
        }
        self.exchange();
    }

    fn send_syn(&mut self, caller: u16, host: usize, sent_at: u64) {
        let target = target_of(self.hosts[host].open(caller));
        let cut_off = self.cut_off.is_none_or(|cut_off| cut_off == host);
        let lost = caller.wrapping_mul(25_173) % 100 < self.loss;
        if lost || (cut_off && self.dead.contains(&target)) {
            self.misplaced.push(self.elapsed);
            self.waiting.push((caller, host, sent_at));
            return;
        }
        answer(&mut self.hosts[host], caller, target);
    }

    fn exchange(&mut self) {
        let count = self.hosts.len();
        for from in 0..count {
            let now = self.hosts[from].now;
            let others: Vec<HostId> =
                (0..count).filter(|to| *to != from).map(|to| HostId(to as u32)).collect();
            self.hosts[from].router.update_evidence(now);
            let mut statements = Vec::new();
            let limit = self.budgets[from].statement_limit(now, others.len());
            self.hosts[from].router.take_statements(now, limit, &mut statements);
            if statements.is_empty() {
                continue;
            }
            let bytes = encode(&statements);
            let mut receivers = Vec::new();
            self.budgets[from].take_receivers(now, bytes.len(), &others, &mut receivers);
            for HostId(to) in receivers {
                let to = &mut self.hosts[to as usize];
                to.router.set_statements(to.now, HostId(from as u32), &decode(&bytes).unwrap());
            }
        }
    }

    fn misplaced_between(&self, from: u64, to: u64) -> usize {
        self.misplaced.iter().filter(|at| (from..to).contains(*at)).count()
    }

    fn ejected_counts(&self) -> Vec<usize> {
        self.hosts.iter().map(|host| host.router.ejected_count()).collect()
    }
}

/// Opens the caller's flow at the target and ends its only request.
fn answer(host: &mut Fixture, caller: u16, target: TargetId) {
    host.mark = Some(Mark::of(target));
    host.send_data(caller, 1, 0);
    host.send(caller, SegmentKind::Fin, 10, 600, 0);
}

fn statement(target: u64, observation: Observation, age: u64) -> Statement {
    Statement { mark: Mark::of(TargetId(target)), observation, age: Span(age) }
}

/// Lets hosts 1 to `count` doubt a target.
fn doubt(host: &mut Fixture, target: u64, count: u32) {
    for reporter in 1..=count {
        let doubt = statement(target, Observation::UnansweredSyn, 100);
        host.router.set_statements(host.now, HostId(reporter), &[doubt]);
    }
}

fn contended_host(targets: &[u64]) -> Fixture {
    let mut host =
        Fixture::with_features(targets, Features { contended: true, ..Features::default() });
    host.set_routes(1, &[(FRONTEND, "desk")]);
    host.now = host.now + Span::seconds(10);
    host.router.set_local_hosts(5);
    host.tick();
    host
}

fn ejected(host: &Fixture) -> usize {
    host.router.ejected_count()
}

#[test]
fn new_flows_avoid_targets_that_fall_silent_together() {
    let [alone, pooled] = [false, true].map(|contended| {
        let mut centre = Centre::new(28, 40, contended).with_dead_targets(1..=10);
        centre.run(3000);
        [(0, 600), (600, 1200), (1200, 3000)].map(|(from, to)| centre.misplaced_between(from, to))
    });
    assert!(pooled[0] < alone[0], "{pooled:?} {alone:?}");
    assert!(4 * pooled[1] < alone[1], "{pooled:?} {alone:?}");
    assert!(10 * pooled[2] < alone[2], "{pooled:?} {alone:?}");
}

#[test]
fn ejected_targets_return_with_their_first_answers() {
    let mut centre = Centre::new(28, 40, true).with_dead_targets(1..=10);
    centre.run(1500);
    assert!(
        centre.ejected_counts().iter().all(|count| *count >= 8),
        "{:?}",
        centre.ejected_counts()
    );
    centre.dead.clear();
    centre.run(3000);
    assert!(
        centre.ejected_counts().iter().all(|count| *count <= 1),
        "{:?}",
        centre.ejected_counts()
    );
}

/// With everything alive, nothing is ejected and hardly anything is said.
#[test]
fn no_target_is_ejected_while_all_answer() {
    let mut centre = Centre::new(28, 40, true);
    centre.run(3000);
    assert!(centre.ejected_counts().iter().all(|count| *count == 0));
}

/// The links of one host to a quarter of the targets are broken: it doubts them, alone.
#[test]
fn a_host_with_a_broken_link_ejects_no_target() {
    let mut centre = Centre::new(28, 40, true).with_dead_targets(1..=10);
    centre.cut_off = Some(3);
    for _ in 0..40 {
        centre.run(100);
        assert!(centre.ejected_counts().iter().all(|count| *count == 0));
    }
    let statements: u64 =
        centre.hosts.iter().map(|host| host.router.evidence_counts().accepted).sum();
    assert!(statements > 0, "the host spoke");
}

/// Links lose a tenth of the packets, so that every target leaves some SYNs unanswered.
#[test]
fn lossy_links_hardly_keep_flows_from_targets() {
    let mut centre = Centre::new(28, 40, true);
    centre.loss = 10;
    let mut ejected = 0;
    for _ in 0..40 {
        centre.run(100);
        ejected += centre.ejected_counts().iter().sum::<usize>();
    }
    let average = ejected as f64 / (40 * 28) as f64;
    assert!(average < 4.0, "{average} of 40 targets are ejected at a host");
}

#[test]
fn a_host_that_hears_nothing_says_nothing() {
    let mut host = contended_host(&[1, 2, 3, 4]);
    for caller in 0..40 {
        host.open(caller);
        host.now = host.now + Span(STEP_MS);
        host.router.update_evidence(host.now);
    }
    let mut statements = Vec::new();
    host.router.take_statements(host.now, MAX_STATEMENTS, &mut statements);
    assert_eq!(statements, []);
    assert_eq!(ejected(&host), 0);
}

#[test]
fn a_host_doubts_a_target_that_leaves_a_syn_unanswered() {
    let mut host = contended_host(&[1, 2]);
    let silent = target_of(host.open(1));
    host.now = host.now + Span(10);
    let other = target_of(host.open(2));
    assert_ne!(other, silent);
    answer(&mut host, 2, other);
    let mut statements = Vec::new();
    host.now = host.now + Span(80);
    host.router.take_statements(host.now, MAX_STATEMENTS, &mut statements);
    host.now = host.now + Span(20);
    host.router.update_evidence(host.now);
    host.router.take_statements(host.now, MAX_STATEMENTS, &mut statements);
    assert_eq!(statements, [statement(silent.0, Observation::UnansweredSyn, 110)]);
}

#[test]
fn no_target_is_ejected_by_fewer_than_three_hosts() {
    let mut host = contended_host(&[1, 2, 3, 4]);
    doubt(&mut host, 1, 2);
    // Repetitions of one host add nothing.
    doubt(&mut host, 1, 1);
    assert_eq!(ejected(&host), 0);
    doubt(&mut host, 1, 3);
    assert_eq!(ejected(&host), 1);
    for caller in 0..20 {
        assert_ne!(target_of(host.open(caller)), TargetId(1));
        // Each flow ends before the next one, as the host's share of the room is small.
        host.send(caller, SegmentKind::Rst, 0, 0, 0);
    }
}

#[test]
fn signs_of_life_outweigh_doubts() {
    let mut host = contended_host(&[1, 2, 3, 4]);
    let alive = statement(1, Observation::Answer, 0);
    host.router.set_statements(host.now, HostId(50), &[alive]);
    doubt(&mut host, 1, 5);
    assert_eq!(ejected(&host), 0, "an answer that another host saw outweighs three doubts");
    doubt(&mut host, 1, 6);
    assert_eq!(ejected(&host), 1, "a host with false signs of life does not veto the others");
    host.now = host.now + Span(1);
    host.acknowledge_answer(TargetId(1));
    host.router.update_evidence(host.now);
    assert_eq!(ejected(&host), 0, "what the host saw itself outweighs all doubts");
}

/// The host that answers an accusation is one that saw the target's answers after it.
#[test]
fn a_host_contradicts_doubts_about_a_target_that_answers_it() {
    let mut host = contended_host(&[1, 2, 3, 4]);
    host.acknowledge_answer(TargetId(1));
    doubt(&mut host, 1, 2);
    let mut statements = Vec::new();
    host.router.take_statements(host.now, MAX_STATEMENTS, &mut statements);
    assert_eq!(statements, [statement(1, Observation::Answer, 0)]);
}

/// A host that lies about every target is one reporter; several that do eject half at most.
#[test]
fn hosts_that_lie_eject_at_most_half_of_the_targets() {
    let targets: Vec<u64> = (1..=8).collect();
    let mut host = contended_host(&targets);
    for target in &targets {
        doubt(&mut host, *target, 1);
    }
    assert_eq!(ejected(&host), 0);
    for target in &targets {
        doubt(&mut host, *target, 5);
    }
    assert_eq!(ejected(&host), 4);
    host.advance(4000);
    host.router.update_evidence(host.now);
    assert_eq!(ejected(&host), 0, "an ejection ends without new doubts");
}

#[test]
fn a_paused_host_forgets_what_it_held() {
    let mut host = contended_host(&[1, 2, 3, 4]);
    doubt(&mut host, 1, 3);
    assert_eq!(ejected(&host), 1);
    host.stall(3000);
    // Statements that were queued during the pause look new.
    doubt(&mut host, 2, 5);
    host.router.update_evidence(host.now);
    assert_eq!(ejected(&host), 0);
    let counts = host.router.evidence_counts();
    assert_eq!((counts.accepted, counts.refused), (3, 5));
}

#[test]
fn stale_statements_and_those_about_other_targets_are_refused() {
    let mut host = contended_host(&[1, 2, 3, 4]);
    host.set_phase(TargetId(2), Phase::Draining);
    for reporter in 1..=5 {
        let statements = [
            statement(1, Observation::UnansweredSyn, 2000),
            statement(2, Observation::UnansweredSyn, 100),
            statement(99, Observation::UnansweredSyn, 100),
        ];
        host.router.set_statements(host.now, HostId(reporter), &statements);
    }
    assert_eq!(ejected(&host), 0);
    assert_eq!(host.router.evidence_counts().refused, 15);
}

#[test]
fn a_deployment_without_contention_ignores_evidence() {
    let mut host = Fixture::new(&[1, 2, 3, 4]);
    doubt(&mut host, 1, 9);
    host.router.update_evidence(host.now);
    assert_eq!(ejected(&host), 0);
}

#[test]
fn the_budget_holds_in_any_second() {
    let hosts: Vec<HostId> = (0..27).map(HostId).collect();
    let mut budget = EvidenceBudget::default();
    let mut sent = Vec::new();
    for step in 0..400 {
        let now = Instant(1000 + step * STEP_MS);
        let mut receivers = Vec::new();
        if budget.statement_limit(now, hosts.len()) > 0 {
            budget.take_receivers(now, 13, &hosts, &mut receivers);
        }
        sent.push(receivers.len() * 41);
        let second = sent.iter().rev().take(40).sum::<usize>();
        assert!(second <= 2240, "{second} bytes in a second");
    }
    assert!(sent.iter().sum::<usize>() >= 20_000);
}

#[test]
fn a_host_of_an_earlier_version_drops_statements() {
    let bytes = encode(&[statement(1, Observation::UnansweredSyn, 100)]);
    assert!(LoadReport::from_bytes(&bytes).is_err());
    let report = LoadReport::default().to_bytes().unwrap();
    assert!(!is_evidence(&report));
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn any_bytes_decode_to_few_statements_or_an_error(
        bytes in proptest::collection::vec(any::<u8>(), 0..200), prefixed in any::<bool>(),
    ) {
        let mut datagram = if prefixed { encode(&[]) } else { Vec::new() };
        datagram.extend(bytes);
        if let Ok(statements) = decode(&datagram) {
            prop_assert!(is_evidence(&datagram) && statements.len() <= MAX_STATEMENTS);
        }
    }

    #[test]
    fn statements_survive_encoding(marks in proptest::collection::vec(1u32.., 0..MAX_STATEMENTS)) {
        let statements: Vec<_> = marks
            .iter()
            .map(|bits| Statement {
                mark: Mark::from_bits(*bits).unwrap(),
                observation: Observation::UnansweredData,
                age: Span(u64::from(bits % 65_535)),
            })
            .collect();
        prop_assert_eq!(decode(&encode(&statements)).unwrap(), statements);
    }
}
