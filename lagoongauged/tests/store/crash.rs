//! Full disks, and crashes at any step of any write.

use std::rc::Rc;

use lagoongauge::error::Kind;
use lagoongauge::replica::{Recovered, Store};
use lagoongauged::store::{FileStore, format};
use proptest::prelude::*;

use crate::fake::{Fake, change, identity, initial};

/// Bytes after which a segment is ended, small enough for several of them.
const SEGMENT: u64 = 512;

fn made() -> FileStore<Fake> {
    let store = format(Fake::default(), identity(), &initial()).unwrap();
    FileStore::with_segment_bytes(store.into_volume(), SEGMENT).unwrap()
}

fn after(state: &Recovered, index: u64) -> Recovered {
    let mut state = state.clone();
    for record in change(index) {
        state.apply(record).unwrap();
    }
    state
}

/// Whether `found` is `before` with at most the ballot and the snapshot of the next change.
fn is_before(found: &Recovered, before: &Recovered, next: &Recovered) -> bool {
    let entries = found.last() == before.last() || found.last() == next.last();
    let ballot = found.ballot == before.ballot || found.ballot == next.ballot;
    let snapshot = found.snapshot == before.snapshot || found.snapshot == next.snapshot;
    let commit = found.commit >= before.commit && found.commit <= next.commit;
    entries && ballot && snapshot && commit
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 200, ..ProptestConfig::default() })]

    #[test]
    fn full_disk_refuses_and_leaves_the_state(
        first in 280_u64..305, rooms in prop::collection::vec(0_usize..400, 1..30),
    ) {
        let mut store = made();
        let mut state = initial();
        for index in 2..first {
            store.write(&change(index)).unwrap();
            state = after(&state, index);
        }
        let mut index = first;
        let volume = store.into_volume();
        let left = Rc::clone(&volume.room);
        let mut store = FileStore::with_segment_bytes(volume, SEGMENT).unwrap();
        for room in rooms {
            left.set(room);
            let next = after(&state, index);
            match store.write(&change(index)) {
                Ok(()) => {
                    state = next;
                    index += 1;
                    prop_assert_eq!(&store.recover().unwrap(), &state);
                }
                Err(error) => {
                    prop_assert_eq!(error.kind, Kind::StorageFull);
                    let found = store.recover().unwrap();
                    prop_assert!(found.snapshot == next.snapshot || found.last() == state.last());
                    prop_assert!(is_before(&found, &state, &next));
                }
            }
        }
        let found = store.recover().unwrap();
        left.set(usize::MAX);
        let mut store = FileStore::with_segment_bytes(store.into_volume(), SEGMENT).unwrap();
        prop_assert_eq!(store.recover().unwrap(), found);
        store.write(&change(index)).unwrap();
    }

    #[test]
    fn crash_at_any_step_keeps_all_that_was_written(
        first in 280_u64..305, steps in 0_usize..120, share: u8, names: bool,
    ) {
        let mut store = made();
        let mut state = initial();
        for index in 2..first {
            store.write(&change(index)).unwrap();
            state = after(&state, index);
        }
        let mut fake = store.into_volume();
        fake.steps = steps;
        let mut store = FileStore::with_segment_bytes(fake, SEGMENT).unwrap();
        let mut index = first;
        while store.write(&change(index)).is_ok() {
            state = after(&state, index);
            index += 1;
        }
        let next = after(&state, index);
        let fake = store.into_volume().after_crash(share, names);
        let mut store = FileStore::with_segment_bytes(fake, SEGMENT).unwrap();
        let found = store.recover().unwrap();
        prop_assert!(is_before(&found, &state, &next), "{found:?} after {state:?}");
        store.write(&change(index)).unwrap();
        prop_assert_eq!(store.recover().unwrap().last(), next.last());
    }
}

/// A disk that refuses every write for a while leaves the store unable to say what it holds; once
/// it takes writes again, the same process goes on.
#[test]
fn store_goes_on_after_its_disk_refused_every_write() {
    for index in [2_u64, 100, 301] {
        let mut store = made();
        for index in 2..index {
            store.write(&change(index)).unwrap();
        }
        let fake = store.into_volume();
        let refuses = Rc::clone(&fake.refuses);
        let mut store = FileStore::with_segment_bytes(fake, SEGMENT).unwrap();
        refuses.set(true);
        store.write(&change(index)).unwrap_err();
        let reopened = store.reopen();
        assert!(reopened.is_err() || store.write(&change(index)).is_err());
        refuses.set(false);
        assert!(store.reopen().unwrap(), "change {index}");
        store.write(&change(index)).unwrap();
        assert_eq!(store.recover().unwrap().last().index, index);
    }
}
