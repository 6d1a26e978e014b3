//! Orders to evacuate data centres in the replicated state: late copies, snapshots, and what earlier
//! versions stored.

use lagoongauge::catalog::{CatalogStore, Document, EvacuationOrder, OrderOutcome};
use lagoongauge::replica::StateMachine;
use proptest::prelude::*;

/// An order that an operator sent, with the revision that its proposer knew when it read it.
fn order(centre: &str, evacuated: bool, expected: u64) -> EvacuationOrder {
    EvacuationOrder { centre: centre.into(), evacuated, expected }
}

fn apply(store: &mut CatalogStore, order: &EvacuationOrder) -> OrderOutcome {
    OrderOutcome::from_bytes(&store.apply(0, &order.to_bytes())).unwrap()
}

/// Applies an order that is read now.
fn send(store: &mut CatalogStore, centre: &str, evacuated: bool) -> OrderOutcome {
    let expected = store.evacuations().state(centre).revision;
    apply(store, &order(centre, evacuated, expected))
}

fn evacuated(store: &CatalogStore) -> Vec<String> {
    store.evacuations().evacuated().centres
}

fn document(version: u64) -> Document {
    Document { version, content: format!("document {version}").into_bytes() }
}

#[test]
fn orders_change_only_their_data_centre_and_never_the_document() {
    let mut store = CatalogStore::default();
    store.apply(1, &document(7).to_bytes());
    assert_eq!(send(&mut store, "a", true), OrderOutcome::Changed);
    assert_eq!(send(&mut store, "b", true), OrderOutcome::Changed);
    assert_eq!(send(&mut store, "a", true), OrderOutcome::Unchanged);
    assert_eq!(send(&mut store, "a", false), OrderOutcome::Changed);
    assert_eq!(send(&mut store, "c", false), OrderOutcome::Unchanged);
    assert_eq!(evacuated(&store), ["b"]);
    assert_eq!(*store.document(), document(7));
    store.apply(2, &document(8).to_bytes());
    assert_eq!(evacuated(&store), ["b"]);
}

/// A host read the order, was suspended, and proposes it when the opposite one is in force.
#[test]
fn a_late_copy_does_not_undo_a_newer_order() {
    let mut store = CatalogStore::default();
    let late = order("a", true, 0);
    send(&mut store, "a", true);
    send(&mut store, "a", false);
    assert_eq!(apply(&mut store, &late), OrderOutcome::Superseded);
    assert!(evacuated(&store).is_empty());
    send(&mut store, "a", true);
    assert_eq!(apply(&mut store, &late), OrderOutcome::Unchanged);
    assert_eq!(apply(&mut store, &order("a", false, 1)), OrderOutcome::Superseded);
    assert_eq!(evacuated(&store), ["a"]);
}

/// The first order was never accepted; the second one changes nothing, and is newer nevertheless.
#[test]
fn a_late_copy_does_not_undo_a_newer_order_that_changed_nothing() {
    let mut store = CatalogStore::default();
    let late = order("a", true, 0);
    assert_eq!(send(&mut store, "a", false), OrderOutcome::Unchanged);
    assert_eq!(apply(&mut store, &late), OrderOutcome::Superseded);
    assert!(evacuated(&store).is_empty());
}

#[test]
fn copies_of_one_order_at_two_hosts_are_both_accepted() {
    let mut store = CatalogStore::default();
    assert_eq!(apply(&mut store, &order("a", true, 0)), OrderOutcome::Changed);
    assert_eq!(apply(&mut store, &order("a", true, 0)), OrderOutcome::Unchanged);
    assert_eq!(store.evacuations().revision(), 1);
}

/// The bytes are those that earlier versions wrote: a document and nothing else.
#[test]
fn logs_and_snapshots_of_earlier_versions_are_read() {
    let mut store = CatalogStore::default();
    let (version, content) = (9, b"\x09 text");
    let bytes = [&[version, content.len() as u8], &content[..]].concat();
    assert_eq!(store.apply(1, &bytes), u64::from(version).to_be_bytes());
    assert_eq!(store.document().content, content);
    assert_eq!(store.snapshot(), bytes, "a snapshot without orders has changed");
    let mut restored = CatalogStore::default();
    restored.restore(&bytes).unwrap();
    assert_eq!(restored, store);
    // A document of version 0, which changes nothing, is not taken for an order.
    let zero = Document { version: 0, content: b"\x01a\x01\x00".to_vec() };
    store.apply(2, &zero.to_bytes());
    store.apply(3, &Document::default().to_bytes());
    assert_eq!(restored, store);
}

#[test]
fn damaged_commands_change_nothing_and_damaged_snapshots_are_refused() {
    let mut store = CatalogStore::default();
    send(&mut store, "a", true);
    let before = store.clone();
    let command = order("a", false, 1).to_bytes();
    for length in 3..command.len() - 1 {
        assert!(store.apply(2, &command[..length]).is_empty());
    }
    assert_eq!(store, before);
    let snapshot = store.snapshot();
    assert!(store.restore(&snapshot[..snapshot.len() - 1]).is_err());
    assert_eq!(store, before);
}

proptest! {
    /// Whatever copies arrive late, the state is that of the newest order applied as it was read, and
    /// a snapshot at any point continues in the same way.
    #[test]
    fn late_copies_and_snapshots_never_change_the_state(
        events in proptest::collection::vec((0_usize..3, any::<bool>(), 0_u64..6), 1..40),
        snapshot_at in 0_usize..40,
    ) {
        let names = ["a", "b", "c"];
        let (mut store, mut wanted) = (CatalogStore::default(), [false; 3]);
        for (step, (centre, state, age)) in events.into_iter().enumerate() {
            let newest = store.evacuations().state(names[centre]).revision;
            let late = age > 0 && newest > 0;
            let expected = if late { newest - age.min(newest) } else { newest };
            let outcome = apply(&mut store, &order(names[centre], state, expected));
            if !late {
                wanted[centre] = state;
            }
            prop_assert_eq!(outcome == OrderOutcome::Superseded, state != wanted[centre]);
            if step == snapshot_at {
                let mut restored = CatalogStore::default();
                restored.restore(&store.snapshot()).unwrap();
                store = restored;
            }
            let evacuated = store.evacuations().evacuated().centres;
            for (name, wanted) in names.iter().zip(wanted) {
                prop_assert_eq!(evacuated.iter().any(|centre| centre == name), wanted);
            }
        }
    }
}
