//! Where a host has room, and the order in which it is given away.

use lagoongauge::id::{HostId, TargetId};
use lagoongauge::mark::admission::contention::Contention;
use lagoongauge::mark::admission::moves::MoveDetector;
use lagoongauge::mark::admission::room::{CentreDemand, PressureTable};
use lagoongauge::mark::{Cause, Features, LoadReport, ServicePressure, Verdict, WarmupLimit};
use lagoongauge::roster::Entry;
use lagoongauge::time::{Instant, Span};

use crate::world::{Fixture, entry, raw_catalog};

const START: Instant = Instant(100_000);

fn reported(pressure: u8, age: u64) -> ServicePressure {
    let mut other = PressureTable::default();
    other.measure(START, "b", "desk", pressure);
    ServicePressure { age: Span(age), ..other.report(START)[0] }
}

fn spare(table: &PressureTable, after: u64) -> u32 {
    table.spare_percent(START + Span(after), "b", "desk")
}

#[test]
fn a_host_has_its_share_of_its_own_data_centre() {
    let demand =
        |waiting, usable_percent| CentreDemand { slots: 20, waiting, usable_percent, open: false };
    assert!(demand(5, 100).has_room(3, 10), "a tenth of 20 slots with three requests each");
    assert!(!demand(6, 100).has_room(3, 10));
    assert!(demand(0, 100).has_room(3, 1000), "one request at least");
    assert!(!demand(0, 0).has_room(3, 1), "nothing is spare");
    assert!(demand(2, 50).has_room(3, 10));
    assert!(!demand(3, 50).has_room(3, 10));
}

#[test]
fn the_highest_priority_in_use_has_the_last_of_the_room() {
    let mut contention = Contention::default();
    assert_eq!(contention.requests_per_slot(2, true), 5, "nothing higher is in use");
    for _ in 0..20 {
        contention.count(1, true);
        contention.count(2, true);
    }
    assert_eq!(contention.requests_per_slot(1, true), 5);
    assert_eq!(contention.requests_per_slot(2, true), 3);
}

#[test]
fn a_short_spike_is_no_saturation() {
    let mut contention = Contention::default();
    for _ in 0..20 {
        contention.count(1, true);
        contention.count(2, true);
    }
    assert_eq!(contention.requests_per_slot(2, false), 4);
    assert_eq!(contention.requests_per_slot(1, false), 5, "some room is always kept");
    let mut table = PressureTable::default();
    table.measure(START, "b", "desk", 20);
    let saturated_after = (1..20).find(|round| {
        table.measure(START + Span(200 * round), "b", "desk", 166);
        table.is_saturated("b", "desk")
    });
    assert!(saturated_after.is_some_and(|round| (2..=4).contains(&round)), "{saturated_after:?}");
}

#[test]
fn flows_from_elsewhere_show_that_the_fabric_moved_flows() {
    let mut moves = MoveDetector::default();
    for caller in 0..50 {
        moves.record_opened(START + Span(caller));
    }
    moves.record_resumed(START + Span(60));
    assert_eq!(moves.moved_at(), Instant(0), "a flow that was idle here is no move");
    let later = START + Span(500);
    moves.record_opened(later);
    (0..3).for_each(|_| moves.record_resumed(later + Span(10)));
    assert_eq!(moves.moved_at(), later);
}

#[test]
fn a_priority_that_nobody_uses_any_more_keeps_no_room() {
    let mut contention = Contention::default();
    contention.count(1, true);
    for _ in 0..20 {
        contention.count(2, true);
    }
    assert_eq!(contention.requests_per_slot(2, true), 3);
    contention.decay(START);
    assert_eq!(contention.requests_per_slot(2, true), 5);
}

#[test]
fn only_recent_reports_tell_of_spare_room() {
    let mut table = PressureTable::default();
    assert_eq!(spare(&table, 0), 0, "no report, no room");
    table.merge(START, "a", &[reported(30, 1000)]);
    assert_eq!(spare(&table, 0), 70);
    table.merge(START, "a", &[reported(90, 2000)]);
    assert_eq!(spare(&table, 0), 70, "an older report arrives later");
    table.merge(START, "a", &[reported(80, 500)]);
    assert_eq!(spare(&table, 3499), 20);
    assert_eq!(spare(&table, 3500), 0, "a cut link brings no reports");
    table.merge(START, "a", &[reported(0, 60_000)]);
    assert_eq!(spare(&table, 0), 20);
}

#[test]
fn a_host_believes_only_itself_of_its_own_data_centre() {
    let mut table = PressureTable::default();
    table.measure(START, "b", "desk", 100);
    table.merge(START + Span(10), "b", &[reported(0, 0)]);
    assert_eq!(spare(&table, 10), 0);
}

#[test]
fn the_table_is_bounded() {
    let mut table = PressureTable::default();
    let many: Vec<_> =
        (0..1000).map(|service| ServicePressure { service, ..reported(1, 0) }).collect();
    table.merge(START, "a", &many);
    assert_eq!(table.report(START).len(), 32);
}

#[test]
fn reports_of_other_versions_are_read() {
    let report = LoadReport { pressures: vec![reported(30, 1000)], ..LoadReport::default() };
    let bytes = report.to_bytes().unwrap();
    assert_eq!(LoadReport::from_bytes(&bytes).unwrap(), report);
    let counts_only = LoadReport::default().to_bytes().unwrap();
    assert_eq!(counts_only, [0], "an empty section is not sent");
    assert_eq!(LoadReport::from_bytes(&counts_only).unwrap(), LoadReport::default());
    for length in 1..bytes.len() {
        let cut = LoadReport::from_bytes(&bytes[..length]).unwrap();
        assert_eq!(cut, LoadReport::default(), "{length} bytes");
    }
}

#[test]
fn a_flow_without_room_is_refused_at_once_and_counted() {
    let mut fixture = Fixture::contended(&[1]);
    let verdicts: Vec<_> = (10..30).map(|caller| fixture.open(caller)).collect();
    let refused = verdicts.iter().filter(|verdict| **verdict == Verdict::Reset(Cause::Overloaded));
    assert_eq!(refused.count(), 10, "two slots have room for ten: {verdicts:?}");
    let admissions = fixture.router.take_admissions();
    let counts = admissions[0].1[&1];
    assert_eq!((admissions[0].0.as_str(), counts.admitted, counts.refused), ("desk", 10, 10));
}

/// The last report of a data centre that is cut off tells of spare room.
#[test]
fn a_data_centre_out_of_reach_has_no_room() {
    let mut fixture = Fixture::contended(&[1, 2, 3]);
    fixture.set_centre(&[2, 3], "b");
    let spare = || LoadReport { pressures: vec![reported(0, 0)], ..LoadReport::default() };
    let place = |fixture: &mut Fixture, callers: std::ops::Range<u16>| {
        fixture.router.set_report(fixture.now, HostId(9), spare());
        let verdicts: Vec<_> = callers.map(|caller| fixture.open(caller)).collect();
        verdicts.iter().filter(|verdict| matches!(verdict, Verdict::Forward { .. })).count()
    };
    assert_eq!(place(&mut fixture, 100..140), 30, "ten here, twenty there");
    let mut fixture = Fixture::contended(&[1, 2, 3]);
    fixture.set_centre(&[2, 3], "b");
    let answer = |fixture: &mut Fixture| fixture.acknowledge_answer(TargetId(1));
    crate::retransmit_to(&mut fixture, [2, 3], answer);
    assert_eq!(place(&mut fixture, 100..140), 10, "ten here");
}

/// The first SYN may have opened the flow through another host.
#[test]
fn a_copy_of_a_syn_is_never_refused() {
    let mut fixture = Fixture::contended(&[1]);
    let first: Vec<_> = (10..30).map(|caller| fixture.open(caller)).collect();
    assert_eq!(first[19], Verdict::Reset(Cause::Overloaded));
    assert_eq!(fixture.open_copy(40, 1), Verdict::Drop(Cause::EarlyCopy));
    assert!(matches!(fixture.open_copy(40, 2), Verdict::Forward { .. }));
}

/// Callers press elsewhere, and nobody asks for the service here.
#[test]
fn a_host_without_callers_reports_that_its_data_centre_is_free() {
    let mut fixture = Fixture::contended(&[1]);
    fixture.tick();
    assert_eq!(fixture.router.report().pressures, []);
    let report = LoadReport { pressures: vec![reported(100, 500)], ..LoadReport::default() };
    fixture.router.set_report(fixture.now, HostId(9), report);
    fixture.tick();
    let report = fixture.router.report();
    let mut elsewhere = PressureTable::default();
    elsewhere.merge(START, "b", &report.pressures);
    assert_eq!(elsewhere.spare_percent(START, "a", "desk"), 100, "{report:?}");
    fixture.advance(10_000);
    assert_eq!(fixture.router.report().pressures, [], "nobody asks any more");
}

/// The data centre of this host is evacuated or dead, and no report has arrived from the others.
#[test]
fn a_host_without_targets_in_its_data_centre_uses_an_even_part_of_the_others() {
    let mut fixture = Fixture::contended(&[1, 2, 3, 4]);
    fixture.set_centre(&[1, 2], "b");
    fixture.set_centre(&[3, 4], "c");
    let verdicts: Vec<_> = (10..40).map(|caller| fixture.open(caller)).collect();
    let placed = verdicts.iter().filter(|verdict| matches!(verdict, Verdict::Forward { .. }));
    assert_eq!(placed.count(), 12, "a third of 20 requests in each: {verdicts:?}");
}

/// Creates a host with two targets in each of three data centres, its own being "a".
fn host_between_centres() -> Fixture {
    let warmup_limit = Some(WarmupLimit { overage: 1.5, slack: 5.0 });
    let features = Features { contended: true, warmup_limit, ..Features::default() };
    let mut fixture = Fixture::with_features(&[1, 2, 3, 4, 5, 6], features);
    fixture.set_centre(&[1, 2], "b");
    fixture.set_centre(&[3, 4], "c");
    fixture
}

fn count_placed(fixture: &mut Fixture) -> usize {
    let verdicts = (10..40).map(|caller| fixture.open(caller));
    verdicts.filter(|verdict| matches!(verdict, Verdict::Forward { .. })).count()
}

#[test]
fn slots_that_are_evacuated_or_warm_up_are_no_room() {
    let mut evacuated = host_between_centres();
    evacuated.router.set_evacuated(&["a".into()]);
    assert_eq!(count_placed(&mut evacuated), 12, "a third of 20 requests in each of the others");
    let mut warming = host_between_centres();
    let mut catalog = raw_catalog(2);
    catalog.services[0].warmup_rate = Some(4.0);
    warming.router.set_catalog(&catalog.try_into().unwrap());
    for target in [5, 6] {
        let cold = Entry { warmup: Span::seconds(2), ..entry(target, "desk") };
        warming.set_entry(&cold);
    }
    assert_eq!(count_placed(&mut warming), 12, "new flows to warming targets are limited");
}

#[test]
fn without_any_target_the_reason_is_not_a_lack_of_room() {
    let mut fixture = Fixture::contended(&[]);
    assert_eq!(fixture.open(10), Verdict::Reset(Cause::NoTarget));
}
