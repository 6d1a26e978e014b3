//! Threads that log like the one that started them.

use std::io::Result;
use std::thread::Builder;

use super::log::LogContext;

/// Starts a thread with the caller's log context; fails where the system gives none.
pub fn spawn(name: &str, work: impl FnOnce() + Send + 'static) -> Result<()> {
    let context = LogContext::capture();
    let run = move || {
        context.enter();
        work();
    };
    Builder::new().name(name.into()).spawn(run).map(drop)
}
