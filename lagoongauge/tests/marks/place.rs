//! Placement of new flows under the load patterns that it is designed for.

use lagoongauge::id::{HostId, TargetId};
use lagoongauge::mark::placement::{Candidate, LeastCost, Policy, TrafficPattern};
use lagoongauge::mark::{LoadCount, LoadReport, Mark, SegmentKind};
use lagoongauge::time::Span;

use super::world::{Fixture, entry, target_of};

fn choose(candidates: &[(u8, Candidate)], pattern: TrafficPattern, flow_hash: u64) -> Option<u8> {
    LeastCost.choose(candidates, pattern, flow_hash)
}

fn candidate(waiting: u16, flows: u16) -> Candidate {
    let load = LoadCount { waiting, flows };
    Candidate { load, slots: 2, local: true, cold: false, suspect: false }
}

#[test]
fn a_single_request_flow_goes_where_the_fewest_requests_wait() {
    let candidates = [(1, candidate(3, 0)), (2, candidate(0, 20)), (3, candidate(2, 5))];
    assert_eq!(choose(&candidates, TrafficPattern::SingleRequest, 0), Some(2));
}

#[test]
fn a_long_lived_flow_goes_where_the_fewest_flows_are_open() {
    let candidates = [(1, candidate(3, 10)), (2, candidate(0, 20)), (3, candidate(2, 15))];
    assert_eq!(choose(&candidates, TrafficPattern::LongLived, 0), Some(1));
}

#[test]
fn local_targets_are_preferred_until_their_queues_grow() {
    let remote = |waiting| Candidate { local: false, ..candidate(waiting, 0) };
    let idle = [(1, candidate(1, 5)), (2, remote(0))];
    assert_eq!(choose(&idle, TrafficPattern::SingleRequest, 0), Some(1));
    let busy = [(1, candidate(4, 5)), (2, remote(0))];
    assert_eq!(choose(&busy, TrafficPattern::SingleRequest, 0), Some(2));
}

#[test]
fn a_target_with_more_slots_receives_more_load() {
    let large = Candidate { slots: 8, ..candidate(4, 0) };
    assert_eq!(
        choose(&[(1, candidate(2, 0)), (2, large)], TrafficPattern::SingleRequest, 0),
        Some(2)
    );
}

#[test]
fn a_cold_target_receives_fewer_flows() {
    let cold = Candidate { cold: true, ..candidate(0, 0) };
    assert_eq!(
        choose(&[(1, candidate(0, 3)), (2, cold)], TrafficPattern::SingleRequest, 0),
        Some(1)
    );
    assert_eq!(
        choose(&[(1, candidate(3, 3)), (2, cold)], TrafficPattern::SingleRequest, 0),
        Some(2)
    );
}

#[test]
fn a_suspect_target_is_the_last_resort() {
    let suspect = Candidate { suspect: true, ..candidate(0, 0) };
    assert_eq!(
        choose(&[(1, candidate(900, 900)), (2, suspect)], TrafficPattern::SingleRequest, 0),
        Some(1)
    );
    assert_eq!(choose(&[(2, suspect)], TrafficPattern::SingleRequest, 0), Some(2));
}

#[test]
fn simultaneous_flows_are_spread_evenly_over_equal_targets() {
    let mut fixture = Fixture::new(&[1, 2, 3, 4]);
    let mut counts = [0; 5];
    for caller in 0..400 {
        counts[target_of(fixture.open(caller)).0 as usize] += 1;
    }
    assert_eq!(counts, [0, 100, 100, 100, 100]);
}

#[test]
fn load_reports_of_other_hosts_count_until_they_expire() {
    let mut fixture = Fixture::new(&[1, 2]);
    let load = LoadCount { waiting: 8, flows: 8 };
    let report =
        LoadReport { counts: vec![(Mark::of(TargetId(1)), load)], ..LoadReport::default() };
    fixture.router.set_report(fixture.now, HostId(7), report);
    for caller in 0..4 {
        assert_eq!(target_of(fixture.open(caller)), TargetId(2));
    }
    fixture.advance(2000);
    assert!((10..14).any(|caller| target_of(fixture.open(caller)) == TargetId(1)));
}

/// Load pattern of a feed: callers keep flows open and send occasional requests. Once this pattern
/// is recognized, new flows are spread by the number of open flows, so that an added target does
/// not receive all of them while no request waits there.
#[test]
fn long_lived_flows_are_recognized_by_their_requests() {
    let mut fixture = Fixture::new(&[1, 2]);
    for caller in 0..20 {
        let target = target_of(fixture.open(caller));
        fixture.mark = Some(Mark::of(target));
        for request in 0..4 {
            fixture.send_data(caller, 10 * request + 1, 10 * request);
            fixture.send(caller, SegmentKind::Data, 10 * request + 10, 10 * request + 5, 0);
        }
        fixture.mark = None;
    }
    let report = fixture.router.report();
    assert!(report.counts.iter().all(|(_, count)| count.waiting == 0 && count.flows == 10));
    let load = LoadCount { waiting: 6, flows: 0 };
    let busy = LoadReport { counts: vec![(Mark::of(TargetId(1)), load)], ..LoadReport::default() };
    fixture.router.set_report(fixture.now, HostId(7), busy);
    let opened: Vec<_> = (100..104).map(|caller| target_of(fixture.open(caller)).0).collect();
    assert!(opened.contains(&1), "waiting requests hardly count for a long-lived flow: {opened:?}");
}

#[test]
fn a_request_counts_until_its_answer_arrives() {
    let mut fixture = Fixture::new(&[1]);
    fixture.open(1);
    fixture.mark = Some(Mark::of(TargetId(1)));
    fixture.send_data(1, 1, 0);
    assert_eq!(fixture.router.report().counts[0].1.waiting, 1);
    fixture.send_data(1, 1, 0);
    assert_eq!(
        fixture.router.report().counts[0].1.waiting,
        1,
        "a retransmitted packet is no new request"
    );
    fixture.send(1, SegmentKind::Data, 10, 600, 0);
    assert_eq!(fixture.router.report().counts[0].1.waiting, 0);
}

#[test]
fn a_request_stops_counting_after_its_flow_moved_to_another_host() {
    let mut fixture = Fixture::new(&[1]);
    fixture.open(1);
    fixture.mark = Some(Mark::of(TargetId(1)));
    fixture.send_data(1, 1, 0);
    fixture.advance(1600);
    assert_eq!(fixture.router.report().counts[0].1.waiting, 0);
}

#[test]
fn a_target_is_cold_for_its_announced_warm_up() {
    let mut fixture = Fixture::new(&[1]);
    let mut fresh = entry(2, "desk");
    fresh.warmup = Span(1000);
    fixture.set_entry(&fresh);
    assert_eq!(target_of(fixture.open(1)), TargetId(1));
    fixture.advance(2000);
    let opened = [target_of(fixture.open(2)), target_of(fixture.open(3))];
    assert!(opened.contains(&TargetId(2)));
}
