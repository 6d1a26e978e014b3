//! One run: sets everything up, plays the faults, judges, and ends what it started.

use std::io::Result;
use std::path::PathBuf;
use std::rc::Rc;

use async_std::net::UdpSocket;
use async_std::task::spawn_local;
use serde::Serialize;
use serde_json::json;

use crate::faults::Player;
use crate::judge::{Finding, Millis, Promise, RECOVERY, WINDOW};
use crate::net::{Net, PACKETS};
use crate::plan;
use crate::process::{Process, Program, Role, make_folder};
use crate::proxy::forward;
use crate::world::{Counts, Shared, World, ask, pause, watch};
use crate::wrong::Wrong;
use crate::{callers, operator, targets};

/// Control hosts of a run with at least twice as many hosts; smaller runs have as many entry hosts.
const CONTROLS: u8 = 3;

/// Control hosts of a large run; more than may vote.
const MANY_CONTROLS: u8 = 8;

/// Hosts from which a run is large.
const LARGE: u8 = 30;

/// Callers' addresses.
const CALLERS: u8 = 4;

/// Flows that are open at a time for each entry host.
const FLOWS: usize = 5;

/// Targets for each entry host.
const TARGETS: usize = 2;

/// Time in which a new system has its first configuration and serves.
const BEGIN: Millis = 15_000;

/// Time in which the newest configuration is read at the end.
const READ: Millis = 5000;

/// What a run is asked to do.
#[derive(Debug, Clone)]
pub struct Setup {
    /// Seed of the faults.
    pub seed: u64,
    /// Time with faults.
    pub span: Millis,
    /// Entry and control hosts together.
    pub hosts: u8,
    /// Second number of all loopback addresses, so that runs beside each other don't meet.
    pub net: u8,
    /// The program `lagoon-platform`.
    pub program: PathBuf,
    /// Folder of settings, disks and logs.
    pub folder: PathBuf,
    /// Runs a wrong variant.
    pub wrong: Option<Wrong>,
}

/// What a run showed.
#[derive(Debug, Clone, Serialize)]
pub struct Outcome {
    /// What was broken.
    pub findings: Vec<Finding>,
    /// What happened.
    pub counts: Counts,
}

/// Runs a soak; fails if its sockets, files or processes can't be had.
pub async fn run(setup: &Setup) -> Result<Outcome> {
    let net = Net(setup.net);
    make_folder(&setup.folder)?;
    let mut sockets = Vec::new();
    for caller in 1..=CALLERS {
        sockets.push(UdpSocket::bind((net.caller(caller), PACKETS)).await?);
    }
    let world: Shared = Rc::new(World::new(net, setup.seed, sockets));
    let program = program(setup);
    let controls = if setup.hosts >= LARGE { MANY_CONTROLS } else { CONTROLS };
    let entries = setup.hosts.saturating_sub(controls).max(2);
    start(&world, &program, entries, controls).await?;
    if !begin(&world, entries).await {
        world.find(Promise::Served, format!("nothing is served within {BEGIN} ms"));
    }
    spawn_local(operator::change(Shared::clone(&world), 1));
    spawn_local(operator::read(Shared::clone(&world)));
    spawn_local(callers::keep(Shared::clone(&world), usize::from(entries) * FLOWS));
    spawn_local(callers::probe(Shared::clone(&world)));
    let offset = world.now();
    let steps = plan::draw(setup.seed, setup.span, entries.into(), controls.into());
    let steps: Vec<_> =
        steps.into_iter().map(|step| plan::Step { at: step.at + offset, ..step }).collect();
    Player::new(&world, &program, controls + 1).play(&steps).await;
    pause((offset + setup.span).saturating_sub(world.now())).await;
    pause(RECOVERY).await;
    check_kept(&world).await;
    world.over.set(true);
    let findings = world.judge.borrow().findings().to_vec();
    let counts = world.counts.borrow().clone();
    Ok(Outcome { findings, counts })
}

fn program(setup: &Setup) -> Program {
    let folder = setup.folder.clone();
    match setup.wrong {
        None => Program { path: setup.program.clone(), words: Vec::new(), folder },
        Some(wrong) => {
            let path = std::env::current_exe().unwrap_or_else(|_| "lagoon-soak".into());
            let words = vec!["host".into(), "--wrong".into(), wrong.word().into()];
            Program { path, words, folder }
        }
    }
}

/// Starts forwarders, processes and targets.
async fn start(world: &Shared, program: &Program, entries: u8, controls: u8) -> Result<()> {
    for number in 1..=controls {
        let address = world.net.control(number);
        forward(Rc::clone(&world.paths), address).await?;
        world.controls.borrow_mut().push(Process::new(address, Role::Control, program)?);
    }
    for number in 1..=entries {
        let address = world.net.entry(number);
        forward(Rc::clone(&world.paths), address).await?;
        world.entries.borrow_mut().push(Process::new(address, Role::Entry, program)?);
        spawn_local(ask(Shared::clone(world), address));
    }
    let seeds = world.seeds();
    for hosts in [&world.controls, &world.entries] {
        for host in hosts.borrow_mut().iter_mut() {
            host.start(&seeds, true)?;
        }
    }
    spawn_local(watch(Shared::clone(world)));
    for caller in 0..world.callers.len() {
        spawn_local(callers::listen(Shared::clone(world), caller));
    }
    let count = usize::from(entries) * TARGETS;
    for number in 0..count.max(4 * targets::SERVICES.len()) {
        targets::start(world, number % targets::SERVICES.len(), None).await;
    }
    Ok(())
}

/// Waits until the first configuration is accepted and all entry hosts are ready.
async fn begin(world: &Shared, entries: u8) -> bool {
    operator::put(Shared::clone(world), 1).await;
    while world.now() < BEGIN {
        let open = (0..targets::SERVICES.len()).all(|service| world.is_open(service));
        if open && world.rotation().len() == usize::from(entries) {
            return true;
        }
        pause(WINDOW / 20).await;
    }
    false
}

/// Checks that what was accepted is there after all faults.
async fn check_kept(world: &World) {
    let until = world.now() + READ;
    let newest = world.judge.borrow().accepted(world.now(), 0).unwrap_or(0);
    let mut shown = None;
    while world.now() < until {
        shown = operator::look(world).await.or(shown);
        if shown.is_some_and(|version| version >= newest) {
            return;
        }
        pause(200).await;
    }
    world.find(Promise::Kept, format!("version {newest} was accepted, {shown:?} is read"));
}

/// Prints a run's outcome as JSON lines, for people and for other programs.
pub fn print(setup: &Setup, outcome: &Outcome) {
    for Finding { at, promise, detail } in &outcome.findings {
        let line = json!({ "kind": "finding", "at": at, "promise": promise, "detail": detail });
        println!("{line}");
    }
    let (seed, hosts, broken) = (setup.seed, setup.hosts, outcome.findings.len());
    let end = json!({
        "kind": "end", "seed": seed, "hosts": hosts, "seconds": setup.span / 1000,
        "wrong": setup.wrong.map(Wrong::word), "findings": broken, "counts": outcome.counts,
    });
    println!("{end}");
}
