//! Measures the replicated log: restart time, memory, CPU time, network and disk bytes.
//!
//! Prints one JSON line per figure; see docs/MEASUREMENTS.md.

mod cluster;

use std::path::{Path, PathBuf};
use std::time::Instant as WallInstant;

use bpaf::Bpaf;
use eyre::{Result, ensure};
use lagoongauge::id::HostId;
use lagoongauge::replica::{Action, Core, Recovered, Setup, Store};
use lagoongauge::time::Instant;
use serde::Serialize;

use self::cluster::{Cluster, STEP_MS, ValueTable};
use super::meter::{self, CountingAllocator};
use crate::store::{Disk, FileStore, inspect, open_or_format};

/// Measured numbers of voters.
const VOTER_COUNTS: [u32; 3] = [3, 5, 7];

/// Changes stored before the restart and before memory is measured.
const RESTART_CHANGES: u64 = 10_000;

/// Changes over which CPU time and network bytes are measured.
const MEASURED_CHANGES: u64 = 2_000;

/// Size of a change.
const CHANGE_BYTES: usize = 128;

/// Simulated time over which byte rates are measured.
const RATE_SECONDS: u64 = 60;

/// Maximum time for a restart.
const RESTART_GOAL_SECONDS: f64 = 1.0;

/// Maximum memory of a control host.
const MEMORY_GOAL_BYTES: f64 = (64 << 20) as f64;

/// Maximum control bytes per second that a host sends and receives.
const WIRE_GOAL_RATE: f64 = 8192.0;

/// Options of the measurement.
#[derive(Debug, Clone, Bpaf)]
pub struct Options {
    /// Empty folder on the disk that is measured; a temporary one otherwise
    #[bpaf(long, argument("FOLDER"), optional)]
    folder: Option<PathBuf>,
}

/// One measured value, printed as a JSON line.
#[derive(Debug, Serialize)]
struct Figure {
    measure: &'static str,
    role: &'static str,
    #[serde(skip_serializing_if = "Option::is_none")]
    voters: Option<u32>,
    #[serde(skip_serializing_if = "Option::is_none")]
    batch: Option<u64>,
    value: f64,
    unit: &'static str,
    #[serde(skip_serializing_if = "Option::is_none")]
    goal: Option<f64>,
    #[serde(rename = "held", skip_serializing_if = "Option::is_none")]
    goal_met: Option<bool>,
}

impl Figure {
    fn new(measure: &'static str, role: &'static str, value: f64, unit: &'static str) -> Self {
        Self { measure, role, voters: None, batch: None, value, unit, goal: None, goal_met: None }
    }

    fn voters(mut self, voters: u32) -> Self {
        self.voters = Some(voters);
        self
    }

    fn batch(mut self, batch: u64) -> Self {
        self.batch = Some(batch);
        self
    }

    fn goal(mut self, goal: f64) -> Self {
        self.goal = Some(goal);
        self.goal_met = Some(self.value <= goal);
        self
    }

    fn print(self) -> Result<()> {
        println!("{}", serde_json::to_string(&self)?);
        Ok(())
    }
}

/// Measures all figures and prints them.
pub fn run(options: &Options, allocator: &CountingAllocator) -> Result<()> {
    let folder = match &options.folder {
        Some(folder) => folder.clone(),
        None => std::env::temp_dir().join(format!("lagoon-measure-{}", std::process::id())),
    };
    let result = measure_disk(&folder);
    if options.folder.is_none() && folder.exists() {
        std::fs::remove_dir_all(&folder)?;
    }
    result?;
    for voters in VOTER_COUNTS {
        measure_voters(voters, allocator)?;
    }
    Ok(())
}

fn measure_disk(folder: &Path) -> Result<()> {
    for batch in [1, 10, 100] {
        let path = folder.join(format!("batch-{batch}"));
        store_changes(&path, MEASURED_CHANGES / 4, batch, u64::MAX)?;
        let bytes: u64 = inspect(&path)?.segments.iter().map(|segment| segment.bytes).sum();
        let value = bytes as f64 / (MEASURED_CHANGES / 4) as f64;
        Figure::new("disk_per_change", "leader", value, "bytes").batch(batch).print()?;
    }
    let path = folder.join("restart");
    store_changes(&path, RESTART_CHANGES, 10, Setup::new(identity(), 0).limits.snapshot_interval)?;
    let start = WallInstant::now();
    let (_store, core) = open_replica(&path, u64::MAX)?;
    let value = start.elapsed().as_secs_f64();
    ensure!(
        core.status().last > RESTART_CHANGES,
        "expected more than {RESTART_CHANGES} log entries after the restart"
    );
    Figure::new("restart", "control", value, "seconds").goal(RESTART_GOAL_SECONDS).print()
}

fn identity() -> lagoongauge::replica::Identity {
    lagoongauge::replica::Identity { host: HostId(1), incarnation: 1 }
}

fn open_replica(
    folder: &Path,
    snapshot_interval: u64,
) -> Result<(FileStore<Disk>, Core<ValueTable>)> {
    let bootstrap = |identity| Recovered::bootstrap(vec![identity]);
    let store = open_or_format(folder, HostId(1), 1, bootstrap)?;
    let mut setup = Setup::new(store.identity(), 1);
    setup.limits.snapshot_interval = snapshot_interval;
    let core = Core::new(setup, store.recover()?, ValueTable::default(), Instant(0))?;
    Ok((store, core))
}

/// Commits changes in batches on a single voter with a store on a real disk.
fn store_changes(folder: &Path, changes: u64, batch: u64, snapshot_interval: u64) -> Result<()> {
    let (mut store, mut core) = open_replica(folder, snapshot_interval)?;
    let mut now = 0;
    while core.read(Instant(now)).is_err() {
        now += STEP_MS;
        core.tick(Instant(now));
        process_actions(&mut store, &mut core)?;
    }
    let mut applied = 0;
    for _ in 0..changes / batch {
        for _ in 0..batch {
            core.propose(Instant(now), vec![7; CHANGE_BYTES])?;
        }
        applied += process_actions(&mut store, &mut core)?;
    }
    ensure!(applied == changes, "{applied} of {changes} changes were applied");
    Ok(())
}

fn process_actions(store: &mut FileStore<Disk>, core: &mut Core<ValueTable>) -> Result<u64> {
    let mut applied = 0;
    loop {
        let actions = core.take_actions();
        if actions.is_empty() {
            return Ok(applied);
        }
        for action in actions {
            match action {
                Action::Persist { batch, records } => {
                    store.write(&records)?;
                    core.handle_persisted(batch);
                }
                Action::Applied { .. } => applied += 1,
                _ => {}
            }
        }
    }
}

fn measure_voters(voters: u32, allocator: &CountingAllocator) -> Result<()> {
    let (cluster, bytes) = meter::measure_memory(allocator, || new_loaded_cluster(voters));
    let mut cluster = cluster?;
    let value = bytes / f64::from(voters);
    Figure::new("memory", "control", value, "bytes")
        .voters(voters)
        .goal(MEMORY_GOAL_BYTES)
        .print()?;
    measure_changes(voters, &mut cluster)?;
    measure_rate("wire_at_rest", voters, 0, &mut cluster)?;
    measure_rate("wire_at_10_changes_a_second", voters, 10, &mut cluster)
}

fn new_loaded_cluster(voters: u32) -> Result<Cluster> {
    let mut cluster = Cluster::new(voters)?;
    let leader = cluster.leader().expect("a new cluster has a leader");
    for _ in 0..RESTART_CHANGES / 100 {
        cluster.propose(leader, vec![vec![7; CHANGE_BYTES]; 100])?;
        (0..1000 / STEP_MS).for_each(|_| cluster.step());
    }
    ensure!(
        cluster.applied == RESTART_CHANGES,
        "{} of {RESTART_CHANGES} changes were applied",
        cluster.applied
    );
    Ok(cluster)
}

/// Measures 100 changes per second, each proposed alone.
fn measure_changes(voters: u32, cluster: &mut Cluster) -> Result<()> {
    let leader = cluster.leader().expect("the cluster has a leader that holds a lease");
    cluster.reset_usage();
    for _ in 0..MEASURED_CHANGES {
        cluster.propose(leader, vec![vec![7; CHANGE_BYTES]])?;
        (0..10 / STEP_MS).for_each(|_| cluster.step());
    }
    (0..1000 / STEP_MS).for_each(|_| cluster.step());
    ensure!(
        cluster.applied == MEASURED_CHANGES,
        "{} of {MEASURED_CHANGES} changes were applied",
        cluster.applied
    );
    for (role, index) in roles(leader) {
        let usage = cluster.usage(index);
        let per_change = |value: f64| value / MEASURED_CHANGES as f64;
        let figure = |measure, value, unit| Figure::new(measure, role, value, unit).voters(voters);
        figure("processor_per_change", per_change(usage.cpu_seconds) * 1e6, "microseconds")
            .print()?;
        figure("wire_per_change", per_change(usage.bytes as f64), "bytes").print()?;
    }
    Ok(())
}

fn measure_rate(
    measure: &'static str,
    voters: u32,
    rate: u64,
    cluster: &mut Cluster,
) -> Result<()> {
    (0..1000 / STEP_MS).for_each(|_| cluster.step());
    let leader = cluster.leader().expect("the cluster has a leader that holds a lease");
    cluster.reset_usage();
    for step in 0..RATE_SECONDS * 1000 / STEP_MS {
        if rate > 0 && step % (1000 / rate / STEP_MS) == 0 {
            cluster.propose(leader, vec![vec![7; CHANGE_BYTES]])?;
        }
        cluster.step();
    }
    for (role, index) in roles(leader) {
        let value = cluster.usage(index).bytes as f64 / RATE_SECONDS as f64;
        let figure = Figure::new(measure, role, value, "bytes a second");
        figure.voters(voters).goal(WIRE_GOAL_RATE).print()?;
    }
    Ok(())
}

/// Returns names and indices of the leader and one follower.
fn roles(leader: usize) -> [(&'static str, usize); 2] {
    let follower = usize::from(leader == 0);
    [("leader", leader), ("follower", follower)]
}
