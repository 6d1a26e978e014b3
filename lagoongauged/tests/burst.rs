//! Flow placement under a simulated burst, compared with baseline policies.

use lagoongauged::measure::burst::{Figures, Load, compare};

/// Maximum bytes per second of load reports that a host may send: half the control traffic budget,
/// as it receives as much from other hosts.
const MAX_REPORT_RATE: f64 = 4096.0;

/// Returns the mean of a figure over seeds 1 to 4, for the product's policy and each baseline.
fn means(load: Load, figure: impl Fn(&Figures) -> f64) -> [f64; 4] {
    let mut sums = [0.0; 4];
    for seed in 1..=4 {
        for (sum, figures) in sums.iter_mut().zip(compare(load, seed)) {
            *sum += figure(&figures) / 4.0;
        }
    }
    sums
}

fn burst(factor: f64) -> Load {
    Load { burst_factor: factor, ..Load::default() }
}

#[test]
fn the_worst_window_is_better_than_with_any_baseline() {
    let [own, least_flows, two_choices, blind] = means(burst(2.8), |figures| figures.worst_on_time);
    let best = least_flows.max(two_choices).max(blind);
    assert!(own > best, "own: {own}, baselines: {least_flows}, {two_choices}, {blind}");
}

#[test]
fn fewer_requests_are_shed_than_with_any_baseline() {
    let [own, others @ ..] = means(burst(2.8), |figures| figures.shed);
    assert!(others.iter().all(|other| own < *other), "own: {own}, baselines: {others:?}");
}

#[test]
fn normal_load_stays_in_its_data_centre() {
    let [own, ..] = means(burst(1.0), |figures| figures.remote);
    assert!(own < 0.05, "a share of {own} of the flows is placed in another data centre");
}

#[test]
fn load_reports_stay_within_their_rate_limit() {
    for hosts in [2, 6] {
        let load = Load { hosts, ..burst(2.8) };
        let [own, ..] = means(load, |figures| figures.control_rate);
        assert!(
            own <= MAX_REPORT_RATE,
            "{own} bytes/s per host with {hosts} hosts per data centre"
        );
    }
}

#[test]
fn equal_seeds_give_equal_figures() {
    assert_eq!(compare(burst(2.0), 3), compare(burst(2.0), 3));
}
