//! The record of a run: what was sent, answered and run, with the time since the start.

use std::fs::File;
use std::io::Write;
use std::sync::Mutex;
use std::time::Instant;

/// Writes lines to the record file and to standard output.
#[derive(Debug)]
pub struct Record {
    start: Instant,
    file: Mutex<File>,
}

impl Record {
    /// Creates the file, replacing an older one.
    pub fn create(path: &str) -> std::io::Result<Self> {
        Ok(Self { start: Instant::now(), file: Mutex::new(File::create(path)?) })
    }

    /// Returns the seconds since the start.
    pub fn now(&self) -> f64 {
        self.start.elapsed().as_secs_f64()
    }

    /// Adds a line.
    pub fn line(&self, text: impl AsRef<str>) {
        let line = format!("{:8.3} s  {}\n", self.now(), text.as_ref());
        print!("{line}");
        let mut file = self.file.lock().expect("no writer panics");
        let _ = file.write_all(line.as_bytes());
    }
}
