//! Packets that arrive before the first catalog are held, bounded in number and time.

use lagoongauge::mark::flow::held::HeldPackets;
use lagoongauge::mark::{Segment, SegmentKind, Verdict};
use lagoongauge::time::{Instant, Span};

use crate::world::{Fixture, segment};

const START: Instant = Instant(100_000);

fn syn(caller: u16, copies: u32) -> Segment {
    Segment { acknowledged: copies, ..segment(caller, SegmentKind::Syn, 0, 0) }
}

fn data(caller: u16, from: u32) -> Segment {
    segment(caller, SegmentKind::Data, from, 10)
}

fn released(held: &mut HeldPackets, after: u64) -> Vec<Segment> {
    let released = held.take(START + Span(after));
    released.packets.into_iter().map(|packet| packet.segment).collect()
}

#[test]
fn a_host_without_a_catalog_holds_packets_instead_of_dropping_them() {
    let mut fixture = Fixture::without_catalog(&[1]);
    assert_eq!(fixture.open(1), Verdict::Hold);
    assert_eq!(fixture.send_data(1, 1, 0), Verdict::Hold);
    fixture.set_routes(1, &[(crate::world::FRONTEND, "desk")]);
    assert!(matches!(fixture.open(1), Verdict::Forward { .. }));
}

#[test]
fn packets_are_released_in_order_of_arrival() {
    let mut held = HeldPackets::default();
    let packets = [syn(1, 0), data(2, 0), data(3, 0)];
    for packet in &packets {
        assert!(held.hold(START, packet, &[7]));
    }
    assert_eq!(released(&mut held, 10), packets);
    assert_eq!(released(&mut held, 10), []);
}

/// Packets that still have to wait are put back in any order.
#[test]
fn packets_that_are_put_back_keep_their_order() {
    let mut held = HeldPackets::default();
    let packets: Vec<Segment> = (1..5).map(|caller| data(caller, 0)).collect();
    for (packet, arrived) in packets.iter().zip(0..) {
        held.hold(START + Span(arrived), packet, &[0]);
    }
    let taken = held.take(START + Span(10)).packets;
    taken.into_iter().rev().for_each(|packet| held.put_back(packet));
    assert_eq!(released(&mut held, 20), packets);
}

#[test]
fn of_several_copies_only_the_last_is_released() {
    let mut held = HeldPackets::default();
    held.hold(START, &syn(1, 0), &[0]);
    held.hold(START + Span(200), &syn(1, 1), &[1]);
    held.hold(START, &data(2, 0), &[0]);
    held.hold(START + Span(200), &data(2, 0), &[1]);
    held.hold(START, &data(2, 10), &[2]);
    let bytes: Vec<_> =
        held.take(START + Span(250)).packets.into_iter().map(|packet| packet.bytes).collect();
    assert_eq!(bytes, [[1], [1], [2]]);
}

/// A host that saw the SYN knows that no other one placed it, so it need not wait for the second copy.
#[test]
fn a_held_syn_is_released_as_its_first_copy() {
    let mut held = HeldPackets::default();
    held.hold(START, &syn(1, 0), &[0]);
    held.hold(START + Span(200), &syn(1, 1), &[1]);
    assert_eq!(released(&mut held, 250), [syn(1, 0)]);
}

/// The next copy may reach another host, which would place the flow at another target.
#[test]
fn a_syn_is_not_released_after_its_caller_sent_the_next_copy() {
    for (copies, next_copy) in [(0, 200), (1, 400), (2, 800)] {
        let mut held = HeldPackets::default();
        held.hold(START, &syn(1, copies), &[0]);
        assert_eq!(released(&mut held, next_copy - 50).len(), 1, "copy {copies}");
        held.hold(START, &syn(1, copies), &[0]);
        let late = held.take(START + Span(next_copy));
        assert_eq!((late.packets.len(), late.expired), (0, 1), "copy {copies}");
    }
}

/// All callers repeat their packets to a host that gets no catalog for a long time.
#[test]
fn the_number_of_held_packets_is_bounded() {
    let mut held = HeldPackets::default();
    let accepted = (0..5000).filter(|caller| held.hold(START, &data(*caller, 0), &[0; 1200]));
    let accepted = accepted.count();
    assert!((512..=1024).contains(&accepted), "{accepted} packets are held");
    assert!(held.hold(START, &data(0, 0), &[1]), "a copy takes the place of the first one");
    let later = START + Span(2000);
    assert!(held.hold(later, &data(6000, 0), &[0]), "packets that are too old make room");
    let released = held.take(later);
    assert_eq!((released.packets.len(), released.expired), (1, accepted));
}
