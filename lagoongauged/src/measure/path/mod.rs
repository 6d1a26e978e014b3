//! Measures the cost of an entry host's data path per packet and per flow.

mod decision;
mod flows;
mod loopback;
mod mark_router;
mod populated_router;

use bpaf::Bpaf;

use crate::measure::meter::CountingAllocator;

/// Numbers of known flows that are measured by default.
const DEFAULT_FLOW_COUNTS: [usize; 5] = [1_000, 10_000, 100_000, 300_000, 1_000_000];

/// Options of the measurement.
#[derive(Debug, Clone, Bpaf)]
#[bpaf(generate(options))]
pub struct Options {
    /// Number of known flows, given once per measurement; five numbers up to 1,000,000 by default.
    #[bpaf(argument("COUNT"), many)]
    pub flows: Vec<usize>,
    /// Packets in each timed run.
    #[bpaf(argument("COUNT"), fallback(2_000_000))]
    pub packets: usize,
    /// Timed runs of each kind, of which the median is printed.
    #[bpaf(argument("COUNT"), fallback(7))]
    pub runs: usize,
    /// Threads of the entry process over loopback.
    #[bpaf(argument("COUNT"), fallback(2))]
    pub threads: usize,
    /// Length of the run over loopback in seconds; 0 leaves it out.
    #[bpaf(argument("SECONDS"), fallback(5))]
    pub seconds: u64,
}

/// Runs the measurement and prints one JSON line for each number of flows and one for loopback.
///
/// # Errors
///
/// Returns an error if no socket can be opened on loopback.
pub fn run(options: &Options, allocator: &CountingAllocator) -> eyre::Result<()> {
    let counts =
        if options.flows.is_empty() { &DEFAULT_FLOW_COUNTS } else { options.flows.as_slice() };
    for &count in counts {
        let figures = decision::measure(count.max(1), options, allocator);
        println!("{}", serde_json::to_string(&figures)?);
    }
    if options.seconds > 0 {
        let figures = loopback::measure(options.threads.max(1), options.seconds)?;
        println!("{}", serde_json::to_string(&figures)?);
    }
    Ok(())
}
