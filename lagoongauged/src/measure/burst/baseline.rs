//! Baseline placement policies.

use lagoongauge::mark::placement::{Candidate, Policy, TrafficPattern};

/// Selects a target by the flow's number alone, like a stateless hash.
#[derive(Debug, Clone, Copy)]
pub struct BlindHash;

/// Selects the target with the fewest flows, regardless of their requests.
#[derive(Debug, Clone, Copy)]
pub struct LeastFlows;

/// Selects the cheaper of two targets determined by the flow's number.
#[derive(Debug, Clone, Copy)]
pub struct TwoChoices;

impl Policy for BlindHash {
    fn choose<K: Copy>(
        &self,
        list: &[(K, Candidate)],
        _: TrafficPattern,
        number: u64,
    ) -> Option<K> {
        candidate_at(list, number).map(|(key, _)| *key)
    }
}

impl Policy for LeastFlows {
    fn choose<K: Copy>(&self, list: &[(K, Candidate)], _: TrafficPattern, _: u64) -> Option<K> {
        list.iter().min_by_key(|(_, candidate)| candidate.load.flows).map(|(key, _)| *key)
    }
}

impl Policy for TwoChoices {
    fn choose<K: Copy>(
        &self,
        list: &[(K, Candidate)],
        pattern: TrafficPattern,
        number: u64,
    ) -> Option<K> {
        let (first, second) = (candidate_at(list, number)?, candidate_at(list, number >> 24)?);
        let better = if first.1.cost(pattern) <= second.1.cost(pattern) { first } else { second };
        Some(better.0)
    }
}

fn candidate_at<K>(list: &[(K, Candidate)], number: u64) -> Option<&(K, Candidate)> {
    let index = number.checked_rem(list.len() as u64)?;
    list.get(index as usize)
}
