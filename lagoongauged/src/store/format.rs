//! Data folders: made, found and made from a backup.

use std::path::Path;

use lagoongauge::error::{Error, Kind, Result};
use lagoongauge::id::HostId;
use lagoongauge::replica::{Configuration, Identity, Recovered, Store};
use serde::{Deserialize, Serialize};

use super::file_store::FileStore;
use super::segment::{self, Line};
use super::volume::{Disk, Volume, broken};
use super::{ballot, frame};

/// Version of the format.
pub(super) const VERSION: u32 = 1;

/// Name of the file that says whose folder it is.
const IDENTITY: &str = "identity";

/// Name of the file that stands for it in a backup, so that none is started by mistake.
pub(super) const BACKUP: &str = "backup";

/// Name of the file that exists while a folder is being made.
const UNFINISHED: &str = "unfinished";

#[derive(Debug, Serialize, Deserialize)]
struct Owner {
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
    if is_blank(&mut disk)? {
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
    if !is_blank(&mut disk)? {
        let detail = format!("data folder {} is not empty", folder.display());
        return Err(Error::new(Kind::Usage, detail));
    }
    let alone = scan.recovered.with_forced_configuration(Configuration::new(vec![identity]));
    format(disk, identity, &alone)
}

/// Makes a data folder in an empty volume; a crash on the way leaves one that is made anew.
pub fn format<V: Volume>(
    mut volume: V,
    identity: Identity,
    initial: &Recovered,
) -> Result<FileStore<V>> {
    let failed = |error| broken("data folder can't be made", &error);
    volume
        .append(UNFINISHED, b"\n")
        .and_then(|()| volume.sync(UNFINISHED))
        .and_then(|()| volume.sync_folder())
        .map_err(failed)?;
    ballot::create(&mut volume, initial.ballot)?;
    let start = segment::encode(&[Line::Start(1)])?;
    let name = segment::name(1);
    volume.append(&name, &start).and_then(|()| volume.sync(&name)).map_err(failed)?;
    write_owner(&mut volume, IDENTITY, identity)?;
    let mut store = FileStore::open(volume)?;
    store.write(&initial.records())?;
    let mut volume = store.into_volume();
    volume.remove(UNFINISHED).and_then(|()| volume.sync_folder()).map_err(failed)?;
    FileStore::open(volume)
}

/// Writes the file that says whose folder or backup it is.
pub(super) fn write_owner(volume: &mut impl Volume, name: &str, identity: Identity) -> Result<()> {
    let owner = Owner { version: VERSION, identity };
    let bytes = frame::encode(&postcard::to_stdvec(&owner).expect("an owner is plain data"))?;
    volume
        .append(name, &bytes)
        .and_then(|()| volume.sync(name))
        .and_then(|()| volume.sync_folder())
        .map_err(|error| broken(&format!("file {name} can't be written"), &error))
}

/// Reads whose folder it is.
pub(super) fn read_identity(volume: &impl Volume) -> Result<Identity> {
    let names = volume.list().map_err(|error| broken("data folder can't be listed", &error))?;
    if names.iter().any(|name| name == BACKUP) {
        let detail = "the folder is a backup; make a data folder from it before a start";
        return Err(Error::new(Kind::Usage, detail));
    }
    if names.is_empty() {
        return Err(Error::new(Kind::NotFound, "the folder holds no data"));
    }
    read_owner(volume, IDENTITY)
}

/// Reads the file that says whose folder or backup it is.
pub(super) fn read_owner(volume: &impl Volume, name: &str) -> Result<Identity> {
    let failed = |error| broken(&format!("file {name} can't be read"), &error);
    let bytes = volume.read(name).map_err(failed)?;
    let payload = frame::sole(name, &bytes)?;
    let wrong = |_| frame::corrupt(name, 0, "the owner does not parse");
    let owner: Owner = postcard::from_bytes(&payload).map_err(wrong)?;
    if owner.version != VERSION {
        let detail = format!("format version {} is not known, only {VERSION}", owner.version);
        return Err(Error::new(Kind::StorageCorrupt, detail));
    }
    Ok(owner.identity)
}

/// Tells whether the folder holds nothing, after it dropped what an unfinished making left.
fn is_blank(volume: &mut impl Volume) -> Result<bool> {
    let failed = |error| broken("data folder can't be listed", &error);
    let names = volume.list().map_err(failed)?;
    if !names.iter().any(|name| name == UNFINISHED) {
        return Ok(names.is_empty());
    }
    for name in names.iter().filter(|name| *name != UNFINISHED) {
        volume.remove(name).map_err(failed)?;
    }
    volume.sync_folder().map_err(failed)?;
    volume.remove(UNFINISHED).and_then(|()| volume.sync_folder()).map_err(failed)?;
    Ok(true)
}
