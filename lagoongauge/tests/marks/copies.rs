//! Copies of a SYN: when one goes to a second target, and what happens if both targets answer.

use lagoongauge::id::TargetId;
use lagoongauge::mark::{Mark, SegmentKind};

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
    let target = target_of(fixture.open_copy(1, 1));
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
