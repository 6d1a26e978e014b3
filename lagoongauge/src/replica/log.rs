//! The part of the log that is kept in memory.

use std::collections::VecDeque;

use super::entry::{Entry, Position};

/// Entries after `base`, the position of the last compacted entry.
#[derive(Debug)]
pub(super) struct Log {
    base: Position,
    entries: VecDeque<Entry>,
}

impl Log {
    pub(super) fn new(base: Position) -> Self {
        Self { base, entries: VecDeque::new() }
    }

    pub(super) fn base(&self) -> Position {
        self.base
    }

    pub(super) fn last(&self) -> Position {
        self.entries.back().map_or(self.base, |entry| entry.position)
    }

    /// Returns the term of an entry, or `None` if the index is outside the log.
    pub(super) fn term(&self, index: u64) -> Option<u64> {
        if index == self.base.index {
            return Some(self.base.term);
        }
        self.get(index).map(|entry| entry.position.term)
    }

    pub(super) fn get(&self, index: u64) -> Option<&Entry> {
        let offset = index.checked_sub(self.base.index + 1)?;
        self.entries.get(usize::try_from(offset).ok()?)
    }

    /// Returns up to `count` entries and `bytes` bytes from `index` on, but at least one entry if
    /// there is one and `count` is not 0.
    pub(super) fn slice(&self, index: u64, count: u64, bytes: usize) -> Vec<Entry> {
        let mut size = 0;
        let mut entries = Vec::new();
        for next in index..index.saturating_add(count) {
            let Some(entry) = self.get(next) else { break };
            size += entry.size();
            if size > bytes && !entries.is_empty() {
                break;
            }
            entries.push(entry.clone());
        }
        entries
    }

    /// Returns the start of the contiguous run of entries of the same term that ends at `index`.
    pub(super) fn first_of_term(&self, index: u64) -> u64 {
        let term = self.term(index);
        let mut start = index;
        while start > self.base.index + 1 && self.term(start - 1) == term {
            start -= 1;
        }
        start
    }

    pub(super) fn push(&mut self, entry: Entry) {
        debug_assert_eq!(entry.position.index, self.last().index + 1);
        self.entries.push_back(entry);
    }

    /// Removes all entries from `index` on.
    pub(super) fn truncate(&mut self, index: u64) {
        let keep = index.saturating_sub(self.base.index + 1);
        self.entries.truncate(usize::try_from(keep).unwrap_or(usize::MAX));
    }

    /// Removes all entries up to and including `index`.
    pub(super) fn compact(&mut self, index: u64) {
        while let Some(entry) = self.entries.pop_front_if(|entry| entry.position.index <= index) {
            self.base = entry.position;
        }
    }
}
