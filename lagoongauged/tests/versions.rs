//! Agreement on the version of messages, with hosts that say none, later ones and hostile ones.

use std::io::ErrorKind;

use lagoongauge::id::{HostId, TargetId};
use lagoongauged::cluster::message::{FeedMessage, Greeting, Hello, PeerMessage};
use lagoongauged::cluster::version::{Extensible, Incoming, PeerVersions, Version, VersionRange};
use lagoongauged::frame;
use proptest::prelude::*;

const HELLO: Hello = Hello::Control { host: HostId(7) };

fn range(lowest: u16, highest: u16) -> VersionRange {
    VersionRange::try_from((Version(lowest), Version(highest))).unwrap()
}

#[test]
fn the_highest_common_version_is_used() {
    assert_eq!(range(1, 3).highest_common(range(2, 5)), Some(Version(3)));
    assert_eq!(range(2, 5).highest_common(range(1, 3)), Some(Version(3)));
    assert_eq!(range(1, 2).highest_common(range(3, 4)), None);
    assert_eq!(VersionRange::OWN.highest_common(VersionRange::UNSAID), Some(Version::FIRST));
}

#[test]
fn a_host_of_the_first_version_reads_the_hello_and_ignores_the_versions() {
    let bytes = postcard::to_stdvec(&Greeting::new(HELLO)).unwrap();
    assert_eq!(postcard::from_bytes::<Hello>(&bytes), Ok(HELLO));
    let alone = postcard::to_stdvec(&HELLO).unwrap();
    assert!(bytes.starts_with(&alone) && bytes.len() <= alone.len() + 4);
    let acknowledgement = postcard::to_stdvec(&(300u64, VersionRange::OWN)).unwrap();
    assert_eq!(postcard::from_bytes::<u64>(&acknowledgement), Ok(300));
}

#[test]
fn a_host_that_says_no_versions_speaks_the_first() {
    let greeting = Greeting::from_bytes(&postcard::to_stdvec(&HELLO).unwrap()).unwrap();
    assert_eq!(greeting, Greeting { hello: HELLO, versions: VersionRange::UNSAID });
}

#[test]
fn a_later_version_may_say_more_of_itself() {
    let mut bytes = postcard::to_stdvec(&Greeting::new(HELLO)).unwrap();
    bytes.extend([9, 9, 9]);
    assert_eq!(Greeting::from_bytes(&bytes).unwrap(), Greeting::new(HELLO));
}

#[test]
fn ranges_that_are_none_are_rejected() {
    for (lowest, highest) in [(0, 2), (3, 2), (0, 0)] {
        let bytes = postcard::to_stdvec(&(lowest as u16, highest as u16)).unwrap();
        let error = VersionRange::from_trailer(&bytes).unwrap_err();
        assert_eq!(error.kind(), ErrorKind::InvalidData, "{lowest} to {highest}");
    }
}

#[test]
fn unknown_variants_are_skipped_and_counted() {
    let unknown = Incoming::<PeerMessage>::from_bytes(&[PeerMessage::VARIANTS as u8, 1, 2]);
    assert_eq!(unknown.unwrap(), Incoming::Unknown(PeerMessage::VARIANTS));
    let mut versions = PeerVersions::default();
    versions.count_unknown(HostId(7), 5);
    versions.count_unknown(HostId(7), 6);
    assert_eq!(versions.unknown_messages().collect::<Vec<_>>(), [(HostId(7), 2)]);
}

/// The last variant of each kind is known; a new one has to be counted in `VARIANTS`.
#[test]
fn all_variants_are_counted() {
    let last = PeerMessage::Heartbeats(Vec::new());
    let bytes = postcard::to_stdvec(&last).unwrap();
    assert_eq!(u32::from(bytes[0]) + 1, PeerMessage::VARIANTS);
    let bytes = postcard::to_stdvec(&FeedMessage::Versions(VersionRange::OWN)).unwrap();
    assert_eq!(u32::from(bytes[0]) + 1, FeedMessage::VARIANTS);
}

#[test]
fn a_damaged_message_of_a_known_variant_is_no_unknown_one() {
    let mut bytes = postcard::to_stdvec(&PeerMessage::TargetLeft(TargetId(9 << 40))).unwrap();
    bytes.truncate(3);
    let error = Incoming::<PeerMessage>::from_bytes(&bytes).unwrap_err();
    assert_eq!(error.kind(), ErrorKind::InvalidData);
}

#[test]
fn a_host_without_a_common_version_is_counted_until_it_is_upgraded() {
    let mut versions = PeerVersions::default();
    let (host, later) = (HostId(7), range(40, 41));
    let incompatible = versions.record(host, later).unwrap_err();
    assert_eq!((incompatible.host, versions.incompatible_count()), (host, 1));
    assert_eq!(std::io::Error::from(incompatible).kind(), ErrorKind::Unsupported);
    assert_eq!(versions.record(host, VersionRange::OWN), Ok(VersionRange::OWN.highest()));
    assert_eq!(versions.incompatible_count(), 0);
}

#[test]
fn the_lowest_version_is_that_of_the_oldest_host() {
    let mut versions = PeerVersions::default();
    assert_eq!(versions.lowest(), VersionRange::OWN.highest());
    versions.record(HostId(1), VersionRange::OWN).unwrap();
    versions.record(HostId(2), VersionRange::UNSAID).unwrap();
    assert_eq!(versions.lowest(), Version::FIRST);
    versions.remove(HostId(2));
    assert_eq!(versions.lowest(), VersionRange::OWN.highest());
}

/// A host may claim any number of other hosts' addresses only within bounds.
#[test]
fn the_number_of_remembered_hosts_is_bounded() {
    let mut versions = PeerVersions::default();
    for host in 0..10_000 {
        versions.record(HostId(host), VersionRange::UNSAID).unwrap();
        versions.count_unknown(HostId(host), 9);
    }
    assert_eq!(versions.unknown_messages().count(), 4096);
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 2000, ..ProptestConfig::default() })]

    #[test]
    fn any_bytes_are_decoded_or_rejected(bytes in prop::collection::vec(any::<u8>(), 0..48)) {
        let _ = Greeting::from_bytes(&bytes);
        let _ = VersionRange::from_trailer(&bytes);
        let _ = Incoming::<PeerMessage>::from_bytes(&bytes);
        let _ = Incoming::<FeedMessage>::from_bytes(&bytes);
        let _ = frame::decode_prefix::<u64>(&bytes);
    }
}
