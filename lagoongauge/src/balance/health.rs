//! Passive health check of a target: answered, unanswered and reset flows.

use super::TargetStats;
use crate::time::{Instant, Span};

/// Time over which observations are collected before they are evaluated.
const EVALUATION_WINDOW: Span = Span::seconds(6);
/// Shorter time after which a target with too many failures already counts as failed.
const FAST_FAILURE_WINDOW: Span = Span::seconds(3);
/// Failures in a window below which a target never counts as failed.
const MIN_FAILURES: u32 = 8;
/// Percentage of failures from which a target counts as failed and loses most of its weight.
const FAILED_PERCENT: u32 = 50;
/// Percentage of failures up to which a failing target recovers by a step.
const RECOVERED_PERCENT: u32 = 10;
/// Divisor of a failing target's weight; it keeps some flows so that its recovery is noticed.
const PROBE_DIVISOR: u32 = 16;

/// Result of an evaluation.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Evaluation {
    /// The state is unchanged or the window is not over.
    Unchanged,
    /// The target failed.
    Failed,
    /// The target recovered by one step.
    Improved,
}

/// Health of one target.
#[derive(Debug, Default)]
pub struct Health {
    stats: TargetStats,
    window_start: Instant,
    /// Number of times that the target's weight is halved.
    halvings: u32,
}

impl Health {
    /// Adds the counts of a host to the current window.
    pub fn record(&mut self, stats: &TargetStats) {
        self.stats.add(stats);
    }

    /// Returns whether the target's weight is reduced because of failures.
    pub fn is_failing(&self) -> bool {
        self.halvings > 0
    }

    /// Returns the upper bound of the target's factor, where a healthy target may have `full`.
    pub fn max_factor(&self, full: u32) -> u32 {
        (full >> self.halvings).max(1)
    }

    /// Evaluates the window once it is over; a healthy target fails only if `may_fail` is set.
    pub fn evaluate(&mut self, now: Instant, may_fail: bool) -> Evaluation {
        let age = now.since(self.window_start);
        let failed = age >= FAST_FAILURE_WINDOW && self.has_failed();
        if failed && (may_fail || self.is_failing()) {
            self.restart_window(now);
            self.halvings = PROBE_DIVISOR.ilog2();
            return Evaluation::Failed;
        }
        if age < EVALUATION_WINDOW {
            return Evaluation::Unchanged;
        }
        let recovered = self.failures() * 100 <= self.stats.opened * RECOVERED_PERCENT;
        self.restart_window(now);
        if !recovered || self.halvings == 0 {
            return Evaluation::Unchanged;
        }
        self.halvings -= 1;
        Evaluation::Improved
    }

    /// Returns the unanswered flows, or the resets beyond half of the answered flows if more.
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
