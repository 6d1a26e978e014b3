//! Tests that the judge reports violated invariants and accepts permitted behaviour.

use std::net::Ipv4Addr;

use lagoon_soak::judge::{
    APPLY_DEADLINE, DRAIN_DEADLINE, EVACUATION_DEADLINE, FirstPacket, Frontend, Judge, Millis,
    Promise, STABILIZATION_TIME,
};

const HOST: Ipv4Addr = Ipv4Addr::new(127, 0, 1, 1);

/// A time at which the system is stable.
const STABLE_AT: Millis = 100_000;

fn first_packet(sent_at: Millis, seen_at: Millis) -> FirstPacket {
    FirstPacket { host: HOST, sent_at, seen_at }
}

fn found_promises(judge: &Judge) -> Vec<Promise> {
    judge.findings().iter().map(|finding| finding.promise).collect()
}

/// Creates a judge of a system that accepted version 3 at 300 ms and version 5 at 500 ms.
fn judge() -> Judge {
    let mut judge = Judge::default();
    for version in [3, 5] {
        judge.record_sent(version);
        judge.record_accepted(version, version * 100);
    }
    judge
}

#[test]
fn flow_to_wrong_service_or_without_route_is_reported() {
    let mut judge = judge();
    judge.check_opened(first_packet(STABLE_AT, STABLE_AT), Frontend::Permanent(1), 7, 1);
    assert!(judge.findings().is_empty());
    judge.check_opened(first_packet(STABLE_AT, STABLE_AT), Frontend::Permanent(1), 7, 0);
    judge.check_opened(first_packet(STABLE_AT, STABLE_AT), Frontend::Unrouted, 7, 0);
    assert_eq!(found_promises(&judge), [Promise::Route, Promise::Route]);
}

#[test]
fn older_version_is_allowed_until_deadline_and_during_faults() {
    let mut judge = judge();
    judge.check_opened(
        first_packet(500 + APPLY_DEADLINE - 1, STABLE_AT),
        Frontend::Versioned(3),
        7,
        0,
    );
    judge.begin_entry_fault(HOST);
    judge.check_opened(first_packet(STABLE_AT, STABLE_AT), Frontend::Versioned(3), 7, 0);
    judge.end_entry_fault(HOST, STABLE_AT);
    judge.check_opened(
        first_packet(STABLE_AT, STABLE_AT + STABILIZATION_TIME - 1),
        Frontend::Versioned(3),
        7,
        0,
    );
    assert!(judge.findings().is_empty());
    judge.check_opened(
        first_packet(STABLE_AT, STABLE_AT + STABILIZATION_TIME),
        Frontend::Versioned(3),
        7,
        0,
    );
    assert_eq!(found_promises(&judge), [Promise::Applied]);
}

#[test]
fn refused_route_of_newest_version_is_reported() {
    let mut judge = judge();
    judge.check_refused(first_packet(STABLE_AT, STABLE_AT), Frontend::Versioned(5), false);
    judge.check_refused(first_packet(STABLE_AT, STABLE_AT), Frontend::Versioned(3), true);
    assert!(judge.findings().is_empty(), "the service has no target, or the version is older");
    judge.check_refused(first_packet(STABLE_AT, STABLE_AT), Frontend::Versioned(5), true);
    judge.record_sent(6);
    judge.check_refused(first_packet(STABLE_AT, STABLE_AT), Frontend::Versioned(5), true);
    assert_eq!(found_promises(&judge), [Promise::Applied], "version 6 may already be active");
}

#[test]
fn return_to_older_version_is_reported_at_any_time_except_after_restart() {
    let mut judge = judge();
    judge.check_opened(first_packet(300, 300), Frontend::Versioned(5), 7, 0);
    judge.begin_control_fault();
    judge.check_opened(first_packet(2000, 2000), Frontend::Versioned(3), 7, 0);
    assert!(judge.findings().is_empty(), "the packet was in flight");
    judge.check_opened(first_packet(2400, 2400), Frontend::Versioned(3), 7, 0);
    assert_eq!(found_promises(&judge), [Promise::Backward]);
    judge.record_start(HOST);
    judge.check_opened(first_packet(2500, 2500), Frontend::Versioned(3), 7, 0);
    assert_eq!(judge.findings().len(), 1);
}

#[test]
fn new_flow_to_drained_target_is_reported_after_deadline() {
    let mut judge = judge();
    judge.record_drained(7, STABLE_AT);
    judge.check_opened(
        first_packet(STABLE_AT + 1, STABLE_AT + DRAIN_DEADLINE),
        Frontend::Permanent(0),
        7,
        0,
    );
    judge.check_opened(
        first_packet(STABLE_AT - 1, STABLE_AT + DRAIN_DEADLINE + 1),
        Frontend::Permanent(0),
        7,
        0,
    );
    assert!(judge.findings().is_empty());
    judge.check_opened(
        first_packet(STABLE_AT + 1, STABLE_AT + DRAIN_DEADLINE + 1),
        Frontend::Permanent(0),
        7,
        0,
    );
    assert_eq!(found_promises(&judge), [Promise::Drain]);
}

#[test]
fn older_read_is_reported_at_any_time() {
    let mut judge = judge();
    judge.begin_control_fault();
    judge.check_read(HOST, 500 + APPLY_DEADLINE - 1, STABLE_AT, 3);
    assert!(judge.findings().is_empty());
    judge.check_read(HOST, 500 + APPLY_DEADLINE, STABLE_AT, 3);
    assert_eq!(found_promises(&judge), [Promise::Read]);
}

#[test]
fn unserved_flow_is_reported_while_stable() {
    let mut judge = judge();
    judge.check_unanswered(&[HOST], STABLE_AT, STABLE_AT + 1400, Frontend::Versioned(5));
    judge.record_crash(STABLE_AT - 1);
    judge.check_unanswered(&[HOST], STABLE_AT, STABLE_AT + 1400, Frontend::Permanent(0));
    assert!(judge.findings().is_empty());
    let later = STABLE_AT + 3 * STABILIZATION_TIME;
    judge.check_unanswered(&[HOST], later, later + 1400, Frontend::Permanent(0));
    judge.check_refused(first_packet(later, later), Frontend::Permanent(0), true);
    assert_eq!(found_promises(&judge), [Promise::Served, Promise::Served]);
}

#[test]
fn loss_of_control_majority_doubles_stabilization_time() {
    let mut judge = judge();
    judge.begin_control_fault();
    judge.end_control_fault(STABLE_AT, true);
    assert!(!judge.is_stable(HOST, STABLE_AT + 2 * STABILIZATION_TIME - 1));
    assert!(judge.is_stable(HOST, STABLE_AT + 2 * STABILIZATION_TIME));
}

#[test]
fn new_flow_in_an_evacuated_data_centre_is_reported_after_deadline() {
    let mut judge = judge();
    let late = STABLE_AT + EVACUATION_DEADLINE + 1;
    assert!(judge.takes_flows(STABLE_AT));
    judge.record_order_sent(true, STABLE_AT - 1);
    judge.check_evacuated(first_packet(late, late));
    assert_eq!(judge.is_evacuated(), None, "the order was not accepted yet");
    judge.record_order_accepted(STABLE_AT);
    judge.check_evacuated(first_packet(STABLE_AT + 1, late - 1));
    judge.check_evacuated(first_packet(STABLE_AT, late));
    assert!(judge.findings().is_empty() && !judge.takes_flows(late));
    judge.check_evacuated(first_packet(STABLE_AT + 1, late));
    assert_eq!(found_promises(&judge), [Promise::Evacuated]);
    judge.record_order_sent(false, late);
    judge.check_evacuated(first_packet(late, late));
    judge.record_order_accepted(late);
    assert_eq!((judge.findings().len(), judge.is_evacuated()), (1, Some(false)));
    assert!(!judge.takes_flows(late) && judge.takes_flows(late + EVACUATION_DEADLINE));
}

#[test]
fn read_of_another_state_than_the_accepted_one_is_reported_at_any_time() {
    let mut judge = judge();
    judge.begin_control_fault();
    judge.record_order_sent(true, 900);
    judge.check_order_read(HOST, judge.order(), 950, false);
    let sent_before = judge.order();
    judge.record_order_accepted(1000);
    judge.check_order_read(HOST, sent_before, 1100, false);
    judge.check_order_read(HOST, judge.order(), 1200, true);
    assert!(judge.findings().is_empty(), "the order was accepted during the read");
    judge.check_order_read(HOST, judge.order(), 1300, false);
    assert_eq!(found_promises(&judge), [Promise::Read]);
}

/// Guards against conflicts under a version that is still being sent (seed 4577, promises "read" and "route"):
/// the other content may arrive first, and is then accepted.
#[test]
fn only_an_accepted_version_is_used_for_a_conflict() {
    let mut judge = Judge::default();
    judge.record_sent(7);
    assert_eq!(judge.accepted_version(STABLE_AT, 0), None);
    judge.record_accepted(6, STABLE_AT);
    assert_eq!(judge.accepted_version(STABLE_AT, 0), Some(6));
}
