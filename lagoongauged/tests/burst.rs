//! Placing under a replayed burst, against other ways of placing.

use lagoongauged::measure::burst::{Figures, Load, compare};

/// Bytes a second that a host may send of load counts: half of what control may take, as others
/// send as much to it.
const MAX_REPORT_RATE: f64 = 4096.0;

/// Mean of a figure over seeds 1 to 4, for the product and each baseline.
fn means(load: Load, figure: impl Fn(&Figures) -> f64) -> [f64; 4] {
    let mut sums = [0.0; 4];
    for seed in 1..=4 {
        for (sum, figures) in sums.iter_mut().zip(compare(load, seed)) {
            *sum += figure(&figures) / 4.0;
        }
    }
    sums
}

fn burst(times: f64) -> Load {
    Load { burst_factor: times, ..Load::default() }
}

#[test]
fn the_worst_window_is_better_than_with_any_baseline() {
    let [own, least_flows, two_choices, blind] = means(burst(2.8), |figures| figures.worst_on_time);
    let best = least_flows.max(two_choices).max(blind);
    assert!(own > best, "{own} against {least_flows}, {two_choices} and {blind}");
}

#[test]
fn fewer_requests_are_shed_than_with_any_baseline() {
    let [own, others @ ..] = means(burst(2.8), |figures| figures.shed);
    assert!(others.iter().all(|other| own < *other), "{own} against {others:?}");
}

#[test]
fn normal_load_stays_in_its_data_centre() {
    let [own, ..] = means(burst(1.0), |figures| figures.remote);
    assert!(own < 0.05, "{own} of the flows begin in another data centre");
}

#[test]
fn load_reports_stay_within_their_rate_limit() {
    for hosts in [2, 6] {
        let load = Load { hosts, ..burst(2.8) };
        let [own, ..] = means(load, |figures| figures.control_rate);
        assert!(
            own <= MAX_REPORT_RATE,
            "{hosts} hosts a data centre send {own} bytes a second each"
        );
    }
}

#[test]
fn equal_seeds_give_equal_figures() {
    assert_eq!(compare(burst(2.0), 3), compare(burst(2.0), 3));
}
