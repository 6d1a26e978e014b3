//! Estimates the requests that no entry host saw because some were down.

use std::collections::{BTreeMap, BTreeSet};

use super::{Outage, Window};

/// Number of windows before an outage whose mean is the expected number of requests.
const BASE_WINDOWS: usize = 5;

/// Share of a window in which hosts may be down without an estimate: the fabric takes single hosts
/// out, and others serve their callers.
const MAX_NORMAL_DOWN_SHARE: f64 = 0.1;

/// A deficit below this many standard deviations of a Poisson process is not counted.
const MIN_DEVIATIONS: f64 = 3.0;

/// Returns the estimated number of unseen requests for each window in which a host was down.
///
/// Two limits hold: what the whole fleet saw less than before the outage, as other hosts may have
/// taken over, and the share of the time in which hosts were down, as the traffic itself varies.
pub(super) fn estimate_unseen(
    windows: &BTreeMap<u64, Window>,
    outages: &[Outage],
    host_count: usize,
    window_seconds: u64,
) -> BTreeMap<u64, u64> {
    let mut unseen = BTreeMap::new();
    let mut base: Vec<u64> = Vec::new();
    for start in window_starts(windows, outages, window_seconds) {
        let seen = windows.get(&start).map_or(0, Window::requests);
        let down_share = down_share(outages, host_count, (start, start + window_seconds));
        if down_share <= MAX_NORMAL_DOWN_SHARE {
            base.push(seen);
            continue;
        }
        let recent = &base[base.len().saturating_sub(BASE_WINDOWS)..];
        let expected = recent.iter().sum::<u64>() as f64 / recent.len().max(1) as f64;
        let deficit = expected - seen as f64;
        let missing = deficit.min(expected * down_share);
        if missing > MIN_DEVIATIONS * expected.sqrt() {
            unseen.insert(start, missing.round() as u64);
        }
    }
    unseen
}

/// Returns the share of a window, given by its bounds in seconds, in which hosts were down.
fn down_share(outages: &[Outage], host_count: usize, (start, end): (u64, u64)) -> f64 {
    let (start, end) = (start * 1000, end * 1000);
    let overlaps =
        outages.iter().map(|outage| outage.until.min(end).saturating_sub(outage.from.max(start)));
    let down: u64 = overlaps.sum();
    down as f64 / (host_count.max(1) as u64 * (end - start)) as f64
}

/// Returns the starts of all windows with counts, and of those between them in which hosts were down.
fn window_starts(
    windows: &BTreeMap<u64, Window>,
    outages: &[Outage],
    window_seconds: u64,
) -> BTreeSet<u64> {
    let mut starts: BTreeSet<u64> = windows.keys().copied().collect();
    let (Some(&first), Some(&last)) = (starts.first(), starts.last()) else { return starts };
    for outage in outages {
        let from = outage.from / 1000 / window_seconds * window_seconds;
        let until = (outage.until / 1000).min(last);
        starts.extend((from.max(first)..=until).step_by(window_seconds as usize));
    }
    starts
}
