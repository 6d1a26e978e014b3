//! Loss budget: where callers lost time over a stretch of the logs of all hosts.
//!
//! Entry hosts log how requests ended in counts (`mark_entry::loss_log`). The budget adds them up
//! by window, kind of requests and cause, and estimates what no host could see while some were
//! down. See "Where callers lose time" in docs/OPERATIONS.md.

mod estimate;
mod plot;
mod reader;
mod report;

use std::collections::BTreeMap;

use indexmap::IndexMap;
use serde::Serialize;

use super::explain::LogLine;
use crate::mark_entry::loss_log::{DROPS_DECISION, REQUESTS_DECISION, WINDOW_SECONDS};

pub use self::plot::write_svg;
pub use self::reader::{SourceFault, read_logs};
pub use self::report::{CauseTotal, LossReport, WindowLosses};

/// Number of windows that are kept; beyond it neighbouring windows are joined.
const MAX_WINDOWS: usize = 1800;

/// Number of kinds of requests, and of causes, that are kept apart.
const MAX_NAMES: usize = 64;

/// Number of hosts and of their outages that are kept.
const MAX_HOSTS: usize = 4096;

/// Longest time between the start of a window and its line; a clock may step in between.
const MAX_DELAY_SECONDS: u64 = 600;

/// Longest outage for which unseen requests are estimated, in milliseconds; a host that is away for
/// longer was taken out of service.
const MAX_OUTAGE_MS: u64 = 600_000;

/// Name under which further kinds and causes are counted.
const OTHER_NAME: &str = "other";

/// Cause of requests that no entry host saw because some were down.
pub const UNSEEN_CAUSE: &str = "host_down";

/// Prefixes of the attributes that count missed requests.
const MISS_PREFIXES: [&str; 2] = ["late.", "lost."];

/// Missed requests of one cause.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize)]
pub struct Missed {
    /// Requests that were answered after their objective.
    pub late: u64,
    /// Flows on which a request was not answered.
    pub lost: u64,
}

/// Requests of one kind in one window.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize)]
pub struct KindLosses {
    /// Requests answered within their objective.
    pub on_time: u64,
    /// Requests that were not, by cause.
    pub missed: IndexMap<String, Missed>,
}

/// Counts of one window.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub(crate) struct Window {
    kinds: IndexMap<String, KindLosses>,
    /// Dropped packets by cause.
    dropped: IndexMap<String, u64>,
}

/// Time between the last line of a host and its next start, in Unix milliseconds.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct Outage {
    from: u64,
    until: u64,
}

/// Adds up log lines in bounded memory, however long the logs are.
#[derive(Debug, Clone)]
pub struct LossBudget {
    /// Length of a window in seconds; doubles whenever there are too many.
    window_seconds: u64,
    windows: BTreeMap<u64, Window>,
    /// Time of the last line of each entry host, in Unix milliseconds.
    last_lines: IndexMap<String, u64>,
    outages: Vec<Outage>,
}

impl Default for LossBudget {
    fn default() -> Self {
        Self {
            window_seconds: WINDOW_SECONDS,
            windows: BTreeMap::new(),
            last_lines: IndexMap::new(),
            outages: Vec::new(),
        }
    }
}

impl LossBudget {
    /// Adds a log line; lines without counts and starts of hosts are ignored.
    pub fn add(&mut self, line: &LogLine) {
        match line.attribute("decision") {
            Some(REQUESTS_DECISION) => self.add_requests(line),
            Some(DROPS_DECISION) => self.add_drops(line),
            None if line.is_start() => self.add_start(line),
            _ => {}
        }
        self.record_time(line);
    }

    fn add_requests(&mut self, line: &LogLine) {
        let Some(start) = window_start(line) else { return };
        let kind = line.attribute("kind").unwrap_or(OTHER_NAME).to_string();
        let on_time = count_of(line, "on_time");
        let losses = bounded_entry(&mut self.window_mut(start).kinds, &kind);
        losses.on_time += on_time;
        for (name, count) in &line.attributes {
            let Some((prefix, cause)) = split_miss(name) else { continue };
            let Ok(count) = count.parse::<u64>() else { continue };
            let missed = bounded_entry(&mut losses.missed, cause);
            match prefix {
                "late." => missed.late += count,
                _ => missed.lost += count,
            }
        }
    }

    fn add_drops(&mut self, line: &LogLine) {
        let Some(start) = window_start(line) else { return };
        let window = self.window_mut(start);
        let counts = line
            .attributes
            .iter()
            .filter(|(name, _)| !["decision", "window"].contains(&name.as_str()));
        for (cause, count) in counts {
            *bounded_entry(&mut window.dropped, cause) += count.parse::<u64>().unwrap_or(0);
        }
    }

    /// Records an outage that ended with the start of a host.
    fn add_start(&mut self, line: &LogLine) {
        let last_line = line.host().and_then(|host| self.last_lines.get(host));
        let Some(from) = last_line.copied() else { return };
        let until = line.unix_millis();
        let is_short = until.saturating_sub(from) <= MAX_OUTAGE_MS;
        if is_short && self.outages.len() < MAX_HOSTS {
            self.outages.push(Outage { from, until });
        }
    }

    /// Records when a host wrote its last line. Entry hosts are those that wrote counts.
    fn record_time(&mut self, line: &LogLine) {
        let Some(host) = line.host() else { return };
        if let Some(last) = self.last_lines.get_mut(host) {
            *last = line.unix_millis().max(*last);
        } else if line.attribute("window").is_some() && self.last_lines.len() < MAX_HOSTS {
            self.last_lines.insert(host.to_string(), line.unix_millis());
        }
    }

    fn window_mut(&mut self, start: u64) -> &mut Window {
        if !self.windows.contains_key(&self.align(start)) {
            self.join_windows();
        }
        let start = self.align(start);
        self.windows.entry(start).or_default()
    }

    fn align(&self, start: u64) -> u64 {
        start - start % self.window_seconds
    }

    /// Doubles the length of windows while there is no room for another one.
    fn join_windows(&mut self) {
        while self.windows.len() >= MAX_WINDOWS {
            self.window_seconds *= 2;
            for (start, window) in std::mem::take(&mut self.windows) {
                let start = self.align(start);
                self.windows.entry(start).or_default().merge(window);
            }
        }
    }
}

impl Window {
    /// Returns the number of requests that ended in this window.
    fn requests(&self) -> u64 {
        self.kinds.values().map(KindLosses::requests).sum()
    }

    fn merge(&mut self, other: Self) {
        for (kind, losses) in other.kinds {
            let own = bounded_entry(&mut self.kinds, &kind);
            own.on_time += losses.on_time;
            for (cause, missed) in losses.missed {
                bounded_entry(&mut own.missed, &cause).add(missed);
            }
        }
        for (cause, count) in other.dropped {
            *bounded_entry(&mut self.dropped, &cause) += count;
        }
    }
}

impl KindLosses {
    /// Returns the number of requests.
    pub fn requests(&self) -> u64 {
        self.on_time + self.missed.values().map(|missed| missed.late + missed.lost).sum::<u64>()
    }
}

impl Missed {
    fn add(&mut self, other: Self) {
        self.late += other.late;
        self.lost += other.lost;
    }
}

/// Returns the value of a name, or that of [`OTHER_NAME`] once there are too many names.
fn bounded_entry<'a, T: Default>(map: &'a mut IndexMap<String, T>, name: &str) -> &'a mut T {
    let known = map.contains_key(name) || map.len() < MAX_NAMES;
    map.entry(if known { name.to_string() } else { OTHER_NAME.to_string() }).or_default()
}

/// Returns the start of the line's window, or `None` if the line does not tell it or was written at
/// another time.
fn window_start(line: &LogLine) -> Option<u64> {
    let start: u64 = line.attribute("window")?.parse().ok()?;
    let written = line.unix_millis() / 1000;
    (written.abs_diff(start) <= MAX_DELAY_SECONDS).then_some(start)
}

fn count_of(line: &LogLine, name: &str) -> u64 {
    line.attribute(name).and_then(|count| count.parse().ok()).unwrap_or(0)
}

fn split_miss(name: &str) -> Option<(&'static str, &str)> {
    let prefix = MISS_PREFIXES.into_iter().find(|prefix| name.starts_with(prefix))?;
    Some((prefix, &name[prefix.len()..]))
}
