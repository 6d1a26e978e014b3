//! Performs a run: starts the hosts, injects the faults and collects the findings.

use std::io::Result;
use std::path::PathBuf;
use std::rc::Rc;

use async_std::net::UdpSocket;
use async_std::task::spawn_local;
use serde::Serialize;
use serde_json::json;

use crate::context::{Context, Counts, SharedContext, monitor, probe_readiness, sleep_ms};
use crate::faults::FaultInjector;
use crate::judge::{Finding, Millis, Promise, RECOVERY_TIME, STABILIZATION_TIME};
use crate::mutant::Mutant;
use crate::net::{LoopbackNet, PACKET_PORT};
use crate::plan;
use crate::process::{OldProgram, Process, Program, Role, recreate_folder};
use crate::proxy::start_proxy;
use crate::{callers, operator, targets};

/// Number of control hosts of runs with at least this many hosts in total, the largest runs first. An
/// even number shows what an odd one hides, and eight are more than may vote.
const CONTROL_HOSTS: [(u8, u8); 3] = [(30, 8), (12, 4), (0, 3)];

/// Number of callers, each with its own address.
const CALLER_ADDRESSES: u8 = 4;

/// Concurrent flows for each entry host.
const FLOWS_PER_ENTRY: usize = 5;

/// Number of targets for each entry host.
const TARGETS_PER_ENTRY: usize = 2;

/// Time within which a new system has accepted its first configuration and serves flows.
const STARTUP_TIMEOUT: Millis = 15_000;

/// Time within which the newest configuration is readable at the end of a run.
const FINAL_READ_TIMEOUT: Millis = 5000;

/// The parameters of a run.
#[derive(Debug, Clone)]
pub struct RunConfig {
    /// Seed from which the faults are drawn.
    pub seed: u64,
    /// Duration of fault injection.
    pub duration: Millis,
    /// Total number of entry and control hosts.
    pub hosts: u8,
    /// Second octet of all loopback addresses, so that concurrent runs don't collide.
    pub net: u8,
    /// Path of the program `lagoon-platform`.
    pub program: PathBuf,
    /// Path of an earlier version, which hosts run at some of their starts.
    pub old: Option<PathBuf>,
    /// Folder for settings, disks and logs.
    pub folder: PathBuf,
    /// Variant with a deliberate bug that is run in place of the program.
    pub mutant: Option<Mutant>,
}

/// The result of a run.
#[derive(Debug, Clone, Serialize)]
pub struct Outcome {
    /// Violated invariants.
    pub findings: Vec<Finding>,
    /// Event counts.
    pub counts: Counts,
}

/// Performs a run; fails if its sockets, files or processes can't be created.
pub async fn run(config: &RunConfig) -> Result<Outcome> {
    let net = LoopbackNet(config.net);
    recreate_folder(&config.folder)?;
    let mut sockets = Vec::new();
    for caller in 1..=CALLER_ADDRESSES {
        sockets.push(UdpSocket::bind((net.caller(caller), PACKET_PORT)).await?);
    }
    let context: SharedContext = Rc::new(Context::new(net, config.seed, sockets));
    let program = program_to_run(config);
    let control_count = count_controls(config.hosts);
    let entry_count = config.hosts.saturating_sub(control_count).max(2);
    start_hosts(&context, &program, entry_count, control_count).await?;
    if !wait_until_serving(&context, entry_count).await {
        context.record_finding(
            Promise::Served,
            format!("system does not serve flows within {STARTUP_TIMEOUT} ms after its start"),
        );
    }
    spawn_local(operator::change_configuration(SharedContext::clone(&context), 1));
    spawn_local(operator::read_configuration(SharedContext::clone(&context)));
    spawn_local(operator::evacuate_in_turns(SharedContext::clone(&context), config.seed));
    spawn_local(callers::maintain_flows(
        SharedContext::clone(&context),
        usize::from(entry_count) * FLOWS_PER_ENTRY,
    ));
    spawn_local(callers::probe_routes(SharedContext::clone(&context)));
    let offset = context.now();
    let faults =
        plan::draw_faults(config.seed, config.duration, entry_count.into(), control_count.into());
    let faults: Vec<_> = faults
        .into_iter()
        .map(|fault| plan::ScheduledFault { at: fault.at + offset, ..fault })
        .collect();
    FaultInjector::new(&context, &program, control_count + 1).inject_all(&faults).await;
    sleep_ms((offset + config.duration).saturating_sub(context.now())).await;
    sleep_ms(RECOVERY_TIME).await;
    check_durability(&context).await;
    check_order_kept(&context).await;
    context.finished.set(true);
    let findings = context.judge.borrow().findings().to_vec();
    let counts = context.counts.borrow().clone();
    Ok(Outcome { findings, counts })
}

/// Returns the number of control hosts; the remaining hosts, at least two, are entry hosts.
fn count_controls(hosts: u8) -> u8 {
    let found = CONTROL_HOSTS.iter().find(|(least, _)| hosts >= *least);
    found.map_or(1, |(_, count)| *count)
}

fn program_to_run(config: &RunConfig) -> Program {
    let folder = config.folder.clone();
    let old = config.old.clone().map(|path| OldProgram { path, seed: config.seed });
    match config.mutant {
        None => Program { path: config.program.clone(), leading_args: Vec::new(), old, folder },
        Some(mutant) => {
            let path = std::env::current_exe().unwrap_or_else(|_| "lagoon-soak".into());
            let leading_args = vec!["host".into(), "--wrong".into(), mutant.name().into()];
            Program { path, leading_args, old, folder }
        }
    }
}

/// Starts the hosts with their proxies, the tasks that observe them, and the targets.
async fn start_hosts(
    context: &SharedContext,
    program: &Program,
    entry_count: u8,
    control_count: u8,
) -> Result<()> {
    for number in 1..=control_count {
        let address = context.net.control(number);
        start_proxy(Rc::clone(&context.paths), address).await?;
        context.control_hosts.borrow_mut().push(Process::new(address, Role::Control, program)?);
    }
    for number in 1..=entry_count {
        let address = context.net.entry(number);
        start_proxy(Rc::clone(&context.paths), address).await?;
        context.entry_hosts.borrow_mut().push(Process::new(address, Role::Entry, program)?);
        spawn_local(probe_readiness(SharedContext::clone(context), address));
    }
    let seeds = context.seed_hosts();
    for hosts in [&context.control_hosts, &context.entry_hosts] {
        for host in hosts.borrow_mut().iter_mut() {
            host.start(&seeds, true)?;
        }
    }
    spawn_local(monitor(SharedContext::clone(context)));
    for caller in 0..context.caller_sockets.len() {
        spawn_local(callers::receive_resets(SharedContext::clone(context), caller));
    }
    let count = usize::from(entry_count) * TARGETS_PER_ENTRY;
    for number in 0..count.max(4 * targets::SERVICES.len()) {
        targets::start(context, number % targets::SERVICES.len(), None).await;
    }
    Ok(())
}

/// Waits until the first configuration is accepted, each service has an open target and all entry
/// hosts are ready; returns whether that happened within [`STARTUP_TIMEOUT`].
async fn wait_until_serving(context: &SharedContext, entry_count: u8) -> bool {
    operator::put_version(SharedContext::clone(context), 1).await;
    while context.now() < STARTUP_TIMEOUT {
        let has_targets =
            (0..targets::SERVICES.len()).all(|service| context.has_open_target(service));
        if has_targets && context.rotation().len() == usize::from(entry_count) {
            return true;
        }
        sleep_ms(STABILIZATION_TIME / 20).await;
    }
    false
}

/// Checks that the newest accepted configuration is readable after all faults.
async fn check_durability(context: &Context) {
    let deadline = context.now() + FINAL_READ_TIMEOUT;
    let newest = context.judge.borrow().accepted_version(context.now(), 0).unwrap_or(0);
    let mut observed = None;
    while context.now() < deadline {
        observed = operator::read_version(context).await.or(observed);
        if observed.is_some_and(|version| version >= newest) {
            return;
        }
        sleep_ms(200).await;
    }
    context.record_finding(
        Promise::Kept,
        format!("version {newest} was accepted, but reads return {observed:?}"),
    );
}

/// Checks that the newest accepted order is in force after all faults.
async fn check_order_kept(context: &Context) {
    let deadline = context.now() + FINAL_READ_TIMEOUT;
    let mut observed = None;
    while context.now() < deadline {
        let wanted = context.judge.borrow().is_evacuated();
        observed = operator::read_evacuated(context).await.or(observed);
        if wanted.is_none() || observed == wanted {
            return;
        }
        sleep_ms(200).await;
    }
    let wanted = context.judge.borrow().is_evacuated();
    context.record_finding(
        Promise::Kept,
        format!("evacuated: {wanted:?} was accepted, but reads return {observed:?}"),
    );
}

/// Prints a run's outcome as JSON lines.
pub fn print_outcome(config: &RunConfig, outcome: &Outcome) {
    for Finding { at, promise, detail } in &outcome.findings {
        let line = json!({ "kind": "finding", "at": at, "promise": promise, "detail": detail });
        println!("{line}");
    }
    let (seed, hosts, finding_count) = (config.seed, config.hosts, outcome.findings.len());
    let end = json!({
        "kind": "end", "seed": seed, "hosts": hosts, "seconds": config.duration / 1000,
        "wrong": config.mutant.map(Mutant::name), "findings": finding_count,
        "counts": outcome.counts,
    });
    println!("{end}");
}
