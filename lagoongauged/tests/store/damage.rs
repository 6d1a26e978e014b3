//! Restarts after 1,000 changes with a log that was cut or damaged.

use lagoongauge::error::{Kind, Result};
use lagoongauge::replica::{Recovered, Store};
use lagoongauged::store::{FileStore, Volume, format};

use crate::fake::{Fake, change, identity, initial};

/// Bytes after which a segment is ended, small enough for several of them.
const SEGMENT: u64 = 1 << 10;

/// Changes in the log.
const CHANGES: u64 = 1000;

fn made() -> Fake {
    format(Fake::default(), identity(), &initial()).unwrap().into_volume()
}

/// A volume with all changes, and the state after each of them.
fn filled() -> (Fake, Vec<Recovered>) {
    let mut states = vec![initial()];
    let mut store = FileStore::with_segment_bytes(made(), SEGMENT).unwrap();
    for index in 2..=CHANGES {
        store.write(&change(index)).unwrap();
        let mut state = states.last().unwrap().clone();
        for record in change(index) {
            state.apply(record).unwrap();
        }
        states.push(state);
    }
    (store.into_volume(), states)
}

fn reopen(fake: Fake) -> Result<Recovered> {
    FileStore::with_segment_bytes(fake, SEGMENT)?.recover()
}

fn segments(fake: &Fake) -> Vec<String> {
    fake.list().unwrap().into_iter().filter(|name| name.starts_with("log-")).collect()
}

#[test]
fn restart_comes_back_to_the_same_state() {
    let (fake, states) = filled();
    assert!(segments(&fake).len() > 2);
    assert_eq!(reopen(fake).unwrap(), *states.last().unwrap());
}

#[test]
fn log_cut_anywhere_is_a_state_that_was_synced_or_refused() {
    let (fake, states) = filled();
    let mut refused = 0;
    let mut found = 0;
    let names = segments(&fake);
    for (place, name) in names.iter().enumerate() {
        let length = fake.read(name).unwrap().len();
        let mut least = 0;
        for cut in 0..=length {
            let mut trial = fake.clone();
            for later in &names[place + 1..] {
                trial.remove(later).unwrap();
            }
            trial.truncate(name, cut as u64).unwrap();
            match reopen(trial) {
                Ok(state) => {
                    let at = synced_as(&states, &state);
                    assert!(at >= least, "a longer prefix holds no less");
                    least = at;
                    found += 1;
                }
                Err(error) => {
                    assert_eq!(error.kind, Kind::StorageCorrupt);
                    refused += 1;
                }
            }
        }
    }
    assert!(refused > 0 && found > 1000, "{refused} refused, {found} found");
}

#[test]
fn segment_cut_before_a_later_one_is_refused() {
    let (fake, _) = filled();
    let names = segments(&fake);
    for name in &names[..names.len() - 1] {
        for cut in 0..fake.read(name).unwrap().len() {
            let mut trial = fake.clone();
            trial.truncate(name, cut as u64).unwrap();
            assert_eq!(reopen(trial).unwrap_err().kind, Kind::StorageCorrupt, "{name} at {cut}");
        }
    }
}

/// The number of the state whose entries these are.
fn synced_as(states: &[Recovered], state: &Recovered) -> usize {
    let same = |synced: &&Recovered| synced.last() == state.last();
    let at = states.iter().position(|synced| same(&synced)).expect("the last entry was synced");
    let mut synced = states[at].entries.clone();
    let base = state.snapshot.as_ref().map_or(0, |snapshot| snapshot.position().index);
    synced.retain(|entry| entry.position.index > base);
    assert_eq!(state.entries, synced);
    at
}

#[test]
fn flipped_byte_is_refused_or_changes_nothing() {
    let (fake, states) = filled();
    let last = states.last().unwrap();
    let mut refused = 0;
    for name in fake.list().unwrap() {
        let length = fake.read(&name).unwrap().len();
        for at in 0..length {
            let mut trial = fake.clone();
            trial.bytes_mut(&name)[at] ^= 0x41;
            match reopen(trial) {
                Ok(state) => {
                    assert_eq!(state, *last, "{name} at byte {at}");
                    assert_eq!(name, "ballot");
                }
                Err(error) => {
                    assert_eq!(error.kind, Kind::StorageCorrupt);
                    assert!(error.detail.contains(&name) || name == "identity", "{error}");
                    refused += 1;
                }
            }
        }
    }
    assert!(refused > 1000);
}

#[test]
fn missing_file_is_refused_unless_the_snapshot_covers_it() {
    let (fake, states) = filled();
    let first = segments(&fake).remove(0);
    for name in fake.list().unwrap() {
        let mut trial = fake.clone();
        trial.remove(&name).unwrap();
        match reopen(trial) {
            Ok(state) => assert_eq!((&state, &name), (states.last().unwrap(), &first)),
            Err(error) => assert_eq!(error.kind, Kind::StorageCorrupt, "{name}"),
        }
    }
}

#[test]
fn torn_tail_is_cut_and_the_log_goes_on() {
    let (mut fake, states) = filled();
    let name = segments(&fake).pop().unwrap();
    let length = fake.read(&name).unwrap().len() as u64;
    fake.truncate(&name, length - 1).unwrap();
    let mut store = FileStore::with_segment_bytes(fake, SEGMENT).unwrap();
    let before = &states[states.len() - 2];
    assert_eq!(store.recover().unwrap().last(), before.last());
    store.write(&change(CHANGES)).unwrap();
    assert_eq!(reopen(store.into_volume()).unwrap().entries, states.last().unwrap().entries);
}
