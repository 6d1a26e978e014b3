//! Data folders on a real disk: creation, reopening, locking, inspection and backup.

use std::fs;
use std::path::Path;

use lagoongauge::error::Kind;
use lagoongauge::id::HostId;
use lagoongauge::replica::{Identity, Payload, Recovered, Store};
use lagoongauged::store::{Disk, FileStore, backup, inspect, open_or_format, restore};

use crate::fake::{change_records, identity};

fn open(folder: &Path) -> lagoongauge::error::Result<FileStore<Disk>> {
    let initial = |identity: Identity| Recovered::bootstrap(vec![identity]);
    open_or_format(folder, HostId(1), 7, initial)
}

fn fill_folder(folder: &Path) -> Recovered {
    let mut store = open(folder).unwrap();
    for index in 2..=400 {
        store.write(&change_records(index)).unwrap();
    }
    store.recover().unwrap()
}

#[test]
fn folder_is_created_once_and_reopened() {
    let folder = tempfile::tempdir().unwrap();
    let state = fill_folder(folder.path());
    assert_eq!(state.last().index, 400);
    let store = open_or_format(folder.path(), HostId(1), 8, |_| Recovered::default()).unwrap();
    assert_eq!(store.identity(), identity());
    assert_eq!(store.recover().unwrap(), state);
}

#[test]
fn folder_of_another_host_is_rejected() {
    let folder = tempfile::tempdir().unwrap();
    fill_folder(folder.path());
    let error = open_or_format(folder.path(), HostId(2), 8, |_| Recovered::default()).unwrap_err();
    assert_eq!(error.kind, Kind::Usage);
}

#[test]
fn second_process_is_locked_out() {
    let folder = tempfile::tempdir().unwrap();
    let _store = open(folder.path()).unwrap();
    assert_eq!(open(folder.path()).unwrap_err().kind, Kind::StorageLocked);
    assert_eq!(inspect(folder.path()).unwrap_err().kind, Kind::StorageLocked);
}

#[test]
fn missing_and_empty_folders_are_not_found() {
    let folder = tempfile::tempdir().unwrap();
    assert_eq!(inspect(&folder.path().join("no")).unwrap_err().kind, Kind::NotFound);
    assert_eq!(inspect(folder.path()).unwrap_err().kind, Kind::NotFound);
}

#[test]
fn missing_identity_is_corruption_and_not_an_empty_folder() {
    let folder = tempfile::tempdir().unwrap();
    fill_folder(folder.path());
    fs::remove_file(folder.path().join("identity")).unwrap();
    assert_eq!(open(folder.path()).unwrap_err().kind, Kind::StorageCorrupt);
}

#[test]
fn unknown_format_version_is_rejected() {
    let folder = tempfile::tempdir().unwrap();
    fill_folder(folder.path());
    // Format version 2, host 1, incarnation 7.
    let payload = [2, 1, 7];
    let mut bytes = 3_u32.to_le_bytes().to_vec();
    bytes.extend_from_slice(&crc32fast::hash(&payload).to_le_bytes());
    bytes.extend_from_slice(&crc32fast::hash(&bytes).to_le_bytes());
    bytes.extend_from_slice(&payload);
    bytes.push(0xa5);
    fs::write(folder.path().join("identity"), bytes).unwrap();
    let error = open(folder.path()).unwrap_err();
    assert_eq!(error.detail, "format version 2 is not known, only 1");
}

#[test]
fn inspection_reports_and_changes_nothing() {
    let folder = tempfile::tempdir().unwrap();
    fill_folder(folder.path());
    let name = inspect(folder.path()).unwrap().segments[0].name.clone();
    let path = folder.path().join(&name);
    let mut bytes = fs::read(&path).unwrap();
    bytes.truncate(bytes.len() - 3);
    fs::write(&path, &bytes).unwrap();
    let report = inspect(folder.path()).unwrap();
    assert_eq!((report.snapshot, report.last), (301, 399));
    assert!(report.segments[0].torn > 0);
    assert_eq!(fs::read(&path).unwrap(), bytes);
}

#[test]
fn backup_is_complete_and_can_not_be_started() {
    let folder = tempfile::tempdir().unwrap();
    let copy = tempfile::tempdir().unwrap();
    let state = fill_folder(folder.path());
    let report = backup(folder.path(), copy.path()).unwrap();
    assert_eq!(report, inspect(folder.path()).unwrap());
    assert_eq!(report.last, state.last().index);
    assert_eq!(open(copy.path()).unwrap_err().kind, Kind::Usage);
    assert_eq!(backup(folder.path(), copy.path()).unwrap_err().kind, Kind::Usage);
}

#[test]
fn restored_folder_holds_the_committed_entries_and_one_voter() {
    let folder = tempfile::tempdir().unwrap();
    let copy = tempfile::tempdir().unwrap();
    let target = tempfile::tempdir().unwrap();
    let state = fill_folder(folder.path());
    backup(folder.path(), copy.path()).unwrap();
    let store = restore(copy.path(), target.path(), HostId(3), 9).unwrap();
    let restored = store.recover().unwrap();
    let (last, kept) = restored.entries.split_last().unwrap();
    let committed = |entry: &&_| -> bool {
        let entry: &lagoongauge::replica::Entry = entry;
        entry.position.index <= state.commit
    };
    assert_eq!(kept, state.entries.iter().filter(committed).cloned().collect::<Vec<_>>());
    assert!(matches!(&last.payload, Payload::Configuration(configuration)
        if configuration.voters == [Identity { host: HostId(3), incarnation: 9 }]));
    assert!(restored.ballot.term > state.ballot.term);
}
