//! New flows while data centres are evacuated; this host's own is "a".

use lagoongauge::id::TargetId;
use lagoongauge::mark::{Cause, Mark, Verdict};

use crate::world::{Fixture, target_of};

fn evacuate(fixture: &mut Fixture, centres: &[&str]) {
    let centres: Vec<String> = centres.iter().map(ToString::to_string).collect();
    fixture.router.set_evacuated(&centres);
}

/// Creates a host with the targets 1 and 2 in its own data centre, 3 and 4 in "b", 5 in "c".
fn three_centres() -> Fixture {
    let mut fixture = Fixture::new(&[1, 2, 3, 4, 5]);
    fixture.set_centre(&[3, 4], "b");
    fixture.set_centre(&[5], "c");
    fixture
}

fn open_many(fixture: &mut Fixture, callers: std::ops::Range<u16>) -> Vec<TargetId> {
    callers.map(|caller| target_of(fixture.open(caller))).collect()
}

#[test]
fn new_flows_avoid_an_evacuated_data_centre_until_it_is_taken_back() {
    let mut fixture = three_centres();
    evacuate(&mut fixture, &["a"]);
    let opened = open_many(&mut fixture, 10..110);
    assert!(opened.iter().all(|target| target.0 > 2), "{opened:?}");
    assert_eq!(fixture.router.serving_count(fixture.now), 3);
    evacuate(&mut fixture, &[]);
    let opened = open_many(&mut fixture, 200..300);
    assert!(opened.iter().any(|target| target.0 <= 2), "{opened:?}");
    assert_eq!(fixture.router.serving_count(fixture.now), 5);
}

#[test]
fn open_flows_stay_and_copies_of_unanswered_syns_move() {
    let mut fixture = three_centres();
    evacuate(&mut fixture, &["b", "c"]);
    let (open, opening) = (target_of(fixture.open(10)), target_of(fixture.open(11)));
    assert!(open.0 <= 2 && opening.0 <= 2);
    fixture.mark = Some(Mark::of(open));
    fixture.send_data(10, 1, 0);
    fixture.mark = None;
    evacuate(&mut fixture, &["a"]);
    assert_eq!(target_of(fixture.open(10)), open, "a late copy of an open flow's SYN");
    assert!(target_of(fixture.open_copy(11, 1)).0 > 2);
    fixture.mark = Some(Mark::of(open));
    assert_eq!(target_of(fixture.send_data(10, 2, 10)), open);
    // Any host forwards a flow that opened before, also one that did not see it open.
    assert_eq!(target_of(fixture.send_data(12, 1, 0)), open);
}

#[test]
fn syns_that_were_held_at_the_start_follow_the_evacuation() {
    let mut fixture = Fixture::without_catalog(&[1, 2]);
    fixture.set_centre(&[2], "b");
    assert_eq!(fixture.open(10), Verdict::Hold);
    evacuate(&mut fixture, &["a"]);
    fixture.set_routes(1, &[(crate::world::FRONTEND, "desk")]);
    assert_eq!(target_of(fixture.open_after(10, 50)), TargetId(2));
}

#[test]
fn without_another_target_callers_are_refused_at_once() {
    let mut fixture = three_centres();
    evacuate(&mut fixture, &["a", "b", "c"]);
    assert_eq!(fixture.open(10), Verdict::Reset(Cause::NoTarget));
    let mut single = Fixture::new(&[1]);
    evacuate(&mut single, &["a"]);
    assert_eq!(single.open(10), Verdict::Reset(Cause::NoTarget));
}

#[test]
fn an_evacuation_may_precede_the_data_centres_first_target() {
    let mut fixture = Fixture::new(&[1]);
    evacuate(&mut fixture, &["d"]);
    fixture.set_centre(&[7], "d");
    let opened = open_many(&mut fixture, 10..40);
    assert!(opened.iter().all(|target| target.0 == 1), "{opened:?}");
}

/// Late requests wait for the slots of other data centres only: those of this one get none of them.
#[test]
fn evacuated_slots_make_no_room_for_late_requests() {
    let admitted = |evacuated: &[&str]| {
        let mut fixture = Fixture::just_started(&[1, 2, 3, 4]);
        fixture.set_centre(&[4], "b");
        evacuate(&mut fixture, evacuated);
        let opened = (10..30).map(|caller| fixture.open_copy(caller, 2));
        opened.take_while(|verdict| *verdict != Verdict::Hold).count()
    };
    assert_eq!(admitted(&[]), 9, "three for each two of six slots");
    assert_eq!(admitted(&["a"]), 1, "one at least, at the target of the other data centre");
}

/// "b" is cut off, which callers' packets only suggest. Its targets are the last resort, and those of
/// the evacuated data centre are none: its operator may be about to switch it off.
#[test]
fn an_evacuated_data_centre_is_not_used_while_another_is_cut_off() {
    let mut fixture = Fixture::new(&[1, 2, 3, 5]);
    fixture.set_centre(&[2, 3], "b");
    fixture.set_centre(&[5], "c");
    crate::retransmit_to(&mut fixture, [2, 3], |fixture| fixture.acknowledge_answer(TargetId(1)));
    evacuate(&mut fixture, &["a"]);
    let opened = open_many(&mut fixture, 100..120);
    assert!(opened.iter().all(|target| target.0 == 5), "{opened:?}");
    evacuate(&mut fixture, &["a", "c"]);
    let opened = open_many(&mut fixture, 200..220);
    assert!(opened.iter().all(|target| [2, 3].contains(&target.0)), "{opened:?}");
}
