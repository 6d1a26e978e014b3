//! The operators' tool; see docs/OPERATING.md.

use std::process::ExitCode;

use lagoongauged::ctl::{self, Failure, Options, raw_options};
use lagoongauged::daemon::flags;

fn main() -> ExitCode {
    let raw = flags::parse(raw_options());
    let json = raw.json;
    let result = Options::try_from(raw).map_err(Failure::from).and_then(ctl::run);
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(failure) => {
            ctl::fail(&failure, json);
            ExitCode::from(failure.fault.error.kind.answer().exit)
        }
    }
}
