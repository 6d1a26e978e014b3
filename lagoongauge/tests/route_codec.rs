//! Encoding of routing messages: round trips, limits, and malformed input.

use lagoongauge::error::Kind;
use lagoongauge::flow::FlowHash;
use lagoongauge::id::{ServiceId, TargetId};
use lagoongauge::route::{
    FlowKey, HoldReport, MAX_MESSAGE_BYTES, Message, Record, Stamp, Step, Steps, Table, Transfer,
    Transfers,
};
use proptest::prelude::*;

const STAMP: Stamp = Stamp { epoch: 1 << 50, number: 7 };
const BITS: u8 = 12;

fn transfers(hashes: &[u64]) -> Message {
    let mut hashes = hashes.to_vec();
    hashes.sort_unstable();
    let transfer = |&hash: &u64| {
        let key = FlowKey::new(FlowHash(hash));
        let record = Record::new(key, (hash % 50) as u16, (hash % 900) as u32);
        let (bucket, timers) = (key.bucket(BITS), (u32::MAX, (hash % 64) as u32));
        Transfer { bucket, timers, last: hash % 2 == 0, records: vec![record] }
    };
    Message::Transfers(Transfers {
        view: STAMP,
        number: 3,
        service: ServiceId(9),
        bits: BITS,
        transfers: hashes.iter().map(transfer).collect(),
        second: 1_000,
    })
}

#[test]
fn steps_and_reports_survive_a_round_trip() {
    let table = Table::new((0..14).map(|t| (TargetId(u64::MAX - t), 100)).collect());
    let service = ServiceId(4);
    let steps = vec![
        (STAMP.epoch, Step::Prepare { service, bits: 16, table }),
        (STAMP.epoch, Step::Switch { service }),
        (STAMP.epoch, Step::Release { service, buckets: vec![3, 4, 60_000] }),
    ];
    let message = Message::Steps(Steps { epoch: STAMP.epoch, after: STAMP, steps });
    assert_eq!(Message::decode(&message.encode()), Ok(message));
    let buckets = vec![0, 1, 4_000];
    let report = HoldReport { stamp: STAMP, service, buckets, hold: true };
    let message = Message::HoldReport(report);
    assert_eq!(Message::decode(&message.encode()), Ok(message));
}

#[test]
fn a_message_that_is_too_long_is_rejected() {
    let error = Message::decode(&vec![0; MAX_MESSAGE_BYTES + 1]).unwrap_err();
    assert_eq!(error.kind, Kind::Oversized);
}

#[test]
fn a_transferred_record_takes_at_most_ten_bytes() {
    let hash = |n: u64| n.wrapping_mul(0x9e37_79b9_7f4a_7c15);
    let hashes: Vec<_> = (0..100).map(hash).collect();
    let bytes = transfers(&hashes).encode().len() - transfers(&[]).encode().len();
    assert!(bytes <= 100 * (10 + 6), "{bytes} bytes for 100 buckets with a record each");
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn transfers_survive_a_round_trip(hashes in prop::collection::vec(any::<u64>(), 0..50)) {
        let message = transfers(&hashes);
        prop_assert_eq!(Message::decode(&message.encode()), Ok(message));
    }

    #[test]
    fn decoding_random_bytes_does_not_panic(bytes in prop::collection::vec(any::<u8>(), 0..300)) {
        let _ = Message::decode(&bytes);
    }

    #[test]
    fn decoding_changed_bytes_does_not_panic(at in 0..400usize, to in any::<u8>()) {
        let mut bytes = transfers(&[1 << 40, 5 << 60, u64::MAX]).encode();
        let at = at % bytes.len();
        bytes[at] = to;
        let _ = Message::decode(&bytes);
    }
}
