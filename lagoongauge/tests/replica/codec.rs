//! Every message is decoded as it was encoded, and damaged bytes are rejected without a panic.

use lagoongauge::error::Kind;
use lagoongauge::id::HostId;
use lagoongauge::replica::{
    Body, Chunk, Configuration, Entry, Identity, Message, Payload, Position,
};
use lagoongauge::time::Instant;
use proptest::prelude::*;

fn position() -> impl Strategy<Value = Position> {
    any::<(u64, u64)>().prop_map(|(term, index)| Position { term, index })
}

fn identity() -> impl Strategy<Value = Identity> {
    any::<(u32, u64)>().prop_map(|(host, incarnation)| Identity { host: HostId(host), incarnation })
}

fn payload() -> impl Strategy<Value = Payload> {
    prop_oneof![
        Just(Payload::Noop),
        any::<Vec<u8>>().prop_map(Payload::Command),
        prop::collection::vec(identity(), 0..7)
            .prop_map(|voters| Payload::Configuration(Configuration::new(voters))),
    ]
}

fn entry() -> impl Strategy<Value = Entry> {
    (position(), payload()).prop_map(|(position, payload)| Entry { position, payload })
}

fn round() -> impl Strategy<Value = Instant> {
    any::<u64>().prop_map(Instant)
}

fn body() -> impl Strategy<Value = Body> {
    prop_oneof![
        position().prop_map(|last| Body::PreVote { last }),
        any::<bool>().prop_map(|granted| Body::PreVoteAnswer { granted }),
        position().prop_map(|last| Body::Vote { last }),
        any::<bool>().prop_map(|granted| Body::VoteAnswer { granted }),
        (position(), any::<u64>(), round(), prop::collection::vec(entry(), 0..4)).prop_map(
            |(previous, commit, round, entries)| Body::Append { previous, commit, round, entries }
        ),
        (round(), any::<bool>(), any::<u64>())
            .prop_map(|(round, matched, index)| Body::AppendAnswer { round, matched, index }),
        (position(), round(), any::<(u64, u32, u64, Vec<u8>)>()).prop_map(
            |(position, round, (total, checksum, offset, data))| {
                Body::Chunk(Chunk { position, round, total, checksum, offset, data })
            }
        ),
        (round(), position(), any::<u64>())
            .prop_map(|(round, position, offset)| Body::ChunkAnswer { round, position, offset }),
        Just(Body::Join),
    ]
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 256, ..ProptestConfig::default() })]

    #[test]
    fn message_round_trips(
        from in identity(), to in identity(), term in any::<u64>(), body in body(),
    ) {
        let message = Message { from, to, term, body };
        prop_assert_eq!(Message::from_bytes(&message.to_bytes()), Ok(message));
    }

    #[test]
    fn damaged_bytes_never_panic(bytes in prop::collection::vec(any::<u8>(), 0..256)) {
        if let Err(error) = Message::from_bytes(&bytes) {
            prop_assert_eq!(error.kind, Kind::Malformed);
        }
    }
}

#[test]
fn oversized_message_is_rejected() {
    let error = Message::from_bytes(&vec![0; (1 << 20) + 1]).unwrap_err();
    assert_eq!(error.kind, Kind::Oversized);
}
