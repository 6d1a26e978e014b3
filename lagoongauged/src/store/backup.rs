//! Looking into a data folder and backing it up, while no process runs on it.

use std::path::Path;

use lagoongauge::error::{Error, Kind, Result};

use super::format::{self, BACKUP};
use super::scan::{FolderReport, Scan};
use super::volume::{Disk, Volume, broken};

/// Reads a data folder and reports what it holds; changes nothing in its data.
pub fn inspect(folder: &Path) -> Result<FolderReport> {
    let disk = Disk::open(folder)?;
    Ok(Scan::read(&disk)?.report())
}

/// Copies a data folder that reads well into an empty or missing folder.
///
/// The copy can't be started: a host that went on from an older state under the same incarnation
/// would take back its votes. [`super::restore`] makes a data folder from it.
pub fn backup(folder: &Path, to: &Path) -> Result<FolderReport> {
    let source = Disk::open(folder)?;
    let scan = Scan::read(&source)?;
    let mut target = Disk::create(to)?;
    let listed = target.list().map_err(|error| broken("backup can't be listed", &error))?;
    if !listed.is_empty() {
        let detail = format!("backup folder {} is not empty", to.display());
        return Err(Error::new(Kind::Usage, detail));
    }
    let names = source.list().map_err(|error| broken("data folder can't be listed", &error))?;
    for name in names.iter().filter(|name| is_data(name)) {
        copy(&source, &mut target, name)?;
    }
    format::write_owner(&mut target, BACKUP, scan.identity)?;
    let copied = scan_backup(&target)?;
    if copied.recovered != scan.recovered {
        let detail = format!("backup {} differs from its source", to.display());
        return Err(Error::new(Kind::StorageCorrupt, detail));
    }
    Ok(copied.report())
}

/// Reads a backup.
pub(super) fn scan_backup(volume: &impl Volume) -> Result<Scan> {
    let identity = format::read_owner(volume, BACKUP)?;
    Scan::read_as(volume, identity)
}

fn is_data(name: &str) -> bool {
    name == super::ballot::NAME
        || name == super::scan::SNAPSHOT
        || super::segment::number(name).is_some()
}

fn copy(source: &Disk, target: &mut Disk, name: &str) -> Result<()> {
    let failed = |error| broken(&format!("file {name} can't be copied"), &error);
    let bytes = source.read(name).map_err(failed)?;
    target.append(name, &bytes).and_then(|()| target.sync(name)).map_err(failed)
}
