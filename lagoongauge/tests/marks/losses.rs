//! Counts of requests by how they ended: each cause is brought about and found in the counts.

use lagoongauge::id::TargetId;
use lagoongauge::mark::loss::{Circumstances, LossCause, Miss, RequestCounts};
use lagoongauge::mark::{Cause, Mark, SegmentKind};
use lagoongauge::roster::{Entry, Phase};
use lagoongauge::time::Span;

use crate::world::{Fixture, entry, target_of};

/// More than the objective of the fixture's route, and less than its timeout.
const LATE_MS: u64 = 400;

/// More than the timeout of the fixture's route, in steps at which callers repeat data.
const TIMEOUT_STEPS: u32 = 4;

/// Returns the counts of the fixture's only kind of requests.
fn counts(fixture: &mut Fixture) -> RequestCounts {
    let mut losses = fixture.router.take_losses();
    assert!(losses.len() <= 1, "{losses:?}");
    losses.pop().map(|(_, counts)| counts).unwrap_or_default()
}

/// Returns the only missed request and its cause.
fn only_miss(fixture: &mut Fixture) -> (Miss, LossCause) {
    let counts = counts(fixture);
    assert_eq!(counts.missed.values().sum::<u64>(), 1, "{counts:?}");
    *counts.missed.first().unwrap().0
}

/// Sends a SYN that the caller sent `copies` times before; returns the target.
fn open(fixture: &mut Fixture, caller: u16, copies: u32) -> TargetId {
    let target = target_of(fixture.open_copy(caller, copies));
    fixture.mark = Some(Mark::of(target));
    target
}

/// Opens a flow, sends a request and acknowledges its answer after `millis`.
fn answer_after(fixture: &mut Fixture, caller: u16, millis: u64) {
    open(fixture, caller, 0);
    fixture.send_data(caller, 1, 0);
    fixture.advance(millis);
    fixture.send(caller, SegmentKind::Data, 10, 2, 0);
}

/// Sends a request and repeats it without an answer until its timeout has passed.
fn ask_in_vain(fixture: &mut Fixture, caller: u16) {
    fixture.send_data(caller, 1, 0);
    for _ in 0..TIMEOUT_STEPS {
        fixture.advance(400);
        fixture.send_data(caller, 1, 0);
    }
}

#[test]
fn an_answer_within_the_objective_is_on_time() {
    let mut fixture = Fixture::new(&[1]);
    answer_after(&mut fixture, 1, 100);
    assert_eq!(counts(&mut fixture), RequestCounts { on_time: 1, ..RequestCounts::default() });
    assert_eq!(counts(&mut fixture), RequestCounts::default(), "counts are taken once");
}

#[test]
fn a_late_answer_of_an_idle_target_is_due_to_the_target() {
    let mut fixture = Fixture::new(&[1]);
    answer_after(&mut fixture, 1, LATE_MS);
    assert_eq!(only_miss(&mut fixture), (Miss::Late, LossCause::TargetSlow));
}

#[test]
fn a_late_answer_behind_other_requests_is_due_to_the_queue() {
    let mut fixture = Fixture::new(&[1]);
    for caller in 2..4 {
        open(&mut fixture, caller, 0);
        fixture.send_data(caller, 1, 0);
    }
    answer_after(&mut fixture, 1, LATE_MS);
    assert_eq!(only_miss(&mut fixture), (Miss::Late, LossCause::TargetBusy));
}

#[test]
fn copies_of_a_syn_that_no_host_saw_make_an_answer_late() {
    let mut fixture = Fixture::new(&[1]);
    answer_after(&mut fixture, 9, 1000);
    counts(&mut fixture);
    open(&mut fixture, 1, 2);
    fixture.send_data(1, 1, 0);
    fixture.advance(50);
    fixture.send(1, SegmentKind::Data, 10, 2, 0);
    assert_eq!(only_miss(&mut fixture), (Miss::Late, LossCause::SynLost));
}

#[test]
fn only_the_first_request_of_a_flow_waits_for_its_syn() {
    let mut fixture = Fixture::new(&[1]);
    open(&mut fixture, 1, 2);
    fixture.send_data(1, 1, 0);
    fixture.send(1, SegmentKind::Data, 10, 2, 0);
    counts(&mut fixture);
    fixture.send_data(1, 2, 10);
    fixture.advance(50);
    fixture.send(1, SegmentKind::Data, 20, 3, 0);
    assert_eq!(counts(&mut fixture).on_time, 1);
}

#[test]
fn a_request_that_is_repeated_in_vain_is_lost() {
    let mut fixture = Fixture::new(&[1]);
    open(&mut fixture, 1, 0);
    ask_in_vain(&mut fixture, 1);
    assert_eq!(only_miss(&mut fixture), (Miss::Lost, LossCause::TargetUnresponsive));
}

#[test]
fn a_request_to_a_silent_target_is_lost_to_a_dead_target() {
    let mut fixture = Fixture::with_at_most_once(&[1]);
    let target = open(&mut fixture, 1, 0);
    fixture.send_data(1, 1, 0);
    fixture.set_silent(target, true);
    ask_in_vain(&mut fixture, 1);
    assert_eq!(only_miss(&mut fixture), (Miss::Lost, LossCause::TargetDead));
}

/// The caller's later packets went through another host, which counts the request.
#[test]
fn a_request_whose_flow_moved_to_another_host_is_not_counted() {
    let mut fixture = Fixture::new(&[1]);
    open(&mut fixture, 1, 0);
    fixture.send_data(1, 1, 0);
    fixture.advance(3000);
    assert_eq!(counts(&mut fixture), RequestCounts::default());
}

#[test]
fn a_syn_without_an_answer_is_lost_once_it_was_repeated() {
    let mut fixture = Fixture::new(&[1]);
    open(&mut fixture, 5, 0);
    fixture.advance(200);
    fixture.acknowledge_answer(TargetId(1));
    open(&mut fixture, 5, 1);
    fixture.advance(2000);
    let missed = counts(&mut fixture).missed;
    assert_eq!(
        missed.keys().copied().collect::<Vec<_>>(),
        [(Miss::Lost, LossCause::SynUnanswered)]
    );
}

#[test]
fn leaving_and_cold_targets_explain_late_answers() {
    let cases = [
        (Entry { phase: Phase::Draining, ..entry(1, "desk") }, LossCause::TargetDraining),
        (Entry { warmup: Span(5000), ..entry(1, "desk") }, LossCause::TargetCold),
    ];
    for (changed, cause) in cases {
        let mut fixture = Fixture::new(&[1]);
        open(&mut fixture, 1, 0);
        fixture.send_data(1, 1, 0);
        fixture.set_entry(&changed);
        fixture.advance(LATE_MS);
        fixture.send(1, SegmentKind::Data, 10, 2, 0);
        assert_eq!(only_miss(&mut fixture), (Miss::Late, cause));
    }
}

#[test]
fn a_stall_of_the_host_explains_late_answers() {
    let mut fixture = Fixture::new(&[1]);
    open(&mut fixture, 1, 0);
    fixture.advance(200);
    fixture.send_data(1, 1, 0);
    fixture.stall(1200);
    fixture.send(1, SegmentKind::Data, 10, 2, 0);
    assert_eq!(only_miss(&mut fixture), (Miss::Late, LossCause::HostStalled));
}

/// The first answers after a start belong to requests that callers have repeated for some time.
#[test]
fn flows_that_were_open_before_a_start_are_due_to_the_start() {
    let mut fixture = Fixture::just_started(&[1]);
    fixture.mark = Some(Mark::of(TargetId(1)));
    fixture.send_data(1, 1, 0);
    fixture.advance(LATE_MS);
    fixture.send(1, SegmentKind::Data, 10, 2, 0);
    assert_eq!(only_miss(&mut fixture), (Miss::Late, LossCause::HostStarted));
}

#[test]
fn refusals_are_lost_with_their_reason() {
    let mut fixture = Fixture::new(&[1]);
    let target = open(&mut fixture, 1, 0);
    fixture.send_data(1, 1, 0);
    fixture.set_phase(target, Phase::Gone);
    fixture.advance(1000);
    fixture.send_data(1, 1, 0);
    assert_eq!(only_miss(&mut fixture), (Miss::Lost, LossCause::Refused(Cause::TargetGone)));
    fixture.open(2);
    assert_eq!(only_miss(&mut fixture), (Miss::Lost, LossCause::Refused(Cause::NoTarget)));
}

#[test]
fn causes_of_whole_hosts_and_data_centres_come_first() {
    let all = Circumstances {
        unseen_syns: 1,
        repeated_syns: 1,
        repeated_data: 1,
        host_started: true,
        host_stalled: false,
        host_cut_off: true,
        centre_unreachable: true,
        target_dead: true,
        target_unresponsive: true,
        target_draining: true,
        target_cold: true,
        target_busy: true,
    };
    assert_eq!(all.cause(), LossCause::HostStarted);
    let reachable = Circumstances { host_started: false, unseen_syns: 0, ..all };
    assert_eq!(reachable.cause(), LossCause::CentreUnreachable);
    let target = Circumstances { centre_unreachable: false, ..reachable };
    assert_eq!(target.cause(), LossCause::TargetDead);
}
