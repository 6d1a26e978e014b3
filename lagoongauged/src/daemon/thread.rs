//! Threads that inherit the log context of the thread that starts them.

use std::io::Result;
use std::thread::Builder;

use super::log::LogContext;

/// Spawns a thread with the caller's log context; fails if the system can't create it.
pub fn spawn(name: &str, work: impl FnOnce() + Send + 'static) -> Result<()> {
    let context = LogContext::capture();
    let run = move || {
        context.enter();
        work();
    };
    Builder::new().name(name.into()).spawn(run).map(drop)
}
