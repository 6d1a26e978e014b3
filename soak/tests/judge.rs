//! Each promise that is broken is found, and what is allowed is not.

use std::net::Ipv4Addr;

use lagoon_soak::judge::{
    APPLY_DEADLINE, DRAIN_DEADLINE, FirstPacket, Frontend, Judge, Millis, Promise,
    STABILIZATION_TIME,
};

const HOST: Ipv4Addr = Ipv4Addr::new(127, 0, 1, 1);

/// A time at which nothing is wrong any more.
const STABLE_AT: Millis = 100_000;

fn first_packet(sent_at: Millis, seen_at: Millis) -> FirstPacket {
    FirstPacket { host: HOST, sent_at, seen_at }
}

fn found_promises(judge: &Judge) -> Vec<Promise> {
    judge.findings().iter().map(|finding| finding.promise).collect()
}

/// A judge of a system whose versions 3 and 5 were accepted early on.
fn judge() -> Judge {
    let mut judge = Judge::default();
    for version in [3, 5] {
        judge.record_sent(version);
        judge.record_accepted(version, version * 100);
    }
    judge
}

#[test]
fn a_flow_at_another_service_or_without_a_route_is_found() {
    let mut judge = judge();
    judge.check_opened(first_packet(STABLE_AT, STABLE_AT), Frontend::Permanent(1), 7, 1);
    assert!(judge.findings().is_empty());
    judge.check_opened(first_packet(STABLE_AT, STABLE_AT), Frontend::Permanent(1), 7, 0);
    judge.check_opened(first_packet(STABLE_AT, STABLE_AT), Frontend::Unrouted, 7, 0);
    assert_eq!(found_promises(&judge), [Promise::Route, Promise::Route]);
}

#[test]
fn an_older_version_is_allowed_for_a_while_and_where_something_is_wrong() {
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
fn a_refused_route_of_the_newest_version_is_found() {
    let mut judge = judge();
    judge.check_refused(first_packet(STABLE_AT, STABLE_AT), Frontend::Versioned(5), false);
    judge.check_refused(first_packet(STABLE_AT, STABLE_AT), Frontend::Versioned(3), true);
    assert!(judge.findings().is_empty(), "no target, or an older version");
    judge.check_refused(first_packet(STABLE_AT, STABLE_AT), Frontend::Versioned(5), true);
    judge.record_sent(6);
    judge.check_refused(first_packet(STABLE_AT, STABLE_AT), Frontend::Versioned(5), true);
    assert_eq!(found_promises(&judge), [Promise::Applied], "version 6 may be in force already");
}

#[test]
fn going_back_is_found_at_any_time_but_not_after_a_start() {
    let mut judge = judge();
    judge.check_opened(first_packet(300, 300), Frontend::Versioned(5), 7, 0);
    judge.begin_control_fault();
    judge.check_opened(first_packet(2000, 2000), Frontend::Versioned(3), 7, 0);
    assert!(judge.findings().is_empty(), "the packet was on its way");
    judge.check_opened(first_packet(2400, 2400), Frontend::Versioned(3), 7, 0);
    assert_eq!(found_promises(&judge), [Promise::Backward]);
    judge.record_start(HOST);
    judge.check_opened(first_packet(2500, 2500), Frontend::Versioned(3), 7, 0);
    assert_eq!(judge.findings().len(), 1);
}

#[test]
fn a_drained_target_takes_no_flow_after_its_time() {
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
fn an_older_read_is_found_at_any_time() {
    let mut judge = judge();
    judge.begin_control_fault();
    judge.check_read(HOST, 500 + APPLY_DEADLINE - 1, STABLE_AT, 3);
    assert!(judge.findings().is_empty());
    judge.check_read(HOST, 500 + APPLY_DEADLINE, STABLE_AT, 3);
    assert_eq!(found_promises(&judge), [Promise::Read]);
}

#[test]
fn a_flow_that_is_not_served_is_found_where_all_is_calm() {
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
fn a_fault_that_took_most_control_hosts_counts_for_twice_the_time() {
    let mut judge = judge();
    judge.begin_control_fault();
    judge.end_control_fault(STABLE_AT, true);
    assert!(!judge.is_stable(HOST, STABLE_AT + 2 * STABILIZATION_TIME - 1));
    assert!(judge.is_stable(HOST, STABLE_AT + 2 * STABILIZATION_TIME));
}
