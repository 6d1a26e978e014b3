//! `lagoon-soak`: soaks the real programs in random faults.

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

/// Exit code of a run that found something.
const EXIT_FINDINGS: u8 = 1;

/// Soaks the real programs in random faults and judges what callers and targets see.
///
/// Prints what was broken as JSON lines, and exits with 1 if anything was.
#[derive(Debug, Clone, Bpaf)]
#[bpaf(options)]
enum Options {
    /// Runs a wrong variant of a host; runs with --wrong start it.
    #[bpaf(command, hide)]
    Host {
        /// What the host does wrong: marks, catalog or disk
        #[bpaf(long, argument("VARIANT"))]
        wrong: Mutant,
        /// Port at which it listens for other hosts
        #[bpaf(long, argument("PORT"))]
        listen: u16,
        /// The host's role: entry or control
        #[bpaf(positional("ROLE"))]
        role: String,
    },
    Run {
        /// Seed of the faults
        #[bpaf(long, argument("N"))]
        seed: u64,
        /// Time with faults
        #[bpaf(long, argument("S"), fallback(60), display_fallback)]
        seconds: u64,
        /// Entry and control hosts together
        #[bpaf(long, argument("H"), fallback(8), display_fallback)]
        hosts: u8,
        /// Second number of the run's loopback addresses
        #[bpaf(long, argument("1-255"), fallback(101), display_fallback)]
        net: u8,
        /// The program to run; usually the one beside this program
        #[bpaf(long, argument("PATH"))]
        program: Option<PathBuf>,
        /// Folder that gets settings, disks and logs of each seed
        #[bpaf(long, argument("FOLDER"), fallback("target/soak".into()))]
        logs: PathBuf,
        /// Runs a wrong variant, to see that it is found: marks, catalog or disk
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
        Options::Run { seed, seconds, hosts, net, program, logs, wrong } => {
            let internal_error =
                |error: std::io::Error| Error::new(Kind::Internal, error.to_string());
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
            let config = RunConfig { seed, duration, hosts, net, program, folder, mutant: wrong };
            let outcome = block_on(run::run(&config)).map_err(internal_error)?;
            run::print_outcome(&config, &outcome);
            let has_findings = !outcome.findings.is_empty();
            Ok(if has_findings { ExitCode::from(EXIT_FINDINGS) } else { ExitCode::SUCCESS })
        }
    }
}
