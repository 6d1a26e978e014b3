//! Inspection and backup of a data folder that no process uses.

use std::path::Path;

use lagoongauge::error::{Error, Kind, Result};

use super::format::{self, BACKUP_NAME};
use super::scan::{FolderReport, Scan};
use super::volume::{Disk, Volume, disk_error};

/// Reports the contents of a data folder without changing its data.
pub fn inspect(folder: &Path) -> Result<FolderReport> {
    let disk = Disk::open(folder)?;
    Ok(Scan::read(&disk)?.report())
}

/// Copies a valid data folder to an empty or missing folder.
///
/// No host can be started from the copy: a host that continues from an older state under the same
/// incarnation would revoke its votes. [`super::restore`] creates a data folder from the copy.
pub fn backup(folder: &Path, destination: &Path) -> Result<FolderReport> {
    let source = Disk::open(folder)?;
    let scan = Scan::read(&source)?;
    let mut target = Disk::create(destination)?;
    let listed = target.list().map_err(|error| disk_error("failed to list backup", &error))?;
    if !listed.is_empty() {
        let detail = format!("backup folder {} is not empty", destination.display());
        return Err(Error::new(Kind::Usage, detail));
    }
    let names = source.list().map_err(|error| disk_error("failed to list data folder", &error))?;
    for name in names.iter().filter(|name| is_state_file(name)) {
        copy_file(&source, &mut target, name)?;
    }
    format::write_header(&mut target, BACKUP_NAME, scan.identity)?;
    let copied = scan_backup(&target)?;
    if copied.recovered != scan.recovered {
        let detail = format!("backup {} differs from its source", destination.display());
        return Err(Error::new(Kind::StorageCorrupt, detail));
    }
    Ok(copied.report())
}

/// Reads the state in a backup.
pub(super) fn scan_backup(volume: &impl Volume) -> Result<Scan> {
    let identity = format::read_header(volume, BACKUP_NAME)?;
    Scan::read_with_identity(volume, identity)
}

fn is_state_file(name: &str) -> bool {
    name == super::ballot::FILE_NAME
        || name == super::scan::SNAPSHOT_NAME
        || super::segment::parse_name(name).is_some()
}

fn copy_file(source: &Disk, target: &mut Disk, name: &str) -> Result<()> {
    let failed = |error| disk_error(&format!("failed to copy file {name}"), &error);
    let bytes = source.read(name).map_err(failed)?;
    target.append(name, &bytes).and_then(|()| target.sync(name)).map_err(failed)
}
