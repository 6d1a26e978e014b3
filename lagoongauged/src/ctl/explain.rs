//! Explains what happened to a flow from the log lines of several hosts.
//!
//! See "From a failed request to its cause" in docs/OPERATIONS.md.

use std::collections::BTreeSet;
use std::fmt;
use std::fs::File;
use std::io::{self, BufRead, BufReader};

use chrono::{DateTime, TimeDelta, Utc};
use indexmap::IndexMap;
use lagoongauge::error::{Error, Kind, Result};
use lagoongauge::mark::Cause;
use serde::Deserialize;

/// Time before a flow's first decision and after its last one in which other log lines are related
/// to the flow.
const CONTEXT_WINDOW: TimeDelta = TimeDelta::seconds(5);

/// A log line of any of the programs.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize)]
pub struct LogLine {
    /// Time of the line by the clock of its host.
    pub time: DateTime<Utc>,
    /// Message of the line.
    pub message: String,
    /// Mapped diagnostic context: host and data centre.
    #[serde(default)]
    pub mdc: IndexMap<String, String>,
    /// Attributes, such as the inputs and outcome of a decision.
    #[serde(default)]
    pub attributes: IndexMap<String, String>,
}

/// Explanation of a flow.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Explanation {
    /// The related log lines in order of time.
    pub lines: Vec<LogLine>,
    /// The most likely cause.
    pub cause: Diagnosis,
}

/// Cause derived from the log lines of a flow.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Diagnosis {
    /// No log line mentions the flow.
    Unknown,
    /// The flow was reset or its packets were dropped, with this cause.
    Refused(String),
    /// The flow's packets were dropped by a host that had just started and had no catalog yet.
    Starting,
    /// The flow's target stopped sending heartbeats, drained or ended after the start of the flow.
    TargetChanged(String),
    /// The entry host of the flow stopped or started while the flow was open.
    HostRestarted(String),
    /// The flow was forwarded, and no log line indicates a problem.
    Forwarded,
}

/// Reads log lines from files, or from standard input if there are none; skips all other lines.
///
/// Fails with `NotFound` for a file that can't be read.
pub fn read_lines(files: &[String]) -> Result<Vec<LogLine>> {
    if files.is_empty() {
        return parse_lines(io::stdin().lock(), "standard input");
    }
    let mut lines = Vec::new();
    for name in files {
        let file = File::open(name).map_err(|error| read_error(name, &error))?;
        lines.extend(parse_lines(BufReader::new(file), name)?);
    }
    Ok(lines)
}

/// Explains the flows from a caller's address and port.
pub fn explain(lines: &[LogLine], caller: &str) -> Explanation {
    let prefix = format!("{caller}>");
    let is_own =
        |line: &&LogLine| line.attribute("flow").is_some_and(|flow| flow.starts_with(&prefix));
    let decisions: Vec<&LogLine> = lines.iter().filter(is_own).collect();
    let Some(first) = decisions.iter().map(|line| line.time).min() else {
        return Explanation { lines: Vec::new(), cause: Diagnosis::Unknown };
    };
    let last = decisions.iter().map(|line| line.time).max().unwrap_or(first);
    let targets: BTreeSet<&str> =
        decisions.iter().filter_map(|line| line.attribute("target")).collect();
    let hosts: BTreeSet<&str> = decisions.iter().filter_map(|line| line.host()).collect();
    let in_window =
        |line: &&LogLine| line.time >= first - CONTEXT_WINDOW && line.time <= last + CONTEXT_WINDOW;
    let is_related = |line: &&LogLine| {
        line.attribute("target").is_some_and(|target| targets.contains(target))
            || targets.iter().any(|target| mentions_word(&line.message, target))
            || (line.host().is_some_and(|host| hosts.contains(host)) && line.is_lifecycle_event())
    };
    let is_relevant =
        |line: &&LogLine| is_own(line) || (line.attribute("flow").is_none() && is_related(line));
    let mut selected: Vec<LogLine> =
        lines.iter().filter(in_window).filter(is_relevant).cloned().collect();
    selected.sort_by_key(|line| line.time);
    let cause = diagnose(&selected, first);
    Explanation { lines: selected, cause }
}

/// Determines the cause. Decisions about the flow take precedence over other events.
fn diagnose(lines: &[LogLine], started_at: DateTime<Utc>) -> Diagnosis {
    let rejected = lines.iter().rev().find(|line| line.attribute("cause").is_some());
    if let Some(line) = rejected {
        let cause = line.attribute("cause").unwrap_or_default();
        let starting = line.attribute("version") == Some("0");
        return if starting { Diagnosis::Starting } else { Diagnosis::Refused(cause.into()) };
    }
    let later = || lines.iter().filter(|line| line.time >= started_at);
    let is_unavailable = |line: &&LogLine| {
        let not_serving = line.attribute("phase").is_some_and(|phase| phase != "Serving");
        not_serving || line.attribute("silent") == Some("true")
    };
    if let Some(line) = later().find(is_unavailable) {
        let target = line.attribute("target").unwrap_or("the target");
        let phase = line.attribute("phase").unwrap_or_default();
        let silent = line.attribute("silent").unwrap_or_default();
        return Diagnosis::TargetChanged(format!("{target} is {phase}, silent {silent}"));
    }
    match later().find(|line| line.is_lifecycle_event()) {
        Some(line) => Diagnosis::HostRestarted(line.message.clone()),
        None => Diagnosis::Forwarded,
    }
}

impl LogLine {
    /// Returns the value of an attribute.
    pub(super) fn attribute(&self, name: &str) -> Option<&str> {
        self.attributes.get(name).map(String::as_str)
    }

    /// Returns the host that wrote the line.
    pub(super) fn host(&self) -> Option<&str> {
        self.mdc.get("host").map(String::as_str)
    }

    /// Returns the time of the line in Unix milliseconds.
    pub(super) fn unix_millis(&self) -> u64 {
        self.time.timestamp_millis().max(0) as u64
    }

    /// Returns whether the line reports the start of its process.
    pub(super) fn is_start(&self) -> bool {
        self.message.contains(" starts as ")
    }

    /// Returns whether the line reports the start or end of its process.
    fn is_lifecycle_event(&self) -> bool {
        self.is_start() || self.message.contains(" host ends")
    }
}

impl fmt::Display for LogLine {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let time = self.time.format("%H:%M:%S%.3f");
        write!(f, "{time} {:<12} {}", self.host().unwrap_or("-"), self.message)?;
        for (name, value) in &self.attributes {
            write!(f, " {name}={value}")?;
        }
        Ok(())
    }
}

impl fmt::Display for Diagnosis {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Unknown => f.write_str(
                "no log line mentions the flow: it reached no entry host whose log was given, or \
                 its lines were omitted (lagoon_entry_omitted_log_lines_total)",
            ),
            Self::Refused(cause) => write!(f, "{cause}: {}", describe_cause(cause)),
            Self::Starting => f.write_str(
                "starting: the packets reached an entry host that had just started and had no \
                 catalog yet; check why it started and whether the control hosts had a leader",
            ),
            Self::TargetChanged(state) => {
                write!(f, "the flow's target changed while it was open: {state}")
            }
            Self::HostRestarted(message) => {
                write!(f, "the flow's entry host stopped or started: {message}")
            }
            Self::Forwarded => {
                f.write_str("the entry hosts forwarded the flow; check the target and the caller")
            }
        }
    }
}

/// Returns a description of a cause.
fn describe_cause(cause: &str) -> &'static str {
    match Cause::ALL.into_iter().find(|known| known.name() == cause) {
        Some(Cause::NoRoute) => "the host's active catalog has no route for the address",
        Some(Cause::RouteRemoved) => "a newer catalog removed the route",
        Some(Cause::NoTarget) => {
            "no target of the service accepts new flows; no request was executed"
        }
        Some(Cause::TargetGone) => "the flow's target has ended",
        Some(Cause::TargetLost) => "the flow's target is unreachable; the caller may retry",
        Some(Cause::UnknownMark) => "the host does not know the flow's target yet",
        Some(Cause::ForeignMark) => "the packet's mark refers to a target of another service",
        Some(Cause::NoMark) => "the host knows neither the flow nor its target",
        Some(Cause::Stale) => {
            "the SYN was queued during a stall of the host and was too old to forward"
        }
        Some(Cause::EarlyCopy) => {
            "the host saw the first copy of a SYN and not the SYN, which another host may have placed"
        }
        Some(Cause::Starting) => {
            "the host had just started, and the packet was too old once it had a catalog"
        }
        Some(Cause::Overloaded) => {
            "requests of this priority had no room left at the service's targets; no request was \
             executed"
        }
        Some(Cause::LinkFull) => {
            "the link of the entry host was full; a first SYN was refused and nothing was executed, a \
             copy was dropped, as another host may have opened the flow"
        }
        None => "unknown cause, written by another version",
    }
}

/// Returns whether a text contains a word as a whole, so that `t9` does not match `t99`.
fn mentions_word(text: &str, word: &str) -> bool {
    text.split(|letter: char| !letter.is_alphanumeric()).any(|part| part == word)
}

fn parse_lines(reader: impl BufRead, name: &str) -> Result<Vec<LogLine>> {
    let mut lines = Vec::new();
    for text in reader.lines() {
        let text = text.map_err(|error| read_error(name, &error))?;
        // Log collectors prepend timestamps and host names to the line.
        let Some(start) = text.find('{') else { continue };
        if let Ok(line) = serde_json::from_str(&text[start..]) {
            lines.push(line);
        }
    }
    Ok(lines)
}

fn read_error(name: &str, error: &io::Error) -> Error {
    Error::new(Kind::NotFound, format!("failed to read {name}: {error}"))
}
