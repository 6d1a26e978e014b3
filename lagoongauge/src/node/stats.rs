//! Target statistics of this host's data path, sharded to reduce lock contention.

use std::sync::{Mutex, MutexGuard, PoisonError};

use indexmap::IndexMap;

use super::{Observation, TargetReport};
use crate::balance::TargetStats;
use crate::id::TargetId;

const SHARD_COUNT: usize = 16;
/// Maximum number of targets per shard between two reports; further ones are not counted.
const MAX_SHARD_TARGETS: usize = 256;

/// Statistics per target since the last report.
#[derive(Debug, Default)]
pub struct StatsCollector {
    shards: [Mutex<IndexMap<TargetId, TargetStats>>; SHARD_COUNT],
}

impl StatsCollector {
    /// Counts an observation of a target.
    pub fn record(&self, target: TargetId, observation: Observation) {
        self.update(target, |stats| match observation {
            Observation::Opened => stats.opened += 1,
            Observation::Answered => stats.answered += 1,
            Observation::Reset | Observation::Unreachable => stats.reset += 1,
        });
    }

    /// Records the load that a target reported.
    pub fn record_load(&self, target: TargetId, load: u16) {
        self.update(target, |stats| stats.load = Some(load));
    }

    /// Takes all statistics and resets them.
    pub fn take(&self) -> Vec<TargetReport> {
        let mut all = Vec::new();
        for shard in &self.shards {
            let stats = std::mem::take(&mut *lock(shard));
            all.extend(stats.into_iter().map(|(target, stats)| TargetReport { target, stats }));
        }
        all
    }

    fn update(&self, target: TargetId, update: impl FnOnce(&mut TargetStats)) {
        let mut shard = lock(&self.shards[target.0 as usize % SHARD_COUNT]);
        if shard.len() < MAX_SHARD_TARGETS || shard.contains_key(&target) {
            update(shard.entry(target).or_default());
        }
    }
}

fn lock<T>(shard: &Mutex<T>) -> MutexGuard<'_, T> {
    shard.lock().unwrap_or_else(PoisonError::into_inner)
}
