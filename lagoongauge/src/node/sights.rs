//! What this host's data path has seen of targets, in shards of their own locks.

use std::sync::{Mutex, MutexGuard, PoisonError};

use indexmap::IndexMap;

use super::{Observation, Seen};
use crate::balance::Sight;
use crate::id::TargetId;

/// Number of shards.
const SHARDS: usize = 16;
/// Most targets that one shard keeps between two reports.
const MAX_TARGETS: usize = 256;

/// Counts by target since the last report.
#[derive(Debug, Default)]
pub struct Sights {
    shards: [Mutex<IndexMap<TargetId, Sight>>; SHARDS],
}

impl Sights {
    /// Counts what a target did.
    pub fn note(&self, target: TargetId, observation: Observation) {
        self.change(target, |sight| match observation {
            Observation::Opened => sight.opened += 1,
            Observation::Answered => sight.answered += 1,
            Observation::Reset | Observation::Silent => sight.reset += 1,
        });
    }

    /// Notes the load that a target reported.
    pub fn load(&self, target: TargetId, load: u16) {
        self.change(target, |sight| sight.load = Some(load));
    }

    /// Takes all counts out.
    pub fn take(&self) -> Vec<Seen> {
        let mut all = Vec::new();
        for shard in &self.shards {
            let seen = std::mem::take(&mut *lock(shard));
            all.extend(seen.into_iter().map(|(target, sight)| Seen { target, sight }));
        }
        all
    }

    fn change(&self, target: TargetId, change: impl FnOnce(&mut Sight)) {
        let mut shard = lock(&self.shards[target.0 as usize % SHARDS]);
        if shard.len() < MAX_TARGETS || shard.contains_key(&target) {
            change(shard.entry(target).or_default());
        }
    }
}

fn lock<T>(shard: &Mutex<T>) -> MutexGuard<'_, T> {
    shard.lock().unwrap_or_else(PoisonError::into_inner)
}
