//! Measures the routing decisions of several entry hosts under change, load and faults.

use bpaf::Bpaf;

/// What the policy measurement runs.
#[derive(Debug, Clone, Bpaf)]
#[bpaf(generate(options))]
pub struct Options {
    /// Seed of every random choice.
    #[bpaf(argument("N"), fallback(1))]
    pub seed: u64,
    /// Runs a tenth of the flows for a short while, for tests.
    pub quick: bool,
    /// Runs only this scenario.
    #[bpaf(argument("NAME"))]
    pub scenario: Option<String>,
    /// Runs only this design.
    #[bpaf(argument("NAME"))]
    pub design: Option<String>,
}

/// Runs the measurement and prints one JSON line for each size, scenario and design.
///
/// # Errors
///
/// Fails where a scenario or design of the given name does not exist.
pub fn run(options: &Options) -> eyre::Result<()> {
    eyre::bail!("the policy measurement has no driver yet (seed {})", options.seed)
}
