//! Messages as bytes: Cap'n Proto, packed; see lagoongauge_schema/schema/peer.capnp.
//!
//! Errors are of the kind `Malformed`, or `Oversized` beyond [`MAX_MESSAGE`].

use capnp::message::{Builder, ReaderOptions};
use capnp::serialize_packed;
use lagoongauge_schema::peer_capnp::route_message;
use serde::Serialize;
use serde::de::DeserializeOwned;

use super::compact::{Compact, CompactGift};
use super::deltas;
use super::message::{Heartbeat, HoldReport, Message, PlanChunk, Replication, Steps, Transfers};
use super::plan::{MAX_BITS, Stamp};
use crate::error::{Error, Kind, Result};
use crate::id::ServiceId;
use crate::time::Instant;

/// Longest encoded message in bytes.
pub const MAX_MESSAGE_BYTES: usize = 16 * 1024;

/// Most words that decoding may read; packed bytes may stand for many more.
const MAX_WORDS: usize = 8 * 1024;

impl Message {
    /// Encodes the message.
    pub fn encode(&self) -> Vec<u8> {
        let mut builder = Builder::new_default();
        write(self, builder.init_root());
        let mut bytes = Vec::new();
        // Writing to a vector does not fail.
        let _ = serialize_packed::write_message(&mut bytes, &builder);
        bytes
    }

    /// Decodes a message.
    ///
    /// # Errors
    ///
    /// Fails on bytes that are too long, don't follow the schema or break a bound of a list.
    pub fn decode(bytes: &[u8]) -> Result<Self> {
        if bytes.len() > MAX_MESSAGE_BYTES {
            return Err(Error::new(Kind::Oversized, "a routing message is too long"));
        }
        let mut options = ReaderOptions::new();
        options.traversal_limit_in_words(Some(MAX_WORDS)).nesting_limit(8);
        let reader = serialize_packed::read_message(bytes, options).map_err(malformed)?;
        let root = reader.get_root::<route_message::Reader<'_>>().map_err(malformed)?;
        read(root).map_err(malformed)?.ok_or_else(|| {
            Error::new(Kind::Malformed, "a list in a routing message does not decode")
        })
    }
}

fn malformed(error: capnp::Error) -> Error {
    Error::new(Kind::Malformed, format!("a routing message does not decode: {error}"))
}

fn pack(value: &impl Serialize) -> Vec<u8> {
    postcard::to_stdvec(value).unwrap_or_default()
}

fn unpack<T: DeserializeOwned>(bytes: &[u8]) -> Option<T> {
    postcard::from_bytes(bytes).ok()
}

fn pack_deltas(list: &[u32]) -> Vec<u8> {
    let mut serializer = postcard::Serializer { output: postcard::ser_flavors::StdVec::new() };
    match deltas::serialize(list, &mut serializer) {
        Ok(()) => postcard::ser_flavors::Flavor::finalize(serializer.output).unwrap_or_default(),
        Err(_) => Vec::new(),
    }
}

fn unpack_deltas(bytes: &[u8]) -> Option<Vec<u32>> {
    deltas::deserialize(&mut postcard::Deserializer::from_bytes(bytes)).ok()
}

fn write_stamp(stamp: Stamp, planner: u64, mut to: route_message::stamp::Builder<'_>) {
    to.set_planner(planner);
    to.set_epoch(stamp.epoch);
    to.set_number(stamp.number);
}

fn read_stamp(from: route_message::stamp::Reader<'_>) -> Stamp {
    Stamp { epoch: from.get_epoch(), number: from.get_number() }
}

fn write(message: &Message, mut to: route_message::Builder<'_>) {
    match message {
        Message::Heartbeat(beat) => write_beat(beat, to.init_beat()),
        Message::Grant { epoch, sent, life } => {
            let mut to = to.init_grant();
            to.set_epoch(*epoch);
            to.set_sent(sent.0);
            to.set_life(*life);
        }
        Message::Probe { epoch } => to.set_probe(*epoch),
        Message::Steps(steps) => {
            let mut to = to.init_steps();
            to.set_epoch(steps.epoch);
            write_stamp(steps.after, 0, to.reborrow().init_after());
            to.set_steps(&pack(&steps.steps));
        }
        Message::PlanOffer { epoch, stamp } => write_stamp(*stamp, *epoch, to.init_behind()),
        Message::FetchPlan { stamp, have } => {
            let mut to = to.init_fetch();
            write_stamp(*stamp, 0, to.reborrow().init_stamp());
            to.set_have(*have);
        }
        Message::PlanChunk(part) => {
            let mut to = to.init_part();
            to.set_epoch(part.epoch);
            write_stamp(part.stamp, 0, to.reborrow().init_stamp());
            to.set_index(part.index);
            to.set_total(part.total);
            to.set_bytes(&part.bytes);
        }
        Message::HoldReport(settled) => {
            let mut to = to.init_settled();
            write_stamp(settled.stamp, 0, to.reborrow().init_stamp());
            to.set_service(settled.service.0);
            to.set_buckets(&pack_deltas(&settled.buckets));
            to.set_stray(settled.stray);
        }
        Message::Transfers(gifts) => {
            let mut to = to.init_gifts();
            write_stamp(gifts.view, 0, to.reborrow().init_view());
            to.set_number(gifts.number);
            to.set_service(gifts.service.0);
            to.set_bits(gifts.bits);
            to.set_second(gifts.second);
            to.set_gifts(&pack(&CompactGift::list(&gifts.gifts, gifts.bits, gifts.second)));
        }
        Message::TransferAck { view, number } => {
            let mut to = to.init_taken();
            write_stamp(*view, 0, to.reborrow().init_view());
            to.set_number(*number);
        }
        Message::Replication(pins) => write_pins(pins, to.init_pins()),
        Message::ReplicationAck { number } => to.set_pinned(*number),
    }
}

fn write_beat(beat: &Heartbeat, mut to: route_message::beat::Builder<'_>) {
    to.set_epoch(beat.epoch);
    to.set_prior(beat.prior);
    write_stamp(beat.stamp, 0, to.reborrow().init_stamp());
    to.set_sent(beat.sent.0);
    to.set_life(beat.life);
    to.set_leaving(beat.leaving);
    to.set_pending(beat.pending);
    if !beat.counts.is_empty() {
        to.set_counts(&pack(&beat.counts));
    }
}

fn write_pins(pins: &Replication, mut to: route_message::pins::Builder<'_>) {
    let mut before = 0;
    let record = |record: &super::Record| {
        let bucket = record.key().bucket(pins.bits);
        let distance = bucket.wrapping_sub(before);
        before = bucket;
        (distance, Compact::new(record, pins.bits, record.seen()))
    };
    let records: Vec<_> = pins.records.iter().map(record).collect();
    write_stamp(pins.stamp, 0, to.reborrow().init_stamp());
    to.set_number(pins.number);
    to.set_service(pins.service.0);
    to.set_bits(pins.bits);
    to.set_records(&pack(&records));
}

/// Reads a message; `None` means that one of its lists does not decode.
fn read(from: route_message::Reader<'_>) -> capnp::Result<Option<Message>> {
    use route_message::Which;
    Ok(match from.which()? {
        Which::Beat(beat) => read_beat(beat?)?,
        Which::Grant(grant) => {
            let grant = grant?;
            let (epoch, sent) = (grant.get_epoch(), Instant(grant.get_sent()));
            Some(Message::Grant { epoch, sent, life: grant.get_life() })
        }
        Which::Probe(epoch) => Some(Message::Probe { epoch }),
        Which::Steps(steps) => {
            let steps = steps?;
            let (epoch, after) = (steps.get_epoch(), read_stamp(steps.get_after()?));
            let list = unpack(steps.get_steps()?);
            list.map(|steps| Message::Steps(Steps { epoch, after, steps }))
        }
        Which::Behind(behind) => {
            let behind = behind?;
            Some(Message::PlanOffer { epoch: behind.get_planner(), stamp: read_stamp(behind) })
        }
        Which::Fetch(fetch) => {
            let fetch = fetch?;
            let stamp = read_stamp(fetch.get_stamp()?);
            Some(Message::FetchPlan { stamp, have: fetch.get_have() })
        }
        Which::Part(part) => {
            let part = part?;
            Some(Message::PlanChunk(PlanChunk {
                epoch: part.get_epoch(),
                stamp: read_stamp(part.get_stamp()?),
                index: part.get_index(),
                total: part.get_total(),
                bytes: part.get_bytes()?.to_vec(),
            }))
        }
        Which::Settled(settled) => {
            let settled = settled?;
            let (stamp, service) =
                (read_stamp(settled.get_stamp()?), ServiceId(settled.get_service()));
            let (list, stray) = (unpack_deltas(settled.get_buckets()?), settled.get_stray());
            list.map(|buckets| Message::HoldReport(HoldReport { stamp, service, buckets, stray }))
        }
        Which::Gifts(gifts) => read_gifts(gifts?)?,
        Which::Taken(taken) => {
            let taken = taken?;
            let view = read_stamp(taken.get_view()?);
            Some(Message::TransferAck { view, number: taken.get_number() })
        }
        Which::Pins(pins) => read_pins(pins?)?,
        Which::Pinned(number) => Some(Message::ReplicationAck { number }),
    })
}

fn read_beat(beat: route_message::beat::Reader<'_>) -> capnp::Result<Option<Message>> {
    let counts = match beat.get_counts()? {
        [] => Some(Vec::new()),
        bytes => unpack(bytes),
    };
    let Some(counts) = counts else { return Ok(None) };
    Ok(Some(Message::Heartbeat(Heartbeat {
        epoch: beat.get_epoch(),
        prior: beat.get_prior(),
        stamp: read_stamp(beat.get_stamp()?),
        sent: Instant(beat.get_sent()),
        life: beat.get_life(),
        leaving: beat.get_leaving(),
        pending: beat.get_pending(),
        counts,
    })))
}

fn read_gifts(gifts: route_message::gifts::Reader<'_>) -> capnp::Result<Option<Message>> {
    let (bits, second) = (gifts.get_bits(), gifts.get_second());
    if !(1..=MAX_BITS).contains(&bits) {
        return Ok(None);
    }
    let list = unpack(gifts.get_gifts()?);
    let Some(list) = list.and_then(|list| CompactGift::gifts(list, bits, second)) else {
        return Ok(None);
    };
    Ok(Some(Message::Transfers(Transfers {
        view: read_stamp(gifts.get_view()?),
        number: gifts.get_number(),
        service: ServiceId(gifts.get_service()),
        bits,
        gifts: list,
        second,
    })))
}

fn read_pins(pins: route_message::pins::Reader<'_>) -> capnp::Result<Option<Message>> {
    let bits = pins.get_bits();
    if !(1..=MAX_BITS).contains(&bits) {
        return Ok(None);
    }
    let Some(list) = unpack::<Vec<(u32, Compact)>>(pins.get_records()?) else { return Ok(None) };
    let mut bucket = 0u32;
    let mut records = Vec::new();
    for (distance, compact) in list {
        bucket = bucket.wrapping_add(distance);
        if bucket >= 1 << bits {
            return Ok(None);
        }
        records.push(compact.record(bucket, bits, 0));
    }
    Ok(Some(Message::Replication(Replication {
        number: pins.get_number(),
        stamp: read_stamp(pins.get_stamp()?),
        service: ServiceId(pins.get_service()),
        bits,
        records,
    })))
}
