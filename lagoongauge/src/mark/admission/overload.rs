//! Detection of targets that are overloaded, and how full they may be then.
//!
//! Load pattern: for longer than the queues of targets absorb, callers send more than all slots of a
//! service serve, most of it on flows that are open already. Every queue is full then: most of what is
//! answered is answered late, and the rest is rejected. Requests on open flows cannot be refused, but
//! new flows can, and no more of them than targets would reject. So while targets are overloaded a new
//! flow is opened only where a slot is idle or will be soon, and refused at once otherwise.
//!
//! How much a target queues is not known here, but a rejection shows that its queue is full. To an entry
//! host it looks like an answer. It overtakes the requests that arrived at the target before it,
//! though, which a queue never lets happen.
//!
//! See [admission](../../../../docs/design/admission.md).

use crate::time::{Instant, Span};

/// Interval over which answers are counted.
const INTERVAL: Span = Span::millis(100);

/// Minimum number of answers from which a share is taken.
const MIN_ANSWERS: u32 = 8;

/// Share of late answers above which queues are too long, in percent.
const LONG_QUEUE_PERCENT: u32 = 25;

/// Share of late answers up to which queues are short, in percent.
const SHORT_QUEUE_PERCENT: u32 = 10;

/// Share of rejections among all answers above which targets are overloaded, in percent.
const REJECTION_PERCENT: u32 = 5;

/// Requests for each slot of a target that arrived before a rejection and still wait. As many as there
/// are slots may be at work, and as many again may be answered and not yet acknowledged.
const OVERTAKEN_PER_SLOT: usize = 2;

/// Requests for each two slots of a target up to which it takes a flow of the highest priority: each
/// slot has one at work, and one or two that wait.
const HIGHEST_PER_TWO_SLOTS: u32 = 5;

/// The same for lower priorities: a slot is idle or will be soon.
const LOWER_PER_TWO_SLOTS: u32 = 3;

/// An answer as seen by an entry host.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Answer {
    /// Whether it came after the objective.
    pub late: bool,
    /// Requests that arrived at the target before and still wait.
    pub overtaken: usize,
    /// Number of requests that the target processes concurrently.
    pub slots: u16,
}

/// Whether the targets of one service are overloaded, as far as one host sees.
#[derive(Debug, Clone, Default)]
pub struct Overload {
    active: bool,
    /// Answers in the current interval, without rejections.
    answers: u32,
    /// Those of them that were late.
    late: u32,
    /// Rejections in the current interval.
    rejections: u32,
    /// Flows that were refused in the current interval.
    refused: u32,
    began_at: Instant,
}

impl Answer {
    /// Returns whether the target rejected the request. What comes late in any order does not wait in a
    /// full queue: after a pause of the target or of this host all answers are seen at once.
    pub fn is_rejection(self) -> bool {
        !self.late && self.overtaken >= OVERTAKEN_PER_SLOT * usize::from(self.slots.max(1))
    }
}

impl Overload {
    /// Returns whether the targets are overloaded.
    pub fn is_active(&self) -> bool {
        self.active
    }

    /// Records an answer.
    pub fn record_answer(&mut self, answer: Answer) {
        if answer.is_rejection() {
            self.rejections += 1;
            return;
        }
        self.answers += 1;
        self.late += u32::from(answer.late);
    }

    /// Records that a flow was refused.
    pub fn record_refusal(&mut self) {
        self.refused += 1;
    }

    /// Evaluates the interval if it is over. An overload ends once queues are short and nothing is
    /// refused any more.
    pub fn update(&mut self, now: Instant) {
        if now.since(self.began_at) < INTERVAL || self.answers < MIN_ANSWERS {
            return;
        }
        let late_percent = 100 * self.late / self.answers;
        let rejection_percent = 100 * self.rejections / (self.answers + self.rejections);
        let active = if self.active {
            self.refused > 0 || late_percent > SHORT_QUEUE_PERCENT
        } else {
            late_percent > LONG_QUEUE_PERCENT && rejection_percent > REJECTION_PERCENT
        };
        *self = Self { active, began_at: now, ..Self::default() };
    }
}

/// Returns how many requests may wait at an overloaded target with so many slots for it to take a new
/// flow; `first` tells whether the flow is of the highest priority.
pub fn target_room(slots: u16, first: bool) -> u32 {
    let per_two_slots = if first { HIGHEST_PER_TWO_SLOTS } else { LOWER_PER_TWO_SLOTS };
    (per_two_slots * u32::from(slots) / 2).max(1)
}
