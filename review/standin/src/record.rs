//! The record of a run: what was sent, answered and run, one line each.

use std::fs::File;
use std::io::Write;
use std::path::Path;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

/// Writes lines with the milliseconds since the start of the run.
#[derive(Debug, Clone)]
pub struct Record {
    file: Arc<Mutex<File>>,
    start: Instant,
}

impl Record {
    /// Creates the file, which replaces an older one.
    pub fn create(path: &Path) -> std::io::Result<Self> {
        let file = Arc::new(Mutex::new(File::create(path)?));
        Ok(Self { file, start: Instant::now() })
    }

    /// Writes a line.
    pub fn line(&self, text: impl AsRef<str>) {
        let at = self.elapsed().as_millis();
        let mut file = self.file.lock().unwrap_or_else(PoisonError::into_inner);
        // A record that can't be written fails no case; its verdict is the exit code.
        let _ = writeln!(file, "{at:>7} {}", text.as_ref());
    }

    /// Returns the time since the start of the run.
    pub fn elapsed(&self) -> Duration {
        self.start.elapsed()
    }
}
