//! Tables, which map each bucket of a service to a target.

use serde::{Deserialize, Serialize};

use crate::id::TargetId;

/// Index that means "no target".
pub const NO_TARGET: u16 = u16::MAX;

/// Number of fraction bits of the fixed-point logarithm.
const FRACTION_BITS: u32 = 16;

/// Number of segments in which the logarithm is interpolated linearly.
const LOG_SEGMENTS: usize = 1024;

/// Number of bits of a mantissa below its segment index.
const SEGMENT_BITS: u32 = 21;

/// Fractional parts of the logarithms at the segment boundaries from 1 to 2.
static LOG_FRACTIONS: [u32; LOG_SEGMENTS + 1] = log_fractions();

/// The weighted targets of a service, from which every host computes the same mapping of buckets.
///
/// A target of weight 0 gets no new flows, but keeps its established flows. A missing target is
/// gone, which ends its flows.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Table {
    /// Targets with their weights, ordered by target.
    pub entries: Vec<(TargetId, u16)>,
}

impl Table {
    /// Builds a table; the order of `entries` does not matter.
    pub fn new(mut entries: Vec<(TargetId, u16)>) -> Self {
        entries.sort_unstable();
        entries.dedup_by_key(|entry| entry.0);
        Self { entries }
    }

    /// Returns the weight of a target, or `None` if the target is gone.
    pub fn weight(&self, target: TargetId) -> Option<u16> {
        let index = self.entries.binary_search_by_key(&target, |entry| entry.0).ok()?;
        Some(self.entries[index].1)
    }

    /// Returns the target of one bucket, by weighted rendezvous hashing.
    pub fn choose(&self, bucket: u32) -> Option<TargetId> {
        self.choose_among(bucket, |_| true)
    }

    /// Returns the first target in the bucket's rendezvous order for which `usable` holds.
    pub fn choose_among(&self, bucket: u32, usable: impl Fn(TargetId) -> bool) -> Option<TargetId> {
        let mut best: Option<(u64, u64, TargetId)> = None;
        for &(target, weight) in &self.entries {
            if weight == 0 || !usable(target) {
                continue;
            }
            let cost = u64::from(log_cost(mix(target.0, bucket)));
            let weight = u64::from(weight);
            let better = match best {
                None => true,
                Some((least, other, _)) => cost * other < least * weight,
            };
            if better {
                best = Some((cost, weight, target));
            }
        }
        best.map(|(_, _, target)| target)
    }

    /// Returns the target of each of the `2^bits` buckets as an index, given by `index`.
    pub fn expand(&self, bits: u8, mut index: impl FnMut(TargetId) -> u16) -> Vec<u16> {
        (0..1u32 << bits).map(|bucket| self.choose(bucket).map_or(NO_TARGET, &mut index)).collect()
    }
}

/// Hashes a key and a number to 64 uniformly distributed bits, the same on every machine.
pub(super) fn mix(key: u64, number: u32) -> u64 {
    let mut x = key ^ (u64::from(number) + 1).wrapping_mul(0x9e37_79b9_7f4a_7c15);
    x = (x ^ (x >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    x = (x ^ (x >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    x ^ (x >> 31)
}

/// Returns minus the binary logarithm of `x / 2^64` in fixed point.
///
/// Uses integers only, as results of floating-point logarithms may differ between machines.
fn log_cost(x: u64) -> u32 {
    let x = x | 1;
    let zeros = x.leading_zeros();
    let mantissa = (x << zeros) >> 32;
    let index = ((mantissa >> SEGMENT_BITS) & (LOG_SEGMENTS as u64 - 1)) as usize;
    let rest = (mantissa & ((1 << SEGMENT_BITS) - 1)) as u32;
    let (low, high) = (LOG_FRACTIONS[index], LOG_FRACTIONS[index + 1]);
    let fraction = low + (((high - low) as u64 * rest as u64) >> SEGMENT_BITS) as u32;
    ((zeros + 1) << FRACTION_BITS) - fraction
}

/// Computes the fractional parts for all segment boundaries, with that of 2 at the end.
const fn log_fractions() -> [u32; LOG_SEGMENTS + 1] {
    let mut log_fractions = [1 << FRACTION_BITS; LOG_SEGMENTS + 1];
    let mut segment = 0;
    while segment < LOG_SEGMENTS {
        log_fractions[segment] = log_fraction((1 << 31) | (segment as u64) << SEGMENT_BITS);
        segment += 1;
    }
    log_fractions
}

/// Returns the binary logarithm of `mantissa / 2^31`, which lies between 0 and 1.
const fn log_fraction(mantissa: u64) -> u32 {
    let mut mantissa = mantissa;
    let mut fraction = 0;
    let mut bit = 0;
    while bit < FRACTION_BITS {
        mantissa = (mantissa * mantissa) >> 31;
        fraction <<= 1;
        if mantissa >= 1 << 32 {
            mantissa >>= 1;
            fraction |= 1;
        }
        bit += 1;
    }
    fraction
}

#[cfg(test)]
mod tests {
    use super::*;

    const BITS: u8 = 14;

    fn table(weights: &[u16]) -> Table {
        let target = |i: usize| TargetId(mix(77, i as u32));
        Table::new(weights.iter().enumerate().map(|(i, &w)| (target(i), w)).collect())
    }

    fn choices(table: &Table) -> Vec<Option<TargetId>> {
        (0..1 << BITS).map(|bucket| table.choose(bucket)).collect()
    }

    #[test]
    fn buckets_follow_the_weights() {
        let table = table(&[100, 200, 0, 100]);
        let buckets = choices(&table);
        for &(target, weight) in &table.entries {
            let count = buckets.iter().filter(|&&t| t == Some(target)).count() as f64;
            let share = count / buckets.len() as f64;
            assert!((share - f64::from(weight) / 400.0).abs() < 0.02, "{target}: {share}");
        }
    }

    #[test]
    fn a_lower_weight_moves_only_that_targets_buckets() {
        let before = table(&[100, 100, 100, 100]);
        let after = table(&[100, 50, 100, 100]);
        let lowered = TargetId(mix(77, 1));
        for (old, new) in choices(&before).into_iter().zip(choices(&after)) {
            assert!(old == new || old == Some(lowered));
        }
    }

    #[test]
    fn nothing_is_chosen_where_all_weights_are_zero() {
        assert_eq!(table(&[0, 0]).choose(3), None);
        assert_eq!(Table::default().choose(3), None);
    }

    #[test]
    fn the_next_choice_passes_over_targets_out_of_reach() {
        let table = table(&[100, 100, 100]);
        let first = table.choose(9).unwrap();
        let next = table.choose_among(9, |t| t != first).unwrap();
        assert_ne!(first, next);
    }
}
