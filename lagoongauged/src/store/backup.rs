//! Looking into a data folder and backing it up, while no process runs on it.

use std::path::Path;

use lagoongauge::error::{Error, Kind, Result};

use super::format::{self, BACKUP_NAME};
use super::scan::{FolderReport, Scan};
use super::volume::{Disk, Volume, disk_error};

/// Reads a data folder and reports what it holds; changes nothing in its data.
pub fn inspect(folder: &Path) -> Result<FolderReport> {
    let disk = Disk::open(folder)?;
    Ok(Scan::read(&disk)?.report())
}

/// Copies a data folder that reads well into an empty or missing folder.
///
/// The copy can't be started: a host that went on from an older state under the same incarnation
/// would take back its votes. [`super::restore`] makes a data folder from it.
pub fn backup(folder: &Path, destination: &Path) -> Result<FolderReport> {
    let source = Disk::open(folder)?;
    let scan = Scan::read(&source)?;
    let mut target = Disk::create(destination)?;
    let listed = target.list().map_err(|error| disk_error("backup can't be listed", &error))?;
    if !listed.is_empty() {
        let detail = format!("backup folder {} is not empty", destination.display());
        return Err(Error::new(Kind::Usage, detail));
    }
    let names = source.list().map_err(|error| disk_error("data folder can't be listed", &error))?;
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

/// Reads a backup.
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
    let failed = |error| disk_error(&format!("file {name} can't be copied"), &error);
    let bytes = source.read(name).map_err(failed)?;
    target.append(name, &bytes).and_then(|()| target.sync(name)).map_err(failed)
}
