//! Data folders: made, found and made from a backup.

use std::path::Path;

use lagoongauge::error::{Error, Kind, Result};
use lagoongauge::id::HostId;
use lagoongauge::replica::{Configuration, Identity, Recovered, Store};
use serde::{Deserialize, Serialize};

use super::file_store::FileStore;
use super::segment::{self, LogRecord};
use super::volume::{Disk, Volume, disk_error};
use super::{ballot, frame};

/// Version of the format.
pub(super) const FORMAT_VERSION: u32 = 1;

/// Name of the file that says whose folder it is.
const IDENTITY_NAME: &str = "identity";

/// Name of the file that stands for it in a backup, so that none is started by mistake.
pub(super) const BACKUP_NAME: &str = "backup";

/// Name of the file that exists while a folder is being made.
const UNFINISHED_NAME: &str = "unfinished";

#[derive(Debug, Serialize, Deserialize)]
struct FolderHeader {
    version: u32,
    identity: Identity,
}

/// Opens a host's data folder, or makes one that holds `initial`.
///
/// `incarnation` has to be a new random number; it is used only for a new folder. Fails with
/// `Usage` if the folder belongs to another host or holds other files.
pub fn open_or_format(
    folder: &Path,
    host: HostId,
    incarnation: u64,
    initial: impl FnOnce(Identity) -> Recovered,
) -> Result<FileStore<Disk>> {
    let mut disk = Disk::create(folder)?;
    let identity = Identity { host, incarnation };
    if discard_unfinished(&mut disk)? {
        return format(disk, identity, &initial(identity));
    }
    let store = FileStore::open(disk)?;
    let owner = store.identity().host;
    if owner != host {
        let detail = format!("data folder {} belongs to {owner}, not {host}", folder.display());
        return Err(Error::new(Kind::Usage, detail));
    }
    Ok(store)
}

/// Makes a data folder from a backup, for a host that goes on alone and lets others join.
///
/// For the case that a quorum's disks are lost: what was accepted after the backup is lost with
/// them. `incarnation` has to be a new random number.
pub fn restore(
    backup: &Path,
    folder: &Path,
    host: HostId,
    incarnation: u64,
) -> Result<FileStore<Disk>> {
    let source = Disk::open(backup)?;
    let scan = super::backup::scan_backup(&source)?;
    let identity = Identity { host, incarnation };
    let mut disk = Disk::create(folder)?;
    if !discard_unfinished(&mut disk)? {
        let detail = format!("data folder {} is not empty", folder.display());
        return Err(Error::new(Kind::Usage, detail));
    }
    let recovered = scan.recovered.with_forced_configuration(Configuration::new(vec![identity]));
    format(disk, identity, &recovered)
}

/// Makes a data folder in an empty volume; a crash on the way leaves one that is made anew.
pub fn format<V: Volume>(
    mut volume: V,
    identity: Identity,
    initial: &Recovered,
) -> Result<FileStore<V>> {
    let failed = |error| disk_error("data folder can't be made", &error);
    volume
        .append(UNFINISHED_NAME, b"\n")
        .and_then(|()| volume.sync(UNFINISHED_NAME))
        .and_then(|()| volume.sync_folder())
        .map_err(failed)?;
    ballot::create(&mut volume, initial.ballot)?;
    let start = segment::encode(&[LogRecord::Start(1)])?;
    let name = segment::file_name(1);
    volume.append(&name, &start).and_then(|()| volume.sync(&name)).map_err(failed)?;
    write_header(&mut volume, IDENTITY_NAME, identity)?;
    let mut store = FileStore::open(volume)?;
    store.write(&initial.records())?;
    let mut volume = store.into_volume();
    volume.remove(UNFINISHED_NAME).and_then(|()| volume.sync_folder()).map_err(failed)?;
    FileStore::open(volume)
}

/// Writes the file that says whose folder or backup it is.
pub(super) fn write_header(volume: &mut impl Volume, name: &str, identity: Identity) -> Result<()> {
    let header = FolderHeader { version: FORMAT_VERSION, identity };
    let bytes = frame::encode(&postcard::to_stdvec(&header).expect("an owner is plain data"))?;
    volume
        .append(name, &bytes)
        .and_then(|()| volume.sync(name))
        .and_then(|()| volume.sync_folder())
        .map_err(|error| disk_error(&format!("file {name} can't be written"), &error))
}

/// Reads whose folder it is.
pub(super) fn read_identity(volume: &impl Volume) -> Result<Identity> {
    let names = volume.list().map_err(|error| disk_error("data folder can't be listed", &error))?;
    if names.iter().any(|name| name == BACKUP_NAME) {
        let detail = "the folder is a backup; make a data folder from it before a start";
        return Err(Error::new(Kind::Usage, detail));
    }
    if names.is_empty() {
        return Err(Error::new(Kind::NotFound, "the folder holds no data"));
    }
    read_header(volume, IDENTITY_NAME)
}

/// Reads the file that says whose folder or backup it is.
pub(super) fn read_header(volume: &impl Volume, name: &str) -> Result<Identity> {
    let failed = |error| disk_error(&format!("file {name} can't be read"), &error);
    let bytes = volume.read(name).map_err(failed)?;
    let payload = frame::decode_single(name, &bytes)?;
    let corrupt = |_| frame::corrupt(name, 0, "the owner does not parse");
    let header: FolderHeader = postcard::from_bytes(&payload).map_err(corrupt)?;
    if header.version != FORMAT_VERSION {
        let detail =
            format!("format version {} is not known, only {FORMAT_VERSION}", header.version);
        return Err(Error::new(Kind::StorageCorrupt, detail));
    }
    Ok(header.identity)
}

/// Tells whether the folder holds nothing, after it dropped what an unfinished making left.
fn discard_unfinished(volume: &mut impl Volume) -> Result<bool> {
    let failed = |error| disk_error("data folder can't be listed", &error);
    let names = volume.list().map_err(failed)?;
    if !names.iter().any(|name| name == UNFINISHED_NAME) {
        return Ok(names.is_empty());
    }
    for name in names.iter().filter(|name| *name != UNFINISHED_NAME) {
        volume.remove(name).map_err(failed)?;
    }
    volume.sync_folder().map_err(failed)?;
    volume.remove(UNFINISHED_NAME).and_then(|()| volume.sync_folder()).map_err(failed)?;
    Ok(true)
}
