//! The sending side: what a receiver lacks, as a delta where possible.

use std::collections::{BTreeSet, VecDeque};

use super::table::ItemKey;
use super::table::{Digest, Table, Update};
use crate::settings::Resolved;

/// Versions over which deltas can be given.
pub const HISTORY_VERSIONS: usize = 1024;

/// Most changed keys that are kept over all versions.
const KEYS: usize = 65_536;

/// The version that a receiver has in force.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct TableVersion {
    /// Version of its table.
    pub version: u64,
    /// Digest of its table.
    pub digest: Digest,
}

/// One step of the history.
#[derive(Debug)]
struct Step {
    from: TableVersion,
    keys: Vec<ItemKey>,
}

/// Versions as a control host hands them on.
#[derive(Debug, Default)]
pub struct Source {
    table: Table,
    steps: VecDeque<Step>,
    kept: usize,
}

impl Source {
    /// Returns the latest version.
    pub fn version(&self) -> u64 {
        self.table.version()
    }

    /// Returns the update that a receiver lacks, or nothing where it lacks none.
    ///
    /// It is a full copy for a receiver without a table, and wherever the history does not reach
    /// back to the receiver's table.
    pub fn update(&self, have: Option<TableVersion>) -> Option<Update> {
        let now = TableVersion { version: self.table.version(), digest: self.table.digest() };
        if have == Some(now) || have.is_some_and(|have| have.version > now.version) {
            return None;
        }
        let steps = have.and_then(|have| self.steps_from(have));
        let items = match &steps {
            Some(keys) => keys.iter().map(|key| self.table.item(*key)).collect(),
            None => self.table.items().collect(),
        };
        let base = steps.and(have).map(|have| have.version);
        Some(Update { base, version: now.version, digest: now.digest, items })
    }

    /// Takes in a later version; an older one is passed over.
    pub fn publish(&mut self, resolved: &Resolved) {
        if resolved.version <= self.table.version() {
            return;
        }
        let from = TableVersion { version: self.table.version(), digest: self.table.digest() };
        let keys = self.table.replace(resolved);
        self.kept += keys.len();
        self.steps.push_back(Step { from, keys });
        while self.steps.len() > HISTORY_VERSIONS || self.kept > KEYS {
            let Some(step) = self.steps.pop_front() else { return };
            self.kept -= step.keys.len();
        }
    }

    fn steps_from(&self, have: TableVersion) -> Option<BTreeSet<ItemKey>> {
        let start = self.steps.iter().position(|step| step.from == have)?;
        Some(self.steps.iter().skip(start).flat_map(|step| step.keys.iter().copied()).collect())
    }
}
