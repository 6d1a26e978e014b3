//! Encodes messages in packed Cap'n Proto.

use capnp::message::{Builder, HeapAllocator, ReaderOptions};
use capnp::serialize_packed;
use lagoongauge_schema::replica_capnp as schema;

use super::configuration::Identity;
use super::entry::{Entry, Position};
use super::message::{Body, Chunk, Message};
use crate::error::{Error, Kind, Result};
use crate::id::HostId;
use crate::time::Instant;

/// Largest number of entries in a message.
const MAX_ENTRIES: u32 = 1024;

/// Largest size of a packed message in bytes.
const MAX_BYTES: usize = 1 << 20;

/// Largest size of an unpacked message in 8-byte words.
const MAX_WORDS: usize = 1 << 18;

impl Message {
    /// Encodes the message.
    pub fn to_bytes(&self) -> Vec<u8> {
        let mut builder = Builder::new(HeapAllocator::new().first_segment_words(64));
        write_message(builder.init_root(), self);
        let mut bytes = Vec::new();
        serialize_packed::write_message(&mut bytes, &builder)
            .expect("writing to a vector does not fail");
        bytes
    }

    /// Decodes a message; fails with `Malformed` or `Oversized`.
    pub fn from_bytes(bytes: &[u8]) -> Result<Self> {
        if bytes.len() > MAX_BYTES {
            let detail = format!("replica message has {} bytes", bytes.len());
            return Err(Error::new(Kind::Oversized, detail));
        }
        let mut options = ReaderOptions::new();
        options.traversal_limit_in_words(Some(MAX_WORDS)).nesting_limit(8);
        let reader = serialize_packed::read_message(bytes, options).map_err(malformed)?;
        read_message(reader.get_root().map_err(malformed)?)
    }
}

fn write_message(mut to: schema::message::Builder<'_>, message: &Message) {
    write_identity(to.reborrow().init_from(), message.from);
    write_identity(to.reborrow().init_to(), message.to);
    to.set_term(message.term);
    let mut body = to.init_body();
    match &message.body {
        Body::PreVote { last } => write_position(body.init_pre_vote(), *last),
        Body::PreVoteAnswer { granted } => body.set_pre_vote_answer(*granted),
        Body::Vote { last } => write_position(body.init_vote(), *last),
        Body::VoteAnswer { granted } => body.set_vote_answer(*granted),
        Body::Append { previous, commit, round, entries } => {
            let mut append = body.init_append();
            write_position(append.reborrow().init_previous(), *previous);
            append.set_commit(*commit);
            append.set_round(round.0);
            if !entries.is_empty() {
                write_entries(append.init_entries(entries.len() as u32), entries);
            }
        }
        Body::AppendAnswer { round, matched, index } => {
            let mut answer = body.init_append_answer();
            answer.set_round(round.0);
            answer.set_matched(*matched);
            answer.set_index(*index);
        }
        Body::Chunk(chunk) => write_chunk(body.init_chunk(), chunk),
        Body::ChunkAnswer { round, position, offset } => {
            let mut answer = body.init_chunk_answer();
            answer.set_round(round.0);
            write_position(answer.reborrow().init_position(), *position);
            answer.set_offset(*offset);
        }
        Body::Join => body.set_join(()),
        Body::Leave => body.set_leave(()),
        Body::LeaveAnswer => body.set_leave_answer(()),
    }
}

fn write_identity(mut to: schema::identity::Builder<'_>, identity: Identity) {
    to.set_host(identity.host.0);
    to.set_incarnation(identity.incarnation);
}

fn write_position(mut to: schema::position::Builder<'_>, position: Position) {
    to.set_term(position.term);
    to.set_index(position.index);
}

fn write_entries(mut to: capnp::data_list::Builder<'_>, entries: &[Entry]) {
    for (index, entry) in entries.iter().enumerate() {
        let bytes = postcard::to_stdvec(entry).expect("an entry always serializes");
        to.set(index as u32, &bytes);
    }
}

fn write_chunk(mut to: schema::chunk::Builder<'_>, chunk: &Chunk) {
    write_position(to.reborrow().init_position(), chunk.position);
    to.set_round(chunk.round.0);
    to.set_total(chunk.total);
    to.set_checksum(chunk.checksum);
    to.set_offset(chunk.offset);
    to.set_data(&chunk.data);
}

fn read_message(from: schema::message::Reader<'_>) -> Result<Message> {
    Ok(Message {
        from: read_identity(from.get_from().map_err(malformed)?),
        to: read_identity(from.get_to().map_err(malformed)?),
        term: from.get_term(),
        body: read_body(from.get_body())?,
    })
}

fn read_body(from: schema::message::body::Reader<'_>) -> Result<Body> {
    use schema::message::body::Which;
    Ok(match from.which().map_err(malformed)? {
        Which::PreVote(last) => Body::PreVote { last: read_position(last.map_err(malformed)?) },
        Which::PreVoteAnswer(granted) => Body::PreVoteAnswer { granted },
        Which::Vote(last) => Body::Vote { last: read_position(last.map_err(malformed)?) },
        Which::VoteAnswer(granted) => Body::VoteAnswer { granted },
        Which::Append(append) => read_append(append.map_err(malformed)?)?,
        Which::AppendAnswer(answer) => {
            let answer = answer.map_err(malformed)?;
            Body::AppendAnswer {
                round: Instant(answer.get_round()),
                matched: answer.get_matched(),
                index: answer.get_index(),
            }
        }
        Which::Chunk(chunk) => read_chunk(chunk.map_err(malformed)?)?,
        Which::ChunkAnswer(answer) => {
            let answer = answer.map_err(malformed)?;
            Body::ChunkAnswer {
                round: Instant(answer.get_round()),
                position: read_position(answer.get_position().map_err(malformed)?),
                offset: answer.get_offset(),
            }
        }
        Which::Join(()) => Body::Join,
        Which::Leave(()) => Body::Leave,
        Which::LeaveAnswer(()) => Body::LeaveAnswer,
    })
}

fn read_append(append: schema::append::Reader<'_>) -> Result<Body> {
    let list = append.get_entries().map_err(malformed)?;
    if list.len() > MAX_ENTRIES {
        let detail = format!("replica message brings {} entries", list.len());
        return Err(Error::new(Kind::Oversized, detail));
    }
    let mut entries = Vec::with_capacity(list.len() as usize);
    for bytes in list.iter() {
        let bytes = bytes.map_err(malformed)?;
        entries.push(postcard::from_bytes(bytes).map_err(malformed)?);
    }
    Ok(Body::Append {
        previous: read_position(append.get_previous().map_err(malformed)?),
        commit: append.get_commit(),
        round: Instant(append.get_round()),
        entries,
    })
}

fn read_chunk(chunk: schema::chunk::Reader<'_>) -> Result<Body> {
    Ok(Body::Chunk(Chunk {
        position: read_position(chunk.get_position().map_err(malformed)?),
        round: Instant(chunk.get_round()),
        total: chunk.get_total(),
        checksum: chunk.get_checksum(),
        offset: chunk.get_offset(),
        data: chunk.get_data().map_err(malformed)?.to_vec(),
    }))
}

fn read_identity(from: schema::identity::Reader<'_>) -> Identity {
    Identity { host: HostId(from.get_host()), incarnation: from.get_incarnation() }
}

fn read_position(from: schema::position::Reader<'_>) -> Position {
    Position { term: from.get_term(), index: from.get_index() }
}

fn malformed(error: impl std::fmt::Display) -> Error {
    Error::new(Kind::Malformed, format!("replica message does not parse: {error}"))
}
