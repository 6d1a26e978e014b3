//! Baseline placement policies.

use lagoongauge::mark::placement::{Candidate, Policy, TrafficPattern};

/// Selects a target by the flow's hash alone, without any state.
#[derive(Debug, Clone, Copy)]
pub struct BlindHash;

/// Selects the target with the fewest flows, regardless of their requests.
#[derive(Debug, Clone, Copy)]
pub struct LeastFlows;

/// Selects the cheaper of two targets determined by the flow's hash.
#[derive(Debug, Clone, Copy)]
pub struct TwoChoices;

impl Policy for BlindHash {
    fn choose<K: Copy>(
        &self,
        candidates: &[(K, Candidate)],
        _: TrafficPattern,
        flow_hash: u64,
    ) -> Option<K> {
        candidate_at(candidates, flow_hash).map(|(key, _)| *key)
    }
}

impl Policy for LeastFlows {
    fn choose<K: Copy>(
        &self,
        candidates: &[(K, Candidate)],
        _: TrafficPattern,
        _: u64,
    ) -> Option<K> {
        candidates.iter().min_by_key(|(_, candidate)| candidate.load.flows).map(|(key, _)| *key)
    }
}

impl Policy for TwoChoices {
    fn choose<K: Copy>(
        &self,
        candidates: &[(K, Candidate)],
        pattern: TrafficPattern,
        flow_hash: u64,
    ) -> Option<K> {
        let (first, second) =
            (candidate_at(candidates, flow_hash)?, candidate_at(candidates, flow_hash >> 24)?);
        let better = if first.1.cost(pattern) <= second.1.cost(pattern) { first } else { second };
        Some(better.0)
    }
}

fn candidate_at<K>(candidates: &[(K, Candidate)], flow_hash: u64) -> Option<&(K, Candidate)> {
    let index = flow_hash.checked_rem(candidates.len() as u64)?;
    candidates.get(index as usize)
}
