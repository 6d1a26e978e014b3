//! The data folder of a control host: the durable state of its replica.
//!
//! Files: `identity` (format version and incarnation), `ballot` (term and vote, stored twice),
//! `snapshot` and the segments of the log (`log-…`), of which all but the last are sealed. All
//! files are checksummed. See "Data folder" in docs/OPERATIONS.md.
//!
//! Errors: `StorageCorrupt` for damage, `StorageFull` for a full disk, `StorageLocked` while
//! another process has locked the folder, `NotFound` for a folder without data, `Usage` for the
//! folder of another host, a backup, or a destination that is not empty, `Internal` for other disk
//! failures.

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
