//! No bytes from another host end a process or take much memory.

use std::io::ErrorKind;
use std::time::Duration;

use async_std::task::block_on;
use futures::io::Cursor;
use lagoongauge::catalog::Document;
use lagoongauge::id::{HostId, TargetId};
use lagoongauge::roster::Heartbeat;
use lagoongauged::cluster::CompressedDocument;
use lagoongauged::cluster::message::{FeedAck, FeedMessage, Hello, PeerMessage};
use lagoongauged::frame;
use proptest::prelude::*;
use serde::de::DeserializeOwned;

const TIMEOUT: Duration = Duration::from_secs(1);

/// Reads a message from bytes after which the connection ends.
fn read<T: DeserializeOwned>(bytes: &[u8]) -> std::io::Result<T> {
    block_on(frame::read(&mut Cursor::new(bytes), TIMEOUT))
}

/// Frames with any content, and valid ones with a changed byte.
fn bytes() -> impl Strategy<Value = Vec<u8>> {
    let any_frame = prop::collection::vec(any::<u8>(), 0..64).prop_map(|content| {
        let length = content.len() as u32;
        [&length.to_be_bytes()[..], &content].concat()
    });
    let beat = Heartbeat { target: TargetId(7), incarnation: 8, sequence: 9 };
    let document = Document { version: 3, content: vec![7; 300] };
    let messages = [
        frame::encode(&PeerMessage::Heartbeats(vec![beat; 3])).unwrap(),
        frame::encode(&PeerMessage::TargetLeft(TargetId(7))).unwrap(),
        frame::encode(&Hello::Control { host: HostId(3) }).unwrap(),
        frame::encode(&FeedMessage::Catalog(CompressedDocument::compress(&document).unwrap()))
            .unwrap(),
    ];
    let valid = prop::sample::select(messages.to_vec());
    let changed =
        (valid, any::<prop::sample::Index>(), any::<u8>()).prop_map(|(mut frame, at, value)| {
            let at = at.index(frame.len());
            frame[at] = value;
            frame
        });
    prop_oneof![any_frame, changed]
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 2000, ..ProptestConfig::default() })]

    #[test]
    fn any_frame_is_decoded_or_rejected(bytes in bytes()) {
        let _ = read::<Hello>(&bytes);
        let _ = read::<PeerMessage>(&bytes);
        let _ = read::<FeedAck>(&bytes);
        match read::<FeedMessage>(&bytes) {
            Ok(FeedMessage::Catalog(document)) => drop(document.decompress()),
            Ok(FeedMessage::CompressedTargets(targets)) => drop(targets.decompress()),
            _ => {}
        }
    }
}

#[test]
fn content_that_grows_beyond_its_limit_is_rejected() {
    let document = Document { version: 1, content: vec![0; 64 << 20] };
    let compressed = CompressedDocument::compress(&document).unwrap();
    assert!(compressed.size_bytes() < 1 << 20);
    assert_eq!(compressed.decompress().unwrap_err().kind(), ErrorKind::InvalidData);
}
