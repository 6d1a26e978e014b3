//! Weights of targets from what entry hosts observe and targets report.

use lagoongauge::balance::{Balancer, TargetInfo, TargetStats, TargetWeight};
use lagoongauge::id::{CentreId, TargetId};
use lagoongauge::time::{Instant, Span};

/// Time in which a later target reaches its full weight.
const SLOW_START: Span = Span::seconds(20);

fn targets(count: u64, open: u32) -> Vec<TargetInfo> {
    let info = |target| TargetInfo {
        target: TargetId(target),
        ready: true,
        slots: 2,
        centre: CentreId(0),
        open_flows: open,
    };
    (1..=count).map(info).collect()
}

fn weight(weights: &[TargetWeight], target: u64) -> u16 {
    weights.iter().find(|entry| entry.target == TargetId(target)).unwrap().weight
}

/// Computes weights once a second; returns the sum of all weight changes and the last weights.
fn run(
    balancer: &mut Balancer,
    seconds: std::ops::Range<u64>,
    mut observe: impl FnMut(u64, &mut Balancer) -> Vec<TargetInfo>,
) -> (u32, Vec<TargetWeight>) {
    let mut sum = 0;
    let mut last = Vec::<TargetWeight>::new();
    for second in seconds {
        let list = observe(second, balancer);
        let weights = balancer.compute_weights(Instant(second * 1000), &list, SLOW_START);
        for (old, new) in last.iter().zip(&weights) {
            sum += u32::from(old.weight.abs_diff(new.weight));
        }
        last = weights;
    }
    (sum, last)
}

#[test]
fn the_first_targets_get_full_weight_at_once() {
    let weights = Balancer::new().compute_weights(Instant(1000), &targets(3, 0), SLOW_START);
    assert!(weights.iter().all(|entry| entry.weight == 128));
}

#[test]
fn a_later_target_ramps_up_monotonically() {
    let mut balancer = Balancer::new();
    run(&mut balancer, 1..5, |_, _| targets(3, 0));
    let mut before = 0;
    for second in 5..40 {
        let weights = balancer.compute_weights(Instant(second * 1000), &targets(4, 0), SLOW_START);
        let now = weight(&weights, 4);
        assert!(now >= before);
        assert!(second > 5 || now <= 32);
        before = now;
    }
    assert_eq!(before, 128);
}

#[test]
fn a_draining_target_loses_its_weight_at_once() {
    let mut balancer = Balancer::new();
    run(&mut balancer, 1..5, |_, _| targets(3, 100));
    let mut list = targets(3, 100);
    list[1].ready = false;
    let weights = balancer.compute_weights(Instant(5000), &list, SLOW_START);
    assert_eq!(weight(&weights, 2), 0);
}

#[test]
fn false_load_reports_cost_only_their_targets_a_little_weight() {
    let mut balancer = Balancer::new();
    let (sum, last) = run(&mut balancer, 1..300, |second, balancer| {
        for target in 1..=14 {
            let load = match target {
                1..=5 => 1000,
                6 if second % 3 == 0 => 1000,
                _ => 0,
            };
            let stats = TargetStats { opened: 100, answered: 100, reset: 0, load: Some(load) };
            balancer.record_stats(Instant(second * 1000), TargetId(target), &stats);
        }
        targets(14, 2000)
    });
    let lowest = last.iter().map(|entry| entry.weight).min().unwrap();
    assert!(lowest >= 128 * 14 / 16, "{lowest}");
    assert!((7..=14).all(|target| weight(&last, target) == 128));
    assert!(sum <= 16 * 6, "{sum}");
}

#[test]
fn an_unresponsive_target_loses_weight_whatever_load_it_reports() {
    let mut balancer = Balancer::new();
    let (_, last) = run(&mut balancer, 1..10, |second, balancer| {
        for target in 1..=6 {
            let answered = if target == 3 { 0 } else { 40 };
            let stats = TargetStats { opened: 40, answered, reset: 0, load: Some(0) };
            balancer.record_stats(Instant(second * 1000), TargetId(target), &stats);
        }
        targets(6, 1000)
    });
    assert!(weight(&last, 3) <= 8 * 2);
    assert_eq!(weight(&last, 4), 128);
}

#[test]
fn a_common_failure_lowers_at_most_a_third_of_the_targets() {
    let mut balancer = Balancer::new();
    let (_, last) = run(&mut balancer, 1..30, |second, balancer| {
        for target in 1..=9 {
            let stats = TargetStats { opened: 40, answered: 0, reset: 40, load: None };
            balancer.record_stats(Instant(second * 1000), TargetId(target), &stats);
        }
        targets(9, 1000)
    });
    assert_eq!(last.iter().filter(|entry| entry.weight < 128).count(), 3);
}

#[test]
fn weights_follow_open_flows_and_settle() {
    let mut balancer = Balancer::new();
    let (_, last) = run(&mut balancer, 1..60, |second, _| {
        let mut list = targets(4, 1000);
        list[0].open_flows = if second < 30 { 1200 } else { 1000 };
        list
    });
    assert_eq!(weight(&last, 1), 128);
    let (sum, _) = run(&mut balancer, 60..200, |second, _| {
        let mut list = targets(4, 1000);
        list[0].open_flows = if second % 2 == 0 { 1020 } else { 980 };
        list
    });
    assert_eq!(sum, 0);
}

#[test]
fn a_new_planner_continues_with_the_active_weights() {
    let mut first = Balancer::new();
    let uneven = || {
        let mut list = targets(4, 1000);
        list[0].open_flows = 1300;
        list
    };
    let (_, before) = run(&mut first, 1..60, |_, _| uneven());
    let mut second = Balancer::new();
    second.adopt_weights(Instant(60_000), &uneven(), &before);
    assert_eq!(second.compute_weights(Instant(60_000), &uneven(), SLOW_START), before);
}
