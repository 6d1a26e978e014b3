//! Full disks, and crashes at every step of a write.

use std::rc::Rc;

use lagoongauge::error::Kind;
use lagoongauge::replica::{Record, Recovered, Store};
use lagoongauged::store::{FileStore, format};
use proptest::prelude::*;

use crate::fake::{FakeVolume, change_records, command, identity, initial, snapshot};

/// Size at which a segment is sealed, small enough for a log of several segments.
const SEGMENT_BYTES: u64 = 512;

fn new_store() -> FileStore<FakeVolume> {
    let store = format(FakeVolume::default(), identity(), &initial()).unwrap();
    FileStore::with_segment_bytes(store.into_volume(), SEGMENT_BYTES).unwrap()
}

fn apply_change(state: &Recovered, index: u64) -> Recovered {
    let mut state = state.clone();
    for record in change_records(index) {
        state.apply(record).unwrap();
    }
    state
}

/// Returns whether each part of `found` is as in `before` or, after a write of the next change,
/// as in `next`.
fn is_partial_write(found: &Recovered, before: &Recovered, next: &Recovered) -> bool {
    let entries = found.last() == before.last() || found.last() == next.last();
    let ballot = found.ballot == before.ballot || found.ballot == next.ballot;
    let snapshot = found.snapshot == before.snapshot || found.snapshot == next.snapshot;
    let commit = found.commit >= before.commit && found.commit <= next.commit;
    entries && ballot && snapshot && commit
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 200, ..ProptestConfig::default() })]

    #[test]
    fn full_disk_is_an_error_and_keeps_the_state(
        first in 280_u64..305, free_bytes in prop::collection::vec(0_usize..400, 1..30),
    ) {
        let mut store = new_store();
        let mut state = initial();
        for index in 2..first {
            store.write(&change_records(index)).unwrap();
            state = apply_change(&state, index);
        }
        let mut index = first;
        let volume = store.into_volume();
        let room = Rc::clone(&volume.room);
        let mut store = FileStore::with_segment_bytes(volume, SEGMENT_BYTES).unwrap();
        for free in free_bytes {
            room.set(free);
            let next = apply_change(&state, index);
            match store.write(&change_records(index)) {
                Ok(()) => {
                    state = next;
                    index += 1;
                    prop_assert_eq!(&store.recover().unwrap(), &state);
                }
                Err(error) => {
                    prop_assert_eq!(error.kind, Kind::StorageFull);
                    let found = store.recover().unwrap();
                    prop_assert!(found.snapshot == next.snapshot || found.last() == state.last());
                    prop_assert!(is_partial_write(&found, &state, &next));
                }
            }
        }
        let found = store.recover().unwrap();
        room.set(usize::MAX);
        let mut store = FileStore::with_segment_bytes(store.into_volume(), SEGMENT_BYTES).unwrap();
        prop_assert_eq!(store.recover().unwrap(), found);
        store.write(&change_records(index)).unwrap();
    }

    #[test]
    fn crash_at_any_step_keeps_acknowledged_writes(
        first in 280_u64..305, steps in 0_usize..120, share: u8, keep_names: bool,
    ) {
        let mut store = new_store();
        let mut state = initial();
        for index in 2..first {
            store.write(&change_records(index)).unwrap();
            state = apply_change(&state, index);
        }
        let mut fake = store.into_volume();
        fake.steps_left = steps;
        let mut store = FileStore::with_segment_bytes(fake, SEGMENT_BYTES).unwrap();
        let mut index = first;
        while store.write(&change_records(index)).is_ok() {
            state = apply_change(&state, index);
            index += 1;
        }
        let next = apply_change(&state, index);
        let fake = store.into_volume().after_crash(share, keep_names);
        let mut store = FileStore::with_segment_bytes(fake, SEGMENT_BYTES).unwrap();
        let found = store.recover().unwrap();
        prop_assert!(is_partial_write(&found, &state, &next), "{found:?} after {state:?}");
        store.write(&change_records(index)).unwrap();
        prop_assert_eq!(store.recover().unwrap().last(), next.last());
    }
}

/// Returns batches that hold a snapshot and records of the log, for a log that ends at entry 40: a snapshot
/// that was received, and a host that catches up over the end of a snapshot interval.
fn batches_with_a_snapshot() -> [Vec<Record>; 2] {
    let taken = snapshot(1, 64);
    let entries = (41..67).map(|index| command(1, index)).collect();
    [
        vec![Record::Snapshot(taken.clone()), Record::Reset(taken.position())],
        vec![Record::Entries(entries), Record::Snapshot(taken)],
    ]
}

/// Appends the next entry, and returns its index.
fn append_next(store: &mut FileStore<FakeVolume>) -> u64 {
    let index = store.recover().unwrap().last().index + 1;
    store.write(&[Record::Entries(vec![command(1, index)]), Record::Commit(index)]).unwrap();
    index
}

/// Guards against the loss of all that a host stores after a kill within a batch (review/1): the snapshot was
/// written, and the log ended before it. The next start read none of the entries that followed.
#[test]
fn what_is_written_after_a_kill_within_a_snapshot_s_batch_is_kept() {
    for batch in batches_with_a_snapshot() {
        for steps in 0..20 {
            for (share, keep_names) in [(0, false), (0, true), (255, true)] {
                let mut store = new_store();
                store
                    .write(&[Record::Entries((2..41).map(|index| command(1, index)).collect())])
                    .unwrap();
                let mut fake = store.into_volume();
                fake.steps_left = steps;
                let mut store = FileStore::with_segment_bytes(fake, SEGMENT_BYTES).unwrap();
                let _ = store.write(&batch);
                let mut fake = store.into_volume().after_crash(share, keep_names);
                for _ in 0..3 {
                    let mut store = FileStore::with_segment_bytes(fake, SEGMENT_BYTES).unwrap();
                    let index = append_next(&mut store);
                    fake = store.into_volume().after_crash(0, false);
                    let store = FileStore::with_segment_bytes(fake, SEGMENT_BYTES).unwrap();
                    assert_eq!(store.recover().unwrap().last().index, index, "after {steps} steps");
                    fake = store.into_volume();
                }
            }
        }
    }
}

/// Guards against the same loss without a kill: the disk is full between the two files.
#[test]
fn what_is_written_after_a_full_disk_within_a_snapshot_s_batch_is_kept() {
    for batch in batches_with_a_snapshot() {
        for free in 0..1200 {
            let mut store = new_store();
            store
                .write(&[Record::Entries((2..41).map(|index| command(1, index)).collect())])
                .unwrap();
            let volume = store.into_volume();
            let room = Rc::clone(&volume.room);
            let mut store = FileStore::with_segment_bytes(volume, SEGMENT_BYTES).unwrap();
            room.set(free);
            let _ = store.write(&batch);
            room.set(usize::MAX);
            store.reopen().unwrap();
            let index = append_next(&mut store);
            assert_eq!(store.recover().unwrap().last().index, index, "with {free} bytes free");
        }
    }
}

/// While the disk rejects all writes, the store can't tell what is on it and stays poisoned. Once
/// the disk accepts writes again, the store reopens without a restart of the process.
#[test]
fn store_resumes_after_a_disk_that_rejected_every_write() {
    for index in [2_u64, 100, 301] {
        let mut store = new_store();
        for index in 2..index {
            store.write(&change_records(index)).unwrap();
        }
        let fake = store.into_volume();
        let rejects = Rc::clone(&fake.rejects);
        let mut store = FileStore::with_segment_bytes(fake, SEGMENT_BYTES).unwrap();
        rejects.set(true);
        store.write(&change_records(index)).unwrap_err();
        let reopened = store.reopen();
        assert!(reopened.is_err() || store.write(&change_records(index)).is_err());
        rejects.set(false);
        assert!(store.reopen().unwrap(), "change {index}");
        store.write(&change_records(index)).unwrap();
        assert_eq!(store.recover().unwrap().last().index, index);
    }
}
