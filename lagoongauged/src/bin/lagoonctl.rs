//! The command-line tool for operators; see docs/OPERATIONS.md.

use std::process::ExitCode;

use lagoongauged::ctl::{self, Command, Failure, Options, raw_options};
use lagoongauged::daemon::flags;

fn main() -> ExitCode {
    let raw = flags::parse_args(raw_options());
    let json = raw.json;
    let result = match &raw.command {
        Command::Explain { caller, files } => ctl::explain_flow(caller, files),
        Command::Losses { plot, files } => ctl::report_losses(plot.as_deref(), files, json),
        _ => Options::try_from(raw).map_err(Failure::from).and_then(ctl::run),
    };
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(failure) => {
            ctl::print_failure(&failure, json);
            ExitCode::from(failure.fault.error.kind.info().exit)
        }
    }
}
