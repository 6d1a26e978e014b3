//! Runs one of the measurements and prints its figures as JSON lines; see docs/MEASUREMENTS.md.

use bpaf::Bpaf;

use lagoongauged::measure::policy;

/// Measurements of lagoongauge.
#[derive(Debug, Clone, Bpaf)]
#[bpaf(options)]
enum Command {
    /// Measures the routing decisions under change, load and faults.
    #[bpaf(command)]
    Policy(#[bpaf(external(policy::options))] policy::Options),
}

fn main() -> eyre::Result<()> {
    match command().run() {
        Command::Policy(options) => policy::run(&options),
    }
}
