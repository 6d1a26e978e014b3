//! The program `lagoon-entry`: flags, exit codes and shutdown.

use std::io::{BufRead, BufReader, Read};
use std::process::{Command, Output, Stdio};
use std::thread;
use std::time::{Duration, Instant};

/// Time limit for the program to exit.
const EXIT_TIMEOUT: Duration = Duration::from_secs(60);

/// Returns a command with valid flags and an otherwise empty environment.
fn program() -> Command {
    let mut command = Command::new(env!("CARGO_BIN_EXE_lagoon-entry"));
    command.env_clear().env("LAGOON_CLUSTER_KEY", "ab".repeat(32));
    command.args(["--host", "11", "--centre", "1", "--fabric", "127.0.0.1:9"]);
    command.args(["--data", "127.0.0.1:0", "--peer", "127.0.0.1:0", "--http", "127.0.0.1:0"]);
    command.args(["--control", "127.0.0.1:9"]);
    command
}

fn exit_and_stderr(output: &Output) -> (Option<i32>, String) {
    (output.status.code(), String::from_utf8_lossy(&output.stderr).into_owned())
}

#[test]
fn check_validates_settings_without_starting() {
    let output = program().arg("--check").output().unwrap();
    assert_eq!(exit_and_stderr(&output), (Some(0), String::new()));
}

#[test]
fn invalid_flags_and_variables_are_named_and_exit_with_code_2() {
    let (code, text) =
        exit_and_stderr(&program().args(["--threads", "65", "--check"]).output().unwrap());
    assert_eq!(code, Some(2));
    assert!(text.contains("--threads (LAGOON_THREADS) is \"65\"; accepted: a number"), "{text}");
    let mut wrong = program();
    wrong.env("LAGOON_DRAIN_LIMIT", "soon").arg("--check");
    let (code, text) = exit_and_stderr(&wrong.output().unwrap());
    assert_eq!(code, Some(2));
    assert!(text.contains("(LAGOON_DRAIN_LIMIT) is \"soon\"; accepted: "), "{text}");
    let (code, _) = exit_and_stderr(&program().arg("--colour").output().unwrap());
    assert_eq!(code, Some(2));
}

#[test]
fn sigterm_stops_a_host_without_flows() {
    let mut child = program().stderr(Stdio::piped()).spawn().unwrap();
    // The signal handler is installed before the first log line.
    let mut line = String::new();
    let mut log = BufReader::new(child.stderr.take().unwrap());
    log.read_line(&mut line).unwrap();
    assert!(line.contains("takes packets"), "{line}");
    let pid = child.id().to_string();
    assert!(Command::new("kill").args(["-TERM", &pid]).status().unwrap().success());
    let start = Instant::now();
    let status = loop {
        if let Some(status) = child.try_wait().unwrap() {
            break status;
        }
        if start.elapsed() > EXIT_TIMEOUT {
            child.kill().unwrap();
            panic!("the program did not end in time");
        }
        thread::sleep(Duration::from_millis(20));
    };
    assert_eq!(status.code(), Some(0));
    let mut rest = String::new();
    log.read_to_string(&mut rest).unwrap();
    assert!(rest.contains("everything handed over or ended: true"), "{rest}");
}
