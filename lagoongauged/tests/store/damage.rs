//! Restarts after 1,000 changes with a truncated or damaged log.

use lagoongauge::error::{Kind, Result};
use lagoongauge::replica::{Recovered, Store};
use lagoongauged::store::{FileStore, Volume, format};

use crate::fake::{FakeVolume, change_records, identity, initial};

/// Size at which a segment is sealed, small enough for a log of several segments.
const SEGMENT_BYTES: u64 = 1 << 10;

/// Number of changes in the log.
const CHANGES: u64 = 1000;

fn new_volume() -> FakeVolume {
    format(FakeVolume::default(), identity(), &initial()).unwrap().into_volume()
}

/// Returns a volume with all changes, and the state after each of them.
fn filled_volume() -> (FakeVolume, Vec<Recovered>) {
    let mut states = vec![initial()];
    let mut store = FileStore::with_segment_bytes(new_volume(), SEGMENT_BYTES).unwrap();
    for index in 2..=CHANGES {
        store.write(&change_records(index)).unwrap();
        let mut state = states.last().unwrap().clone();
        for record in change_records(index) {
            state.apply(record).unwrap();
        }
        states.push(state);
    }
    (store.into_volume(), states)
}

fn reopen(fake: FakeVolume) -> Result<Recovered> {
    FileStore::with_segment_bytes(fake, SEGMENT_BYTES)?.recover()
}

fn segments(fake: &FakeVolume) -> Vec<String> {
    fake.list().unwrap().into_iter().filter(|name| name.starts_with("log-")).collect()
}

#[test]
fn restart_recovers_the_same_state() {
    let (fake, states) = filled_volume();
    assert!(segments(&fake).len() > 2);
    assert_eq!(reopen(fake).unwrap(), *states.last().unwrap());
}

#[test]
fn truncated_log_recovers_a_synced_state_or_is_rejected() {
    let (fake, states) = filled_volume();
    let mut rejected = 0;
    let mut recovered = 0;
    let names = segments(&fake);
    for (index, name) in names.iter().enumerate() {
        let length = fake.read(name).unwrap().len();
        let mut previous = 0;
        for cut in 0..=length {
            let mut trial = fake.clone();
            for later in &names[index + 1..] {
                trial.remove(later).unwrap();
            }
            trial.truncate(name, cut as u64).unwrap();
            match reopen(trial) {
                Ok(state) => {
                    let at = state_index(&states, &state);
                    assert!(at >= previous, "a longer prefix recovered an older state");
                    previous = at;
                    recovered += 1;
                }
                Err(error) => {
                    assert_eq!(error.kind, Kind::StorageCorrupt);
                    rejected += 1;
                }
            }
        }
    }
    assert!(rejected > 0 && recovered > 1000, "{rejected} rejected, {recovered} recovered");
}

#[test]
fn truncated_segment_before_a_later_one_is_rejected() {
    let (fake, _) = filled_volume();
    let names = segments(&fake);
    for name in &names[..names.len() - 1] {
        for cut in 0..fake.read(name).unwrap().len() {
            let mut trial = fake.clone();
            trial.truncate(name, cut as u64).unwrap();
            assert_eq!(reopen(trial).unwrap_err().kind, Kind::StorageCorrupt, "{name} at {cut}");
        }
    }
}

/// Returns the index of the state in `states` whose entries `state` holds.
fn state_index(states: &[Recovered], state: &Recovered) -> usize {
    let same_last = |synced: &&Recovered| synced.last() == state.last();
    let at = states
        .iter()
        .position(|synced| same_last(&synced))
        .expect("the last entry was never synced");
    let mut synced = states[at].entries.clone();
    let base = state.snapshot.as_ref().map_or(0, |snapshot| snapshot.position().index);
    synced.retain(|entry| entry.position.index > base);
    assert_eq!(state.entries, synced);
    at
}

#[test]
fn flipped_byte_is_rejected_or_changes_nothing() {
    let (fake, states) = filled_volume();
    let last = states.last().unwrap();
    let mut rejected = 0;
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
                    rejected += 1;
                }
            }
        }
    }
    assert!(rejected > 1000);
}

#[test]
fn missing_file_is_rejected_unless_the_snapshot_covers_it() {
    let (fake, states) = filled_volume();
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
fn torn_tail_is_truncated_and_the_log_continues() {
    let (mut fake, states) = filled_volume();
    let name = segments(&fake).pop().unwrap();
    let length = fake.read(&name).unwrap().len() as u64;
    fake.truncate(&name, length - 1).unwrap();
    let mut store = FileStore::with_segment_bytes(fake, SEGMENT_BYTES).unwrap();
    let before = &states[states.len() - 2];
    assert_eq!(store.recover().unwrap().last(), before.last());
    store.write(&change_records(CHANGES)).unwrap();
    assert_eq!(reopen(store.into_volume()).unwrap().entries, states.last().unwrap().entries);
}
