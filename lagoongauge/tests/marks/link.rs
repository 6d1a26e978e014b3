//! A host whose own link is full: what it concludes from repeats and missing answers.

use lagoongauge::id::TargetId;
use lagoongauge::mark::evidence::statement::{MAX_STATEMENTS, Observation};
use lagoongauge::mark::{Cause, Features, FlowKey, Mark, Segment, SegmentKind, Verdict};
use lagoongauge::time::Span;

use crate::retransmit_to;
use crate::world::{Fixture, OTHER_FRONTEND, bulk_catalog, segment, target_of};

/// Bytes per second of the host's link.
const LINK_RATE: u64 = 600_000;

/// Caller of an upload that fills the link.
const UPLOADER: u16 = 90;

/// Packets of 1,200 bytes that fill the link for 100 ms.
const PACKETS_PER_STEP: u32 = 48;

const LOCAL: TargetId = TargetId(1);

/// Creates a host with a limited link, two targets in its own data centre and two in another one.
fn limited_host() -> Fixture {
    let features = Features { contended: true, link_rate: Some(LINK_RATE), ..Features::default() };
    let mut fixture = Fixture::with_features(&[1, 2, 3, 4], features);
    fixture.set_centre(&[3, 4], "b");
    fixture
}

/// Sends what fills the link for 100 ms to a target of this data centre, which answers.
fn fill_link(fixture: &mut Fixture) {
    let mark = fixture.mark.replace(Mark::of(LOCAL));
    for packet in 0..PACKETS_PER_STEP {
        let verdict = fixture.send(UPLOADER, SegmentKind::Data, 1200 * packet, 1, 1200);
        assert_eq!(target_of(verdict), LOCAL);
    }
    fixture.mark = mark;
    fixture.acknowledge_answer(LOCAL);
}

/// Fills the link for as long as its use is measured.
fn keep_link_full(fixture: &mut Fixture) {
    for _ in 0..2 {
        fill_link(fixture);
        fixture.advance(100);
    }
}

/// During a burst of uploads, repeats and acknowledgements of all callers wait on the host's own
/// link. The few targets that it uses in another data centre then seem to answer nobody.
#[test]
fn a_full_link_resets_no_flow_of_another_data_centre() {
    let verdicts = retransmit_to(&mut limited_host(), [3, 4], fill_link);
    assert_eq!(verdicts.map(target_of), [TargetId(3), TargetId(4)]);
}

#[test]
fn a_cut_off_data_centre_is_noticed_once_the_link_is_free() {
    let mut fixture = limited_host();
    keep_link_full(&mut fixture);
    fixture.advance(2000);
    let verdicts = retransmit_to(&mut fixture, [3, 4], |host| host.acknowledge_answer(LOCAL));
    assert_eq!(verdicts, [Verdict::Reset(Cause::TargetLost); 2]);
}

/// Messages of control hosts wait on the full link as well.
#[test]
fn a_host_with_a_full_link_does_not_take_itself_as_cut_off() {
    let mut fixture = limited_host();
    fixture.lose_quorum();
    keep_link_full(&mut fixture);
    fixture.retransmit_unanswered(10, TargetId(3));
    fixture.mark = Some(Mark::of(TargetId(3)));
    assert_eq!(target_of(fixture.send_data(10, 1, 0)), TargetId(3));
}

/// The answer to the first SYN waits on the full link, and a second target would answer as well.
#[test]
fn a_copy_of_a_syn_keeps_its_target_while_the_link_is_full() {
    let mut fixture = limited_host();
    let mut flows = (10..30).map(|caller| (caller, target_of(fixture.open(caller))));
    let (caller, target) = flows.find(|(_, target)| *target != LOCAL).unwrap();
    keep_link_full(&mut fixture);
    assert_eq!(target_of(fixture.open(caller)), target);
}

/// The doubts of a host whose own link is full would eject targets that answer everybody else.
#[test]
fn a_host_with_a_full_link_doubts_no_target_to_others() {
    for (full, doubts) in [(false, 1), (true, 0)] {
        let mut fixture = limited_host();
        fixture.router.set_local_hosts(5);
        let silent = target_of(fixture.open(1));
        fixture.now = fixture.now + Span(10);
        let other = target_of(fixture.open(2));
        assert_ne!(other, silent);
        fixture.now = fixture.now + Span(100);
        fixture.mark = Some(Mark::of(other));
        fixture.send(2, SegmentKind::Data, 0, 1, 0);
        for _ in 0..if full { 2 } else { 0 } {
            fill_link(&mut fixture);
        }
        let mut statements = Vec::new();
        fixture.router.update_evidence(fixture.now);
        fixture.router.take_statements(fixture.now, MAX_STATEMENTS, &mut statements);
        let said = statements.iter().filter(|said| said.mark == Mark::of(silent));
        let doubted = said.filter(|said| said.observation != Observation::Answer);
        assert_eq!(doubted.count(), doubts, "link full: {full}");
    }
}

/// Sends a packet of an upload that was placed on the target, perhaps by another host.
fn send_bulk(fixture: &mut Fixture, caller: u16, kind: SegmentKind) -> Verdict {
    let plain = segment(caller, kind, 0, if kind == SegmentKind::Data { 1200 } else { 0 });
    let flow_key = FlowKey { frontend: OTHER_FRONTEND, ..plain.flow_key };
    let mark = Some(Mark::of(LOCAL));
    fixture.router.decide(fixture.now, &Segment { flow_key, mark, acknowledged: 5001, ..plain })
}

/// Creates a host whose link has room for three uploads, all of them taken.
fn host_without_room() -> Fixture {
    let mut fixture = limited_host();
    fixture.router.set_catalog(&bulk_catalog(2));
    for caller in 10..13 {
        target_of(fixture.open_to(caller, OTHER_FRONTEND));
    }
    assert_eq!(fixture.open_to(13, OTHER_FRONTEND), Verdict::Hold);
    fixture
}

#[test]
fn an_upload_waits_until_another_one_ends() {
    let mut fixture = host_without_room();
    target_of(fixture.open(14));
    target_of(send_bulk(&mut fixture, 10, SegmentKind::Fin));
    target_of(fixture.open_to(13, OTHER_FRONTEND));
    assert_eq!(fixture.open_to(15, OTHER_FRONTEND), Verdict::Hold);
}

/// The fabric moves open flows between hosts; nothing tells their callers that they did not run.
#[test]
fn an_upload_that_began_elsewhere_is_forwarded_and_takes_room() {
    let mut fixture = host_without_room();
    target_of(send_bulk(&mut fixture, 20, SegmentKind::Data));
    target_of(send_bulk(&mut fixture, 10, SegmentKind::Fin));
    assert_eq!(fixture.open_to(13, OTHER_FRONTEND), Verdict::Hold);
}

#[test]
fn an_upload_without_packets_makes_room() {
    let mut fixture = host_without_room();
    fixture.advance(600);
    target_of(fixture.open_to(13, OTHER_FRONTEND));
}

#[test]
fn uploads_whose_turn_would_come_too_late_are_refused_at_once() {
    let mut fixture = host_without_room();
    let verdicts: Vec<_> = (30..60).map(|caller| fixture.open_to(caller, OTHER_FRONTEND)).collect();
    assert_eq!(verdicts[0], Verdict::Hold);
    assert_eq!(verdicts[29], Verdict::Reset(Cause::LinkFull));
}

/// Another host may have forwarded the first SYN, so that a reset would not be true.
#[test]
fn a_copy_of_an_upload_s_syn_is_never_refused() {
    let mut fixture = host_without_room();
    for caller in 30..60 {
        let copy = segment(caller, SegmentKind::Syn, 0, 0);
        let flow_key = FlowKey { frontend: OTHER_FRONTEND, ..copy.flow_key };
        let first = Segment { flow_key, acknowledged: 1, ..copy };
        let verdict = fixture.router.decide(fixture.now, &first);
        assert_eq!(verdict, Verdict::Drop(Cause::EarlyCopy), "caller {caller}");
        let copy = Segment { acknowledged: 2, ..first };
        let verdict = fixture.router.decide(fixture.now, &copy);
        let yields = matches!(verdict, Verdict::Hold | Verdict::Drop(Cause::LinkFull));
        assert!(yields, "caller {caller}: {verdict:?}");
    }
}
