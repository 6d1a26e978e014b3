//! The control host; see docs/OPERATIONS.md.

use std::process::ExitCode;

use lagoongauged::control::{command, options};
use lagoongauged::daemon::exit;

fn main() -> ExitCode {
    exit("lagoon-control", command::execute(options::parse()))
}
