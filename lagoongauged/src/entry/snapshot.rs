//! A shared value that is replaced as a whole; readers take the lock only after a replacement.

use std::ops::Deref;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};

/// The current value and the number of its replacements.
#[derive(Debug)]
pub struct Snapshot<T> {
    value: Mutex<Arc<T>>,
    version: AtomicU64,
}

/// One thread's cached reference to the value; it takes the lock only after a replacement.
#[derive(Debug)]
pub struct Reader<'a, T> {
    snapshot: &'a Snapshot<T>,
    value: Arc<T>,
    version: u64,
}

impl<T> Snapshot<T> {
    /// Returns a snapshot with this initial value.
    pub fn new(value: T) -> Self {
        Self { value: Mutex::new(Arc::new(value)), version: AtomicU64::new(0) }
    }

    /// Returns the current value.
    pub fn load(&self) -> Arc<T> {
        Arc::clone(&self.value.lock().unwrap_or_else(PoisonError::into_inner))
    }

    /// Returns a reader for one thread.
    pub fn reader(&self) -> Reader<'_, T> {
        let version = self.version.load(Ordering::Acquire);
        Reader { snapshot: self, value: self.load(), version }
    }

    /// Replaces the value.
    pub fn store(&self, value: T) {
        self.update(|_| value);
    }

    /// Replaces the value by one computed from it, without a concurrent replacement in between.
    pub fn update(&self, make: impl FnOnce(&T) -> T) {
        let mut value = self.value.lock().unwrap_or_else(PoisonError::into_inner);
        *value = Arc::new(make(&value));
        self.version.fetch_add(1, Ordering::Release);
    }
}

impl<T> Reader<'_, T> {
    /// Loads the current value if it was replaced since the last call.
    pub fn refresh(&mut self) {
        let version = self.snapshot.version.load(Ordering::Acquire);
        if version != self.version {
            self.version = version;
            self.value = self.snapshot.load();
        }
    }
}

impl<T> Deref for Reader<'_, T> {
    type Target = T;

    fn deref(&self) -> &T {
        &self.value
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_reader_sees_a_replacement_after_its_refresh() {
        let snapshot = Snapshot::new(1);
        let mut reader = snapshot.reader();
        snapshot.store(2);
        assert_eq!(*reader, 1);
        reader.refresh();
        assert_eq!(*reader, 2);
    }
}
