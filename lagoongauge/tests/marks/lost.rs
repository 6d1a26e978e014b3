//! Open flows whose target seems lost: what is inferred grows old, answers refute it, and alone it ends no
//! flow.

use lagoongauge::id::TargetId;
use lagoongauge::mark::{Cause, Mark, SegmentKind, Verdict};

use crate::world::{Fixture, target_of};

/// The target of the tests; another one serves as well.
const TARGET: TargetId = TargetId(1);

/// Offset of a flow's second request in its data.
const SECOND_REQUEST: u32 = 10;

/// Time after which callers no longer repeat anything that they sent before.
const LONG_AGO_MS: u64 = 3000;

/// Opens a flow to the target that is idle after its first request was answered.
fn open_idle_flow(fixture: &mut Fixture, caller: u16) {
    fixture.mark = Some(Mark::of(TARGET));
    fixture.send_data(caller, 1, 0);
    fixture.send(caller, SegmentKind::Data, SECOND_REQUEST, 100, 0);
}

/// Sends the second request of a flow and repeats it 200 ms later; both reach the target.
fn send_and_repeat(fixture: &mut Fixture, caller: u16) {
    for delay in [0, 200] {
        fixture.advance(delay);
        assert_eq!(target_of(fixture.send_data(caller, 100, SECOND_REQUEST)), TARGET);
    }
}

/// Guards against the resets of review/13: a host on which other callers waited in vain reset the first
/// packet of an idle flow, which waited for nothing.
#[test]
fn an_idle_flow_is_not_reset_on_what_other_flows_met() {
    for cut_off in [false, true] {
        let mut fixture = Fixture::new(&[1, 2]);
        if cut_off {
            fixture.set_remote(TARGET);
            fixture.lose_quorum();
        }
        open_idle_flow(&mut fixture, 1);
        fixture.retransmit_unanswered(2, TARGET);
        fixture.set_silent(TARGET, !cut_off);
        if cut_off {
            fixture.set_remote(TARGET);
        }
        assert_eq!(target_of(fixture.send_data(1, 100, SECOND_REQUEST)), TARGET);
        // A host that has never seen the flow does not know whether it waits.
        assert_eq!(target_of(fixture.send_data(3, 100, SECOND_REQUEST)), TARGET);
    }
}

/// A caller of a target that is gone repeats its request 200 and 600 ms later, and need not wait until it
/// gives up.
#[test]
fn a_request_to_a_lost_target_is_reset_at_its_second_repeat() {
    let mut fixture = Fixture::new(&[1, 2]);
    open_idle_flow(&mut fixture, 1);
    fixture.retransmit_unanswered(2, TARGET);
    fixture.set_silent(TARGET, true);
    send_and_repeat(&mut fixture, 1);
    fixture.advance(400);
    assert_eq!(fixture.send_data(1, 100, SECOND_REQUEST), Verdict::Reset(Cause::TargetLost));
}

/// Guards against the resets of review/13: retransmissions from a cut that was over long ago still spoke
/// against a target.
#[test]
fn old_retransmissions_end_no_flow() {
    let mut fixture = Fixture::new(&[1, 2]);
    open_idle_flow(&mut fixture, 1);
    fixture.retransmit_unanswered(2, TARGET);
    fixture.advance(LONG_AGO_MS);
    fixture.set_silent(TARGET, true);
    for delay in [0, 200, 400] {
        fixture.advance(delay);
        assert_eq!(target_of(fixture.send_data(1, 100, SECOND_REQUEST)), TARGET);
    }
}

/// A target that was out of reach for some seconds gets new flows again, although no flow was left there
/// whose answer could clear it.
#[test]
fn a_target_suspected_long_ago_gets_its_share_of_new_flows() {
    let mut fixture = Fixture::new(&[1, 2]);
    fixture.retransmit_unanswered(1, TARGET);
    fixture.advance(LONG_AGO_MS);
    let targets: Vec<TargetId> = (10..17).map(|caller| target_of(fixture.open(caller))).collect();
    let new_flows = targets.iter().filter(|target| **target == TARGET).count();
    assert_eq!(new_flows, 3, "it has the first flow and three of seven others: {targets:?}");
}

/// A retransmission of long ago does not make the first copy of a SYN leave its target, which may hold half
/// of the flow.
#[test]
fn old_retransmissions_move_no_syn() {
    let mut fixture = Fixture::new(&[1, 2]);
    let target = target_of(fixture.open(1));
    fixture.mark = Some(Mark::of(target));
    fixture.send_data(1, 1, 0);
    fixture.advance(200);
    fixture.send_data(1, 1, 0);
    fixture.advance(LONG_AGO_MS);
    let caller = (2..20).find(|caller| target_of(fixture.open(*caller)) == target).unwrap();
    fixture.advance(200);
    assert_eq!(target_of(fixture.open(caller)), target, "a single answer may have been lost");
}

/// The first packet that a host sees of a flow repeats an acknowledgement of long ago, and is no answer: a
/// caller of a target that is gone does not wait longer because idle flows come from another host.
#[test]
fn a_flow_that_comes_from_another_host_is_no_answer_of_its_target() {
    let mut fixture = Fixture::new(&[1, 2]);
    open_idle_flow(&mut fixture, 1);
    fixture.retransmit_unanswered(2, TARGET);
    fixture.set_silent(TARGET, true);
    send_and_repeat(&mut fixture, 1);
    fixture.send_data(3, 100, SECOND_REQUEST);
    fixture.advance(400);
    assert_eq!(fixture.send_data(1, 100, SECOND_REQUEST), Verdict::Reset(Cause::TargetLost));
}

/// Returns how many of eight new flows go to the target; their callers give up at once.
fn count_placed(fixture: &mut Fixture, first_caller: u16) -> usize {
    let callers = first_caller..first_caller + 8;
    let targets: Vec<TargetId> = callers.map(|caller| target_of(fixture.open(caller))).collect();
    fixture.advance(2000);
    targets.iter().filter(|target| **target == TARGET).count()
}

/// Guards against live targets that get no flows while a control host is cut off (review/13): it has their
/// announcements, and the others report them as silent. An answer refutes that for three seconds.
#[test]
fn an_answer_refutes_an_earlier_report_of_silence() {
    let mut fixture = Fixture::new(&[1, 2]);
    fixture.set_silent(TARGET, true);
    assert_eq!(count_placed(&mut fixture, 10), 0);
    fixture.acknowledge_answer(TARGET);
    assert_eq!(count_placed(&mut fixture, 20), 4);
    fixture.advance(1000);
    assert_eq!(count_placed(&mut fixture, 30), 0, "it may have ended since its last answer");
}

/// An answer from before the report refutes nothing, as a target that crashed answered before, too.
#[test]
fn an_earlier_answer_does_not_refute_a_report_of_silence() {
    let mut fixture = Fixture::new(&[1, 2]);
    fixture.acknowledge_answer(TARGET);
    fixture.advance(200);
    fixture.set_silent(TARGET, true);
    assert_eq!(count_placed(&mut fixture, 10), 0);
}

/// A copy of a SYN leaves a target that is reported as silent, but not one that has answered since: it may
/// hold half of the flow.
#[test]
fn a_copy_of_a_syn_stays_at_a_target_that_refuted_its_silence() {
    for answers in [false, true] {
        let mut fixture = Fixture::new(&[1, 2]);
        let target = target_of(fixture.open(1));
        fixture.set_silent(target, true);
        fixture.advance(200);
        if answers {
            fixture.acknowledge_answer(target);
        }
        assert_eq!(target_of(fixture.open(1)) == target, answers);
    }
}
