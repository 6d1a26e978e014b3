//! The data folder of a control host: what it has promised, kept over crashes.
//!
//! Files: `identity` (format version and incarnation), `ballot` (term and vote, twice), `snapshot`
//! and the segments of the log (`log-…`), of which all but the last are sealed. Everything is
//! checksummed. See "Data folder" in docs/OPERATIONS.md.
//!
//! Errors: `StorageCorrupt` for damage, `StorageFull` for a full disk, `StorageLocked` while
//! another process holds the folder, `NotFound` for a folder without data, `Usage` for a folder
//! that holds something else, `Internal` for other failures of the disk.

mod backup;
mod ballot;
mod file_store;
mod format;
mod frame;
mod scan;
mod segment;
mod volume;

pub use self::backup::{backup, inspect};
pub use self::file_store::FileStore;
pub use self::format::{format, open_or_format, restore};
pub use self::scan::{FolderReport, SegmentReport};
pub use self::volume::{Disk, Volume};
