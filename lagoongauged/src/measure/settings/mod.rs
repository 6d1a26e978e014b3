//! Measures how settings spread: real control hosts and entry hosts over loopback TCP, in threads.

mod site;
mod stream;

use std::thread;
use std::time::{Duration, Instant};

use bpaf::Bpaf;
use eyre::{Result, eyre};
use hdrhistogram::Histogram;
use serde::Serialize;

use lagoongauge::settings::{Change, Edit};

use self::site::Measured;
use self::stream::Stream;
use super::meter::CountingAllocator;
use crate::control::partition_cluster::{EntrySubscription, wait_for};

/// Longest time that anything here is waited for.
const LIMIT: Duration = Duration::from_secs(60);

/// Pause before each change whose spreading is timed.
const APART: Duration = Duration::from_millis(700);

/// What the settings measurement runs.
#[derive(Debug, Clone, Bpaf)]
#[bpaf(generate(options))]
pub struct Options {
    /// Changes whose spreading is timed, one after the other.
    #[bpaf(argument("N"), fallback(40))]
    pub changes: u32,
    /// Losses of a control host.
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

/// Times in milliseconds.
#[derive(Debug, Serialize)]
struct Spread {
    measure: &'static str,
    count: u64,
    median: u64,
    p99: u64,
    max: u64,
    limit: u64,
}

/// Bytes a second of the busiest host of each role, sent and received above TCP, those of all
/// operators' connections, and processor time of the busiest control host.
#[derive(Debug, Serialize)]
struct Load {
    measure: &'static str,
    seconds: f64,
    changes: u64,
    refused: u64,
    leader: f64,
    followers: f64,
    entries: f64,
    operators: f64,
    limit: f64,
    processor_ms_per_second: f64,
}

/// Memory of the whole process.
#[derive(Debug, Serialize)]
struct Memory {
    measure: &'static str,
    controls: usize,
    entries: u32,
    services: u32,
    allocated: u64,
    limit: u64,
}

/// Runs the measurement and prints JSON lines.
pub fn run(options: &Options, allocator: &CountingAllocator) -> Result<()> {
    let before = allocator.allocated();
    let mut measured = Measured::start(options.entries, options.services)?;
    spread(&mut measured, options)?;
    let quiet = load(&mut measured, "rest", options.seconds, 0)?;
    let busy = load(&mut measured, "ten_changes_a_second", options.seconds, 10)?;
    let extra = busy.processor_ms_per_second - quiet.processor_ms_per_second;
    print(&serde_json::json!({
        "measure": "processor_ms_per_change_of_the_busiest_control_host",
        "value": extra * busy.seconds / busy.changes.max(1) as f64,
    }));
    print(&Memory {
        measure: "memory_of_all_hosts_together",
        controls: measured.cluster.hosts.len(),
        entries: options.entries,
        services: options.services,
        allocated: (allocator.allocated() - before) as u64,
        limit: 64 << 20,
    });
    for (name, leader) in [("follower_lost", false), ("leader_lost", true)] {
        losses(&mut measured, options, name, leader)?;
    }
    Ok(())
}

fn spread(measured: &mut Measured, options: &Options) -> Result<()> {
    let mut accept = histogram()?;
    let mut force = histogram()?;
    for _ in 0..options.changes {
        thread::sleep(APART);
        let asked = Instant::now();
        let version = measured.change()?;
        let accepted = Instant::now();
        accept.record(millis(accepted - asked))?;
        force.record(in_force(&measured.entries, version, accepted)?)?;
    }
    print(&times("asked_to_accepted_ms", &accept, 0));
    print(&times("accepted_to_in_force_on_all_ms", &force, 2000));
    Ok(())
}

/// Cuts a control host off silently, changes a setting and joins it again.
fn losses(
    measured: &mut Measured,
    options: &Options,
    name: &'static str,
    leader: bool,
) -> Result<()> {
    let mut force = histogram()?;
    for _ in 0..options.losses {
        let leads = measured.cluster.leader()?;
        let others = measured.cluster.hosts.len() as u32;
        let lost = if leader { leads } else { leads % others + 1 };
        measured.cluster.set_cut(lost, true);
        let version = measured.change_past(lost)?;
        force.record(in_force(&measured.entries, version, Instant::now())?)?;
        measured.cluster.set_cut(lost, false);
        measured.settle()?;
    }
    print(&times(name, &force, 5000));
    Ok(())
}

fn load(measured: &mut Measured, name: &'static str, seconds: u64, rate: u64) -> Result<Load> {
    measured.settle()?;
    let leader = measured.cluster.leader()? as usize - 1;
    let controls = measured.controls();
    let entries = measured.received();
    let operators = measured.operators();
    let (processor, began) = (measured.processor(), Instant::now());
    let mut stream = Stream::new(&measured.cluster, measured.version())?;
    while began.elapsed() < Duration::from_secs(seconds) {
        let due = (began.elapsed().as_millis() as u64 * rate) / 1000;
        if stream.asked() < due {
            stream.ask();
        }
        thread::sleep(Duration::from_millis(5));
    }
    let (changes, refused) = stream.end();
    let passed = began.elapsed().as_secs_f64();
    let spent = measured.processor().iter().zip(&processor).map(|(b, a)| b - a).max();
    let spent = spent.unwrap_or_default() as f64 / 1000.0 / passed;
    let rates: Vec<f64> =
        measured.controls().iter().zip(&controls).map(|(b, a)| (b - a) as f64 / passed).collect();
    let followers = rates.iter().enumerate().filter(|(n, _)| *n != leader).map(|(_, rate)| *rate);
    let entry_rates = measured.received();
    let entry_rates = entry_rates.iter().zip(&entries).map(|(b, a)| (b - a) as f64 / passed);
    measured.catch_up()?;
    let load = Load {
        measure: name,
        seconds: passed,
        changes,
        refused,
        leader: rates[leader],
        followers: followers.fold(0.0, f64::max),
        entries: entry_rates.fold(0.0, f64::max),
        operators: (measured.operators() - operators) as f64 / passed,
        limit: 8192.0,
        processor_ms_per_second: spent,
    };
    print(&load);
    Ok(load)
}

/// Returns the milliseconds from `accepted` until a version is in force on all entry hosts.
fn in_force(entries: &[EntrySubscription], version: u64, accepted: Instant) -> Result<u64> {
    let mut last = accepted;
    for entry in entries {
        let at = wait_for(LIMIT, || entry.applied_at(version));
        let at = at.ok_or_else(|| eyre!("version {version} was not in force within {LIMIT:?}"))?;
        last = last.max(at);
    }
    Ok(millis(last - accepted))
}

fn times(measure: &'static str, histogram: &Histogram<u64>, limit: u64) -> Spread {
    Spread {
        measure,
        count: histogram.len(),
        median: histogram.value_at_quantile(0.5),
        p99: histogram.value_at_quantile(0.99),
        max: histogram.max(),
        limit,
    }
}

fn histogram() -> Result<Histogram<u64>> {
    Ok(Histogram::new_with_bounds(1, 600_000, 3)?)
}

fn millis(span: Duration) -> u64 {
    span.as_millis() as u64
}

fn print<T: Serialize>(value: &T) {
    println!("{}", serde_json::to_string(value).unwrap_or_default());
}

/// Builds the change that gives a key another value.
fn change_of(expected_version: u64, number: u64) -> Change {
    let (path, key) = ("/m0/s0".to_string(), "max_flows".to_string());
    let value = (1 + number % 1_000_000).to_string();
    Change {
        expected_version,
        request_id: format!("r{number}"),
        edits: vec![Edit::Set { path, key, value }],
    }
}
