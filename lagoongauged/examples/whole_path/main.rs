//! End-to-end scenario: callers reach targets through entry hosts while targets, hosts and settings
//! change.
//!
//! Three control hosts, four entry hosts in two data centres, and targets of two members run in
//! threads of this process over loopback. The fabric, the callers and the targets are fakes; callers
//! and targets use a user-space TCP stack. The result is printed as one JSON line; the exit code is
//! not zero if a flow broke or was misrouted.

mod caller;
mod cluster;
mod fabric;
mod stack;
mod target;

use std::net::{IpAddr, SocketAddr};
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::thread::sleep;
use std::time::{Duration, Instant};

use eyre::ensure;
use indexmap::IndexMap;
use lagoongauge::id::CentreId;
use serde::Serialize;

use crate::caller::{Callers, Outcome};
use crate::cluster::{TestCluster, wait_until};
use crate::fabric::Fabric;
use crate::target::Target;

/// Seed of the fabric's choice of entry hosts.
const SEED: u64 = 20_261_203;

/// Concurrent flows to each service.
const FLOWS_PER_SERVICE: usize = 150;

/// Time between two changes.
const CHANGE_INTERVAL: Duration = Duration::from_secs(4);

/// Time after the start of a drain during which the target may still receive new flows.
const DRAIN_PROPAGATION: Duration = Duration::from_secs(5);

/// Service index and address of each target: three for each service at the start, and one of the
/// first service that joins later.
const TARGETS: [(usize, &str); 7] = [
    (0, "10.1.0.1:8443"),
    (0, "10.1.0.2:8443"),
    (0, "10.1.0.3:8443"),
    (1, "[fd00:2::1]:8443"),
    (1, "[fd00:2::2]:8443"),
    (1, "[fd00:2::3]:8443"),
    (0, "10.1.0.4:8443"),
];

/// Result of the scenario.
#[derive(Debug, Default, Serialize)]
struct Report {
    flows: u64,
    answers: u64,
    broken: u64,
    misrouted: u64,
    imbalance: f64,
    imbalance_before_changes: f64,
    control_bytes_per_host_per_second: f64,
    flows_of_added_target: usize,
    late_flows_of_drained_target: usize,
    setting_in_force_ms: u128,
    host_left_clean: bool,
    host_left_after_ms: u128,
    packets: u64,
    relayed: u64,
    dropped: IndexMap<&'static str, u64>,
    seconds: f64,
}

fn main() -> eyre::Result<()> {
    let started = Instant::now();
    let fabric = Fabric::start(SocketAddr::from(([127, 0, 0, 1], 0)), SEED)?;
    let centres = [1, 1, 2, 2].map(CentreId);
    let mut cluster = TestCluster::start(&centres, fabric.address()?)?;
    fabric.set_hosts(cluster.data_addresses());
    let targets: Vec<_> =
        TARGETS[..6].iter().map(|target| start_target(target, &cluster, &fabric)).collect();
    wait_until("the targets are known", || cluster.has_targets(6))?;
    sleep(CHANGE_INTERVAL / 2);

    let callers: Vec<Callers> = [("192.0.2.1", 0), ("2001:db8::1", 1)]
        .into_iter()
        .map(|(ip, service)| {
            let ip: IpAddr = ip.parse().expect("the address is well-formed");
            Callers::start(ip, cluster.services[service], FLOWS_PER_SERVICE, &fabric)
        })
        .collect();
    let (start_bytes, start_time) = (cluster.control_bytes(), Instant::now());
    sleep(CHANGE_INTERVAL);
    let mut report = Report { imbalance_before_changes: imbalance(&targets), ..Report::default() };
    report.apply_changes(&mut cluster, &fabric, targets)?;
    let elapsed = start_time.elapsed().as_secs_f64();
    let bytes = cluster.control_bytes() - start_bytes;
    report.control_bytes_per_host_per_second = bytes as f64 / elapsed / centres.len() as f64;
    for callers in callers {
        report.add(callers.stop());
    }
    (report.packets, report.relayed) = cluster.packet_counts();
    report.dropped = cluster.dropped_packets();
    cluster.stop();
    report.seconds = started.elapsed().as_secs_f64();
    println!("{}", serde_json::to_string(&report)?);
    ensure!(report.broken + report.misrouted == 0, "a flow broke or was misrouted");
    Ok(())
}

impl Report {
    /// Adds a target, drains one, shuts down an entry host and changes a setting.
    fn apply_changes(
        &mut self,
        cluster: &mut TestCluster,
        fabric: &Arc<Fabric>,
        mut targets: Vec<Arc<Target>>,
    ) -> eyre::Result<()> {
        let added = start_target(&TARGETS[6], cluster, fabric);
        targets.push(Arc::clone(&added));
        sleep(CHANGE_INTERVAL);

        let drained = targets.remove(4);
        *drained.state.lock().expect("no thread panicked") = "draining";
        sleep(DRAIN_PROPAGATION);
        let accepted = drained.accepted.load(Ordering::Relaxed);

        let removed_host = cluster.remove_last_host();
        fabric.set_hosts(cluster.data_addresses());
        let leaving = Instant::now();
        self.host_left_clean = removed_host.shut_down();
        self.host_left_after_ms = leaving.elapsed().as_millis();
        sleep(CHANGE_INTERVAL);

        let changed = Instant::now();
        cluster.set("rate", &[("/tsenkher/booking", "max_rate", "5000")])?;
        self.setting_in_force_ms = changed.elapsed().as_millis();
        sleep(CHANGE_INTERVAL);
        self.imbalance = imbalance(&targets);
        self.flows_of_added_target = added.accepted.load(Ordering::Relaxed);
        self.late_flows_of_drained_target = drained.accepted.load(Ordering::Relaxed) - accepted;
        Ok(())
    }

    fn add(&mut self, outcome: Outcome) {
        self.flows += outcome.flows;
        self.answers += outcome.answers;
        self.broken += outcome.broken;
        self.misrouted += outcome.misrouted;
    }
}

fn start_target(
    (service, address): &(usize, &str),
    cluster: &TestCluster,
    fabric: &Arc<Fabric>,
) -> Arc<Target> {
    let address: SocketAddr = address.parse().expect("the address is well-formed");
    let id = TARGETS.iter().position(|target| target.1.parse() == Ok(address)).unwrap_or(0) as u32;
    let key = cluster.services[*service].1;
    Target::start(address, (key, id), cluster::TOKENS[*service], fabric, &cluster.http_addresses())
}

/// Returns the highest ratio over the services of the busiest target's open flows to the mean.
fn imbalance(targets: &[Arc<Target>]) -> f64 {
    let ratio = |service: u32| {
        let service_targets = targets.iter().filter(|target| target.service == service);
        let open: Vec<usize> =
            service_targets.map(|target| target.open.load(Ordering::Relaxed)).collect();
        let most = open.iter().max().copied().unwrap_or(0);
        (most * open.len()) as f64 / open.iter().sum::<usize>().max(1) as f64
    };
    targets.iter().map(|target| ratio(target.service)).fold(0.0, f64::max)
}
