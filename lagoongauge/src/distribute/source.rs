//! The sending side, which computes the update for a receiver, as a delta where possible.

use std::collections::{BTreeSet, VecDeque};

use super::table::ItemKey;
use super::table::{Digest, Table, Update};
use crate::settings::Resolved;

/// Number of past versions from which a delta can be computed.
pub const HISTORY_VERSIONS: usize = 1024;

/// Largest number of changed keys that are kept over all past versions.
const MAX_HISTORY_KEYS: usize = 65_536;

/// Version and digest of a table.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct TableVersion {
    /// Version of the table.
    pub version: u64,
    /// Digest of the table.
    pub digest: Digest,
}

/// The keys that changed from one version to the next.
#[derive(Debug)]
struct VersionChange {
    from: TableVersion,
    keys: Vec<ItemKey>,
}

/// The latest settings of a control host with the history of their changes.
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

    /// Returns the update for a receiver with the table `known`, or `None` if it is up to date.
    ///
    /// The update is a full copy if the receiver has no table or one that is not in the history.
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

    /// Publishes a later version; older ones are ignored.
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
