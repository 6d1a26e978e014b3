//! Threads and tasks that end with a log line if they panic.

use std::any::Any;
use std::future::Future;
use std::io::Result;
use std::panic::{AssertUnwindSafe, catch_unwind};
use std::process;
use std::thread::Builder;

use async_std::task::spawn_local;
use futures::FutureExt;
use lagoongauge::error::Kind;

use super::log::LogContext;

/// Spawns a thread with the caller's log context; fails if the system can't create it.
///
/// A panic of the thread ends the process, as the others would go on without what it does.
pub fn spawn(name: &str, work: impl FnOnce() + Send + 'static) -> Result<()> {
    let context = LogContext::capture();
    let title = name.to_owned();
    let run = move || {
        context.enter();
        if !isolate(&title, work) {
            end_process();
        }
    };
    Builder::new().name(name.into()).spawn(run).map(drop)
}

/// Runs work on outside data, which must not end the process; a panic is logged. Returns whether
/// there was none.
pub fn isolate(name: &str, work: impl FnOnce()) -> bool {
    let result = catch_unwind(AssertUnwindSafe(work));
    result.inspect_err(|panic| log::error!("{name} panicked: {}", describe(&**panic))).is_ok()
}

/// Spawns a task on this thread that runs as long as the process; a panic of it ends the process.
///
/// The executor drops a task that panics and goes on with the others.
pub fn spawn_task(name: &'static str, task: impl Future<Output = ()> + 'static) {
    spawn_local(async move {
        if isolate_task(name, task).await.is_none() {
            end_process();
        }
    });
}

/// Runs a task that depends on outside data, which must not end the process; returns `None` after a
/// panic, which is logged.
pub async fn isolate_task<T>(name: &str, task: impl Future<Output = T>) -> Option<T> {
    let result = AssertUnwindSafe(task).catch_unwind().await;
    result.inspect_err(|panic| log::error!("{name} panicked: {}", describe(&**panic))).ok()
}

fn end_process() -> ! {
    log::error!("the process ends after a panic");
    process::exit(Kind::Internal.info().exit.into());
}

fn describe(panic: &(dyn Any + Send)) -> &str {
    let text = panic.downcast_ref::<&str>().copied();
    text.or_else(|| panic.downcast_ref::<String>().map(String::as_str)).unwrap_or("no message")
}
