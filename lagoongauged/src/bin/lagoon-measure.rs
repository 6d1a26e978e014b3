//! Runs one of the measurements and prints its results as JSON lines; see docs/MEASUREMENTS.md.

use bpaf::Bpaf;

use lagoongauged::measure::meter::{self, CountingAllocator};
use lagoongauged::measure::{burst, capacity, path, policy, replica, settings};

/// Counts the memory that the measured data structures allocate.
#[global_allocator]
static ALLOCATOR: CountingAllocator = meter::counting_allocator();

/// Measurements of lagoongauge.
#[derive(Debug, Clone, Bpaf)]
#[bpaf(options)]
enum Command {
    /// Measures the cost of the data path per packet and per flow.
    #[bpaf(command)]
    Path(#[bpaf(external(path::options))] path::Options),
    /// Compares flow placement algorithms under a simulated burst.
    #[bpaf(command)]
    Burst(#[bpaf(external(burst::options))] burst::Options),
    /// Measures how memory, traffic and CPU time grow with size; see docs/CAPACITY.md.
    #[bpaf(command)]
    Capacity(#[bpaf(external(capacity::options))] capacity::Options),
    /// Measures the routing decisions under configuration changes, load and faults.
    #[bpaf(command)]
    Policy(#[bpaf(external(policy::options))] policy::Options),
    /// Measures the replicated log.
    #[bpaf(command)]
    Replica(#[bpaf(external(replica::options))] replica::Options),
    /// Measures the propagation of settings from the control hosts to the entry hosts.
    #[bpaf(command)]
    Settings(#[bpaf(external(settings::options))] settings::Options),
}

fn main() -> eyre::Result<()> {
    match command().run() {
        Command::Path(options) => path::run(&options, &ALLOCATOR),
        Command::Burst(options) => burst::run(&options),
        Command::Capacity(options) => capacity::run(&options, &ALLOCATOR),
        Command::Policy(options) => policy::run(&options),
        Command::Replica(options) => replica::run(&options, &ALLOCATOR),
        Command::Settings(options) => settings::run(&options, &ALLOCATOR),
    }
}
