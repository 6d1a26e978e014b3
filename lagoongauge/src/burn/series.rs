//! Counts of good and bad events per minute and per hour.

use serde::{Deserialize, Serialize};

use crate::time::{Instant, Span};

/// Number of one-minute slots of a series.
pub const MINUTE_SLOTS: usize = 360;

/// Number of one-hour slots of a series.
pub const HOUR_SLOTS: usize = 72;

const MS_PER_MINUTE: u64 = 60_000;

const MINUTES_PER_HOUR: u64 = 60;

/// Number of events in a span of time.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct EventCount {
    /// Events that met the objective.
    pub good: u64,
    /// All events, good and bad.
    pub total: u64,
}

impl EventCount {
    /// Adds the events of another count.
    pub fn add(&mut self, other: Self) {
        self.good += other.good;
        self.total += other.total;
    }

    /// Returns the share of bad events, or `None` if there were no events.
    pub fn error_ratio(self) -> Option<f64> {
        if self.total == 0 {
            return None;
        }
        Some((self.total - self.good) as f64 / self.total as f64)
    }
}

/// Time window of a burn rate, ending now.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub enum Window {
    /// The last 5 minutes.
    FiveMinutes,
    /// The last hour.
    Hour,
    /// The last 6 hours.
    SixHours,
    /// The last 3 days.
    ThreeDays,
}

impl Window {
    /// All windows, shortest first.
    pub const ALL: [Self; 4] = [Self::FiveMinutes, Self::Hour, Self::SixHours, Self::ThreeDays];

    /// Returns the window's length.
    pub const fn span(self) -> Span {
        match self {
            Self::FiveMinutes => Span::seconds(300),
            Self::Hour => Span::seconds(3_600),
            Self::SixHours => Span::seconds(6 * 3_600),
            Self::ThreeDays => Span::seconds(72 * 3_600),
        }
    }

    /// Returns the window's name in tables.
    pub const fn name(self) -> &'static str {
        match self {
            Self::FiveMinutes => "5m",
            Self::Hour => "1h",
            Self::SixHours => "6h",
            Self::ThreeDays => "3d",
        }
    }
}

/// Ring buffers of event counts of one objective, per minute and per hour; a slot is reset once its
/// span has passed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EventSeries {
    last_minute: u64,
    minutes: Vec<EventCount>,
    hours: Vec<EventCount>,
}

impl EventSeries {
    /// Builds an empty series that starts now.
    pub fn new(now: Instant) -> Self {
        Self {
            last_minute: now.0 / MS_PER_MINUTE,
            minutes: vec![EventCount::default(); MINUTE_SLOTS],
            hours: vec![EventCount::default(); HOUR_SLOTS],
        }
    }

    /// Returns the events of a window that ends now, including the current minute.
    pub fn window(&self, now: Instant, window: Window) -> EventCount {
        let minutes = (window.span().0 / MS_PER_MINUTE) as usize;
        let recent = match window {
            Window::ThreeDays => self.hours(now),
            _ => self.minutes(now, minutes),
        };
        let mut sum = EventCount::default();
        recent.into_iter().for_each(|count| sum.add(count));
        sum
    }

    /// Returns the last `count` minutes, starting with the current one.
    pub fn minutes(&self, now: Instant, count: usize) -> Vec<EventCount> {
        latest_slots(&self.minutes, now.0 / MS_PER_MINUTE, self.last_minute, count)
    }

    /// Returns the last 72 hours, starting with the current one.
    pub fn hours(&self, now: Instant) -> Vec<EventCount> {
        latest_slots(
            &self.hours,
            now.0 / MS_PER_MINUTE / MINUTES_PER_HOUR,
            self.last_minute / MINUTES_PER_HOUR,
            HOUR_SLOTS,
        )
    }

    /// Records events.
    pub fn record(&mut self, now: Instant, events: EventCount) {
        self.advance(now.0 / MS_PER_MINUTE);
        let minute_slot = (self.last_minute % MINUTE_SLOTS as u64) as usize;
        let hour_slot = (self.last_minute / MINUTES_PER_HOUR % HOUR_SLOTS as u64) as usize;
        self.minutes[minute_slot].add(events);
        self.hours[hour_slot].add(events);
    }

    fn advance(&mut self, minute: u64) {
        if minute <= self.last_minute {
            return;
        }
        clear_slots(&mut self.minutes, self.last_minute, minute);
        clear_slots(
            &mut self.hours,
            self.last_minute / MINUTES_PER_HOUR,
            minute / MINUTES_PER_HOUR,
        );
        self.last_minute = minute;
    }
}

/// Resets the slots of the spans after `last` up to and including `next`.
fn clear_slots(slots: &mut [EventCount], last: u64, next: u64) {
    let elapsed = (next - last).min(slots.len() as u64);
    for span in next - elapsed + 1..=next {
        let slot = (span % slots.len() as u64) as usize;
        slots[slot] = EventCount::default();
    }
}

/// Returns `count` slots backwards from the span `next`; spans after `last` and spans that are no
/// longer kept are empty.
fn latest_slots(slots: &[EventCount], next: u64, last: u64, count: usize) -> Vec<EventCount> {
    let length = slots.len() as u64;
    let slot = |age: u64| {
        let span = next.checked_sub(age)?;
        let kept = span <= last && span + length > last;
        kept.then(|| slots[(span % length) as usize])
    };
    (0..count as u64).map(|age| slot(age).unwrap_or_default()).collect()
}

#[cfg(test)]
mod tests {
    use proptest::prelude::*;

    use super::*;

    fn minute(count: u64) -> Instant {
        Instant(count * MS_PER_MINUTE)
    }

    #[test]
    fn events_before_the_window_are_not_counted() {
        let mut series = EventSeries::new(minute(0));
        series.record(minute(1), EventCount { good: 3, total: 4 });
        let expected = EventCount { good: 3, total: 4 };
        assert_eq!(series.window(minute(5), Window::FiveMinutes), expected);
        assert_eq!(series.window(minute(6), Window::FiveMinutes), EventCount::default());
        assert_eq!(series.window(minute(6), Window::Hour), expected);
        assert_eq!(series.window(minute(400), Window::SixHours), EventCount::default());
        assert_eq!(series.window(minute(400), Window::ThreeDays), expected);
        assert_eq!(
            series.window(minute(73 * MINUTES_PER_HOUR), Window::ThreeDays),
            EventCount::default()
        );
    }

    proptest! {
        #[test]
        fn windows_sum_the_recorded_events(gaps in prop::collection::vec(0u64..90, 1..60)) {
            let mut series = EventSeries::new(minute(0));
            let mut recorded = Vec::new();
            let mut at = 0;
            for gap in gaps {
                at += gap;
                recorded.push(at);
                series.record(minute(at), EventCount { good: 1, total: 2 });
            }
            for window in [Window::FiveMinutes, Window::Hour, Window::SixHours] {
                let length = window.span().0 / MS_PER_MINUTE;
                let inside = recorded.iter().filter(|minute| **minute + length > at).count() as u64;
                let sum = series.window(minute(at), window);
                prop_assert_eq!(sum, EventCount { good: inside, total: 2 * inside });
            }
        }
    }
}
