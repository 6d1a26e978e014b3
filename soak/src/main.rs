//! `lagoon-soak`: runs the real programs under random faults.

use std::path::PathBuf;
use std::process::ExitCode;

use async_std::task::block_on;
use bpaf::Bpaf;
use lagoon_soak::mutant::{self, Mutant};
use lagoon_soak::run::{self, RunConfig};
use lagoongauge::error::{Error, Kind, Result};
use lagoongauge::id::HostId;
use lagoongauged::daemon::flags::parse_args;
use lagoongauged::daemon::{LogLevel, LogOutput, LogSetup, init_log, report_error};

/// Exit code of a run with findings.
const EXIT_FINDINGS: u8 = 1;

/// Runs the real programs under random faults and checks what callers and targets observe.
///
/// Prints violated invariants as JSON lines, and exits with 1 if there are any.
#[derive(Debug, Clone, Bpaf)]
#[bpaf(options)]
enum Options {
    /// Runs a host with a deliberate bug; started by runs with --wrong.
    #[bpaf(command, hide)]
    Host {
        /// The bug: marks, catalog, disk or orders
        #[bpaf(long, argument("VARIANT"))]
        wrong: Mutant,
        /// Port on which the host listens for other hosts
        #[bpaf(long, argument("PORT"))]
        listen: u16,
        /// The host's role: entry or control
        #[bpaf(positional("ROLE"))]
        role: String,
    },
    Run {
        /// Seed from which the faults are drawn
        #[bpaf(long, argument("N"))]
        seed: u64,
        /// Duration of fault injection in seconds
        #[bpaf(long, argument("S"), fallback(60), display_fallback)]
        seconds: u64,
        /// Total number of entry and control hosts
        #[bpaf(long, argument("H"), fallback(8), display_fallback)]
        hosts: u8,
        /// Second octet of the run's loopback addresses
        #[bpaf(long, argument("1-255"), fallback(101), display_fallback)]
        net: u8,
        /// Path of lagoon-platform; by default in the folder of this program
        #[bpaf(long, argument("PATH"))]
        program: Option<PathBuf>,
        /// Path of an earlier version of lagoon-platform, which hosts run at some of their starts
        #[bpaf(long, argument("PATH"))]
        old: Option<PathBuf>,
        /// Folder for the settings, disks and logs of each seed
        #[bpaf(long, argument("FOLDER"), fallback("target/soak".into()))]
        logs: PathBuf,
        /// Runs hosts with a deliberate bug, which the run must find: marks, catalog, disk or orders
        #[bpaf(long, argument("VARIANT"))]
        wrong: Option<Mutant>,
    },
}

fn main() -> ExitCode {
    match execute(parse_args(options())) {
        Ok(code) => code,
        Err(error) => report_error("lagoon-soak", &error),
    }
}

fn execute(options: Options) -> Result<ExitCode> {
    match options {
        Options::Host { wrong, listen, role } => {
            match role.as_str() {
                "entry" => mutant::run_entry(wrong, listen)?,
                _ => mutant::run_control(wrong, listen)?,
            }
            Ok(ExitCode::SUCCESS)
        }
        Options::Run { seed, seconds, hosts, net, program, old, logs, wrong } => {
            let internal_error = |error: std::io::Error| {
                Error::new(Kind::Internal, format!("cannot perform the run: {error}"))
            };
            init_log(LogSetup {
                host: HostId(0),
                centre: String::new(),
                level: LogLevel(log::LevelFilter::Warn),
                output: LogOutput::Stderr,
            })
            .map_err(|error| Error::new(Kind::Internal, error.to_string()))?;
            let executable = std::env::current_exe().map_err(internal_error)?;
            let program = program.unwrap_or_else(|| executable.with_file_name("lagoon-platform"));
            let folder = logs.join(format!("seed-{seed}-net-{net}"));
            let duration = seconds * 1000;
            let config =
                RunConfig { seed, duration, hosts, net, program, old, folder, mutant: wrong };
            let outcome = block_on(run::run(&config)).map_err(internal_error)?;
            run::print_outcome(&config, &outcome);
            let has_findings = !outcome.findings.is_empty();
            Ok(if has_findings { ExitCode::from(EXIT_FINDINGS) } else { ExitCode::SUCCESS })
        }
    }
}
