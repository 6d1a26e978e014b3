//! Messages between control hosts.

use expect_test::{Expect, expect};
use lagoongauge::id::{HostId, TargetId};
use lagoongauge::replica::{Body, Chunk, Entry, Identity, Message, Payload, Position};
use lagoongauge::time::Instant;
use lagoongauged::cluster::message::{Hello, PeerMessage};

use crate::{check, heartbeat, hosts, recorded, target};

fn check_peer(expected: Expect, message: PeerMessage) {
    check(&expected, &postcard::to_stdvec(&message).unwrap());
    assert_eq!(postcard::from_bytes::<PeerMessage>(&recorded(&expected)), Ok(message));
}

#[test]
fn hello_of_a_control_host() {
    let (expected, hello) = (expect!["0081808050"], Hello::Control { host: HostId(0x0a00_0001) });
    check(&expected, &postcard::to_stdvec(&hello).unwrap());
    assert_eq!(postcard::from_bytes::<Hello>(&recorded(&expected)), Ok(hello));
}

#[test]
fn peer_messages() {
    let entry_hosts = vec![(HostId(0x0a00_0101), "east".to_string())];
    check_peer(
        expect!["0002818080508280805001818280500465617374"],
        PeerMessage::Hosts { controls: hosts(), entry_hosts },
    );
    check_peer(expect!["0103010203"], PeerMessage::Log(vec![1, 2, 3]));
    check_peer(
        expect!["0201ab939eabb42480d095ffbc312a0107626f6f6b696e670a000107903f046561737402dc0b"],
        PeerMessage::Targets(vec![target()]),
    );
    check_peer(expect!["0309"], PeerMessage::TargetLeft(TargetId(9)));
    check_peer(
        expect!["0401ab939eabb42480d095ffbc312a"],
        PeerMessage::Heartbeats(vec![heartbeat()]),
    );
}

#[test]
fn acknowledgement() {
    let expected = expect!["ac02"];
    check(&expected, &postcard::to_stdvec(&300u64).unwrap());
    assert_eq!(postcard::from_bytes::<u64>(&recorded(&expected)), Ok(300));
}

fn check_log(expected: Expect, body: Body) {
    let from = Identity { host: HostId(1), incarnation: 11 };
    let to = Identity { host: HostId(2), incarnation: 12 };
    let message = Message { from, to, term: 5, body };
    check(&expected, &message.to_bytes());
    assert_eq!(Message::from_bytes(&recorded(&expected)), Ok(message));
}

#[test]
fn log_messages() {
    let last = Position { term: 4, index: 30 };
    let round = Instant(1234);
    let entries = vec![
        Entry { position: last, payload: Payload::Noop },
        Entry { position: Position { term: 4, index: 31 }, payload: Payload::Command(vec![8]) },
    ];
    let chunk =
        Chunk { position: last, round, total: 9, checksum: 77, offset: 3, data: vec![4, 5, 6] };
    check_log(
        expect!["100c50020301050000110802110c021110020101010b0102010c0104011e"],
        Body::PreVote { last },
    );
    check_log(
        expect!["100a5002030105050101110802110c0200000101010b0102010c"],
        Body::PreVoteAnswer { granted: true },
    );
    check_log(
        expect!["100c50020301050102110802110c021110020101010b0102010c0104011e"],
        Body::Vote { last },
    );
    check_log(
        expect!["100a5002030105050301110802110c0200000101010b0102010c"],
        Body::VoteAnswer { granted: true },
    );
    check_log(
        expect![
            "101450020301050104110802110c02511002020101010b0102010c011d03d2041104021109160104011e11051a11052a03041e1f041f010108"
        ],
        Body::Append { previous: last, commit: 29, round, entries },
    );
    check_log(
        expect!["100d50020301050105110802110c021110030101010b0102010c03d2040101011f"],
        Body::AppendAnswer { round, matched: true, index: 31 },
    );
    check_log(
        expect![
            "101350020301050106110802110c02511004020101010b0102010c03d2040109014d010311040211091a0104011e07040506"
        ],
        Body::Chunk(chunk),
    );
    check_log(
        expect!["100f50020301050107110802110c02511002010101010b0102010c03d204010610020104011e"],
        Body::ChunkAnswer { round, position: last, offset: 6 },
    );
    check_log(expect!["100a50020301050108110802110c0200000101010b0102010c"], Body::Join);
}
