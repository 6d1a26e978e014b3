//! What each command asks the control hosts for.

use std::thread::sleep;
use std::time::{Duration, Instant};

use serde::Serialize;

use lagoongauge::error::{Error, Kind, Ran};
use lagoongauge::settings::{Change, Edit};

use super::options::{Command, Options, Plan, TokenAction};
use super::{Failure, edits, explain, print, tokens};
use crate::control::client::{Client, Query};

/// How often a change without `--expect` is asked for anew when another change came first.
const CONFLICTS: u32 = 5;

/// Longest wait of one call of `watch`, in milliseconds.
const WATCH: u32 = 5000;

/// Pause between two looks at where a change is in force.
const LOOK: Duration = Duration::from_millis(200);

/// Result of a command.
type Done = Result<(), Failure>;

/// An accepted change, with where it is in force if that was waited for.
#[derive(Debug, Serialize)]
struct Accepted {
    version: u64,
    request: String,
    #[serde(skip_serializing_if = "Option::is_none")]
    places: Option<Places>,
}

/// Where a version is in force.
#[derive(Debug, Serialize)]
struct Places {
    force: Vec<u32>,
    behind: Vec<u32>,
    silent: Vec<u32>,
}

/// Runs a command.
pub fn run(options: Options) -> Done {
    let Options { client, json, command } = options;
    let tool = Tool { client, json };
    match command {
        Command::Get { stale, below, path } => tool.get(&path, below, stale),
        Command::Set { plan, words } => tool.change(edits::parse_edits(&words)?, &plan),
        Command::Remove { plan, paths } => {
            tool.change(paths.into_iter().map(|path| Edit::Remove { path }).collect(), &plan)
        }
        Command::Watch { count, path } => tool.watch(&path, count),
        Command::Explain { caller, files } => explain(&caller, &files),
        Command::Status => tool.status(),
        Command::Hosts => tool.hosts(),
        Command::Drain { undo, host } => tool.drain(host, !undo),
        Command::Token { action } => tool.token(action),
        Command::Retire { host } => tool.retire(host),
    }
}

/// Prints the story of a flow and its cause.
pub fn explain(caller: &str, files: &[String]) -> Done {
    let explanation = explain::explain(&explain::read_lines(files)?, caller);
    for line in &explanation.lines {
        println!("{line}");
    }
    println!("cause: {}", explanation.cause);
    Ok(())
}

struct Tool {
    client: Client,
    json: bool,
}

impl Tool {
    fn get(&self, path: &str, below: bool, stale: bool) -> Done {
        let operation = if below { "dump" } else { "get" };
        let reading = self.client.read(Query { operation, path, since: 0, wait: 0 })?;
        if !reading.current && !stale {
            let detail = format!("version {} is not confirmed as current", reading.version);
            let mut failure = Failure::from(Error::new(Kind::NotCurrent, detail));
            failure.advice = "--stale shows what the control host knows".to_string();
            return Err(failure);
        }
        match self.json {
            true => print::json(&reading),
            false => print::reading(&reading),
        }
        Ok(())
    }

    fn watch(&self, path: &str, count: Option<u32>) -> Done {
        let mut since = 0;
        let mut left = count;
        while left != Some(0) {
            let reading =
                self.client.read(Query { operation: "watch", path, since, wait: WATCH })?;
            if reading.version <= since {
                continue;
            }
            since = reading.version;
            left = left.map(|left| left - 1);
            match self.json {
                true => print::json(&reading),
                false => print::reading(&reading),
            }
        }
        Ok(())
    }

    fn status(&self) -> Done {
        let overview = self.client.status()?;
        match self.json {
            true => print::json(&overview),
            false => print::overview(&overview),
        }
        Ok(())
    }

    fn hosts(&self) -> Done {
        let overview = self.client.status()?;
        match self.json {
            true => print::json(&overview.entries),
            false => print::hosts(&overview),
        }
        Ok(())
    }

    fn drain(&self, host: u32, drain: bool) -> Done {
        let path = format!("/hosts/{host}");
        let query = Query { operation: "get", path: &path, since: 0, wait: 0 };
        let reading = self.client.read(query)?;
        let edit = Edit::Set { path, key: "drain".to_string(), value: drain.to_string() };
        let plan = Plan { expect: Some(reading.version), request_id: None, wait: None };
        self.change(vec![edit], &plan)
    }

    fn retire(&self, host: u32) -> Done {
        self.client.retire(host)?;
        match self.json {
            true => print::json(&serde_json::json!({ "retired": host })),
            false => print::line(format_args!("host {host} is removed from the control hosts")),
        }
        Ok(())
    }

    fn token(&self, action: TokenAction) -> Done {
        let plan = |expect| Plan { expect, request_id: None, wait: None };
        let (made, expect) = match action {
            TokenAction::Make { subtree, path } => (tokens::make(&path, subtree)?, None),
            TokenAction::Rotate { path } => {
                let (made, version) = tokens::rotate(&self.client, &path)?;
                (made, Some(version))
            }
            TokenAction::Finish { path } => {
                let (edits, version) = tokens::finish(&self.client, &path)?;
                return self.change(edits, &plan(Some(version)));
            }
        };
        let accepted = self.ask(made.edits, &plan(expect))?;
        match self.json {
            true => {
                let shown = serde_json::json!({ "token": made.token, "version": accepted.version });
                print::json(&shown);
            }
            false => print::line(made.token),
        }
        Ok(())
    }

    fn change(&self, edits: Vec<Edit>, plan: &Plan) -> Done {
        let mut accepted = self.ask(edits, plan)?;
        if let Some(seconds) = plan.wait {
            accepted.places = Some(self.wait_force(accepted.version, seconds)?);
        }
        if self.json {
            print::json(&accepted);
            return Ok(());
        }
        print::line(format_args!("accepted as version {}", accepted.version));
        if let Some(places) = accepted.places {
            print::line(format_args!("in force on {:?}", places.force));
            print::line(format_args!("behind: {:?}, cut off: {:?}", places.behind, places.silent));
        }
        Ok(())
    }

    /// Asks for a change; without an expected version it is made from the current one.
    fn ask(&self, edits: Vec<Edit>, plan: &Plan) -> Result<Accepted, Failure> {
        if plan.request_id.is_some() && plan.expect.is_none() {
            let detail = "--request-id is given without --expect, which a resend needs";
            return Err(Error::new(Kind::Usage, detail).into());
        }
        let mut conflicts = 0;
        loop {
            let request = plan.request_id.clone().unwrap_or_else(new_request);
            let expected_version = plan.expect.map_or_else(|| self.version(), Ok)?;
            let change =
                Change { expected_version, request_id: request.clone(), edits: edits.clone() };
            let fault = match self.client.change(&change) {
                Ok(version) => return Ok(Accepted { version, request, places: None }),
                Err(fault) => fault,
            };
            let conflict = fault.error.kind == Kind::VersionConflict && plan.expect.is_none();
            conflicts += 1;
            if !conflict || conflicts >= CONFLICTS {
                let unknown = fault.error.kind.info().ran == Ran::Unknown;
                let resend = format!(
                    "resend with --expect {expected_version} --request-id {request} to learn the outcome"
                );
                let advice = if unknown { resend } else { String::new() };
                return Err(Failure { fault, advice });
            }
        }
    }

    fn version(&self) -> Result<u64, Failure> {
        let query = Query { operation: "get", path: "/", since: 0, wait: 0 };
        Ok(self.client.read(query)?.version)
    }

    fn wait_force(&self, version: u64, seconds: u64) -> Result<Places, Failure> {
        let began = Instant::now();
        loop {
            let entries = self.client.status()?.entries;
            let mut places = Places { force: Vec::new(), behind: Vec::new(), silent: Vec::new() };
            for entry in entries {
                match entry {
                    _ if entry.version >= version => places.force.push(entry.host),
                    _ if entry.silent >= print::SILENT => places.silent.push(entry.host),
                    _ => places.behind.push(entry.host),
                }
            }
            if places.behind.is_empty() || began.elapsed() >= Duration::from_secs(seconds) {
                return Ok(places);
            }
            sleep(LOOK);
        }
    }
}

fn new_request() -> String {
    format!("{:032x}", rand::random::<u128>())
}
