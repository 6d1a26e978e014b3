//! Sliding replay window over sequence numbers.

/// Length of the window in sequence numbers.
pub const WINDOW_LEN: u64 = 1024;

/// Number of 64-bit words in the window.
const WINDOW_WORDS: usize = (WINDOW_LEN / 64) as usize;

/// Records which of the latest sequence numbers were received.
#[derive(Debug, Clone, Default)]
pub struct ReplayWindow {
    highest: u64,
    seen: [u64; WINDOW_WORDS],
}

impl ReplayWindow {
    /// Records a sequence number and returns whether it is new; numbers start at 1.
    pub fn insert(&mut self, number: u64) -> bool {
        if number == 0 || number + WINDOW_LEN <= self.highest {
            return false;
        }
        self.advance(number);
        let (word, bit) = bit_position(number);
        let is_new = self.seen[word] & bit == 0;
        self.seen[word] |= bit;
        is_new
    }

    fn advance(&mut self, number: u64) {
        if number <= self.highest {
            return;
        }
        if number - self.highest >= WINDOW_LEN {
            self.seen = [0; WINDOW_WORDS];
        } else {
            for skipped in self.highest + 1..=number {
                let (word, bit) = bit_position(skipped);
                self.seen[word] &= !bit;
            }
        }
        self.highest = number;
    }
}

fn bit_position(number: u64) -> (usize, u64) {
    let slot = number % WINDOW_LEN;
    ((slot / 64) as usize, 1 << (slot % 64))
}

#[cfg(test)]
mod tests {
    use std::collections::HashSet;

    use proptest::prelude::*;

    use super::*;

    proptest! {
        #[test]
        fn accepts_a_number_once(numbers in prop::collection::vec(1u64..4096, 1..600)) {
            let mut window = ReplayWindow::default();
            let mut seen = HashSet::new();
            let mut highest = 0;
            for number in numbers {
                let is_new = window.insert(number);
                prop_assert!(!is_new || seen.insert(number), "{number} was accepted twice");
                if number + WINDOW_LEN > highest && !is_new {
                    prop_assert!(seen.contains(&number), "{number} was new but rejected");
                }
                highest = highest.max(number);
            }
        }
    }
}
