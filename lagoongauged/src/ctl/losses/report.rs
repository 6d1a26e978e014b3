//! The loss budget as a report: totals by cause, and each window with missed requests.

use std::fmt;

use chrono::{DateTime, Utc};
use indexmap::IndexMap;
use serde::Serialize;

use super::estimate::estimate_unseen;
use super::{KindLosses, LossBudget, Missed, SourceFault, UNSEEN_CAUSE, Window, bounded_entry};

/// Number of causes shown for a window in the text.
const SHOWN_CAUSES: usize = 3;

/// A loss budget in full.
#[derive(Debug, Clone, Serialize)]
pub struct LossReport {
    /// Length of a window in seconds.
    pub window_seconds: u64,
    /// Requests that entry hosts saw end.
    pub requests: u64,
    /// Requests answered within their objective.
    pub on_time: u64,
    /// Requests that no entry host saw, estimated from the windows before an outage.
    pub unseen: u64,
    /// Missed requests by cause, the costliest first.
    pub causes: Vec<CauseTotal>,
    /// Dropped packets by cause.
    pub dropped: IndexMap<String, u64>,
    /// All windows in order of time.
    pub windows: Vec<WindowLosses>,
    /// Logs that could not be read in full.
    pub faults: Vec<SourceFault>,
}

/// Missed requests of one cause over all windows.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct CauseTotal {
    /// Name of the cause.
    pub cause: String,
    /// The missed requests.
    #[serde(flatten)]
    pub missed: Missed,
}

/// Requests of one window.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct WindowLosses {
    /// Start of the window.
    pub start: DateTime<Utc>,
    /// Requests by kind.
    pub kinds: IndexMap<String, KindLosses>,
    /// Estimated number of requests that no entry host saw.
    pub unseen: u64,
}

impl LossReport {
    /// Builds the report of a budget.
    pub fn new(budget: &LossBudget, faults: Vec<SourceFault>) -> Self {
        let unseen = estimate_unseen(
            &budget.windows,
            &budget.outages,
            budget.last_lines.len(),
            budget.window_seconds,
        );
        let starts: std::collections::BTreeSet<u64> =
            budget.windows.keys().chain(unseen.keys()).copied().collect();
        let windows: Vec<WindowLosses> = starts
            .into_iter()
            .map(|start| {
                let kinds = budget.windows.get(&start).map(|window| window.kinds.clone());
                WindowLosses {
                    start: to_time(start),
                    // No host wrote counts of a window in which all were down.
                    kinds: kinds.unwrap_or_default(),
                    unseen: unseen.get(&start).copied().unwrap_or(0),
                }
            })
            .collect();
        Self {
            window_seconds: budget.window_seconds,
            requests: budget.windows.values().map(Window::requests).sum(),
            on_time: windows.iter().map(WindowLosses::on_time).sum(),
            unseen: unseen.values().sum(),
            causes: total_causes(&windows),
            dropped: total_drops(&budget.windows),
            windows,
            faults,
        }
    }
}

impl WindowLosses {
    /// Returns the number of requests answered within their objective.
    pub fn on_time(&self) -> u64 {
        self.kinds.values().map(|losses| losses.on_time).sum()
    }

    /// Returns the missed requests by cause, with the estimate of unseen ones, the costliest first.
    pub fn causes(&self) -> Vec<CauseTotal> {
        let mut causes: IndexMap<String, Missed> = IndexMap::new();
        for losses in self.kinds.values() {
            for (cause, missed) in &losses.missed {
                bounded_entry(&mut causes, cause).add(*missed);
            }
        }
        if self.unseen > 0 {
            bounded_entry(&mut causes, UNSEEN_CAUSE).lost += self.unseen;
        }
        sort_causes(causes)
    }
}

impl fmt::Display for LossReport {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let sum = |part: fn(&Missed) -> u64| -> u64 {
            self.causes.iter().map(|total| part(&total.missed)).sum()
        };
        let (late, lost) = (sum(|missed| missed.late), sum(|missed| missed.lost));
        writeln!(
            f,
            "{} requests seen, {} on time, {late} late, {lost} lost, of which {} estimated",
            self.requests, self.on_time, self.unseen
        )?;
        writeln!(f, "\n{:<22} {:>8} {:>8} {:>7}", "CAUSE", "LATE", "LOST", "SHARE")?;
        for CauseTotal { cause, missed } in &self.causes {
            let share = (missed.late + missed.lost) as f64 * 100.0 / (late + lost).max(1) as f64;
            writeln!(f, "{cause:<22} {:>8} {:>8} {share:>6.1}%", missed.late, missed.lost)?;
        }
        writeln!(f, "\n{:<10} {:>8} {:>8} {:>8}  CAUSES", "WINDOW", "ON TIME", "LATE", "LOST")?;
        for window in self.windows.iter().filter(|window| !window.causes().is_empty()) {
            writeln!(f, "{window}")?;
        }
        for (cause, count) in &self.dropped {
            writeln!(f, "{count} packets dropped: {cause}")?;
        }
        for fault in &self.faults {
            let error = fault.error.as_deref().unwrap_or("read to its end");
            writeln!(f, "{}: {} damaged lines, {error}", fault.source, fault.damaged_lines)?;
        }
        Ok(())
    }
}

impl fmt::Display for WindowLosses {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let causes = self.causes();
        let late: u64 = causes.iter().map(|total| total.missed.late).sum();
        let lost: u64 = causes.iter().map(|total| total.missed.lost).sum();
        let start = self.start.format("%H:%M:%S");
        write!(f, "{:<10} {:>8} {late:>8} {lost:>8} ", start.to_string(), self.on_time())?;
        for CauseTotal { cause, missed } in causes.iter().take(SHOWN_CAUSES) {
            write!(f, " {cause} {}", missed.late + missed.lost)?;
        }
        Ok(())
    }
}

/// Converts Unix seconds; windows lie within minutes of their lines' times, which are valid.
fn to_time(seconds: u64) -> DateTime<Utc> {
    DateTime::from_timestamp(seconds as i64, 0).unwrap_or(DateTime::<Utc>::MAX_UTC)
}

fn total_causes(windows: &[WindowLosses]) -> Vec<CauseTotal> {
    let mut causes: IndexMap<String, Missed> = IndexMap::new();
    for CauseTotal { cause, missed } in windows.iter().flat_map(WindowLosses::causes) {
        bounded_entry(&mut causes, &cause).add(missed);
    }
    sort_causes(causes)
}

fn total_drops(windows: &std::collections::BTreeMap<u64, Window>) -> IndexMap<String, u64> {
    let mut dropped: IndexMap<String, u64> = IndexMap::new();
    for (cause, count) in windows.values().flat_map(|window| &window.dropped) {
        *bounded_entry(&mut dropped, cause) += count;
    }
    dropped
}

fn sort_causes(causes: IndexMap<String, Missed>) -> Vec<CauseTotal> {
    let totals = causes.into_iter().map(|(cause, missed)| CauseTotal { cause, missed });
    let mut totals: Vec<CauseTotal> = totals.collect();
    totals.sort_by_key(|total| std::cmp::Reverse(total.missed.late + total.missed.lost));
    totals
}
