//! Replays a burst against the real routers of several entry hosts, in given time.
//!
//! Callers keep some flows open that bring requests now and then, and open many that bring one
//! request each; targets have slots and a short queue, and shed what does not fit. Ways of placing
//! are compared under the same seed; see "Placing" in docs/MEASUREMENTS.md.

mod baseline;
mod simulation;
mod target;

use bpaf::Bpaf;
use lagoongauge::mark::placement::{LeastCost, Policy};
use serde::Serialize;

use self::baseline::{BlindHash, LeastFlows, TwoChoices};
pub use self::simulation::Load;
use self::simulation::Simulation;

/// What the burst measurement runs.
#[derive(Debug, Clone, Bpaf)]
#[bpaf(generate(options))]
pub struct Options {
    /// First seed.
    #[bpaf(argument("N"), fallback(1))]
    pub seed: u64,
    /// Seeds that are run.
    #[bpaf(argument("COUNT"), fallback(5))]
    pub seeds: u64,
    /// Times the usual load that comes in the burst.
    #[bpaf(argument("TIMES"), fallback(2.0))]
    pub burst: f64,
    /// Entry hosts in each data centre.
    #[bpaf(argument("COUNT"), fallback(2))]
    pub hosts: u16,
}

/// What one way of placing comes to; shares are of requests asked.
#[derive(Debug, Clone, Copy, Default, PartialEq, Serialize)]
pub struct Figures {
    /// Requests.
    #[serde(rename = "asked")]
    pub requests: u64,
    /// Share that was answered.
    pub served: f64,
    /// Share that was answered within its objective.
    #[serde(rename = "timely")]
    pub on_time: f64,
    /// Share that was answered within its objective in the worst two seconds.
    #[serde(rename = "worst")]
    pub worst_on_time: f64,
    /// Share that targets turned away as they were full.
    pub shed: f64,
    /// Requests at the busiest target over the mean.
    pub imbalance: f64,
    /// Bytes a second of load counts that a host sends.
    #[serde(rename = "control")]
    pub control_rate: f64,
    /// Share of flows that began in another data centre.
    #[serde(rename = "far")]
    pub remote: f64,
}

/// One JSON line.
#[derive(Debug, Serialize)]
struct Row {
    policy: &'static str,
    seed: u64,
    #[serde(flatten)]
    figures: Figures,
}

/// Runs all ways of placing over the seeds and prints a JSON line each.
pub fn run(options: &Options) -> eyre::Result<()> {
    let load = Load { burst_factor: options.burst, hosts: options.hosts, ..Load::default() };
    for seed in options.seed..options.seed + options.seeds {
        print("least_cost", seed, simulate(load, seed, LeastCost))?;
        print("least_flows", seed, simulate(load, seed, LeastFlows))?;
        print("two_choices", seed, simulate(load, seed, TwoChoices))?;
        print("blind_hash", seed, simulate(load, seed, BlindHash))?;
    }
    Ok(())
}

/// Plays one load with one way of placing.
pub fn simulate<P: Policy + Copy>(load: Load, seed: u64, policy: P) -> Figures {
    Simulation::new(load, seed, policy).run()
}

/// Plays one load with the ways of placing that the product and its baselines have.
pub fn compare(load: Load, seed: u64) -> [Figures; 4] {
    [
        simulate(load, seed, LeastCost),
        simulate(load, seed, LeastFlows),
        simulate(load, seed, TwoChoices),
        simulate(load, seed, BlindHash),
    ]
}

fn print(policy: &'static str, seed: u64, figures: Figures) -> eyre::Result<()> {
    println!("{}", serde_json::to_string(&Row { policy, seed, figures })?);
    Ok(())
}
