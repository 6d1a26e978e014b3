//! No message that can be decoded ends a replica, whatever it claims.

use lagoongauge::id::HostId;
use lagoongauge::replica::{
    Action, Body, Chunk, Configuration, Core, Entry, Identity, Message, Payload, Position,
    Recovered, Setup, Snapshot,
};
use lagoongauge::time::Instant;
use proptest::prelude::*;

use super::world::Journal;

fn identity(host: u32) -> Identity {
    Identity { host: HostId(host), incarnation: 1 }
}

/// Numbers as they occur, and those at the end of the range.
fn number() -> impl Strategy<Value = u64> {
    prop_oneof![8 => 0..6u64, 1 => u64::MAX - 2..=u64::MAX, 1 => any::<u64>()]
}

fn position() -> impl Strategy<Value = Position> {
    (number(), number()).prop_map(|(term, index)| Position { term, index })
}

fn payload() -> impl Strategy<Value = Payload> {
    prop_oneof![
        Just(Payload::Noop),
        any::<Vec<u8>>().prop_map(Payload::Command),
        prop::collection::vec(0..4u32, 0..4).prop_map(|hosts| {
            let voters = hosts.into_iter().map(identity).collect();
            Payload::Configuration(Configuration::new(voters))
        }),
    ]
}

/// Entries that follow a position, as a receiver would otherwise reject them at once.
fn append() -> impl Strategy<Value = Body> {
    let entries = prop::collection::vec(payload(), 0..4);
    (position(), number(), number(), entries).prop_map(|(previous, commit, round, payloads)| {
        let entry = |(index, payload)| {
            let index = previous.index.wrapping_add(index);
            Entry { position: Position { term: previous.term, index }, payload }
        };
        let entries = (1..).zip(payloads).map(entry).collect();
        Body::Append { previous, commit, round: Instant(round), entries }
    })
}

/// Whole snapshots, and parts of others.
fn chunk() -> impl Strategy<Value = Body> {
    let state = prop_oneof![Just(vec![0]), any::<Vec<u8>>()];
    let voters = prop::collection::vec(0..4u32, 0..4);
    let whole = (position(), state, voters).prop_map(|(position, state, hosts)| {
        let voters = hosts.into_iter().map(identity).collect();
        let snapshot = Snapshot::new(position, Configuration::new(voters), &state);
        let (data, checksum) = (snapshot.bytes().to_vec(), snapshot.checksum());
        (position, data.len() as u64, checksum, 0, data)
    });
    let part = (position(), number(), any::<u32>(), number(), any::<Vec<u8>>());
    prop_oneof![whole, part].prop_map(|(position, total, checksum, offset, data)| {
        Body::Chunk(Chunk { position, round: Instant(0), total, checksum, offset, data })
    })
}

fn body() -> impl Strategy<Value = Body> {
    prop_oneof![
        position().prop_map(|last| Body::PreVote { last }),
        any::<bool>().prop_map(|granted| Body::PreVoteAnswer { granted }),
        position().prop_map(|last| Body::Vote { last }),
        any::<bool>().prop_map(|granted| Body::VoteAnswer { granted }),
        append(),
        (number(), any::<bool>(), number()).prop_map(|(round, matched, index)| {
            Body::AppendAnswer { round: Instant(round), matched, index }
        }),
        chunk(),
        (number(), position(), number()).prop_map(|(round, position, offset)| {
            Body::ChunkAnswer { round: Instant(round), position, offset }
        }),
        Just(Body::Join),
        Just(Body::Leave),
        Just(Body::LeaveAnswer),
    ]
}

/// A message of host 2 or 3 to host 1, and the time that passes before it.
fn step() -> impl Strategy<Value = (u64, Message)> {
    (0..1500u64, 2..4u32, number(), body()).prop_map(|(wait, from, term, body)| {
        (wait, Message { from: identity(from), to: identity(1), term, body })
    })
}

/// Executes what the replica asks for, on a disk that takes all writes.
fn execute(core: &mut Core<Journal>) {
    loop {
        let actions = core.take_actions();
        if actions.is_empty() {
            return;
        }
        for action in actions {
            if let Action::Persist { batch, .. } = action {
                core.handle_persisted(batch);
            }
        }
    }
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 2000, ..ProptestConfig::default() })]

    #[test]
    fn no_message_ends_a_replica(steps in prop::collection::vec(step(), 1..24)) {
        let recovered = Recovered::bootstrap((1..4).map(identity).collect());
        let setup = Setup::new(identity(1), 7);
        let mut now = Instant(10_000);
        let mut core = Core::new(setup, recovered, Journal::default(), now).unwrap();
        for (wait, message) in steps {
            now.0 += wait;
            core.tick(now);
            execute(&mut core);
            core.handle_message(now, message);
            execute(&mut core);
            let _ = core.propose(now, vec![1]);
            execute(&mut core);
        }
    }
}
