//! The sending side: what a receiver lacks, as a delta where possible.

use std::collections::{BTreeSet, VecDeque};

use super::table::ItemKey;
use super::table::{Digest, Table, Update};
use crate::settings::Resolved;

/// Versions over which deltas can be given.
pub const HISTORY_VERSIONS: usize = 1024;

/// Most changed keys that are kept over all versions.
const MAX_HISTORY_KEYS: usize = 65_536;

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
struct VersionChange {
    from: TableVersion,
    keys: Vec<ItemKey>,
}

/// Versions as a control host hands them on.
#[derive(Debug, Default)]
pub struct Source {
    table: Table,
    history: VecDeque<VersionChange>,
    key_count: usize,
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
    pub fn update(&self, known: Option<TableVersion>) -> Option<Update> {
        let latest = TableVersion { version: self.table.version(), digest: self.table.digest() };
        if known == Some(latest) || known.is_some_and(|known| known.version > latest.version) {
            return None;
        }
        let changed = known.and_then(|known| self.keys_changed_since(known));
        let items = match &changed {
            Some(keys) => keys.iter().map(|key| self.table.item(*key)).collect(),
            None => self.table.items().collect(),
        };
        let base = changed.and(known).map(|known| known.version);
        Some(Update { base, version: latest.version, digest: latest.digest, items })
    }

    /// Takes in a later version; an older one is passed over.
    pub fn publish(&mut self, resolved: &Resolved) {
        if resolved.version <= self.table.version() {
            return;
        }
        let from = TableVersion { version: self.table.version(), digest: self.table.digest() };
        let keys = self.table.replace(resolved);
        self.key_count += keys.len();
        self.history.push_back(VersionChange { from, keys });
        while self.history.len() > HISTORY_VERSIONS || self.key_count > MAX_HISTORY_KEYS {
            let Some(change) = self.history.pop_front() else { return };
            self.key_count -= change.keys.len();
        }
    }

    fn keys_changed_since(&self, known: TableVersion) -> Option<BTreeSet<ItemKey>> {
        let start = self.history.iter().position(|change| change.from == known)?;
        Some(
            self.history
                .iter()
                .skip(start)
                .flat_map(|change| change.keys.iter().copied())
                .collect(),
        )
    }
}
