//! Simulates a burst against the real routers of several entry hosts, with a simulated clock.
//!
//! Callers keep some long-lived flows with occasional requests, and open many flows with a single
//! request each. Targets have slots and a short queue, and shed requests that do not fit. Placement
//! policies are compared under the same seed; see "Placing" in docs/MEASUREMENTS.md.

mod baseline;
mod simulation;
mod target;

use bpaf::Bpaf;
use lagoongauge::mark::placement::{LeastCost, Policy};
use serde::Serialize;

use self::baseline::{BlindHash, LeastFlows, TwoChoices};
pub use self::simulation::Load;
use self::simulation::Simulation;

/// Options of the measurement.
#[derive(Debug, Clone, Bpaf)]
#[bpaf(generate(options))]
pub struct Options {
    /// First seed.
    #[bpaf(argument("N"), fallback(1))]
    pub seed: u64,
    /// Number of consecutive seeds.
    #[bpaf(argument("COUNT"), fallback(5))]
    pub seeds: u64,
    /// Factor by which the burst multiplies the usual load.
    #[bpaf(argument("TIMES"), fallback(2.0))]
    pub burst: f64,
    /// Entry hosts in each data centre.
    #[bpaf(argument("COUNT"), fallback(2))]
    pub hosts: u16,
}

/// Results of one placement policy; shares are of all requests unless stated otherwise.
#[derive(Debug, Clone, Copy, Default, PartialEq, Serialize)]
pub struct Figures {
    /// Number of requests.
    #[serde(rename = "asked")]
    pub requests: u64,
    /// Share of requests that were answered.
    pub served: f64,
    /// Share of requests that were answered within the objective.
    #[serde(rename = "timely")]
    pub on_time: f64,
    /// Share of requests that were answered within the objective, in the worst two-second window.
    #[serde(rename = "worst")]
    pub worst_on_time: f64,
    /// Share of requests that were rejected by full targets.
    pub shed: f64,
    /// Accepted requests of the busiest target over the mean.
    pub imbalance: f64,
    /// Bytes per second of load reports that a host sends.
    #[serde(rename = "control")]
    pub control_rate: f64,
    /// Share of flows that were placed in another data centre than their entry host's.
    #[serde(rename = "far")]
    pub remote: f64,
}

/// Figures of one run, printed as a JSON line.
#[derive(Debug, Serialize)]
struct Row {
    policy: &'static str,
    seed: u64,
    #[serde(flatten)]
    figures: Figures,
}

/// Simulates all policies with each seed and prints one JSON line for each run.
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

/// Simulates a load with a policy.
pub fn simulate<P: Policy + Copy>(load: Load, seed: u64, policy: P) -> Figures {
    Simulation::new(load, seed, policy).run()
}

/// Simulates a load with the product's policy, followed by the baselines.
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
