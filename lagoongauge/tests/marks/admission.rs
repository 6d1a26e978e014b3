//! Late requests wait for room after a start, and new ones go first.

use lagoongauge::mark::admission::late::Demand;
use lagoongauge::mark::{Mark, SegmentKind, Verdict};

use crate::world::{Fixture, target_of};

/// Copies that the caller of a late request has sent before.
const LATE_COPIES: u32 = 2;

/// Opens flows of late requests until one has to wait; returns the number of the others.
fn admit_late(fixture: &mut Fixture, callers: std::ops::Range<u16>) -> usize {
    let opened = callers.map(|caller| fixture.open_copy(caller, LATE_COPIES));
    opened.take_while(|verdict| *verdict != Verdict::Hold).count()
}

#[test]
fn a_share_has_room_for_one_request_at_least() {
    let demand = |slots, waiting, hosts| Demand { slots, waiting, hosts }.has_room();
    assert!(demand(8, 2, 4), "a quarter of eight slots takes three requests");
    assert!(!demand(8, 3, 4));
    assert!(demand(0, 0, 0), "targets may be unknown yet");
    assert!(!demand(2, 1, 50));
}

#[test]
fn late_requests_wait_until_earlier_ones_are_answered() {
    let mut fixture = Fixture::just_started(&[1, 2]);
    assert_eq!(admit_late(&mut fixture, 10..20), 6, "three for each two of the four slots");
    let mark = target_of(fixture.open_copy(10, LATE_COPIES));
    fixture.mark = Some(Mark::of(mark));
    fixture.send_data(10, 1, 0);
    assert_eq!(fixture.open_copy(30, LATE_COPIES), Verdict::Hold);
    fixture.send(10, SegmentKind::Data, 10, 2, 0);
    assert!(matches!(fixture.open_copy(30, LATE_COPIES), Verdict::Forward { .. }));
}

#[test]
fn new_requests_don_t_wait_for_late_ones() {
    let mut fixture = Fixture::just_started(&[1]);
    admit_late(&mut fixture, 10..20);
    assert!(matches!(fixture.open(30), Verdict::Forward { .. }));
}

#[test]
fn hosts_of_a_data_centre_share_its_slots() {
    let mut fixture = Fixture::just_started(&[1, 2, 3]);
    fixture.router.set_local_hosts(2);
    assert_eq!(admit_late(&mut fixture, 10..20), 3, "three hosts share six slots");
}

/// What arrived before the first catalog is late or was repeated; of later data nobody can tell.
#[test]
fn data_from_before_the_first_catalog_waits_for_room() {
    let mut fixture = Fixture::just_started(&[1]);
    fixture.mark = Some(Mark::of(lagoongauge::id::TargetId(1)));
    let verdicts: Vec<_> = (10..15).map(|caller| fixture.send_held_data(caller)).collect();
    let held = verdicts.iter().filter(|verdict| **verdict == Verdict::Hold).count();
    assert_eq!(held, 2, "one target has room for three: {verdicts:?}");
    let fresh = fixture.send_data(20, 1, 0);
    assert!(matches!(fresh, Verdict::Forward { .. }), "data that arrived after the start");
}

#[test]
fn requests_at_targets_that_don_t_answer_take_no_room() {
    let mut fixture = Fixture::just_started(&[1]);
    assert_eq!(admit_late(&mut fixture, 10..20), 3);
    fixture.set_silent(lagoongauge::id::TargetId(1), true);
    fixture.add_target(2, "desk");
    assert_eq!(admit_late(&mut fixture, 30..40), 3);
}

#[test]
fn a_host_that_has_been_up_for_some_time_holds_nothing() {
    let mut fixture = Fixture::new(&[1]);
    assert_eq!(admit_late(&mut fixture, 10..30), 20);
}

#[test]
fn a_held_request_is_late_once_half_of_its_objective_is_over() {
    let mut fixture = Fixture::just_started(&[1]);
    admit_late(&mut fixture, 10..20);
    for (held_for, waits) in [(70, false), (80, true)] {
        let verdict = fixture.open_after(40 + held_for as u16, held_for);
        assert_eq!(verdict == Verdict::Hold, waits, "after {held_for} ms");
    }
}

/// An operator stops a host while requests wait in it.
#[test]
fn a_host_that_is_asked_to_stop_decides_on_what_waits() {
    let mut fixture = Fixture::just_started(&[1]);
    assert_eq!(admit_late(&mut fixture, 10..20), 3);
    fixture.mark = Some(Mark::of(lagoongauge::id::TargetId(1)));
    assert_eq!(fixture.send_held_data(40), Verdict::Hold);
    assert_eq!(fixture.open_after(50, 80), Verdict::Hold);
    fixture.router.set_stopping();
    for verdict in [fixture.send_held_data(40), fixture.open_after(50, 80)] {
        assert!(matches!(verdict, Verdict::Forward { .. }), "{verdict:?}");
    }
    assert_eq!(admit_late(&mut fixture, 60..80), 20, "nothing waits from now on");
}
