//! Program of the entry host; see docs/OPERATIONS.md.

use std::process::ExitCode;
use std::thread;
use std::time::Duration;

use lagoongauged::daemon::{Stop, exit_code, flags, init_log};
use lagoongauged::entry::{BoundSockets, EntryHost, RawSettings, Settings, raw_options};

/// Interval at which the stop flag is checked.
const STOP_POLL_INTERVAL: Duration = Duration::from_millis(100);

fn main() -> ExitCode {
    exit_code("lagoon-entry", run(flags::parse_args(raw_options())))
}

fn run(raw: RawSettings) -> eyre::Result<()> {
    let check = raw.check;
    let settings = Settings::try_from(raw)?;
    if check {
        return Ok(());
    }
    init_log(settings.log_setup())?;
    let stop = Stop::on_signals()?;
    let host = EntryHost::start(&settings, BoundSockets::try_from(&settings)?)?;
    log::info!("entry host takes packets at {}", settings.data);
    while !stop.is_raised() {
        thread::sleep(STOP_POLL_INTERVAL);
    }
    host.shut_down();
    Ok(())
}
