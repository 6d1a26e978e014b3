//! A panic ends neither a process silently nor leaves it half alive.

use std::env;
use std::process::Command;
use std::thread;
use std::time::Duration;

use async_std::task::{block_on, sleep};
use lagoongauge::error::Kind;
use lagoongauged::daemon::{isolate, isolate_task, spawn, spawn_task};

/// Set in the process that a test starts from its own program.
const CHILD: &str = "LAGOON_TEST_CHILD";

/// Time after which a child that still runs counts as half alive.
const SURVIVAL: Duration = Duration::from_secs(3);

/// Runs this test program again for one test; returns its exit code and what it wrote to its error
/// output.
fn run_child(test: &str) -> (Option<i32>, String) {
    let program = env::current_exe().unwrap();
    let mut command = Command::new(program);
    command.args(["--exact", test, "--nocapture", "--test-threads=1"]).env(CHILD, "1");
    let output = command.output().unwrap();
    (output.status.code(), String::from_utf8_lossy(&output.stderr).into_owned())
}

#[test]
fn a_panic_of_a_thread_ends_the_process() {
    if env::var(CHILD).is_ok() {
        spawn("packets", || panic!("an unexpected state")).unwrap();
        thread::sleep(SURVIVAL);
        return;
    }
    let (code, errors) = run_child("a_panic_of_a_thread_ends_the_process");
    assert_eq!(code, Some(Kind::Internal.info().exit.into()));
    assert!(errors.contains("an unexpected state"), "{errors}");
}

#[test]
fn a_panic_of_a_long_lived_task_ends_the_process() {
    if env::var(CHILD).is_ok() {
        block_on(async {
            spawn_task("gossip", async { panic!("an unexpected state") });
            sleep(SURVIVAL).await;
        });
        std::process::exit(0);
    }
    let (code, errors) = run_child("a_panic_of_a_long_lived_task_ends_the_process");
    assert_ne!(code, Some(0));
    assert!(errors.contains("an unexpected state"), "{errors}");
}

#[test]
fn a_panic_on_outside_data_ends_only_its_own_work() {
    assert!(isolate("work", || ()));
    assert!(!isolate("work", || panic!("a malformed message")));
    let connection = isolate_task("connection", async { panic!("a malformed message") });
    let ended: Option<()> = block_on(connection);
    assert_eq!(ended, None);
}
