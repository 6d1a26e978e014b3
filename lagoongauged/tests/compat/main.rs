//! Everything that earlier versions send and store is still read, and written as they read it.
//!
//! The bytes were written by the version that docs/COMPATIBILITY.md calls 1. A test that fails here
//! means that hosts of both versions can't run side by side, or that an older host can't read the disk
//! of a newer one: the format has to be changed back, or a new version of it introduced.

mod control;
mod datagrams;
mod feeds;
mod log;
mod storage;

use expect_test::Expect;
use lagoongauge::catalog::Document;
use lagoongauge::id::{HostId, TargetId};
use lagoongauge::roster::{Entry, Heartbeat, Phase};
use lagoongauge::time::Span;

/// Compares bytes with recorded ones.
fn check(expected: &Expect, bytes: &[u8]) {
    expected.assert_eq(&to_hex(bytes));
}

/// Returns the recorded bytes.
fn recorded(expected: &Expect) -> Vec<u8> {
    let digits: Vec<u32> = expected.data().chars().filter_map(|digit| digit.to_digit(16)).collect();
    digits.chunks(2).map(|pair| (pair[0] << 4 | pair[1]) as u8).collect()
}

fn to_hex(bytes: &[u8]) -> String {
    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
}

fn hosts() -> Vec<HostId> {
    vec![HostId(0x0a00_0001), HostId(0x0a00_0002)]
}

fn target() -> Entry {
    Entry {
        target: TargetId(0x0123_4567_89ab),
        incarnation: 1_700_000_000_000,
        sequence: 42,
        phase: Phase::Draining,
        service: "booking".into(),
        address: "10.0.1.7:8080".parse().unwrap(),
        centre: "east".into(),
        slots: 2,
        warmup: Span::millis(1500),
    }
}

fn heartbeat() -> Heartbeat {
    let Entry { target, incarnation, sequence, .. } = target();
    Heartbeat { target, incarnation, sequence }
}

fn document() -> Document {
    Document { version: 7, content: b"{\"Version\":7}".to_vec() }
}
