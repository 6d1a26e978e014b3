//! The file operations that the store needs, and their implementation on a disk.

use std::fs::{self, File, OpenOptions};
use std::io::{self, Read, Seek, SeekFrom, Write};
use std::path::{Path, PathBuf};

use fs4::fs_std::FileExt;
use lagoongauge::error::{Error, Kind, Result};

/// Name of the file that is locked while a process uses the folder.
const LOCK_NAME: &str = "lock";

/// A flat folder of files; changes are durable only after a sync.
pub trait Volume {
    /// Lists the names of all files, sorted. Subfolders are ignored; other programs own them.
    fn list(&self) -> io::Result<Vec<String>>;

    /// Reads a whole file.
    fn read(&self, name: &str) -> io::Result<Vec<u8>>;

    /// Appends bytes to a file, which is created if it is missing.
    fn append(&mut self, name: &str, bytes: &[u8]) -> io::Result<()>;

    /// Overwrites bytes within a file.
    fn overwrite(&mut self, name: &str, offset: u64, bytes: &[u8]) -> io::Result<()>;

    /// Truncates a file to a length.
    fn truncate(&mut self, name: &str, length: u64) -> io::Result<()>;

    /// Renames a file, replacing an existing one.
    fn rename(&mut self, from: &str, to: &str) -> io::Result<()>;

    /// Removes a file.
    fn remove(&mut self, name: &str) -> io::Result<()>;

    /// Syncs the contents and length of a file.
    fn sync(&mut self, name: &str) -> io::Result<()>;

    /// Syncs the folder's directory entries.
    fn sync_folder(&mut self) -> io::Result<()>;
}

/// A folder on a disk, locked against other processes until the value is dropped.
#[derive(Debug)]
pub struct Disk {
    folder: PathBuf,
    open: Option<(String, File)>,
    _lock: File,
}

impl Disk {
    /// Locks a folder, which is created if it is missing.
    pub fn create(folder: &Path) -> Result<Self> {
        let path_text = folder.display();
        let failed = |error| disk_error(&format!("failed to create folder {path_text}"), &error);
        fs::create_dir_all(folder).map_err(failed)?;
        Self::open(folder)
    }

    /// Locks an existing folder; fails with `NotFound` or `StorageLocked`.
    pub fn open(folder: &Path) -> Result<Self> {
        let path_text = folder.display();
        if !folder.is_dir() {
            return Err(Error::new(Kind::NotFound, format!("folder {path_text} does not exist")));
        }
        let failed = |error| disk_error(&format!("failed to lock folder {path_text}"), &error);
        let path = folder.join(LOCK_NAME);
        let options = OpenOptions::new().create(true).truncate(false).write(true).clone();
        let lock = options.open(path).map_err(failed)?;
        if !FileExt::try_lock_exclusive(&lock).map_err(failed)? {
            let detail = format!("data folder {path_text} is locked by another process");
            return Err(Error::new(Kind::StorageLocked, detail));
        }
        Ok(Self { folder: folder.to_path_buf(), open: None, _lock: lock })
    }

    fn open_file(&mut self, name: &str) -> io::Result<&mut File> {
        if self.open.as_ref().is_none_or(|(open, _)| open != name) {
            let options = OpenOptions::new().create(true).truncate(false).write(true).clone();
            let file = options.open(self.folder.join(name))?;
            self.open = Some((name.to_string(), file));
        }
        let (_, file) = self.open.as_mut().expect("the file was opened above");
        Ok(file)
    }

    fn close(&mut self, name: &str) {
        if self.open.as_ref().is_some_and(|(open, _)| open == name) {
            self.open = None;
        }
    }
}

impl Volume for Disk {
    fn list(&self) -> io::Result<Vec<String>> {
        let mut names = Vec::new();
        for entry in fs::read_dir(&self.folder)? {
            let entry = entry?;
            let name = entry.file_name().to_string_lossy().into_owned();
            if name != LOCK_NAME && !entry.file_type()?.is_dir() {
                names.push(name);
            }
        }
        names.sort();
        Ok(names)
    }

    fn read(&self, name: &str) -> io::Result<Vec<u8>> {
        let mut bytes = Vec::new();
        File::open(self.folder.join(name))?.read_to_end(&mut bytes)?;
        Ok(bytes)
    }

    fn append(&mut self, name: &str, bytes: &[u8]) -> io::Result<()> {
        let file = self.open_file(name)?;
        file.seek(SeekFrom::End(0))?;
        file.write_all(bytes)
    }

    fn overwrite(&mut self, name: &str, offset: u64, bytes: &[u8]) -> io::Result<()> {
        let file = self.open_file(name)?;
        file.seek(SeekFrom::Start(offset))?;
        file.write_all(bytes)
    }

    fn truncate(&mut self, name: &str, length: u64) -> io::Result<()> {
        self.open_file(name)?.set_len(length)
    }

    fn rename(&mut self, from: &str, to: &str) -> io::Result<()> {
        self.close(from);
        self.close(to);
        fs::rename(self.folder.join(from), self.folder.join(to))
    }

    fn remove(&mut self, name: &str) -> io::Result<()> {
        self.close(name);
        fs::remove_file(self.folder.join(name))
    }

    fn sync(&mut self, name: &str) -> io::Result<()> {
        self.open_file(name)?.sync_all()
    }

    fn sync_folder(&mut self) -> io::Result<()> {
        File::open(&self.folder)?.sync_all()
    }
}

/// Maps an I/O error of the disk to an error of the store.
pub(super) fn disk_error(action: &str, error: &io::Error) -> Error {
    let kind = match error.kind() {
        io::ErrorKind::StorageFull
        | io::ErrorKind::QuotaExceeded
        | io::ErrorKind::FileTooLarge
        | io::ErrorKind::WriteZero => Kind::StorageFull,
        io::ErrorKind::NotFound => Kind::StorageCorrupt,
        _ => Kind::Internal,
    };
    Error::new(kind, format!("{action}: {error}"))
}
