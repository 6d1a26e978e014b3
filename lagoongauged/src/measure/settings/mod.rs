//! Measures the propagation of settings between real control hosts and entry hosts that run in
//! threads and communicate over loopback TCP.

mod change_stream;
mod measured_cluster;

use std::thread;
use std::time::{Duration, Instant};

use bpaf::Bpaf;
use eyre::{Result, eyre};
use hdrhistogram::Histogram;
use serde::Serialize;

use lagoongauge::settings::{Change, Edit};

use self::change_stream::ChangeStream;
use self::measured_cluster::MeasuredCluster;
use super::meter::CountingAllocator;
use crate::control::partition_cluster::{EntrySubscription, wait_for};

/// Time limit of each wait in this measurement.
const WAIT_TIMEOUT: Duration = Duration::from_secs(60);

/// Delay before each change whose propagation is timed.
const CHANGE_INTERVAL: Duration = Duration::from_millis(700);

/// Options of the measurement.
#[derive(Debug, Clone, Bpaf)]
#[bpaf(generate(options))]
pub struct Options {
    /// Changes whose propagation is timed, one after the other.
    #[bpaf(argument("N"), fallback(40))]
    pub changes: u32,
    /// Losses of a follower, and as many of the leading control host.
    #[bpaf(argument("N"), fallback(4))]
    pub losses: u32,
    /// Seconds at rest, and seconds at 10 changes a second.
    #[bpaf(argument("SECONDS"), fallback(20))]
    pub seconds: u64,
    /// Entry hosts.
    #[bpaf(argument("N"), fallback(8))]
    pub entries: u32,
    /// Services in the tree.
    #[bpaf(argument("N"), fallback(8))]
    pub services: u32,
}

/// Latency statistics in milliseconds; a `limit` of 0 stands for none.
#[derive(Debug, Serialize)]
struct LatencyStats {
    measure: &'static str,
    count: u64,
    median: u64,
    p99: u64,
    max: u64,
    limit: u64,
}

/// Load at a constant rate of changes: TCP payload bytes per second, sent and received, of the
/// busiest host of each role and of all operator connections, and milliseconds of CPU time
/// per second of the busiest control host.
#[derive(Debug, Serialize)]
struct Load {
    measure: &'static str,
    seconds: f64,
    changes: u64,
    refused: u64,
    #[serde(rename = "leader")]
    leader_rate: f64,
    #[serde(rename = "followers")]
    follower_rate: f64,
    #[serde(rename = "entries")]
    entry_rate: f64,
    #[serde(rename = "operators")]
    operator_rate: f64,
    limit: f64,
    #[serde(rename = "processor_ms_per_second")]
    cpu_rate: f64,
}

/// Memory of the whole process.
#[derive(Debug, Serialize)]
struct Memory {
    measure: &'static str,
    #[serde(rename = "controls")]
    control_hosts: usize,
    entries: u32,
    services: u32,
    allocated: u64,
    limit: u64,
}

/// Runs the measurement and prints its results as JSON lines.
pub fn run(options: &Options, allocator: &CountingAllocator) -> Result<()> {
    let allocated_before = allocator.allocated();
    let mut cluster = MeasuredCluster::start(options.entries, options.services)?;
    measure_propagation(&mut cluster, options)?;
    let idle = measure_load(&mut cluster, "rest", options.seconds, 0)?;
    let busy = measure_load(&mut cluster, "ten_changes_a_second", options.seconds, 10)?;
    let extra = busy.cpu_rate - idle.cpu_rate;
    print(&serde_json::json!({
        "measure": "processor_ms_per_change_of_the_busiest_control_host",
        "value": extra * busy.seconds / busy.changes.max(1) as f64,
    }));
    print(&Memory {
        measure: "memory_of_all_hosts_together",
        control_hosts: cluster.control_cluster.hosts.len(),
        entries: options.entries,
        services: options.services,
        allocated: (allocator.allocated() - allocated_before) as u64,
        limit: 64 << 20,
    });
    for (name, isolate_leader) in [("follower_lost", false), ("leader_lost", true)] {
        measure_losses(&mut cluster, options, name, isolate_leader)?;
    }
    Ok(())
}

fn measure_propagation(cluster: &mut MeasuredCluster, options: &Options) -> Result<()> {
    let mut accept_times = new_histogram()?;
    let mut apply_times = new_histogram()?;
    for _ in 0..options.changes {
        thread::sleep(CHANGE_INTERVAL);
        let submitted = Instant::now();
        let version = cluster.change()?;
        let accepted = Instant::now();
        accept_times.record(millis(accepted - submitted))?;
        apply_times.record(millis_until_applied(&cluster.entry_hosts, version, accepted)?)?;
    }
    print(&latency_stats("asked_to_accepted_ms", &accept_times, 0));
    print(&latency_stats("accepted_to_in_force_on_all_ms", &apply_times, 2000));
    Ok(())
}

/// Times the propagation of a change while the leader or a follower is isolated without closing its
/// connections, and reconnects it afterwards.
fn measure_losses(
    cluster: &mut MeasuredCluster,
    options: &Options,
    name: &'static str,
    isolate_leader: bool,
) -> Result<()> {
    let mut apply_times = new_histogram()?;
    for _ in 0..options.losses {
        let leader_id = cluster.control_cluster.leader()?;
        let host_count = cluster.control_cluster.hosts.len() as u32;
        let isolated = if isolate_leader { leader_id } else { leader_id % host_count + 1 };
        cluster.control_cluster.set_cut(isolated, true);
        let version = cluster.change_without(isolated)?;
        apply_times.record(millis_until_applied(&cluster.entry_hosts, version, Instant::now())?)?;
        cluster.control_cluster.set_cut(isolated, false);
        cluster.wait_settled()?;
    }
    print(&latency_stats(name, &apply_times, 5000));
    Ok(())
}

fn measure_load(
    cluster: &mut MeasuredCluster,
    name: &'static str,
    seconds: u64,
    rate: u64,
) -> Result<Load> {
    cluster.wait_settled()?;
    let leader = cluster.control_cluster.leader()? as usize - 1;
    let control_before = cluster.control_bytes();
    let entry_before = cluster.entry_bytes();
    let operator_before = cluster.operator_bytes();
    let (cpu_before, start) = (cluster.control_cpu_micros(), Instant::now());
    let mut stream = ChangeStream::new(&cluster.control_cluster, cluster.version())?;
    while start.elapsed() < Duration::from_secs(seconds) {
        let due = (start.elapsed().as_millis() as u64 * rate) / 1000;
        if stream.request_count() < due {
            stream.send_change();
        }
        thread::sleep(Duration::from_millis(5));
    }
    let (changes, refused) = stream.finish();
    let elapsed = start.elapsed().as_secs_f64();
    let cpu_time = cluster.control_cpu_micros().iter().zip(&cpu_before).map(|(b, a)| b - a).max();
    let cpu_rate = cpu_time.unwrap_or_default() as f64 / 1000.0 / elapsed;
    let rates: Vec<f64> = cluster
        .control_bytes()
        .iter()
        .zip(&control_before)
        .map(|(b, a)| (b - a) as f64 / elapsed)
        .collect();
    let followers = rates.iter().enumerate().filter(|(n, _)| *n != leader).map(|(_, rate)| *rate);
    let entry_after = cluster.entry_bytes();
    let entry_rates = entry_after.iter().zip(&entry_before).map(|(b, a)| (b - a) as f64 / elapsed);
    cluster.refresh_version()?;
    let load = Load {
        measure: name,
        seconds: elapsed,
        changes,
        refused,
        leader_rate: rates[leader],
        follower_rate: followers.fold(0.0, f64::max),
        entry_rate: entry_rates.fold(0.0, f64::max),
        operator_rate: (cluster.operator_bytes() - operator_before) as f64 / elapsed,
        limit: 8192.0,
        cpu_rate,
    };
    print(&load);
    Ok(load)
}

/// Returns the milliseconds from `accepted` until all entry hosts have applied a version.
fn millis_until_applied(
    entry_hosts: &[EntrySubscription],
    version: u64,
    accepted: Instant,
) -> Result<u64> {
    let mut last = accepted;
    for entry in entry_hosts {
        let applied = wait_for(WAIT_TIMEOUT, || entry.applied_at(version));
        let applied = applied.ok_or_else(|| {
            eyre!("an entry host did not apply version {version} within {WAIT_TIMEOUT:?}")
        })?;
        last = last.max(applied);
    }
    Ok(millis(last - accepted))
}

fn latency_stats(measure: &'static str, histogram: &Histogram<u64>, limit: u64) -> LatencyStats {
    LatencyStats {
        measure,
        count: histogram.len(),
        median: histogram.value_at_quantile(0.5),
        p99: histogram.value_at_quantile(0.99),
        max: histogram.max(),
        limit,
    }
}

fn new_histogram() -> Result<Histogram<u64>> {
    Ok(Histogram::new_with_bounds(1, 600_000, 3)?)
}

fn millis(span: Duration) -> u64 {
    span.as_millis() as u64
}

fn print<T: Serialize>(value: &T) {
    println!("{}", serde_json::to_string(value).unwrap_or_default());
}

/// Builds a change that sets `max_flows` of a service to a value derived from `number`.
fn build_change(expected_version: u64, number: u64) -> Change {
    let (path, key) = ("/m0/s0".to_string(), "max_flows".to_string());
    let value = (1 + number % 1_000_000).to_string();
    Change {
        expected_version,
        request_id: format!("r{number}"),
        edits: vec![Edit::Set { path, key, value }],
    }
}
