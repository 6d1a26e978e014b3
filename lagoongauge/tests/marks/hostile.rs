//! No packet, announcement or report ends an entry host, whatever it claims.

use lagoongauge::id::{HostId, TargetId};
use lagoongauge::mark::{LoadReport, Mark, Segment, SegmentKind};
use lagoongauge::roster::{Entry, Phase};
use lagoongauge::time::Span;
use proptest::prelude::*;

use super::world::{Fixture, entry, segment};

#[derive(Debug, Clone)]
enum Input {
    Packet(Segment),
    Announcement(Entry, bool),
    Report(Vec<u8>),
    Wait(u64),
}

/// Numbers as they occur, and those at the end of the range.
fn number() -> impl Strategy<Value = u32> {
    prop_oneof![0..2000u32, u32::MAX - 2000..=u32::MAX, any::<u32>()]
}

fn packet() -> impl Strategy<Value = Segment> {
    let kind = prop_oneof![
        3 => Just(SegmentKind::Syn),
        6 => Just(SegmentKind::Data),
        1 => Just(SegmentKind::Fin),
        1 => Just(SegmentKind::Rst),
    ];
    let mark = prop_oneof![
        Just(None),
        (1..5u64).prop_map(|target| Some(Mark::of(TargetId(target)))),
        any::<u32>().prop_map(Mark::from_bits),
    ];
    (0..6u16, kind, mark, number(), number(), any::<u16>()).prop_map(
        |(caller, kind, mark, sequence, acknowledged, length)| Segment {
            mark,
            sequence,
            acknowledged,
            length,
            ..segment(caller, kind, 0, 0)
        },
    )
}

fn announcement() -> impl Strategy<Value = Entry> {
    let phase = prop_oneof![Just(Phase::Serving), Just(Phase::Draining), Just(Phase::Gone)];
    let warmup = prop_oneof![Just(0), 0..5000u64, Just(u64::MAX)];
    (1..5u64, phase, any::<u16>(), warmup).prop_map(|(target, phase, slots, warmup)| Entry {
        phase,
        slots,
        warmup: Span(warmup),
        ..entry(target, "desk")
    })
}

fn input() -> impl Strategy<Value = Input> {
    prop_oneof![
        8 => packet().prop_map(Input::Packet),
        2 => (announcement(), any::<bool>()).prop_map(|(entry, silent)| Input::Announcement(entry, silent)),
        1 => any::<Vec<u8>>().prop_map(Input::Report),
        2 => (0..3000u64).prop_map(Input::Wait),
    ]
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 500, ..ProptestConfig::default() })]

    #[test]
    fn no_input_ends_an_entry_host(inputs in prop::collection::vec(input(), 1..60)) {
        let mut fixture = Fixture::just_started(&[1, 2, 3]);
        for input in inputs {
            match input {
                Input::Packet(segment) => {
                    fixture.router.decide(fixture.now, &segment);
                }
                Input::Announcement(entry, silent) => {
                    fixture.router.set_target(fixture.now, &entry, silent);
                }
                Input::Report(bytes) => {
                    if let Ok(report) = LoadReport::from_bytes(&bytes) {
                        fixture.router.set_report(fixture.now, HostId(7), report);
                    }
                }
                Input::Wait(millis) => fixture.advance(millis),
            }
        }
    }
}
