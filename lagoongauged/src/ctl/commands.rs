//! The commands and the requests that they make to the control hosts.

use std::fs;
use std::thread::sleep;
use std::time::{Duration, Instant};

use serde::Serialize;

use lagoongauge::error::{Error, Kind, Ran};
use lagoongauge::settings::{Change, Edit};

use super::losses::{self, LossBudget, LossReport};
use super::options::{ChangeOptions, Command, Options, TokenAction};
use super::{Failure, edits, explain, print, tokens};
use crate::control::client::{Client, Query};

/// Maximum number of attempts of a change without `--expect` that conflicts with other changes.
const MAX_CONFLICTS: u32 = 5;

/// Longest wait of one `watch` call, in milliseconds.
const WATCH_WAIT_MS: u32 = 5000;

/// Interval of the status requests while waiting for a change to be applied.
const STATUS_INTERVAL: Duration = Duration::from_millis(200);

/// Result of a command.
type CommandResult = Result<(), Failure>;

/// An accepted change, with its progress on the entry hosts if that was requested.
#[derive(Debug, Serialize)]
struct Accepted {
    version: u64,
    #[serde(rename = "request")]
    request_id: String,
    #[serde(rename = "places", skip_serializing_if = "Option::is_none")]
    progress: Option<HostProgress>,
}

/// Entry hosts by whether they have applied a version.
#[derive(Debug, Serialize)]
struct HostProgress {
    #[serde(rename = "force")]
    applied: Vec<u32>,
    behind: Vec<u32>,
    silent: Vec<u32>,
}

/// Runs a command.
pub fn run(options: Options) -> CommandResult {
    let Options { client, json, command } = options;
    let runner = Runner { client, json };
    match command {
        Command::Get { stale, below, path } => runner.get(&path, below, stale),
        Command::Set { options, words } => runner.change(edits::parse_edits(&words)?, &options),
        Command::Remove { options, paths } => {
            runner.change(paths.into_iter().map(|path| Edit::Remove { path }).collect(), &options)
        }
        Command::Watch { count, path } => runner.watch(&path, count),
        Command::Explain { caller, files } => explain(&caller, &files),
        Command::Losses { plot, files } => report_losses(plot.as_deref(), &files, runner.json),
        Command::Status => runner.status(),
        Command::Hosts => runner.hosts(),
        Command::Drain { undo, host } => runner.drain(host, !undo),
        Command::Token { action } => runner.token(action),
        Command::Retire { host } => runner.retire(host),
    }
}

/// Prints the log lines that explain a flow, and the cause.
pub fn explain(caller: &str, files: &[String]) -> CommandResult {
    let explanation = explain::explain(&explain::read_lines(files)?, caller);
    for line in &explanation.lines {
        println!("{line}");
    }
    println!("cause: {}", explanation.cause);
    Ok(())
}

/// Prints where callers lost time, and draws it if `plot` names a file.
///
/// Fails with `Usage` if the plot can't be written.
pub fn report_losses(plot: Option<&str>, files: &[String], json: bool) -> CommandResult {
    let mut budget = LossBudget::default();
    let faults = losses::read_logs(files, &mut budget);
    let report = LossReport::new(&budget, faults);
    if let Some(path) = plot {
        let svg = losses::write_svg(&report);
        let svg = svg.map_err(|error| Error::new(Kind::Internal, format!("{error:#}")))?;
        let unwritable =
            |error| Error::new(Kind::Usage, format!("failed to write {path}: {error}"));
        fs::write(path, svg).map_err(unwritable)?;
    }
    if json {
        print::json(&report);
    } else {
        print::line(report.to_string().trim_end());
    }
    Ok(())
}

/// Runs the commands that need the control hosts.
struct Runner {
    client: Client,
    json: bool,
}

impl Runner {
    fn get(&self, path: &str, below: bool, stale: bool) -> CommandResult {
        let operation = if below { "dump" } else { "get" };
        let reading = self.client.read(Query { operation, path, since: 0, wait: 0 })?;
        if !reading.current && !stale {
            let detail = format!("version {} is not confirmed as current", reading.version);
            let mut failure = Failure::from(Error::new(Kind::NotCurrent, detail));
            failure.advice =
                "use --stale to show the settings known to the control host".to_string();
            return Err(failure);
        }
        match self.json {
            true => print::json(&reading),
            false => print::reading(&reading),
        }
        Ok(())
    }

    fn watch(&self, path: &str, count: Option<u32>) -> CommandResult {
        let mut since = 0;
        let mut remaining = count;
        while remaining != Some(0) {
            let reading =
                self.client.read(Query { operation: "watch", path, since, wait: WATCH_WAIT_MS })?;
            if reading.version <= since {
                continue;
            }
            since = reading.version;
            remaining = remaining.map(|count| count - 1);
            match self.json {
                true => print::json(&reading),
                false => print::reading(&reading),
            }
        }
        Ok(())
    }

    fn status(&self) -> CommandResult {
        let overview = self.client.status()?;
        match self.json {
            true => print::json(&overview),
            false => print::overview(&overview),
        }
        Ok(())
    }

    fn hosts(&self) -> CommandResult {
        let overview = self.client.status()?;
        match self.json {
            true => print::json(&overview.entries),
            false => print::hosts(&overview),
        }
        Ok(())
    }

    fn drain(&self, host: u32, drain: bool) -> CommandResult {
        let path = format!("/hosts/{host}");
        let query = Query { operation: "get", path: &path, since: 0, wait: 0 };
        let reading = self.client.read(query)?;
        let edit = Edit::Set { path, key: "drain".to_string(), value: drain.to_string() };
        let options = ChangeOptions { expect: Some(reading.version), request_id: None, wait: None };
        self.change(vec![edit], &options)
    }

    fn retire(&self, host: u32) -> CommandResult {
        self.client.retire(host)?;
        match self.json {
            true => print::json(&serde_json::json!({ "retired": host })),
            false => print::line(format_args!("host {host} is removed from the control hosts")),
        }
        Ok(())
    }

    fn token(&self, action: TokenAction) -> CommandResult {
        let options = |expect| ChangeOptions { expect, request_id: None, wait: None };
        let (token, expect) = match action {
            TokenAction::Make { subtree, path } => (tokens::create(&path, subtree)?, None),
            TokenAction::Rotate { path } => {
                let (token, version) = tokens::rotate(&self.client, &path)?;
                (token, Some(version))
            }
            TokenAction::Finish { path } => {
                let (edits, version) = tokens::finish(&self.client, &path)?;
                return self.change(edits, &options(Some(version)));
            }
        };
        let accepted = self.submit(token.edits, &options(expect))?;
        match self.json {
            true => {
                let shown = serde_json::json!({ "token": token.text, "version": accepted.version });
                print::json(&shown);
            }
            false => print::line(token.text),
        }
        Ok(())
    }

    fn change(&self, edits: Vec<Edit>, options: &ChangeOptions) -> CommandResult {
        let mut accepted = self.submit(edits, options)?;
        if let Some(seconds) = options.wait {
            accepted.progress = Some(self.wait_until_applied(accepted.version, seconds)?);
        }
        if self.json {
            print::json(&accepted);
            return Ok(());
        }
        print::line(format_args!("accepted as version {}", accepted.version));
        if let Some(progress) = accepted.progress {
            print::line(format_args!("in force on {:?}", progress.applied));
            print::line(format_args!(
                "behind: {:?}, cut off: {:?}",
                progress.behind, progress.silent
            ));
        }
        Ok(())
    }

    /// Submits a change; without an expected version it is based on the current one.
    fn submit(&self, edits: Vec<Edit>, options: &ChangeOptions) -> Result<Accepted, Failure> {
        if options.request_id.is_some() && options.expect.is_none() {
            let detail = "--request-id requires --expect, as a resend has to repeat both";
            return Err(Error::new(Kind::Usage, detail).into());
        }
        let mut conflicts = 0;
        loop {
            let request_id = options.request_id.clone().unwrap_or_else(new_request_id);
            let expected_version = options.expect.map_or_else(|| self.current_version(), Ok)?;
            let change =
                Change { expected_version, request_id: request_id.clone(), edits: edits.clone() };
            let fault = match self.client.change(&change) {
                Ok(version) => return Ok(Accepted { version, request_id, progress: None }),
                Err(fault) => fault,
            };
            let is_conflict = fault.error.kind == Kind::VersionConflict && options.expect.is_none();
            conflicts += 1;
            if !is_conflict || conflicts >= MAX_CONFLICTS {
                let unknown_outcome = fault.error.kind.info().ran == Ran::Unknown;
                let resend = format!(
                    "resend with --expect {expected_version} --request-id {request_id} to learn the outcome"
                );
                let advice = if unknown_outcome { resend } else { String::new() };
                return Err(Failure { fault, advice });
            }
        }
    }

    fn current_version(&self) -> Result<u64, Failure> {
        let query = Query { operation: "get", path: "/", since: 0, wait: 0 };
        Ok(self.client.read(query)?.version)
    }

    fn wait_until_applied(&self, version: u64, seconds: u64) -> Result<HostProgress, Failure> {
        let started = Instant::now();
        loop {
            let entries = self.client.status()?.entries;
            let mut progress =
                HostProgress { applied: Vec::new(), behind: Vec::new(), silent: Vec::new() };
            for entry in entries {
                match entry {
                    _ if entry.version >= version => progress.applied.push(entry.host),
                    _ if entry.silent >= print::UNREACHABLE_AFTER_MS => {
                        progress.silent.push(entry.host);
                    }
                    _ => progress.behind.push(entry.host),
                }
            }
            if progress.behind.is_empty() || started.elapsed() >= Duration::from_secs(seconds) {
                return Ok(progress);
            }
            sleep(STATUS_INTERVAL);
        }
    }
}

fn new_request_id() -> String {
    format!("{:032x}", rand::random::<u128>())
}
