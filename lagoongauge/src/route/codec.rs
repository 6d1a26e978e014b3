//! Encoding of messages as packed Cap'n Proto; see lagoongauge_schema/schema/peer.capnp.
//!
//! Errors are of the kind `Malformed`, or `Oversized` beyond [`MAX_MESSAGE_BYTES`].

use capnp::message::{Builder, ReaderOptions};
use capnp::serialize_packed;
use lagoongauge_schema::peer_capnp::route_message;
use serde::Serialize;
use serde::de::DeserializeOwned;

use super::compact::{CompactRecord, CompactTransfers};
use super::deltas;
use super::message::{Heartbeat, HoldReport, Message, PlanChunk, Replication, Steps, Transfers};
use super::plan::{MAX_BITS, Stamp};
use crate::error::{Error, Kind, Result};
use crate::id::ServiceId;
use crate::time::Instant;

/// Maximum length of an encoded message.
pub const MAX_MESSAGE_BYTES: usize = 16 * 1024;

/// Maximum number of words that decoding reads, as packed bytes can expand to many more.
const MAX_DECODED_WORDS: usize = 8 * 1024;

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
    /// Fails on messages that are too long, don't follow the schema or exceed a bound of a list.
    pub fn decode(bytes: &[u8]) -> Result<Self> {
        if bytes.len() > MAX_MESSAGE_BYTES {
            return Err(Error::new(
                Kind::Oversized,
                format!(
                    "routing message too long: {} bytes, limit {MAX_MESSAGE_BYTES}",
                    bytes.len()
                ),
            ));
        }
        let mut options = ReaderOptions::new();
        options.traversal_limit_in_words(Some(MAX_DECODED_WORDS)).nesting_limit(8);
        let reader = serialize_packed::read_message(bytes, options).map_err(malformed)?;
        let root = reader.get_root::<route_message::Reader<'_>>().map_err(malformed)?;
        read(root)
            .map_err(malformed)?
            .ok_or_else(|| Error::new(Kind::Malformed, "routing message has invalid list or bits"))
    }
}

fn malformed(error: capnp::Error) -> Error {
    Error::new(Kind::Malformed, format!("cannot decode routing message: {error}"))
}

fn to_postcard(value: &impl Serialize) -> Vec<u8> {
    postcard::to_stdvec(value).unwrap_or_default()
}

fn from_postcard<T: DeserializeOwned>(bytes: &[u8]) -> Option<T> {
    postcard::from_bytes(bytes).ok()
}

fn deltas_to_postcard(list: &[u32]) -> Vec<u8> {
    let mut serializer = postcard::Serializer { output: postcard::ser_flavors::StdVec::new() };
    match deltas::serialize(list, &mut serializer) {
        Ok(()) => postcard::ser_flavors::Flavor::finalize(serializer.output).unwrap_or_default(),
        Err(_) => Vec::new(),
    }
}

fn deltas_from_postcard(bytes: &[u8]) -> Option<Vec<u32>> {
    deltas::deserialize(&mut postcard::Deserializer::from_bytes(bytes)).ok()
}

/// Writes a stamp; `planner` is the epoch of the sending planner, or 0 outside plan offers.
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
        Message::Heartbeat(heartbeat) => write_heartbeat(heartbeat, to.init_beat()),
        Message::Grant { epoch, sent, incarnation } => {
            let mut to = to.init_grant();
            to.set_epoch(*epoch);
            to.set_sent(sent.0);
            to.set_life(*incarnation);
        }
        Message::Probe { epoch } => to.set_probe(*epoch),
        Message::Steps(steps) => {
            let mut to = to.init_steps();
            to.set_epoch(steps.epoch);
            write_stamp(steps.after, 0, to.reborrow().init_after());
            to.set_steps(&to_postcard(&steps.steps));
        }
        Message::PlanOffer { epoch, stamp } => write_stamp(*stamp, *epoch, to.init_behind()),
        Message::FetchPlan { stamp, received } => {
            let mut to = to.init_fetch();
            write_stamp(*stamp, 0, to.reborrow().init_stamp());
            to.set_have(*received);
        }
        Message::PlanChunk(chunk) => {
            let mut to = to.init_part();
            to.set_epoch(chunk.epoch);
            write_stamp(chunk.stamp, 0, to.reborrow().init_stamp());
            to.set_index(chunk.index);
            to.set_total(chunk.total);
            to.set_bytes(&chunk.bytes);
        }
        Message::HoldReport(report) => {
            let mut to = to.init_settled();
            write_stamp(report.stamp, 0, to.reborrow().init_stamp());
            to.set_service(report.service.0);
            to.set_buckets(&deltas_to_postcard(&report.buckets));
            to.set_stray(report.hold);
        }
        Message::Transfers(transfers) => {
            let mut to = to.init_gifts();
            write_stamp(transfers.view, 0, to.reborrow().init_view());
            to.set_number(transfers.number);
            to.set_service(transfers.service.0);
            to.set_bits(transfers.bits);
            to.set_second(transfers.second);
            to.set_gifts(&to_postcard(&CompactTransfers::encode(
                &transfers.transfers,
                transfers.bits,
                transfers.second,
            )));
        }
        Message::TransferAck { view, number } => {
            let mut to = to.init_taken();
            write_stamp(*view, 0, to.reborrow().init_view());
            to.set_number(*number);
        }
        Message::Replication(replication) => write_replication(replication, to.init_pins()),
        Message::ReplicationAck { number } => to.set_pinned(*number),
    }
}

fn write_heartbeat(heartbeat: &Heartbeat, mut to: route_message::beat::Builder<'_>) {
    to.set_epoch(heartbeat.epoch);
    to.set_prior(heartbeat.prior_epoch);
    write_stamp(heartbeat.stamp, 0, to.reborrow().init_stamp());
    to.set_sent(heartbeat.sent.0);
    to.set_life(heartbeat.incarnation);
    to.set_leaving(heartbeat.leaving);
    to.set_pending(heartbeat.pending);
    if !heartbeat.counts.is_empty() {
        to.set_counts(&to_postcard(&heartbeat.counts));
    }
}

fn write_replication(replication: &Replication, mut to: route_message::pins::Builder<'_>) {
    let mut previous = 0;
    let record = |record: &super::Record| {
        let bucket = record.key().bucket(replication.bits);
        let distance = bucket.wrapping_sub(previous);
        previous = bucket;
        // The age is sent as 0, as the receiver treats replicated records as just seen.
        (distance, CompactRecord::new(record, replication.bits, record.last_seen()))
    };
    let records: Vec<_> = replication.records.iter().map(record).collect();
    write_stamp(replication.stamp, 0, to.reborrow().init_stamp());
    to.set_number(replication.number);
    to.set_service(replication.service.0);
    to.set_bits(replication.bits);
    to.set_records(&to_postcard(&records));
}

/// Reads a message; returns `None` if a list can't be decoded or `bits` is out of range.
fn read(from: route_message::Reader<'_>) -> capnp::Result<Option<Message>> {
    use route_message::Which;
    Ok(match from.which()? {
        Which::Beat(heartbeat) => read_heartbeat(heartbeat?)?,
        Which::Grant(grant) => {
            let grant = grant?;
            let (epoch, sent) = (grant.get_epoch(), Instant(grant.get_sent()));
            Some(Message::Grant { epoch, sent, incarnation: grant.get_life() })
        }
        Which::Probe(epoch) => Some(Message::Probe { epoch }),
        Which::Steps(steps) => {
            let steps = steps?;
            let (epoch, after) = (steps.get_epoch(), read_stamp(steps.get_after()?));
            let list = from_postcard(steps.get_steps()?);
            list.map(|steps| Message::Steps(Steps { epoch, after, steps }))
        }
        Which::Behind(offer) => {
            let offer = offer?;
            Some(Message::PlanOffer { epoch: offer.get_planner(), stamp: read_stamp(offer) })
        }
        Which::Fetch(fetch) => {
            let fetch = fetch?;
            let stamp = read_stamp(fetch.get_stamp()?);
            Some(Message::FetchPlan { stamp, received: fetch.get_have() })
        }
        Which::Part(chunk) => {
            let chunk = chunk?;
            Some(Message::PlanChunk(PlanChunk {
                epoch: chunk.get_epoch(),
                stamp: read_stamp(chunk.get_stamp()?),
                index: chunk.get_index(),
                total: chunk.get_total(),
                bytes: chunk.get_bytes()?.to_vec(),
            }))
        }
        Which::Settled(report) => {
            let report = report?;
            let (stamp, service) =
                (read_stamp(report.get_stamp()?), ServiceId(report.get_service()));
            let (list, hold) = (deltas_from_postcard(report.get_buckets()?), report.get_stray());
            list.map(|buckets| Message::HoldReport(HoldReport { stamp, service, buckets, hold }))
        }
        Which::Gifts(transfers) => read_transfers(transfers?)?,
        Which::Taken(ack) => {
            let ack = ack?;
            let view = read_stamp(ack.get_view()?);
            Some(Message::TransferAck { view, number: ack.get_number() })
        }
        Which::Pins(replication) => read_replication(replication?)?,
        Which::Pinned(number) => Some(Message::ReplicationAck { number }),
    })
}

fn read_heartbeat(heartbeat: route_message::beat::Reader<'_>) -> capnp::Result<Option<Message>> {
    let counts = match heartbeat.get_counts()? {
        [] => Some(Vec::new()),
        bytes => from_postcard(bytes),
    };
    let Some(counts) = counts else { return Ok(None) };
    Ok(Some(Message::Heartbeat(Heartbeat {
        epoch: heartbeat.get_epoch(),
        prior_epoch: heartbeat.get_prior(),
        stamp: read_stamp(heartbeat.get_stamp()?),
        sent: Instant(heartbeat.get_sent()),
        incarnation: heartbeat.get_life(),
        leaving: heartbeat.get_leaving(),
        pending: heartbeat.get_pending(),
        counts,
    })))
}

fn read_transfers(transfers: route_message::gifts::Reader<'_>) -> capnp::Result<Option<Message>> {
    let (bits, second) = (transfers.get_bits(), transfers.get_second());
    if !(1..=MAX_BITS).contains(&bits) {
        return Ok(None);
    }
    let list = from_postcard(transfers.get_gifts()?);
    let Some(list) = list.and_then(|list| CompactTransfers::decode(list, bits, second)) else {
        return Ok(None);
    };
    Ok(Some(Message::Transfers(Transfers {
        view: read_stamp(transfers.get_view()?),
        number: transfers.get_number(),
        service: ServiceId(transfers.get_service()),
        bits,
        transfers: list,
        second,
    })))
}

fn read_replication(
    replication: route_message::pins::Reader<'_>,
) -> capnp::Result<Option<Message>> {
    let bits = replication.get_bits();
    if !(1..=MAX_BITS).contains(&bits) {
        return Ok(None);
    }
    let Some(list) = from_postcard::<Vec<(u32, CompactRecord)>>(replication.get_records()?) else {
        return Ok(None);
    };
    let mut bucket = 0u32;
    let mut records = Vec::new();
    for (distance, compact) in list {
        bucket = bucket.wrapping_add(distance);
        if bucket >= 1 << bits {
            return Ok(None);
        }
        records.push(compact.into_record(bucket, bits, 0));
    }
    Ok(Some(Message::Replication(Replication {
        number: replication.get_number(),
        stamp: read_stamp(replication.get_stamp()?),
        service: ServiceId(replication.get_service()),
        bits,
        records,
    })))
}
