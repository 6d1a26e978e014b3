//! Transfer of buckets to their new homes and replication of records, both at a limited byte rate.

use std::collections::VecDeque;

use indexmap::IndexMap;

use super::admit::Admit;
use super::flow_table::to_seconds;
use super::message::{Action, Message, Replication, Transfer, Transfers};
use super::plan::{Stamp, View};
use super::record::Record;
use super::role::BucketRole;
use super::state::RouterState;
use crate::id::{HostId, ServiceId};
use crate::time::{Instant, Span};

/// Bytes per second that a host sends for transfers and replication, headers included.
const BYTES_PER_SECOND: u64 = 4_500;

/// Bytes of the IP, UDP and message headers.
const HEADER_BYTES: usize = 96;

/// Maximum number of records in one message.
const MAX_RECORDS: usize = 120;

/// Maximum number of buckets in one message.
const MAX_TRANSFERS: usize = 900;

/// Maximum payload bytes of a transfer message, so that it fits into one datagram.
const MAX_TRANSFER_BYTES: usize = 1_200;

/// Encoded bytes of a bucket without records.
const EMPTY_BUCKET_BYTES: usize = 1;

/// Encoded bytes of a bucket with records, without the records themselves.
const BUCKET_HEADER_BYTES: usize = 6;

/// Encoded bytes of a record.
const RECORD_BYTES: usize = 10;

/// First and longest retransmission interval of a message.
const RESEND_INTERVALS: (Span, Span) = (Span::millis(300), Span::millis(2_400));

/// Maximum number of messages queued for one receiver.
const MAX_QUEUED_MESSAGES: usize = 512;

/// Outgoing messages to one receiver, at most one of them unacknowledged.
#[derive(Debug, Default)]
struct PeerQueue {
    number: u32,
    messages: VecDeque<Message>,
    in_flight: Option<InFlight>,
    next_send: Instant,
}

#[derive(Debug)]
struct InFlight {
    message: Message,
    resend_at: Instant,
    backoff: Span,
}

/// Outgoing transfers and replication of a host.
#[derive(Debug, Default)]
pub(super) struct Handover {
    queues: IndexMap<HostId, PeerQueue>,
}

impl Handover {
    /// Adopts a new view: drops messages to lost hosts and updates the view of queued transfers.
    pub fn change_view(&mut self, view: &View) {
        self.queues.retain(|host, _| view.contains(*host));
        for queue in self.queues.values_mut() {
            let sent = queue.in_flight.iter_mut().map(|sent| &mut sent.message);
            for message in queue.messages.iter_mut().chain(sent) {
                if let Message::Transfers(transfers) = message {
                    transfers.view = view.stamp;
                }
            }
        }
    }

    /// Queues records for replication to the backups of their buckets.
    pub fn replicate_to_backups(
        &mut self,
        service: ServiceId,
        bits: u8,
        stamp: Stamp,
        records: &[Record],
        view: &View,
    ) {
        let mut by_backup: IndexMap<HostId, Vec<Record>> = IndexMap::new();
        for &record in records {
            if let Some(backup) = view.backup(service, record.key().bucket(bits)) {
                by_backup.entry(backup).or_default().push(record);
            }
        }
        for (backup, records) in by_backup {
            self.queue_replication(backup, service, bits, stamp, &records);
        }
    }

    /// Queues records for replication to the homes of their buckets.
    pub fn replicate_to_homes(
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
            self.queue_replication(home, service, bits, stamp, &records);
        }
    }

    fn queue_replication(
        &mut self,
        to: HostId,
        service: ServiceId,
        bits: u8,
        stamp: Stamp,
        records: &[Record],
    ) {
        let queue = self.queues.entry(to).or_default();
        for records in records.chunks(MAX_RECORDS) {
            if queue.messages.len() < MAX_QUEUED_MESSAGES {
                let records = records.to_vec();
                let replication = Replication { number: 0, stamp, service, bits, records };
                queue.messages.push_back(Message::Replication(replication));
            }
        }
    }

    /// Returns whether any message is queued or unacknowledged.
    pub fn has_messages(&self) -> bool {
        self.queues.values().any(|queue| queue.in_flight.is_some() || !queue.messages.is_empty())
    }

    /// Removes and returns the unacknowledged message with this number, if there is one.
    fn take_acknowledged(&mut self, from: HostId, number: u32) -> Option<Message> {
        let queue = self.queues.get_mut(&from)?;
        let sent = queue.in_flight.take_if(|sent| message_number(&sent.message) == number)?;
        Some(sent.message)
    }
}

impl RouterState {
    /// Sends the messages that are due, at most one per receiver.
    pub fn tick_handover(&mut self, now: Instant) -> Vec<Action> {
        let mut actions = Vec::new();
        let view = &self.plan.view;
        let peer_count = (view.hosts.len() + view.leaving.len()).saturating_sub(1).max(1) as u64;
        for host in view.hosts.clone() {
            if host == self.own {
                continue;
            }
            let queue = self.handover.queues.entry(host).or_default();
            if let Some(sent) = &mut queue.in_flight {
                if now >= sent.resend_at && now >= queue.next_send {
                    sent.backoff = Span(sent.backoff.0 * 2).min(RESEND_INTERVALS.1);
                    sent.resend_at = now + sent.backoff;
                    queue.next_send = now + pacing_delay(&sent.message, peer_count);
                    actions.push(Action::Send(host, sent.message.clone()));
                }
                continue;
            }
            if now < queue.next_send {
                continue;
            }
            if queue.messages.is_empty() {
                self.queue_transfers(now, host);
            }
            let Some(queue) = self.handover.queues.get_mut(&host) else { continue };
            let Some(mut message) = queue.messages.pop_front() else { continue };
            queue.number += 1;
            set_number(&mut message, queue.number);
            queue.next_send = now + pacing_delay(&message, peer_count);
            let resend_at = now + RESEND_INTERVALS.0;
            queue.in_flight =
                Some(InFlight { message: message.clone(), resend_at, backoff: RESEND_INTERVALS.0 });
            actions.push(Action::Send(host, message));
        }
        actions
    }

    /// Takes over the buckets that a former home transfers.
    pub fn handle_transfers(
        &mut self,
        now: Instant,
        from: HostId,
        transfers: Transfers,
        limits: &impl Admit,
    ) -> Vec<Action> {
        let layout = self.plan.services.get(&transfers.service);
        let (Some(layout), Some(flows)) = (layout, self.flow_tables.get_mut(&transfers.service))
        else {
            return Vec::new();
        };
        if transfers.view != self.plan.view.stamp || transfers.bits != layout.bits {
            return Vec::new();
        }
        for transfer in transfers.transfers {
            if transfer.bucket >= flows.count()
                || flows.role(transfer.bucket) != BucketRole::Incoming(from)
            {
                continue;
            }
            for record in transfer.records {
                if usize::from(record.target()) < layout.targets.len() {
                    flows
                        .add_transferred(record.rebased(transfers.second, to_seconds(now)), limits);
                }
            }
            if transfer.last {
                flows.complete_transfer(now, transfer.bucket, transfer.timers);
            }
        }
        let ack = Message::TransferAck { view: transfers.view, number: transfers.number };
        vec![Action::Send(from, ack)]
    }

    /// Gives up the buckets whose transfer the new home has acknowledged.
    pub fn handle_transfer_ack(&mut self, from: HostId, number: u32, limits: &impl Admit) {
        let Some(Message::Transfers(transfers)) = self.handover.take_acknowledged(from, number)
        else {
            return;
        };
        let Some(flows) = self.flow_tables.get_mut(&transfers.service) else { return };
        let complete = transfers
            .transfers
            .iter()
            .filter(|transfer| transfer.last)
            .map(|transfer| transfer.bucket);
        let done: Vec<_> = complete.filter(|&b| flows.role(b) == BucketRole::InTransit).collect();
        done.iter().for_each(|&bucket| flows.set_role(bucket, BucketRole::NotOwner));
        flows.discard(&done, limits);
    }

    /// Adds the records that a home replicates here, or that a formerly isolated host sends.
    pub fn handle_replication(
        &mut self,
        now: Instant,
        from: HostId,
        replication: Replication,
        limits: &impl Admit,
    ) -> Vec<Action> {
        let layout = self.plan.services.get(&replication.service);
        let (Some(layout), Some(flows)) = (layout, self.flow_tables.get_mut(&replication.service))
        else {
            return Vec::new();
        };
        for record in replication.records {
            if usize::from(record.target()) < layout.targets.len()
                && replication.bits == layout.bits
            {
                flows.add_replica(record.with_last_seen(to_seconds(now)), limits);
            }
        }
        vec![Action::Send(from, Message::ReplicationAck { number: replication.number })]
    }

    /// Removes the replication message that the receiver has acknowledged.
    pub fn handle_replication_ack(&mut self, from: HostId, number: u32) {
        self.handover.take_acknowledged(from, number);
    }

    /// Queues the next buckets for their new home; from here on their records don't change.
    fn queue_transfers(&mut self, now: Instant, to: HostId) {
        let view = self.plan.view.stamp;
        for (&service, flows) in
            self.flow_tables.iter_mut().filter(|(_, flows)| flows.has_outgoing())
        {
            let is_home = |bucket: &u32| self.plan.view.home(service, *bucket) == Some(to);
            let buckets: Vec<_> =
                flows.buckets(BucketRole::Outgoing).filter(is_home).take(MAX_TRANSFERS).collect();
            if buckets.is_empty() {
                continue;
            }
            let mut transfers = Vec::new();
            let mut bytes = 0;
            for bucket in buckets {
                let records = flows.records(bucket);
                bytes += bucket_bytes(records.len());
                if !transfers.is_empty() && bytes > MAX_TRANSFER_BYTES {
                    break;
                }
                flows.set_role(bucket, BucketRole::InTransit);
                transfers.extend(split_transfer(
                    bucket,
                    flows.remaining_timers(now, bucket),
                    &records,
                ));
            }
            let Some(queue) = self.handover.queues.get_mut(&to) else { return };
            let (bits, second) = (flows.bits(), to_seconds(now));
            let unsplit = transfers.iter().all(|transfer: &Transfer| transfer.last);
            let message = |transfers| {
                Message::Transfers(Transfers { view, number: 0, service, bits, transfers, second })
            };
            match unsplit {
                true => queue.messages.push_back(message(transfers)),
                false => queue
                    .messages
                    .extend(transfers.into_iter().map(|transfer| message(vec![transfer]))),
            }
            return;
        }
    }
}

/// Splits a bucket into transfers that fit into one message each.
fn split_transfer(bucket: u32, timers: (u32, u32), records: &[Record]) -> Vec<Transfer> {
    if records.is_empty() {
        return vec![Transfer { bucket, timers, last: true, records: Vec::new() }];
    }
    let count = records.len().div_ceil(MAX_RECORDS);
    let chunks = records.chunks(MAX_RECORDS).enumerate();
    let transfer = |(i, records): (usize, &[Record])| {
        let last = i + 1 == count;
        Transfer { bucket, timers, last, records: records.to_vec() }
    };
    chunks.map(transfer).collect()
}

/// Returns the pause after a message with which all queues together keep to the byte rate.
fn pacing_delay(message: &Message, queue_count: u64) -> Span {
    let bytes = HEADER_BYTES
        + match message {
            Message::Transfers(transfers) => transfers
                .transfers
                .iter()
                .map(|transfer| bucket_bytes(transfer.records.len()))
                .sum(),
            Message::Replication(replication) => RECORD_BYTES * replication.records.len(),
            _ => 0,
        };
    Span(bytes as u64 * queue_count * 1000 / BYTES_PER_SECOND)
}

/// Returns the encoded bytes of a bucket with this number of records.
const fn bucket_bytes(records: usize) -> usize {
    match records {
        0 => EMPTY_BUCKET_BYTES,
        _ => BUCKET_HEADER_BYTES + RECORD_BYTES * records,
    }
}

fn message_number(message: &Message) -> u32 {
    match message {
        Message::Transfers(transfers) => transfers.number,
        Message::Replication(replication) => replication.number,
        _ => 0,
    }
}

fn set_number(message: &mut Message, number: u32) {
    match message {
        Message::Transfers(transfers) => transfers.number = number,
        Message::Replication(replication) => replication.number = number,
        _ => {}
    }
}
