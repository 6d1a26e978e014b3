//! Pauses between attempts that grow while these fail.

use std::time::Duration;

/// First pause: hosts that start together find each other soon.
const MIN_DELAY: Duration = Duration::from_millis(30);

/// Longest pause, so that a host that comes back is found soon.
const MAX_DELAY: Duration = Duration::from_millis(480);

/// Pauses of one chain of attempts.
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
    /// Returns the pause before the next attempt; the one after is twice as long.
    pub fn next_delay(&mut self) -> Duration {
        let delay = self.delay;
        self.delay = (delay * 2).min(MAX_DELAY);
        delay
    }

    /// Starts anew after an attempt that succeeded.
    pub fn reset(&mut self) {
        self.delay = MIN_DELAY;
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn next_delays_grow_to_a_bound_and_start_anew() {
        let mut backoff = Backoff::default();
        let delays: Vec<u128> = (0..7).map(|_| backoff.next_delay().as_millis()).collect();
        assert_eq!(delays, [30, 60, 120, 240, 480, 480, 480]);
        backoff.reset();
        assert_eq!(backoff.next_delay(), MIN_DELAY);
    }
}
