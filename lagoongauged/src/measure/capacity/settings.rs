//! Measures the settings tree and the resolved settings.

use std::hint::black_box;

use eyre::{Result, ensure, eyre};

use lagoongauge::replica::StateMachine;
use lagoongauge::settings::{Change, ChangeOutcome, Command, Edit, Path, State, TokenHash};

use super::row::{Measurement, Resource, Role, Scaling};
use super::size::{SECONDS_PER_DAY, TARGET_SIZE};
use crate::measure::meter::{self, CountingAllocator};

/// Services of each member in the measured tree.
const SERVICES_PER_MEMBER: u32 = 50;

/// Changes applied at each size to measure their CPU time.
const CHANGES_PER_SIZE: u32 = 50;

/// Unix time of the first change.
const START_UNIX_MS: u64 = 1_800_000_000_000;

/// Interval between two changes, long enough that no quota is exhausted.
const CHANGE_GAP_MS: u64 = 60_000;

/// Runs all measurements of this module.
pub fn measure(allocator: &CountingAllocator) -> Result<Vec<Measurement>> {
    let sizes = [150, 300, 600, 1_200];
    let mut tree = Vec::new();
    let mut resolved = Vec::new();
    let mut change_cpu = Vec::new();
    let mut resolve_cpu = Vec::new();
    let mut snapshot = Vec::new();
    for size in sizes {
        let (state, bytes) = meter::measure_memory(allocator, || build_state(size));
        let mut state = state?;
        let services = f64::from(size);
        tree.push((services, bytes));
        let (settings, bytes) = meter::measure_memory(allocator, || state.resolve());
        resolved.push((services, bytes));
        let (_, seconds) = meter::measure_cpu_time(|| black_box(state.resolve()));
        resolve_cpu.push((services, seconds));
        snapshot.push((services, state.snapshot().len() as f64));
        let (result, seconds) = meter::measure_cpu_time(|| apply_changes(&mut state));
        result?;
        change_cpu.push((services, seconds / f64::from(CHANGES_PER_SIZE)));
        black_box(settings);
    }
    let change_rate = TARGET_SIZE.daily_changes / SECONDS_PER_DAY;
    let to_cpu_rate = |points: &[(f64, f64)]| -> Vec<(f64, f64)> {
        points.iter().map(|(size, seconds)| (*size, seconds * change_rate)).collect()
    };
    let measurement = |role, resource, description, points, mechanism| Measurement {
        role,
        resource,
        description,
        unit: "service in the tree",
        points,
        scaling: Scaling::Size(TARGET_SIZE.services),
        mechanism,
    };
    let whole_tree = "the whole tree is held on the control hosts only";
    let log_entry = "one entry of the replicated log per change, applied once per control host";
    let delta = "flat settings; a change is handed on as a delta";
    Ok(vec![
        measurement(Role::Leader, Resource::Memory, "settings tree", tree.clone(), whole_tree),
        measurement(Role::Follower, Resource::Memory, "settings tree", tree, whole_tree),
        measurement(Role::Leader, Resource::Memory, "resolved settings", resolved.clone(), delta),
        measurement(Role::Entry, Resource::Memory, "resolved settings", resolved, delta),
        measurement(
            Role::Leader,
            Resource::Processor,
            "applying a change",
            to_cpu_rate(&change_cpu),
            log_entry,
        ),
        measurement(
            Role::Follower,
            Resource::Processor,
            "applying a change",
            to_cpu_rate(&change_cpu),
            log_entry,
        ),
        measurement(
            Role::Leader,
            Resource::Processor,
            "resolving the tree",
            to_cpu_rate(&resolve_cpu),
            delta,
        ),
        measurement(Role::Leader, Resource::Memory, "snapshot in memory", snapshot, whole_tree),
    ])
}

fn operator_path() -> Result<Path> {
    Path::try_from("/operators/root").map_err(|error| eyre!(error))
}

/// Builds a tree with `services` services, and members and hosts in the proportions of the target
/// size.
fn build_state(services: u32) -> Result<State> {
    let mut state = State::default();
    let operator = operator_path()?;
    state.execute(&Command::Initialize { operator, hash: TokenHash::new([1; 16], "secret") });
    let hosts = (f64::from(services) * TARGET_SIZE.entry_hosts() / TARGET_SIZE.services) as u32;
    let mut timestamp = START_UNIX_MS;
    for member in 0..services.div_ceil(SERVICES_PER_MEMBER) {
        apply_change(&mut state, timestamp, member_edits(member))?;
        timestamp += CHANGE_GAP_MS;
    }
    for service in 0..services {
        apply_change(&mut state, timestamp, service_edits(service))?;
        timestamp += CHANGE_GAP_MS;
    }
    for host in 1..=hosts {
        apply_change(&mut state, timestamp, host_edits(host))?;
        timestamp += CHANGE_GAP_MS;
    }
    Ok(state)
}

fn apply_changes(state: &mut State) -> Result<()> {
    for change in 0..CHANGES_PER_SIZE {
        let value = (100_000 + state.version()).to_string();
        let timestamp = START_UNIX_MS + CHANGE_GAP_MS * (10_000 + u64::from(change));
        apply_change(state, timestamp, vec![set_edit("/m0/s0", "max_flows", value)])?;
    }
    Ok(())
}

fn apply_change(state: &mut State, timestamp: u64, edits: Vec<Edit>) -> Result<()> {
    let expected_version = state.version();
    let change =
        Change { expected_version, request_id: format!("request-{expected_version}"), edits };
    let operator = operator_path()?;
    let outcome = state.execute(&Command::Change { operator, timestamp, change });
    ensure!(
        matches!(outcome, ChangeOutcome::Accepted { .. }),
        "change was not accepted: {outcome:?}"
    );
    Ok(())
}

fn member_edits(member: u32) -> Vec<Edit> {
    let network = format!("10.{}.{}.0/24", member / 256, member % 256);
    vec![set_edit(&format!("/m{member}"), "networks", network)]
}

fn service_edits(service: u32) -> Vec<Edit> {
    let path = format!("/m{}/s{service}", service / SERVICES_PER_MEMBER);
    let address = format!("198.18.{}.{}:443", service / 250, service % 250 + 1);
    vec![
        set_edit(&path, "address", address),
        set_edit(&path, "group", (service % 40).to_string()),
        set_edit(&path, "max_flows", "20000".to_string()),
    ]
}

fn host_edits(host: u32) -> Vec<Edit> {
    let path = format!("/hosts/{host}");
    vec![
        set_edit(&path, "peer", format!("10.200.{}.{}:4700", host / 250, host % 250 + 1)),
        set_edit(&path, "centre", (host % 5).to_string()),
        set_edit(&path, "host_group", (host % 40).to_string()),
    ]
}

fn set_edit(path: &str, key: &str, value: String) -> Edit {
    Edit::Set { path: path.to_string(), key: key.to_string(), value }
}
