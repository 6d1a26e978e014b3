//! Pauses between attempts that grow while these fail.

use std::time::Duration;

/// First pause: hosts that start together find each other soon.
const FIRST: Duration = Duration::from_millis(30);

/// Longest pause, so that a host that comes back is found soon.
const LONGEST: Duration = Duration::from_millis(480);

/// Pauses of one chain of attempts.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Backoff {
    next: Duration,
}

impl Default for Backoff {
    fn default() -> Self {
        Self { next: FIRST }
    }
}

impl Backoff {
    /// Returns the pause before the next attempt; the one after is twice as long.
    pub fn pause(&mut self) -> Duration {
        let pause = self.next;
        self.next = (pause * 2).min(LONGEST);
        pause
    }

    /// Starts anew after an attempt that succeeded.
    pub fn reset(&mut self) {
        self.next = FIRST;
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn pauses_grow_to_a_bound_and_start_anew() {
        let mut backoff = Backoff::default();
        let pauses: Vec<u128> = (0..7).map(|_| backoff.pause().as_millis()).collect();
        assert_eq!(pauses, [30, 60, 120, 240, 480, 480, 480]);
        backoff.reset();
        assert_eq!(backoff.pause(), FIRST);
    }
}
