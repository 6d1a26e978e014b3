//! Messages between control hosts and entry hosts.

use expect_test::{Expect, expect};
use lagoongauge::catalog::EvacuatedCentres;
use lagoongauge::id::HostId;
use lagoongauged::cluster::message::{FeedAck, FeedMessage, Hello, Neighbour};
use lagoongauged::cluster::{CompressedDocument, CompressedTargets};

use crate::{check, document, hosts, recorded, target};

fn check_feed(expected: Expect, message: FeedMessage) {
    check(&expected, &postcard::to_stdvec(&message).unwrap());
    assert_eq!(postcard::from_bytes::<FeedMessage>(&recorded(&expected)), Ok(message));
}

/// Decodes a recorded message whose bytes another version of the compression library may write
/// differently.
fn read_feed(expected: Expect, message: &FeedMessage) -> FeedMessage {
    if expected.data().is_empty() {
        check(&expected, &postcard::to_stdvec(message).unwrap());
    }
    postcard::from_bytes(&recorded(&expected)).unwrap()
}

#[test]
fn hello_of_an_entry_host() {
    let centre = "east".to_string();
    let hello = Hello::Entry { host: HostId(0x0a00_0101), centre, version: 7, secondary: true };
    let expected = expect!["018182805004656173740701"];
    check(&expected, &postcard::to_stdvec(&hello).unwrap());
    assert_eq!(postcard::from_bytes::<Hello>(&recorded(&expected)), Ok(hello));
}

#[test]
fn feed_messages() {
    let neighbours = vec![Neighbour { host: HostId(0x0a00_0102), local: true }];
    let (centres, returned) = (vec!["east".to_string()], vec!["west".to_string()]);
    check_feed(
        expect!["0101ab939eabb42480d095ffbc312a0107626f6f6b696e670a000107903f046561737402dc0b01"],
        FeedMessage::Targets(vec![(target(), true)]),
    );
    check_feed(
        expect!["0201028180805082808050018282805001"],
        FeedMessage::Status { current: true, controls: hosts(), neighbours },
    );
    check_feed(
        expect!["0403010465617374010477657374"],
        FeedMessage::Evacuated(EvacuatedCentres { revision: 3, centres, returned }),
    );
}

#[test]
fn compressed_catalog() {
    let message = FeedMessage::Catalog(CompressedDocument::compress(&document()).unwrap());
    let read = read_feed(expect!["0007157801ab560a4b2d2acecccf53b232af050020e20494"], &message);
    let FeedMessage::Catalog(compressed) = read else { panic!("another message: {read:?}") };
    assert_eq!(compressed.decompress().unwrap(), document());
}

#[test]
fn compressed_targets() {
    let targets = vec![(target(), false); 16];
    let message = FeedMessage::CompressedTargets(CompressedTargets::compress(&targets).unwrap());
    let read = read_feed(
        expect![
            "03527801edd2b10d00110040512e9748ee9a1be2aaeb6e02b39088888482018c2011ad05b44a4318c02eac6000fdaf7ede9343cae5752d8efa7f1051ada550fc0210797c3262ecd16fb0a3bd6051c1047b1fdc71"
        ],
        &message,
    );
    let FeedMessage::CompressedTargets(compressed) = read else { panic!("not targets: {read:?}") };
    assert_eq!(compressed.decompress().unwrap(), targets);
}

#[test]
fn acknowledgement_of_an_entry_host() {
    let (expected, ack) = (expect!["ac02"], FeedAck { version: 300 });
    check(&expected, &postcard::to_stdvec(&ack).unwrap());
    assert_eq!(postcard::from_bytes::<FeedAck>(&recorded(&expected)), Ok(ack));
}
