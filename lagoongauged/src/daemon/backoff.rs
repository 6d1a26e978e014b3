//! Exponential back-off between attempts.

use std::time::Duration;

/// First delay; short, so that hosts that start together connect soon.
const MIN_DELAY: Duration = Duration::from_millis(30);

/// Longest delay; bounded, so that a host that returns is reached soon.
const MAX_DELAY: Duration = Duration::from_millis(480);

/// Back-off of one series of attempts.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Backoff {
    delay: Duration,
}

impl Default for Backoff {
    fn default() -> Self {
        Self { delay: MIN_DELAY }
    }
}

impl Backoff {
    /// Returns the delay before the next attempt and doubles the following one up to the maximum.
    pub fn next_delay(&mut self) -> Duration {
        let delay = self.delay;
        self.delay = (delay * 2).min(MAX_DELAY);
        delay
    }

    /// Resets the delay after a successful attempt.
    pub fn reset(&mut self) {
        self.delay = MIN_DELAY;
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn delays_double_up_to_the_maximum_and_reset() {
        let mut backoff = Backoff::default();
        let delays: Vec<u128> = (0..7).map(|_| backoff.next_delay().as_millis()).collect();
        assert_eq!(delays, [30, 60, 120, 240, 480, 480, 480]);
        backoff.reset();
        assert_eq!(backoff.next_delay(), MIN_DELAY);
    }
}
