//! Copy of the roster on disk, loaded when a control host restarts.
//!
//! A separate thread writes it some hundred milliseconds late; missing changes are recovered from
//! the targets' next announcements. Without the file, control hosts that all lost power would know
//! no target until it has announced itself.

use std::fs::{self, File};
use std::io::{Error, ErrorKind, Result, Write};
use std::path::PathBuf;
use std::sync::mpsc::{Receiver, SyncSender, sync_channel};
use std::time::Duration;

use async_std::task::sleep;
use lagoongauge::replica::Store;
use lagoongauge::roster::StoredRoster;

use super::host::SharedHost;
use crate::daemon::spawn;

/// Name of the file in its folder next to the log.
const FILE_NAME: &str = "roster";

/// Name of the temporary file, which is renamed once it is complete.
const TEMPORARY_NAME: &str = "roster.new";

/// Interval at which the roster is checked for changes.
const POLL_INTERVAL: Duration = Duration::from_millis(400);

/// File that stores the roster.
#[derive(Debug, Clone)]
pub struct RosterFile {
    folder: PathBuf,
}

impl RosterFile {
    /// Uses a folder that holds nothing but the roster; it is created if it is missing.
    pub fn new(folder: PathBuf) -> Result<Self> {
        fs::create_dir_all(&folder)?;
        if let Some(parent) = folder.parent() {
            File::open(parent)?.sync_all()?;
        }
        Ok(Self { folder })
    }

    /// Reads the roster of the previous process; empty if the file is missing or corrupted.
    pub(super) fn read(&self) -> StoredRoster {
        let bytes = match fs::read(self.folder.join(FILE_NAME)) {
            Ok(bytes) => bytes,
            Err(error) if error.kind() == ErrorKind::NotFound => return StoredRoster::default(),
            Err(error) => {
                log::warn!("failed to read the stored roster: {error}");
                return StoredRoster::default();
            }
        };
        decode(&bytes).unwrap_or_else(|error| {
            log::warn!("ignoring the corrupted stored roster: {error}");
            StoredRoster::default()
        })
    }

    fn write(&self, roster: &StoredRoster) -> Result<()> {
        let mut bytes = roster.to_bytes().map_err(|error| invalid_data(&error))?;
        let checksum = crc32fast::hash(&bytes);
        bytes.extend_from_slice(&checksum.to_be_bytes());
        let temporary = self.folder.join(TEMPORARY_NAME);
        let mut file = File::create(&temporary)?;
        file.write_all(&bytes)?;
        file.sync_all()?;
        fs::rename(&temporary, self.folder.join(FILE_NAME))?;
        File::open(&self.folder)?.sync_all()
    }

    /// Writes each roster received, on a thread of its own: a slow disk must not block other tasks.
    fn run_writer(&self, rosters: &Receiver<StoredRoster>) {
        let mut failing = false;
        while let Ok(roster) = rosters.recv() {
            match self.write(&roster) {
                Ok(()) => failing = false,
                Err(error) if !failing => {
                    log::warn!("failed to store the roster: {error}");
                    failing = true;
                }
                Err(_) => {}
            }
        }
    }

    /// Starts the writer thread.
    pub(super) fn start_writer(self) -> Result<SyncSender<StoredRoster>> {
        let (sender, receiver) = sync_channel(1);
        spawn("roster", move || self.run_writer(&receiver))?;
        Ok(sender)
    }
}

/// Sends the roster to the writer thread whenever it has changed and the thread is idle.
pub(super) async fn persist_changes<S: Store + 'static>(
    host: SharedHost<S>,
    writer: SyncSender<StoredRoster>,
) {
    let mut written = (0, Vec::new());
    loop {
        sleep(POLL_INTERVAL).await;
        let current = (host.roster.borrow().revision(), host.stored_entries());
        if current == written {
            continue;
        }
        let entry_hosts = current.1.clone();
        let roster = StoredRoster { entry_hosts, ..host.roster.borrow().to_stored() };
        if writer.try_send(roster).is_ok() {
            written = current;
        }
    }
}

fn decode(bytes: &[u8]) -> Result<StoredRoster> {
    let (bytes, checksum) =
        bytes.split_last_chunk::<4>().ok_or_else(|| invalid_data(&"file is truncated"))?;
    if crc32fast::hash(bytes) != u32::from_be_bytes(*checksum) {
        return Err(invalid_data(&"checksum mismatch"));
    }
    StoredRoster::from_bytes(bytes).map_err(|error| invalid_data(&error))
}

fn invalid_data(error: &dyn std::fmt::Display) -> Error {
    Error::new(ErrorKind::InvalidData, error.to_string())
}
