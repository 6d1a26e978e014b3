//! Handing records over: from a former home to the next, and to backups, paced in bytes.

use std::collections::VecDeque;

use indexmap::IndexMap;

use super::admit::Admit;
use super::core::Core;
use super::duty::Duty;
use super::ledger::second;
use super::message::{Action, Message, Replication, Transfer, Transfers};
use super::plan::{Stamp, View};
use super::record::Record;
use crate::id::{HostId, ServiceId};
use crate::time::{Instant, Span};

/// Bytes a second that a host spends on handing records over, headers included.
const BYTE_RATE: u64 = 4_500;

/// Bytes of IP and UDP headers, and of the message's own head.
const HEAD_BYTES: usize = 96;

/// Most records in one message.
const MAX_RECORDS: usize = 120;

/// Most buckets in one message.
const MAX_GIFTS: usize = 900;

/// Bytes that a message with buckets may take without its head, so that it fits a datagram.
const MAX_GIFT_BYTES: usize = 1_200;

/// Bytes of a bucket without records.
const EMPTY_BYTES: usize = 1;

/// Bytes of a bucket with records, beside the records.
const FULL_BYTES: usize = 6;

/// Bytes of a record.
const RECORD_BYTES: usize = 10;

/// First and longest time between two sendings of the same message.
const RESEND: (Span, Span) = (Span::millis(300), Span::millis(2_400));

/// Most messages that wait for one receiver.
const MAX_QUEUE: usize = 512;

/// Messages to one receiver, one under way at a time.
#[derive(Debug, Default)]
struct Lane {
    number: u32,
    queue: VecDeque<Message>,
    sent: Option<Sent>,
    next_at: Instant,
}

#[derive(Debug)]
struct Sent {
    message: Message,
    again_at: Instant,
    backoff: Span,
}

/// What a host has to hand over.
#[derive(Debug, Default)]
pub(super) struct Handover {
    lanes: IndexMap<HostId, Lane>,
}

impl Handover {
    /// Goes on under a new view; what was for lost hosts is dropped.
    pub fn change_view(&mut self, view: &View) {
        self.lanes.retain(|host, _| view.knows(*host));
        for lane in self.lanes.values_mut() {
            let sent = lane.sent.iter_mut().map(|sent| &mut sent.message);
            for message in lane.queue.iter_mut().chain(sent) {
                if let Message::Transfers(gifts) = message {
                    gifts.view = view.stamp;
                }
            }
        }
    }

    /// Queues records for the backups of their buckets.
    pub fn replicate(
        &mut self,
        service: ServiceId,
        bits: u8,
        stamp: Stamp,
        pins: &[Record],
        view: &View,
    ) {
        let mut by_backup: IndexMap<HostId, Vec<Record>> = IndexMap::new();
        for &record in pins {
            if let Some(backup) = view.backup(service, record.key().bucket(bits)) {
                by_backup.entry(backup).or_default().push(record);
            }
        }
        for (backup, records) in by_backup {
            self.queue_pins(backup, service, bits, stamp, &records);
        }
    }

    /// Queues records for the homes of their buckets.
    pub fn bring_home(
        &mut self,
        service: ServiceId,
        bits: u8,
        stamp: Stamp,
        records: &[Record],
        view: &View,
    ) {
        let mut by_home: IndexMap<HostId, Vec<Record>> = IndexMap::new();
        for &record in records {
            if let Some(home) = view.home(service, record.key().bucket(bits)) {
                by_home.entry(home).or_default().push(record);
            }
        }
        for (home, records) in by_home {
            self.queue_pins(home, service, bits, stamp, &records);
        }
    }

    /// Queues records for a host that shall know of them.
    fn queue_pins(
        &mut self,
        to: HostId,
        service: ServiceId,
        bits: u8,
        stamp: Stamp,
        records: &[Record],
    ) {
        let lane = self.lanes.entry(to).or_default();
        for records in records.chunks(MAX_RECORDS) {
            if lane.queue.len() < MAX_QUEUE {
                let records = records.to_vec();
                let pins = Replication { number: 0, stamp, service, bits, records };
                lane.queue.push_back(Message::Replication(pins));
            }
        }
    }

    /// Returns whether messages wait or are under way.
    pub fn busy(&self) -> bool {
        self.lanes.values().any(|lane| lane.sent.is_some() || !lane.queue.is_empty())
    }

    /// Ends the message of this number; returns it if it was under way.
    fn finish(&mut self, from: HostId, number: u32) -> Option<Message> {
        let lane = self.lanes.get_mut(&from)?;
        let sent = lane.sent.take_if(|sent| number_of(&sent.message) == number)?;
        Some(sent.message)
    }
}

impl Core {
    /// Sends what is due of the handovers, one message at a time to each host.
    pub fn hand_over(&mut self, now: Instant) -> Vec<Action> {
        let mut actions = Vec::new();
        let view = &self.plan.view;
        let lanes_wide = (view.hosts.len() + view.leaving.len()).saturating_sub(1).max(1) as u64;
        for host in view.hosts.clone() {
            if host == self.own {
                continue;
            }
            let lane = self.handover.lanes.entry(host).or_default();
            if let Some(sent) = &mut lane.sent {
                if now >= sent.again_at && now >= lane.next_at {
                    sent.backoff = Span(sent.backoff.0 * 2).min(RESEND.1);
                    sent.again_at = now + sent.backoff;
                    lane.next_at = now + pause(&sent.message, lanes_wide);
                    actions.push(Action::Send(host, sent.message.clone()));
                }
                continue;
            }
            if now < lane.next_at {
                continue;
            }
            if lane.queue.is_empty() {
                self.fill(now, host);
            }
            let Some(lane) = self.handover.lanes.get_mut(&host) else { continue };
            let Some(mut message) = lane.queue.pop_front() else { continue };
            lane.number += 1;
            set_number(&mut message, lane.number);
            lane.next_at = now + pause(&message, lanes_wide);
            let again_at = now + RESEND.0;
            lane.sent = Some(Sent { message: message.clone(), again_at, backoff: RESEND.0 });
            actions.push(Action::Send(host, message));
        }
        actions
    }

    /// Takes over the buckets that a former home hands over.
    pub fn take_gifts(
        &mut self,
        now: Instant,
        from: HostId,
        gifts: Transfers,
        limits: &impl Admit,
    ) -> Vec<Action> {
        let known = self.plan.services.get(&gifts.service);
        let (Some(layout), Some(ledger)) = (known, self.ledgers.get_mut(&gifts.service)) else {
            return Vec::new();
        };
        if gifts.view != self.plan.view.stamp || gifts.bits != layout.bits {
            return Vec::new();
        }
        for gift in gifts.gifts {
            if gift.bucket >= ledger.count() || ledger.duty(gift.bucket) != Duty::Wait(from) {
                continue;
            }
            for record in gift.records {
                if usize::from(record.target()) < layout.names.len() {
                    ledger.receive(record.shifted(gifts.second, second(now)), limits);
                }
            }
            if gift.last {
                ledger.take(now, gift.bucket, gift.knowledge);
            }
        }
        let taken = Message::TransferAck { view: gifts.view, number: gifts.number };
        vec![Action::Send(from, taken)]
    }

    /// Notes that a message with buckets has arrived; they are another host's from now on.
    pub fn gifts_taken(&mut self, from: HostId, number: u32, limits: &impl Admit) {
        let Some(Message::Transfers(gifts)) = self.handover.finish(from, number) else { return };
        let Some(ledger) = self.ledgers.get_mut(&gifts.service) else { return };
        let whole = gifts.gifts.iter().filter(|gift| gift.last).map(|gift| gift.bucket);
        let done: Vec<_> = whole.filter(|&b| ledger.duty(b) == Duty::Given).collect();
        done.iter().for_each(|&bucket| ledger.set_duty(bucket, Duty::Other));
        ledger.discard(&done, limits);
    }

    /// Adds the records that a home has replicated here, or that a returning host brings.
    pub fn take_pins(
        &mut self,
        now: Instant,
        from: HostId,
        pins: Replication,
        limits: &impl Admit,
    ) -> Vec<Action> {
        let known = self.plan.services.get(&pins.service);
        let (Some(layout), Some(ledger)) = (known, self.ledgers.get_mut(&pins.service)) else {
            return Vec::new();
        };
        for record in pins.records {
            if usize::from(record.target()) < layout.names.len() && pins.bits == layout.bits {
                ledger.replicate(record.seen_at(second(now)), limits);
            }
        }
        vec![Action::Send(from, Message::ReplicationAck { number: pins.number })]
    }

    /// Notes that replicated records have arrived.
    pub fn pins_taken(&mut self, from: HostId, number: u32) {
        self.handover.finish(from, number);
    }

    /// Queues the next buckets for a host; their records are frozen from here on.
    fn fill(&mut self, now: Instant, to: HostId) {
        let view = self.plan.view.stamp;
        for (&service, ledger) in self.ledgers.iter_mut().filter(|(_, ledger)| ledger.giving()) {
            let home = |bucket: &u32| self.plan.view.home(service, *bucket) == Some(to);
            let buckets: Vec<_> = ledger.buckets(Duty::Give).filter(home).take(MAX_GIFTS).collect();
            if buckets.is_empty() {
                continue;
            }
            let mut gifts = Vec::new();
            let mut bytes = 0;
            for bucket in buckets {
                let records = ledger.records(bucket);
                bytes += bucket_bytes(records.len());
                if !gifts.is_empty() && bytes > MAX_GIFT_BYTES {
                    break;
                }
                ledger.set_duty(bucket, Duty::Given);
                gifts.extend(pieces(bucket, ledger.knowledge(now, bucket), &records));
            }
            let Some(lane) = self.handover.lanes.get_mut(&to) else { return };
            let (bits, second) = (ledger.bits(), second(now));
            let whole = gifts.iter().all(|gift: &Transfer| gift.last);
            let message = |gifts| {
                Message::Transfers(Transfers { view, number: 0, service, bits, gifts, second })
            };
            match whole {
                true => lane.queue.push_back(message(gifts)),
                false => lane.queue.extend(gifts.into_iter().map(|gift| message(vec![gift]))),
            }
            return;
        }
    }
}

/// Cuts a bucket's records into pieces that fit a message each.
fn pieces(bucket: u32, knowledge: (u32, u32), records: &[Record]) -> Vec<Transfer> {
    if records.is_empty() {
        return vec![Transfer { bucket, knowledge, last: true, records: Vec::new() }];
    }
    let count = records.len().div_ceil(MAX_RECORDS);
    let chunks = records.chunks(MAX_RECORDS).enumerate();
    let gift = |(i, records): (usize, &[Record])| {
        let last = i + 1 == count;
        Transfer { bucket, knowledge, last, records: records.to_vec() }
    };
    chunks.map(gift).collect()
}

/// Returns how long a lane waits after a message, so that all lanes keep to the byte rate.
fn pause(message: &Message, lanes: u64) -> Span {
    let bytes = HEAD_BYTES
        + match message {
            Message::Transfers(gifts) => {
                gifts.gifts.iter().map(|gift| bucket_bytes(gift.records.len())).sum()
            }
            Message::Replication(pins) => RECORD_BYTES * pins.records.len(),
            _ => 0,
        };
    Span(bytes as u64 * lanes * 1000 / BYTE_RATE)
}

/// Returns the bytes that a bucket with so many records takes in a message.
const fn bucket_bytes(records: usize) -> usize {
    match records {
        0 => EMPTY_BYTES,
        _ => FULL_BYTES + RECORD_BYTES * records,
    }
}

fn number_of(message: &Message) -> u32 {
    match message {
        Message::Transfers(gifts) => gifts.number,
        Message::Replication(pins) => pins.number,
        _ => 0,
    }
}

fn set_number(message: &mut Message, number: u32) {
    match message {
        Message::Transfers(gifts) => gifts.number = number,
        Message::Replication(pins) => pins.number = number,
        _ => {}
    }
}
