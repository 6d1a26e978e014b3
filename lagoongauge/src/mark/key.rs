//! Keys of targets and data centres in a router's arenas.

use slotmap::new_key_type;

new_key_type! {
    /// Key of a target in the router's arena.
    pub(super) struct TargetKey;
}

/// Index of a data centre on this entry host.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct CentreKey(usize);

impl CentreKey {
    /// Creates the key of the data centre with this index.
    pub(super) fn new(index: usize) -> Self {
        Self(index)
    }

    /// Returns the index of the data centre, in the order in which they were added.
    pub(super) fn index(self) -> usize {
        self.0
    }
}
