//! Measures the routing decisions of several entry hosts under configuration changes, load and
//! faults.

mod baseline;
mod endpoints;
mod environment;
mod host_core;
mod node_core;
mod scenario;
mod simulation;
mod stats;

use std::sync::Mutex;
use std::sync::atomic::{AtomicUsize, Ordering};

use bpaf::Bpaf;
use eyre::ensure;

use self::baseline::{Baseline, Maglev, Modulo, Rendezvous, TargetSelector};
use self::host_core::HostCore;
use self::node_core::NodeCore;
use self::scenario::{SIZES, Scenario, Size};
use self::simulation::Simulation;
pub use self::stats::Figures;

/// Maximum number of concurrent runs.
const MAX_CONCURRENT_RUNS: usize = 4;
/// Names of all designs.
const DESIGNS: [&str; 4] = [NodeCore::NAME, Modulo::NAME, Rendezvous::NAME, Maglev::NAME];

/// Options of the measurement.
#[derive(Debug, Clone, Bpaf)]
#[bpaf(generate(options))]
pub struct Options {
    /// Seed of every random choice.
    #[bpaf(argument("N"), fallback(1))]
    pub seed: u64,
    /// Runs with a fiftieth of the flows, for tests.
    pub quick: bool,
    /// Runs only this size.
    #[bpaf(argument("NAME"))]
    pub size: Option<String>,
    /// Runs only this scenario.
    #[bpaf(argument("NAME"))]
    pub scenario: Option<String>,
    /// Runs only this design.
    #[bpaf(argument("NAME"))]
    pub design: Option<String>,
}

struct Job {
    size: Size,
    scenario: Scenario,
    design: &'static str,
    seed: u64,
}

impl Job {
    fn run(&self) -> Figures {
        match self.design {
            NodeCore::NAME => self.run_design::<NodeCore>(),
            Modulo::NAME => self.run_design::<Baseline<Modulo>>(),
            Rendezvous::NAME => self.run_design::<Baseline<Rendezvous>>(),
            _ => self.run_design::<Baseline<Maglev>>(),
        }
    }

    fn run_design<C: HostCore>(&self) -> Figures {
        Simulation::<C>::new(self.size, &self.scenario, self.seed).run()
    }
}

/// Runs the measurement and prints one JSON line for each size, scenario and design.
///
/// # Errors
///
/// Returns an error if no size, scenario or design has the given name.
pub fn run(options: &Options) -> eyre::Result<()> {
    let mut failed = None;
    measure(options, |figures| match serde_json::to_string(&figures) {
        Ok(line) => println!("{line}"),
        Err(error) => failed = Some(error),
    })?;
    failed.map_or(Ok(()), |error| Err(error.into()))
}

/// Runs the measurement and passes the figures of each run to `handle` in order of completion.
///
/// # Errors
///
/// Returns an error if no size, scenario or design has the given name.
pub fn measure(options: &Options, handle: impl FnMut(Figures) + Send) -> eyre::Result<()> {
    let jobs = build_jobs(options);
    ensure!(!jobs.is_empty(), "no size, scenario and design have these names");
    let next = AtomicUsize::new(0);
    let handle = Mutex::new(handle);
    std::thread::scope(|scope| {
        for _ in 0..MAX_CONCURRENT_RUNS.min(jobs.len()) {
            scope.spawn(|| {
                while let Some(job) = jobs.get(next.fetch_add(1, Ordering::Relaxed)) {
                    let figures = job.run();
                    handle.lock().unwrap_or_else(std::sync::PoisonError::into_inner)(figures);
                }
            });
        }
    });
    Ok(())
}

fn build_jobs(options: &Options) -> Vec<Job> {
    let is_selected =
        |name: &Option<String>, candidate: &str| name.as_ref().is_none_or(|name| name == candidate);
    let mut jobs = Vec::new();
    for size in SIZES.into_iter().filter(|size| is_selected(&options.size, size.name)) {
        let size = if options.quick { size.quick() } else { size };
        for scenario in scenario::all(size.hosts) {
            if !is_selected(&options.scenario, scenario.name) {
                continue;
            }
            let scenario = if options.quick { scenario.quick() } else { scenario };
            for design in DESIGNS.into_iter().filter(|design| is_selected(&options.design, design))
            {
                jobs.push(Job { size, scenario: scenario.clone(), design, seed: options.seed });
            }
        }
    }
    jobs
}
