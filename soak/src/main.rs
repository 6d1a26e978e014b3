//! `lagoon-soak`: soaks the real programs in random faults.

use std::path::PathBuf;
use std::process::ExitCode;

use async_std::task::block_on;
use bpaf::Bpaf;
use lagoon_soak::run::{self, Setup};
use lagoon_soak::wrong::{self, Wrong};
use lagoongauge::error::{Error, Kind, Result};
use lagoongauge::id::HostId;
use lagoongauged::daemon::flags::parse_args;
use lagoongauged::daemon::{LogLevel, LogOutput, LogSetup, init_log, report_error};

/// Exit code of a run that found something.
const FOUND: u8 = 1;

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
        wrong: Wrong,
        /// Port at which it listens for other hosts
        #[bpaf(long, argument("PORT"))]
        listen: u16,
        /// The host's role: entry or control
        #[bpaf(positional("ROLE"))]
        role: String,
    },
    Play {
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
        wrong: Option<Wrong>,
    },
}

fn main() -> ExitCode {
    match start(parse_args(options())) {
        Ok(code) => code,
        Err(error) => report_error("lagoon-soak", &error),
    }
}

fn start(options: Options) -> Result<ExitCode> {
    match options {
        Options::Host { wrong, listen, role } => {
            match role.as_str() {
                "entry" => wrong::run_entry(wrong, listen)?,
                _ => wrong::run_control(wrong, listen)?,
            }
            Ok(ExitCode::SUCCESS)
        }
        Options::Play { seed, seconds, hosts, net, program, logs, wrong } => {
            let failed = |error: std::io::Error| Error::new(Kind::Internal, error.to_string());
            init_log(LogSetup {
                host: HostId(0),
                centre: String::new(),
                level: LogLevel(log::LevelFilter::Warn),
                output: LogOutput::Stderr,
            })
            .map_err(|error| Error::new(Kind::Internal, error.to_string()))?;
            let here = std::env::current_exe().map_err(failed)?;
            let program = program.unwrap_or_else(|| here.with_file_name("lagoon-platform"));
            let folder = logs.join(format!("seed-{seed}-net-{net}"));
            let span = seconds * 1000;
            let setup = Setup { seed, span, hosts, net, program, folder, wrong };
            let outcome = block_on(run::run(&setup)).map_err(failed)?;
            run::print(&setup, &outcome);
            let found = !outcome.findings.is_empty();
            Ok(if found { ExitCode::from(FOUND) } else { ExitCode::SUCCESS })
        }
    }
}
