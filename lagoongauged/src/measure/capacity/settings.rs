//! Slopes of the settings tree and of what it resolves to.

use std::hint::black_box;

use eyre::{Result, ensure, eyre};

use lagoongauge::replica::StateMachine;
use lagoongauge::settings::{Change, ChangeOutcome, Command, Edit, Path, State, TokenHash};

use super::row::{Basis, Resource, Role, Slope};
use super::size::{DAY, TARGET};
use crate::measure::meter::{self, CountingAllocator};

/// Services that a member of the measured tree has.
const SERVICES_A_MEMBER: u32 = 50;

/// Changes whose processor time is measured at each size.
const CHANGES: u32 = 50;

/// Calendar time of the measured changes, in milliseconds.
const CALENDAR: u64 = 1_800_000_000_000;

/// Milliseconds between two measured changes, so that no quota is used up.
const CHANGE_GAP: u64 = 60_000;

/// Measures all slopes of this module.
pub fn slopes(allocator: &CountingAllocator) -> Result<Vec<Slope>> {
    let sizes = [150, 300, 600, 1_200];
    let mut tree = Vec::new();
    let mut resolved = Vec::new();
    let mut change = Vec::new();
    let mut resolve = Vec::new();
    let mut snapshot = Vec::new();
    for size in sizes {
        let (state, bytes) = meter::measure_memory(allocator, || grown(size));
        let mut state = state?;
        let at = f64::from(size);
        tree.push((at, bytes));
        let (settings, bytes) = meter::measure_memory(allocator, || state.resolve());
        resolved.push((at, bytes));
        let (_, seconds) = meter::measure_cpu_time(|| black_box(state.resolve()));
        resolve.push((at, seconds));
        snapshot.push((at, state.snapshot().len() as f64));
        let (result, seconds) = meter::measure_cpu_time(|| change_often(&mut state));
        result?;
        change.push((at, seconds / f64::from(CHANGES)));
        black_box(settings);
    }
    let a_second = TARGET.changes / DAY;
    let per_second = |points: &[(f64, f64)]| -> Vec<(f64, f64)> {
        points.iter().map(|(size, seconds)| (*size, seconds * a_second)).collect()
    };
    let row = |role, resource, what, points, mechanism| Slope {
        role,
        resource,
        what,
        unit: "service in the tree",
        points,
        basis: Basis::Size(TARGET.services),
        mechanism,
    };
    let tree_held = "the whole tree is held on the control hosts only";
    let log = "one entry of the replicated log per change, applied once per control host";
    let flat = "flat settings; a change is handed on as a delta";
    Ok(vec![
        row(Role::Leader, Resource::Memory, "settings tree", tree.clone(), tree_held),
        row(Role::Follower, Resource::Memory, "settings tree", tree, tree_held),
        row(Role::Leader, Resource::Memory, "resolved settings", resolved.clone(), flat),
        row(Role::Entry, Resource::Memory, "resolved settings", resolved, flat),
        row(Role::Leader, Resource::Processor, "applying a change", per_second(&change), log),
        row(Role::Follower, Resource::Processor, "applying a change", per_second(&change), log),
        row(Role::Leader, Resource::Processor, "resolving the tree", per_second(&resolve), flat),
        row(Role::Leader, Resource::Memory, "snapshot in memory", snapshot, tree_held),
    ])
}

fn operator() -> Result<Path> {
    Path::try_from("/operators/root").map_err(|error| eyre!(error))
}

/// Builds a tree of so many services, members and hosts in the target's proportions.
fn grown(services: u32) -> Result<State> {
    let mut state = State::default();
    let operator = operator()?;
    state.execute(&Command::Initialize { operator, hash: TokenHash::new([1; 16], "secret") });
    let hosts = (f64::from(services) * TARGET.entries() / TARGET.services) as u32;
    let mut at = CALENDAR;
    for member in 0..services.div_ceil(SERVICES_A_MEMBER) {
        accept(&mut state, at, member_edits(member))?;
        at += CHANGE_GAP;
    }
    for service in 0..services {
        accept(&mut state, at, service_edits(service))?;
        at += CHANGE_GAP;
    }
    for host in 1..=hosts {
        accept(&mut state, at, host_edits(host))?;
        at += CHANGE_GAP;
    }
    Ok(state)
}

fn change_often(state: &mut State) -> Result<()> {
    for change in 0..CHANGES {
        let value = (100_000 + state.version()).to_string();
        let at = CALENDAR + CHANGE_GAP * (10_000 + u64::from(change));
        accept(state, at, vec![set("/m0/s0", "max_flows", value)])?;
    }
    Ok(())
}

fn accept(state: &mut State, timestamp: u64, edits: Vec<Edit>) -> Result<()> {
    let expected_version = state.version();
    let change =
        Change { expected_version, request_id: format!("request-{expected_version}"), edits };
    let operator = operator()?;
    let answer = state.execute(&Command::Change { operator, timestamp, change });
    ensure!(matches!(answer, ChangeOutcome::Accepted { .. }), "the change was answered {answer:?}");
    Ok(())
}

fn member_edits(member: u32) -> Vec<Edit> {
    let network = format!("10.{}.{}.0/24", member / 256, member % 256);
    vec![set(&format!("/m{member}"), "networks", network)]
}

fn service_edits(service: u32) -> Vec<Edit> {
    let path = format!("/m{}/s{service}", service / SERVICES_A_MEMBER);
    let address = format!("198.18.{}.{}:443", service / 250, service % 250 + 1);
    vec![
        set(&path, "address", address),
        set(&path, "group", (service % 40).to_string()),
        set(&path, "max_flows", "20000".to_string()),
    ]
}

fn host_edits(host: u32) -> Vec<Edit> {
    let path = format!("/hosts/{host}");
    vec![
        set(&path, "peer", format!("10.200.{}.{}:4700", host / 250, host % 250 + 1)),
        set(&path, "centre", (host % 5).to_string()),
        set(&path, "host_group", (host % 40).to_string()),
    ]
}

fn set(path: &str, key: &str, value: String) -> Edit {
    Edit::Set { path: path.to_string(), key: key.to_string(), value }
}
