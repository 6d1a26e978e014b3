//! Commands of the replicated log, snapshots of the state, and the outcomes of orders.

use expect_test::{Expect, expect};
use lagoongauge::catalog::{CatalogStore, EvacuationOrder};
use lagoongauge::id::HostId;
use lagoongauge::replica::{Configuration, Identity, Payload, StateMachine};

use crate::{check, document, recorded};

fn order() -> EvacuationOrder {
    EvacuationOrder { centre: "east".into(), evacuated: true, expected: 0 }
}

fn check_payload(expected: Expect, payload: Payload) {
    check(&expected, &postcard::to_stdvec(&payload).unwrap());
    assert_eq!(postcard::from_bytes::<Payload>(&recorded(&expected)), Ok(payload));
}

#[test]
fn payloads() {
    let voter = Identity { host: HostId(1), incarnation: 11 };
    check_payload(expect!["00"], Payload::Noop);
    check_payload(expect!["0103010203"], Payload::Command(vec![1, 2, 3]));
    check_payload(expect!["0201010b00"], Payload::Configuration(Configuration::new(vec![voter])));
}

#[test]
fn document_command() {
    let expected = expect!["070d7b2256657273696f6e223a377d"];
    check(&expected, &document().to_bytes());
    let mut store = CatalogStore::default();
    store.apply(1, &recorded(&expected));
    assert_eq!(*store.document(), document());
}

#[test]
fn order_command() {
    let expected = expect!["000004656173740100"];
    check(&expected, &order().to_bytes());
    let mut store = CatalogStore::default();
    check(&expect!["00"], &store.apply(1, &recorded(&expected)));
    assert!(store.evacuations().state("east").evacuated);
}

#[test]
fn snapshots() {
    let mut store = CatalogStore::default();
    store.apply(1, &document().to_bytes());
    check_snapshot(expect!["070d7b2256657273696f6e223a377d"], &store);
    store.apply(2, &order().to_bytes());
    check_snapshot(expect!["070d7b2256657273696f6e223a377d010104656173740101"], &store);
}

fn check_snapshot(expected: Expect, store: &CatalogStore) {
    check(&expected, &store.snapshot());
    let mut restored = CatalogStore::default();
    restored.restore(&recorded(&expected)).unwrap();
    assert_eq!(restored, *store);
}
