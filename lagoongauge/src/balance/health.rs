//! A target's health as the entry hosts see it: answers, resets and silence.

use super::TargetStats;
use crate::time::{Instant, Span};

/// Span over which observations are gathered before they are judged.
const WINDOW: Span = Span::seconds(6);
/// Span after which a target that answers too little is judged already.
const FAST_FAILURE_WINDOW: Span = Span::seconds(3);
/// Failures below which nothing is said of a target.
const MIN_FAILURES: u32 = 8;
/// Share of failures in a hundred that costs a target most of its weight.
const FAILED_PERCENT: u32 = 50;
/// Share of failures in a hundred under which a target recovers.
const RECOVERED_PERCENT: u32 = 10;
/// Part of the full weight that a failing target keeps, so that its recovery is seen.
const PROBE_DIVISOR: u32 = 16;

/// What a window of observations says.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Verdict {
    /// Nothing new.
    Unchanged,
    /// The target fails.
    Failed,
    /// The target has recovered by a step.
    Improved,
}

/// Health of one target.
#[derive(Debug, Default)]
pub struct Health {
    stats: TargetStats,
    window_start: Instant,
    /// Halvings of the target's weight.
    halvings: u32,
}

impl Health {
    /// Takes in what hosts have seen.
    pub fn record(&mut self, stats: &TargetStats) {
        self.stats.add(stats);
    }

    /// Tells whether failures cost the target weight.
    pub fn is_failing(&self) -> bool {
        self.halvings > 0
    }

    /// Returns the most that the target's factor may be, of a full one.
    pub fn max_factor(&self, full: u32) -> u32 {
        (full >> self.halvings).max(1)
    }

    /// Judges the window where it is over; a target fails only where `may_fail` allows it.
    pub fn evaluate(&mut self, now: Instant, may_fail: bool) -> Verdict {
        let age = now.since(self.window_start);
        let failed = age >= FAST_FAILURE_WINDOW && self.has_failed();
        if failed && (may_fail || self.is_failing()) {
            self.restart_window(now);
            self.halvings = PROBE_DIVISOR.ilog2();
            return Verdict::Failed;
        }
        if age < WINDOW {
            return Verdict::Unchanged;
        }
        let recovered = self.failures() * 100 <= self.stats.opened * RECOVERED_PERCENT;
        self.restart_window(now);
        if !recovered || self.halvings == 0 {
            return Verdict::Unchanged;
        }
        self.halvings -= 1;
        Verdict::Improved
    }

    /// Counts flows that were not answered, or resets of more than half of the answered ones.
    fn failures(&self) -> u32 {
        let unanswered = self.stats.opened.saturating_sub(self.stats.answered);
        unanswered.max(self.stats.reset.saturating_sub(self.stats.answered / 2))
    }

    fn has_failed(&self) -> bool {
        let failures = self.failures();
        failures >= MIN_FAILURES && failures * 100 >= self.stats.opened * FAILED_PERCENT
    }

    fn restart_window(&mut self, now: Instant) {
        self.stats = TargetStats::default();
        self.window_start = now;
    }
}
