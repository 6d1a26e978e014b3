//! A target's health as the entry hosts see it: answers, resets and silence.

use super::Sight;
use crate::time::{Instant, Span};

/// Span over which observations are gathered before they are judged.
const WINDOW: Span = Span::seconds(6);
/// Span after which a target that answers too little is judged already.
const FAST_WINDOW: Span = Span::seconds(3);
/// Failures below which nothing is said of a target.
const MIN_FAILURES: u32 = 8;
/// Share of failures in a hundred that costs a target most of its weight.
const FAILED_SHARE: u32 = 50;
/// Share of failures in a hundred under which a target recovers.
const SOUND_SHARE: u32 = 10;
/// Part of the full weight that a failing target keeps, so that its recovery is seen.
const PROBE_PART: u32 = 16;

/// What a window of observations says.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Verdict {
    /// Nothing new.
    Same,
    /// The target fails.
    Failed,
    /// The target has recovered by a step.
    Better,
}

/// Health of one target.
#[derive(Debug, Default)]
pub struct Health {
    seen: Sight,
    begun: Instant,
    /// Halvings of the target's weight.
    halvings: u32,
}

impl Health {
    /// Takes in what hosts have seen.
    pub fn see(&mut self, sight: &Sight) {
        self.seen.add(sight);
    }

    /// Tells whether failures cost the target weight.
    pub fn is_failing(&self) -> bool {
        self.halvings > 0
    }

    /// Returns the most that the target's factor may be, of a full one.
    pub fn limit(&self, full: u32) -> u32 {
        (full >> self.halvings).max(1)
    }

    /// Judges the window where it is over; a target fails only where `may_fail` allows it.
    pub fn judge(&mut self, now: Instant, may_fail: bool) -> Verdict {
        let age = now.since(self.begun);
        let failed = age >= FAST_WINDOW && self.has_failed();
        if failed && (may_fail || self.is_failing()) {
            self.restart(now);
            self.halvings = PROBE_PART.ilog2();
            return Verdict::Failed;
        }
        if age < WINDOW {
            return Verdict::Same;
        }
        let sound = self.failures() * 100 <= self.seen.opened * SOUND_SHARE;
        self.restart(now);
        if !sound || self.halvings == 0 {
            return Verdict::Same;
        }
        self.halvings -= 1;
        Verdict::Better
    }

    /// Counts flows that were not answered, or resets of more than half of the answered ones.
    fn failures(&self) -> u32 {
        let unanswered = self.seen.opened.saturating_sub(self.seen.answered);
        unanswered.max(self.seen.reset.saturating_sub(self.seen.answered / 2))
    }

    fn has_failed(&self) -> bool {
        let failures = self.failures();
        failures >= MIN_FAILURES && failures * 100 >= self.seen.opened * FAILED_SHARE
    }

    fn restart(&mut self, now: Instant) {
        self.seen = Sight::default();
        self.begun = now;
    }
}
