//! Files of a control host: the data folder and the stored roster.

use std::fs;
use std::path::Path;

use expect_test::{Expect, expect};
use lagoongauge::id::HostId;
use lagoongauge::replica::store::Ballot;
use lagoongauge::replica::{
    Configuration, Entry, Identity, Payload, Position, Record, Recovered, Snapshot, Store,
};
use lagoongauge::roster::StoredRoster;
use lagoongauged::store::{Disk, FileStore, open_or_format};

use crate::{check, document, recorded, target};

const IDENTITY: Identity = Identity { host: HostId(1), incarnation: 11 };

fn open(folder: &Path) -> FileStore<Disk> {
    let initial = |identity| Recovered::bootstrap(vec![identity]);
    open_or_format(folder, IDENTITY.host, IDENTITY.incarnation, initial).unwrap()
}

fn entry(index: u64) -> Entry {
    let payload = Payload::Command(document().to_bytes());
    Entry { position: Position { term: 1, index }, payload }
}

/// Fills a data folder with one record of each kind.
fn fill(folder: &Path) -> Recovered {
    let mut store = open(folder);
    let configuration = Configuration::new(vec![IDENTITY]);
    let snapshot =
        Snapshot::new(Position { term: 1, index: 2 }, configuration, &document().to_bytes());
    store.write(&[Record::Ballot(Ballot { term: 1, vote: Some(IDENTITY) })]).unwrap();
    store.write(&[Record::Entries(vec![entry(2), entry(3)]), Record::Commit(2)]).unwrap();
    store.write(&[Record::Snapshot(snapshot)]).unwrap();
    store.write(&[Record::Entries(vec![entry(4)]), Record::Commit(4)]).unwrap();
    store.recover().unwrap()
}

/// Files of a data folder that was filled by the recorded version, by name. The ballot is one slot of
/// two that hold the same bytes, without the zeros that follow.
fn files() -> [(&'static str, Expect); 4] {
    [
        ("identity", expect!["03000000ec5b4a70e8317e4d01010ba5"]),
        ("ballot", expect!["04000000873af31678385f730101010ba5"]),
        (
            "snapshot",
            expect!["150000009b99531b87c209d2010201010b00070d7b2256657273696f6e223a377da5"],
        ),
        (
            "log-000000000001",
            expect![
                "03000000b3838489ecfa92cc010001a50c000000b9d29b86ac5f944a02010100010201010b000201a52b00000097b433e57f5df5070201020102010f070d7b2256657273696f6e223a377d0103010f070d7b2256657273696f6e223a377d0202a5180000002e3726fed0826e320201010104010f070d7b2256657273696f6e223a377d0204a5"
            ],
        ),
    ]
}

#[test]
fn data_folder_is_written_as_recorded() {
    let folder = tempfile::tempdir().unwrap();
    fill(folder.path());
    let mut names: Vec<String> = fs::read_dir(folder.path())
        .unwrap()
        .map(|file| file.unwrap().file_name().into_string().unwrap())
        .filter(|name| name != "lock")
        .collect();
    names.sort();
    assert_eq!(names, ["ballot", "identity", "log-000000000001", "snapshot"]);
    for (name, expected) in files() {
        let mut bytes = fs::read(folder.path().join(name)).unwrap();
        if name == "ballot" {
            bytes.truncate(bytes.iter().rposition(|byte| *byte != 0).unwrap() - 4096 + 1);
        }
        check(&expected, &bytes);
    }
}

#[test]
fn recorded_data_folder_is_read() {
    let expected = fill(tempfile::tempdir().unwrap().path());
    let folder = tempfile::tempdir().unwrap();
    for (name, file) in files() {
        let mut bytes = recorded(&file);
        if name == "ballot" {
            bytes.resize(4096, 0);
            bytes.extend_from_within(..);
        }
        fs::write(folder.path().join(name), bytes).unwrap();
    }
    assert_eq!(open(folder.path()).recover().unwrap(), expected);
}

#[test]
fn stored_roster() {
    let (expected, target) = (
        expect![
            "01ab939eabb42480d095ffbc312a0107626f6f6b696e670a000107903f046561737402dc0b01ab939eabb424"
        ],
        target(),
    );
    let roster = StoredRoster {
        silent: vec![target.target],
        entries: vec![target],
        entry_hosts: Vec::new(),
    };
    check(&expected, &roster.to_bytes().unwrap());
    assert_eq!(StoredRoster::from_bytes(&recorded(&expected)), Ok(roster));
}
