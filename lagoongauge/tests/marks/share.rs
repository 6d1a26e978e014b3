//! Load reports stay within their byte budget, at current and at intended numbers of hosts.

use std::collections::HashMap;

use lagoongauge::id::HostId;
use lagoongauge::mark::evidence::budget::EvidenceBudget;
use lagoongauge::mark::load::reporting::ReportScheduler;
use lagoongauge::time::{Instant, Span};

/// Budget of a host for control traffic, both directions together.
const CONTROL_BYTES_PER_SECOND: usize = 8192;

/// Budget of reports to hosts of the same data centre.
const LOCAL_BYTES_PER_SECOND: usize = 2400;

/// Size of a datagram's headers.
const HEADER_BYTES: usize = 28;

/// Sends reports for ten seconds; returns the bytes per second and the number of reports by
/// receiver.
fn send_reports(local: u32, remote: u32, size: usize) -> (usize, HashMap<HostId, usize>) {
    let local: Vec<_> = (0..local).map(HostId).collect();
    let remote: Vec<_> = (1000..1000 + remote).map(HostId).collect();
    let mut now = Instant(100_000);
    let mut scheduler = ReportScheduler::new(now);
    let mut reports = HashMap::new();
    for _ in 0..400 {
        now = now + Span(25);
        let mut receivers = Vec::new();
        scheduler.take_receivers(now, size, (&local, &remote), &mut receivers);
        for receiver in receivers {
            *reports.entry(receiver).or_insert(0) += 1;
        }
    }
    let sent: usize = reports.values().sum();
    (sent * (size + HEADER_BYTES) / 10, reports)
}

#[test]
fn reports_use_at_most_half_of_the_budget_at_any_size() {
    for (local, remote, size) in [(2, 7, 30), (17, 50, 180), (128, 512, 900), (128, 512, 4000)] {
        let (bytes, _) = send_reports(local, remote, size);
        assert!(
            2 * bytes <= CONTROL_BYTES_PER_SECOND,
            "{local} local and {remote} remote hosts use {bytes} bytes per second"
        );
    }
}

/// Statements about failing targets are sent at once, and load reports wait in their place.
#[test]
fn reports_make_room_for_evidence() {
    let hosts: Vec<_> = (0..27).map(HostId).collect();
    let mut now = Instant(100_000);
    let (mut scheduler, mut evidence) = (ReportScheduler::new(now), EvidenceBudget::default());
    let mut sent = 0;
    for _ in 0..400 {
        now = now + Span(25);
        let mut receivers = Vec::new();
        if evidence.statement_limit(now, hosts.len()) > 0 {
            let bytes = evidence.take_receivers(now, 13, &hosts, &mut receivers);
            scheduler.charge(bytes);
            sent += bytes;
        }
        receivers.clear();
        scheduler.take_receivers(now, 300, (&hosts, &[]), &mut receivers);
        sent += receivers.len() * (300 + HEADER_BYTES);
    }
    assert!(sent / 10 <= LOCAL_BYTES_PER_SECOND + 200, "{sent} bytes in ten seconds");
}

#[test]
fn few_local_hosts_receive_every_change_within_two_service_times() {
    let (_, reports) = send_reports(2, 7, 30);
    assert!(reports[&HostId(0)] >= 170, "expected a report every 60 ms, got {reports:?}");
}

#[test]
fn many_hosts_receive_reports_in_turn() {
    let (_, reports) = send_reports(17, 50, 180);
    let local: Vec<_> = (0..17).map(|host| reports.get(&HostId(host)).copied()).collect();
    let (least, most) = (local.iter().min().unwrap(), local.iter().max().unwrap());
    assert!(least.is_some_and(|least| least + 1 >= most.unwrap()), "{local:?}");
}
