//! Code shared by all programs: logging, metrics, flags, clock, signals and exit codes.

mod backoff;
mod clock;
mod exit;
pub mod flags;
mod log;
pub mod metrics;
mod open_requests;
mod signal;
mod thread;

pub use self::backoff::Backoff;
pub use self::clock::Clock;
pub use self::exit::{exit_code, report_error};
pub use self::log::{LogLevel, LogOutput, LogSetup, init_log};
pub use self::open_requests::{OpenRequest, OpenRequests};
pub use self::signal::{Reload, Stop};
pub use self::thread::{isolate, isolate_task, spawn, spawn_task};
