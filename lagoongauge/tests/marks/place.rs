//! Placing under the loads that it answers.

use lagoongauge::id::{HostId, TargetId};
use lagoongauge::mark::placement::{Candidate, LeastCost, Policy, TrafficPattern};
use lagoongauge::mark::{LoadCount, LoadReport, Mark, SegmentKind};
use lagoongauge::time::Span;

use super::world::{World, entry, target_of};

fn choose(candidates: &[(u8, Candidate)], habit: TrafficPattern, number: u64) -> Option<u8> {
    LeastCost.choose(candidates, habit, number)
}

fn candidate(waiting: u16, flows: u16) -> Candidate {
    let load = LoadCount { waiting, flows };
    Candidate { load, slots: 2, local: true, cold: false, suspect: false }
}

#[test]
fn a_flow_of_one_request_goes_where_the_fewest_wait() {
    let candidates = [(1, candidate(3, 0)), (2, candidate(0, 20)), (3, candidate(2, 5))];
    assert_eq!(choose(&candidates, TrafficPattern::SingleRequest, 0), Some(2));
}

#[test]
fn a_lasting_flow_goes_where_the_fewest_flows_are() {
    let candidates = [(1, candidate(3, 10)), (2, candidate(0, 20)), (3, candidate(2, 15))];
    assert_eq!(choose(&candidates, TrafficPattern::LongLived, 0), Some(1));
}

#[test]
fn the_own_data_centre_goes_first_and_spills_over_before_its_queues_grow() {
    let far = |waiting| Candidate { local: false, ..candidate(waiting, 0) };
    let calm = [(1, candidate(1, 5)), (2, far(0))];
    assert_eq!(choose(&calm, TrafficPattern::SingleRequest, 0), Some(1));
    let busy = [(1, candidate(4, 5)), (2, far(0))];
    assert_eq!(choose(&busy, TrafficPattern::SingleRequest, 0), Some(2));
}

#[test]
fn more_slots_carry_more() {
    let large = Candidate { slots: 8, ..candidate(4, 0) };
    assert_eq!(
        choose(&[(1, candidate(2, 0)), (2, large)], TrafficPattern::SingleRequest, 0),
        Some(2)
    );
}

#[test]
fn a_cold_target_is_spared_but_not_shunned() {
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
fn a_doubtful_target_is_the_last_resort() {
    let doubtful = Candidate { suspect: true, ..candidate(0, 0) };
    assert_eq!(
        choose(&[(1, candidate(900, 900)), (2, doubtful)], TrafficPattern::SingleRequest, 0),
        Some(1)
    );
    assert_eq!(choose(&[(2, doubtful)], TrafficPattern::SingleRequest, 0), Some(2));
}

#[test]
fn equal_targets_share_callers_that_come_at_once() {
    let mut world = World::new(&[1, 2, 3, 4]);
    let mut counts = [0; 5];
    for caller in 0..400 {
        counts[target_of(world.open(caller)).0 as usize] += 1;
    }
    assert_eq!(counts, [0, 100, 100, 100, 100]);
}

#[test]
fn counts_of_other_hosts_matter_until_they_are_old() {
    let mut world = World::new(&[1, 2]);
    let load = LoadCount { waiting: 8, flows: 8 };
    let report = LoadReport { counts: vec![(Mark::of(TargetId(1)), load)] };
    world.router.set_report(world.now, HostId(7), report);
    for caller in 0..4 {
        assert_eq!(target_of(world.open(caller)), TargetId(2));
    }
    world.pass(2000);
    assert!((10..14).any(|caller| target_of(world.open(caller)) == TargetId(1)));
}

/// The load of a feed: callers keep flows open and bring requests now and then. Once that was
/// seen, new flows are spread by flows, so that an added target is not flooded by all of them in
/// the instant in which nothing waits there.
#[test]
fn lasting_flows_are_known_by_their_requests() {
    let mut world = World::new(&[1, 2]);
    for caller in 0..20 {
        let target = target_of(world.open(caller));
        world.mark = Some(Mark::of(target));
        for request in 0..4 {
            world.data(caller, 10 * request + 1, 10 * request);
            world.packet(caller, SegmentKind::Data, 10 * request + 10, 10 * request + 5, 0);
        }
        world.mark = None;
    }
    let report = world.router.report();
    assert!(report.counts.iter().all(|(_, count)| count.waiting == 0 && count.flows == 10));
    let load = LoadCount { waiting: 6, flows: 0 };
    let busy = LoadReport { counts: vec![(Mark::of(TargetId(1)), load)] };
    world.router.set_report(world.now, HostId(7), busy);
    let opened: Vec<_> = (100..104).map(|caller| target_of(world.open(caller)).0).collect();
    assert!(opened.contains(&1), "requests in wait hardly matter to a lasting flow: {opened:?}");
}

#[test]
fn a_request_counts_until_its_answer_arrives() {
    let mut world = World::new(&[1]);
    world.open(1);
    world.mark = Some(Mark::of(TargetId(1)));
    world.data(1, 1, 0);
    assert_eq!(world.router.report().counts[0].1.waiting, 1);
    world.data(1, 1, 0);
    assert_eq!(world.router.report().counts[0].1.waiting, 1, "a repeated packet is no request");
    world.packet(1, SegmentKind::Data, 10, 600, 0);
    assert_eq!(world.router.report().counts[0].1.waiting, 0);
}

#[test]
fn a_request_whose_flow_moved_to_another_host_stops_counting() {
    let mut world = World::new(&[1]);
    world.open(1);
    world.mark = Some(Mark::of(TargetId(1)));
    world.data(1, 1, 0);
    world.pass(1600);
    assert_eq!(world.router.report().counts[0].1.waiting, 0);
}

#[test]
fn a_target_is_cold_for_as_long_as_it_says() {
    let mut world = World::new(&[1]);
    let mut fresh = entry(2, "desk");
    fresh.warmup = Span(1000);
    world.set_entry(&fresh);
    assert_eq!(target_of(world.open(1)), TargetId(1));
    world.pass(2000);
    let opened = [target_of(world.open(2)), target_of(world.open(3))];
    assert!(opened.contains(&TargetId(2)));
}
