//! Creates and opens data folders, and restores them from backups.

use std::path::Path;

use lagoongauge::error::{Error, Kind, Result};
use lagoongauge::id::HostId;
use lagoongauge::replica::{Configuration, Identity, Recovered, Store};
use serde::{Deserialize, Serialize};

use super::file_store::FileStore;
use super::segment::{self, LogRecord};
use super::volume::{Disk, Volume, disk_error};
use super::{ballot, frame};

/// Version of the data folder's format.
pub(super) const FORMAT_VERSION: u32 = 1;

/// Name of the file that holds the identity of the folder's host.
const IDENTITY_NAME: &str = "identity";

/// Name of that file in a backup, so that no host is started from a backup by mistake.
pub(super) const BACKUP_NAME: &str = "backup";

/// Name of the file that exists while a folder is being created.
const UNFINISHED_NAME: &str = "unfinished";

#[derive(Debug, Serialize, Deserialize)]
struct FolderHeader {
    version: u32,
    identity: Identity,
}

/// Opens a host's data folder, or creates one that holds `initial`.
///
/// `incarnation` has to be a new random number; it is used only for a new folder. Fails with
/// `Usage` if the folder belongs to another host or is a backup, and with `StorageCorrupt` if it
/// holds other files.
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

/// Creates a data folder from a backup, with the host as the only voter; others can join later.
///
/// Meant for the loss of the disks of a quorum: changes accepted after the backup are lost.
/// `incarnation` has to be a new random number.
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

/// Creates a data folder in an empty volume. A crash leaves an unfinished folder, which the next
/// attempt discards.
pub fn format<V: Volume>(
    mut volume: V,
    identity: Identity,
    initial: &Recovered,
) -> Result<FileStore<V>> {
    let failed = |error| disk_error("failed to create data folder", &error);
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

/// Writes the file with the identity of a folder or backup.
pub(super) fn write_header(volume: &mut impl Volume, name: &str, identity: Identity) -> Result<()> {
    let header = FolderHeader { version: FORMAT_VERSION, identity };
    let bytes = frame::encode(
        &postcard::to_stdvec(&header).expect("a folder header can always be serialized"),
    )?;
    volume
        .append(name, &bytes)
        .and_then(|()| volume.sync(name))
        .and_then(|()| volume.sync_folder())
        .map_err(|error| disk_error(&format!("failed to write file {name}"), &error))
}

/// Reads the identity of a data folder; fails with `Usage` for a backup, `NotFound` without files.
pub(super) fn read_identity(volume: &impl Volume) -> Result<Identity> {
    let names = volume.list().map_err(|error| disk_error("failed to list data folder", &error))?;
    if names.iter().any(|name| name == BACKUP_NAME) {
        let detail = "the folder is a backup; restore it to a data folder before starting a host";
        return Err(Error::new(Kind::Usage, detail));
    }
    if names.is_empty() {
        return Err(Error::new(Kind::NotFound, "the folder contains no data"));
    }
    read_header(volume, IDENTITY_NAME)
}

/// Reads the file with the identity of a folder or backup.
pub(super) fn read_header(volume: &impl Volume, name: &str) -> Result<Identity> {
    let failed = |error| disk_error(&format!("failed to read file {name}"), &error);
    let bytes = volume.read(name).map_err(failed)?;
    let payload = frame::decode_single(name, &bytes)?;
    let corrupt = |_| frame::corrupt(name, 0, "the identity can't be decoded");
    let header: FolderHeader = postcard::from_bytes(&payload).map_err(corrupt)?;
    if header.version != FORMAT_VERSION {
        let detail =
            format!("format version {} is not known, only {FORMAT_VERSION}", header.version);
        return Err(Error::new(Kind::StorageCorrupt, detail));
    }
    Ok(header.identity)
}

/// Removes the files of an unfinished creation, then returns whether the folder is empty.
fn discard_unfinished(volume: &mut impl Volume) -> Result<bool> {
    let failed = |error| disk_error("failed to list or clean up data folder", &error);
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
