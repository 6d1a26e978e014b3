//! Each promise that is broken is found, and what is allowed is not.

use std::net::Ipv4Addr;

use lagoon_soak::judge::{APPLY, DRAIN, Front, Judge, Millis, Passage, Promise, WINDOW};

const HOST: Ipv4Addr = Ipv4Addr::new(127, 0, 1, 1);

/// A time at which nothing is wrong any more.
const LATER: Millis = 100_000;

fn passage(sent: Millis, now: Millis) -> Passage {
    Passage { host: HOST, sent, now }
}

fn found(judge: &Judge) -> Vec<Promise> {
    judge.findings().iter().map(|finding| finding.promise).collect()
}

/// A judge of a system whose versions 3 and 5 were accepted early on.
fn judge() -> Judge {
    let mut judge = Judge::default();
    for version in [3, 5] {
        judge.offered(version);
        judge.took(version, version * 100);
    }
    judge
}

#[test]
fn a_flow_at_another_service_or_without_a_route_is_found() {
    let mut judge = judge();
    judge.opened(passage(LATER, LATER), Front::Steady(1), 7, 1);
    assert!(judge.findings().is_empty());
    judge.opened(passage(LATER, LATER), Front::Steady(1), 7, 0);
    judge.opened(passage(LATER, LATER), Front::Never, 7, 0);
    assert_eq!(found(&judge), [Promise::Route, Promise::Route]);
}

#[test]
fn an_older_version_is_allowed_for_a_while_and_where_something_is_wrong() {
    let mut judge = judge();
    judge.opened(passage(500 + APPLY - 1, LATER), Front::Version(3), 7, 0);
    judge.begin(HOST);
    judge.opened(passage(LATER, LATER), Front::Version(3), 7, 0);
    judge.end(HOST, LATER);
    judge.opened(passage(LATER, LATER + WINDOW - 1), Front::Version(3), 7, 0);
    assert!(judge.findings().is_empty());
    judge.opened(passage(LATER, LATER + WINDOW), Front::Version(3), 7, 0);
    assert_eq!(found(&judge), [Promise::Applied]);
}

#[test]
fn a_refused_route_of_the_newest_version_is_found() {
    let mut judge = judge();
    judge.refused(passage(LATER, LATER), Front::Version(5), false);
    judge.refused(passage(LATER, LATER), Front::Version(3), true);
    assert!(judge.findings().is_empty(), "no target, or an older version");
    judge.refused(passage(LATER, LATER), Front::Version(5), true);
    judge.offered(6);
    judge.refused(passage(LATER, LATER), Front::Version(5), true);
    assert_eq!(found(&judge), [Promise::Applied], "version 6 may be in force already");
}

#[test]
fn going_back_is_found_at_any_time_but_not_after_a_start() {
    let mut judge = judge();
    judge.opened(passage(300, 300), Front::Version(5), 7, 0);
    judge.begin_core();
    judge.opened(passage(2000, 2000), Front::Version(3), 7, 0);
    assert!(judge.findings().is_empty(), "the packet was on its way");
    judge.opened(passage(2400, 2400), Front::Version(3), 7, 0);
    assert_eq!(found(&judge), [Promise::Backward]);
    judge.started(HOST);
    judge.opened(passage(2500, 2500), Front::Version(3), 7, 0);
    assert_eq!(judge.findings().len(), 1);
}

#[test]
fn a_drained_target_takes_no_flow_after_its_time() {
    let mut judge = judge();
    judge.drained(7, LATER);
    judge.opened(passage(LATER + 1, LATER + DRAIN), Front::Steady(0), 7, 0);
    judge.opened(passage(LATER - 1, LATER + DRAIN + 1), Front::Steady(0), 7, 0);
    assert!(judge.findings().is_empty());
    judge.opened(passage(LATER + 1, LATER + DRAIN + 1), Front::Steady(0), 7, 0);
    assert_eq!(found(&judge), [Promise::Drain]);
}

#[test]
fn an_older_read_is_found_at_any_time() {
    let mut judge = judge();
    judge.begin_core();
    judge.read(HOST, 500 + APPLY - 1, LATER, 3);
    assert!(judge.findings().is_empty());
    judge.read(HOST, 500 + APPLY, LATER, 3);
    assert_eq!(found(&judge), [Promise::Read]);
}

#[test]
fn a_flow_that_is_not_served_is_found_where_all_is_calm() {
    let mut judge = judge();
    judge.unanswered(&[HOST], LATER, LATER + 1400, Front::Version(5));
    judge.crashed(LATER - 1);
    judge.unanswered(&[HOST], LATER, LATER + 1400, Front::Steady(0));
    assert!(judge.findings().is_empty());
    let later = LATER + 3 * WINDOW;
    judge.unanswered(&[HOST], later, later + 1400, Front::Steady(0));
    judge.refused(passage(later, later), Front::Steady(0), true);
    assert_eq!(found(&judge), [Promise::Served, Promise::Served]);
}

#[test]
fn a_fault_that_took_most_control_hosts_counts_for_twice_the_time() {
    let mut judge = judge();
    judge.begin_core();
    judge.end_core(LATER, true);
    assert!(!judge.is_calm(HOST, LATER + 2 * WINDOW - 1));
    assert!(judge.is_calm(HOST, LATER + 2 * WINDOW));
}
