//! The roster on disk, for the next process of a control host.
//!
//! It is a hint, written by a thread of its own some hundred milliseconds late: what it lacks the
//! targets say again. Without it a group of control hosts that lost power as a whole would know no
//! target until each has announced itself.

use std::fs::{self, File};
use std::io::{Error, ErrorKind, Result, Write};
use std::path::PathBuf;
use std::sync::mpsc::{Receiver, SyncSender, sync_channel};
use std::time::Duration;

use async_std::task::sleep;
use lagoongauge::replica::Store;
use lagoongauge::roster::Entry;

use super::host::SharedHost;
use crate::daemon::spawn;

/// Name of the file within the folder beside the log.
const FILE_NAME: &str = "roster";

/// Name under which the file is written before it replaces the last one.
const TEMPORARY_NAME: &str = "roster.new";

/// Pause between two looks for changes.
const POLL_INTERVAL: Duration = Duration::from_millis(400);

/// Where the roster is kept.
#[derive(Debug, Clone)]
pub struct RosterFile {
    folder: PathBuf,
}

impl RosterFile {
    /// Keeps the roster in a folder of its own, which is created if it is missing.
    pub fn new(folder: PathBuf) -> Result<Self> {
        fs::create_dir_all(&folder)?;
        if let Some(parent) = folder.parent() {
            File::open(parent)?.sync_all()?;
        }
        Ok(Self { folder })
    }

    /// Reads what the former process wrote; nothing if there is none or it is damaged.
    pub(super) fn read(&self) -> Vec<Entry> {
        let bytes = match fs::read(self.folder.join(FILE_NAME)) {
            Ok(bytes) => bytes,
            Err(error) if error.kind() == ErrorKind::NotFound => return Vec::new(),
            Err(error) => {
                log::warn!("the kept roster can't be read: {error}");
                return Vec::new();
            }
        };
        decode(&bytes).unwrap_or_else(|error| {
            log::warn!("the kept roster is damaged and is not used: {error}");
            Vec::new()
        })
    }

    fn write(&self, entries: &[Entry]) -> Result<()> {
        let mut bytes = postcard::to_stdvec(entries).map_err(|error| invalid_data(&error))?;
        let checksum = crc32fast::hash(&bytes);
        bytes.extend_from_slice(&checksum.to_be_bytes());
        let temporary = self.folder.join(TEMPORARY_NAME);
        let mut file = File::create(&temporary)?;
        file.write_all(&bytes)?;
        file.sync_all()?;
        fs::rename(&temporary, self.folder.join(FILE_NAME))?;
        File::open(&self.folder)?.sync_all()
    }

    /// Writes what comes, as a disk may be slow and nothing else may wait for it.
    fn write_all(&self, rosters: &Receiver<Vec<Entry>>) {
        let mut failing = false;
        while let Ok(entries) = rosters.recv() {
            match self.write(&entries) {
                Ok(()) => failing = false,
                Err(error) if !failing => {
                    log::warn!("the roster can't be kept: {error}");
                    failing = true;
                }
                Err(_) => {}
            }
        }
    }

    /// Starts the writing thread.
    pub(super) fn start_writer(self) -> Result<SyncSender<Vec<Entry>>> {
        let (sender, receiver) = sync_channel(1);
        spawn("roster", move || self.write_all(&receiver))?;
        Ok(sender)
    }
}

/// Hands the roster to the writing thread whenever it has changed and the thread is free.
pub(super) async fn persist_changes<S: Store + 'static>(
    host: SharedHost<S>,
    writer: SyncSender<Vec<Entry>>,
) {
    let mut written = 0;
    loop {
        sleep(POLL_INTERVAL).await;
        let revision = host.roster.borrow().revision();
        if revision == written {
            continue;
        }
        let entries = host.roster.borrow().entries();
        if writer.try_send(entries).is_ok() {
            written = revision;
        }
    }
}

fn decode(bytes: &[u8]) -> Result<Vec<Entry>> {
    let (bytes, checksum) =
        bytes.split_last_chunk::<4>().ok_or_else(|| invalid_data(&"it is cut short"))?;
    if crc32fast::hash(bytes) != u32::from_be_bytes(*checksum) {
        return Err(invalid_data(&"its checksum is wrong"));
    }
    postcard::from_bytes(bytes).map_err(|error| invalid_data(&error))
}

fn invalid_data(error: &dyn std::fmt::Display) -> Error {
    Error::new(ErrorKind::InvalidData, error.to_string())
}
