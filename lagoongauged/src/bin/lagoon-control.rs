//! The `lagoon-control` program; see docs/OPERATIONS.md.

use std::process::ExitCode;

use lagoongauged::control::{command, options};
use lagoongauged::daemon::exit_code;

fn main() -> ExitCode {
    exit_code("lagoon-control", command::execute(options::parse()))
}
