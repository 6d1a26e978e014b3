//! Copies of a SYN: when one goes to a second target, and what happens if both targets answer.

use lagoongauge::id::TargetId;
use lagoongauge::mark::{Cause, Mark, SegmentKind, Verdict};

use crate::target_of;
use crate::world::Fixture;

/// Pause of a caller between two requests, within the idle timeout of the catalog.
const PAUSE_MS: u64 = 12_500;

/// Opens a flow whose SYN was placed at two targets, as the first one was slow; returns both.
fn open_at_two_targets(fixture: &mut Fixture) -> [TargetId; 2] {
    let first = target_of(fixture.open(1));
    fixture.advance(200);
    fixture.open_copy(1, 1);
    fixture.advance(400);
    let second = target_of(fixture.open_copy(1, 2));
    assert_ne!(first, second);
    [first, second]
}

/// Has the caller acknowledge the answer of a target and send a request, which is answered.
fn establish(fixture: &mut Fixture, target: TargetId) {
    fixture.mark = Some(Mark::of(target));
    assert_eq!(target_of(fixture.send(1, SegmentKind::Data, 1, 1, 0)), target);
    assert_eq!(target_of(fixture.send_data(1, 1, 1)), target);
    assert_eq!(target_of(fixture.send(1, SegmentKind::Data, 11, 100, 0)), target);
}

/// Guards against a second target for a flow whose first answer was lost: both would answer, and the
/// caller would hold the sequence number of one and the mark of the other.
#[test]
fn one_lost_answer_to_a_syn_moves_no_flow() {
    let mut fixture = Fixture::new(&[1, 2]);
    let target = target_of(fixture.open(1));
    fixture.advance(200);
    assert_eq!(target_of(fixture.open_copy(1, 1)), target);
}

/// Guards against callers that wait for a target which has died: repeats of two callers are evidence.
#[test]
fn a_copy_of_a_syn_leaves_a_target_at_which_another_caller_waits() {
    let mut fixture = Fixture::new(&[1]);
    let target = target_of(fixture.open(1));
    fixture.open(2);
    fixture.add_target(2, "desk");
    fixture.advance(200);
    assert_eq!(target_of(fixture.open_copy(1, 1)), target);
    assert_ne!(target_of(fixture.open_copy(2, 1)), target);
}

/// Guards against a reset of an open flow after a pause: its mark may name the target at which the flow
/// is not open, so it must not be routed by its mark while its target is known.
#[test]
fn a_flow_whose_syn_reached_two_targets_keeps_its_own_over_a_pause() {
    for own in [0, 1] {
        let mut fixture = Fixture::new(&[1, 2]);
        let targets = open_at_two_targets(&mut fixture);
        establish(&mut fixture, targets[own]);
        fixture.mark = Some(Mark::of(targets[1 - own]));
        fixture.advance(PAUSE_MS);
        assert_eq!(target_of(fixture.send_data(1, 100, 11)), targets[own]);
    }
}

/// Guards against the same on a host that did not see the first SYN: another host may have placed it.
#[test]
fn a_flow_first_seen_by_a_copy_of_its_syn_keeps_its_target_over_a_pause() {
    let mut fixture = Fixture::new(&[1, 2]);
    let target = target_of(fixture.open_copy(1, 2));
    establish(&mut fixture, target);
    fixture.mark = Some(Mark::of(TargetId(3 - target.0)));
    fixture.advance(PAUSE_MS);
    assert_eq!(target_of(fixture.send_data(1, 100, 11)), target);
}

/// Guards against a table that grows without need: any other flow is found by its mark again.
#[test]
fn a_flow_with_one_target_is_forgotten_while_it_is_idle() {
    let mut fixture = Fixture::new(&[1, 2]);
    let target = target_of(fixture.open(1));
    establish(&mut fixture, target);
    fixture.advance(PAUSE_MS);
    assert_eq!(fixture.router.flow_count(), 0);
}

/// Guards against a flow at two targets (review/8): the answer to its SYN was lost, and the copy came by
/// way of another host, as entry hosts joined or left. The first target answers again by itself.
#[test]
fn the_first_copy_of_a_syn_that_another_host_may_have_placed_is_dropped() {
    let mut first = Fixture::new(&[1]);
    let target = target_of(first.open(1));
    let mut second = Fixture::new(&[1, 2]);
    second.retransmit_unanswered(9, target);
    second.mark = None;
    assert_eq!(second.open_copy(1, 1), Verdict::Drop(Cause::EarlyCopy));
    establish(&mut second, target);
    let mut third = Fixture::new(&[1, 2]);
    third.mark = Some(Mark::of(target));
    assert_eq!(target_of(third.send_data(1, 100, 11)), target);
}

/// Guards against callers whose SYN was lost on its way: nobody placed it, and nobody answers by himself.
#[test]
fn the_second_copy_of_an_unknown_syn_is_placed() {
    let mut fixture = Fixture::new(&[1]);
    assert_eq!(fixture.open_copy(1, 1), Verdict::Drop(Cause::EarlyCopy));
    fixture.advance(400);
    assert_eq!(target_of(fixture.open_copy(1, 2)), TargetId(1));
}

/// Guards against a second target for a flow that is open: a copy of its SYN was overtaken on the way to a
/// host that knows the flow by a later packet.
#[test]
fn a_late_copy_of_a_syn_does_not_move_a_flow_that_is_open() {
    for own in [1, 2] {
        let mut fixture = Fixture::new(&[1, 2]);
        establish(&mut fixture, TargetId(own));
        fixture.mark = None;
        assert_eq!(target_of(fixture.open_copy(1, 2)), TargetId(own));
        fixture.mark = Some(Mark::of(TargetId(3 - own)));
        assert_eq!(target_of(fixture.send_data(1, 100, 11)), TargetId(own));
    }
}
