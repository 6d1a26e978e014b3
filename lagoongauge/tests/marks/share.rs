//! Load counts within their budget of bytes, at today's and at the target's size.

use std::collections::HashMap;

use lagoongauge::id::HostId;
use lagoongauge::mark::reporting::ReportScheduler;
use lagoongauge::time::{Instant, Span};

/// Bytes a second that a node may spend for control, both ways together.
const BUDGET: usize = 8192;

/// Bytes of a datagram's headers.
const HEADERS: usize = 28;

/// Lets a host share for ten seconds; returns bytes a second and reports by receiver.
fn share(near: u32, far: u32, size: usize) -> (usize, HashMap<HostId, usize>) {
    let near: Vec<_> = (0..near).map(HostId).collect();
    let far: Vec<_> = (1000..1000 + far).map(HostId).collect();
    let mut now = Instant(100_000);
    let mut sharing = ReportScheduler::new(now);
    let mut reports = HashMap::new();
    for _ in 0..400 {
        now = now + Span(25);
        let mut receivers = Vec::new();
        sharing.take_receivers(now, size, (&near, &far), &mut receivers);
        for receiver in receivers {
            *reports.entry(receiver).or_insert(0) += 1;
        }
    }
    let sent: usize = reports.values().sum();
    (sent * (size + HEADERS) / 10, reports)
}

#[test]
fn reports_keep_to_half_of_the_budget_at_any_size() {
    for (near, far, size) in [(2, 7, 30), (17, 50, 180), (128, 512, 900), (128, 512, 4000)] {
        let (bytes, _) = share(near, far, size);
        assert!(2 * bytes <= BUDGET, "{near} near and {far} far hosts take {bytes} bytes a second");
    }
}

#[test]
fn few_near_hosts_hear_every_change_within_two_service_times() {
    let (_, reports) = share(2, 7, 30);
    assert!(reports[&HostId(0)] >= 170, "one report in 60 ms, not {reports:?}");
}

#[test]
fn many_hosts_hear_in_turn() {
    let (_, reports) = share(17, 50, 180);
    let near: Vec<_> = (0..17).map(|host| reports.get(&HostId(host)).copied()).collect();
    let (least, most) = (near.iter().min().unwrap(), near.iter().max().unwrap());
    assert!(least.is_some_and(|least| least + 1 >= most.unwrap()), "{near:?}");
}
