//! Feeds entry hosts with catalog and targets.

use std::cell::Cell;
use std::io::Result;
use std::time::{Duration, Instant};

use async_std::future::timeout;
use async_std::net::TcpStream;
use async_std::task::sleep;
use futures::channel::mpsc;
use futures::{AsyncReadExt, AsyncWrite, FutureExt, StreamExt, pin_mut, select};
use lagoongauge::id::HostId;
use lagoongauge::replica::Store;

use super::host::SharedHost;
use super::message::{FeedAck, FeedMessage, Neighbour};
use crate::frame;

/// Longest time between two messages to an entry host.
const STATUS_INTERVAL: Duration = Duration::from_millis(400);

/// Time after which an entry host takes a quiet feed for lost and turns to another control host.
pub(crate) const FEED_TIMEOUT: Duration = Duration::from_millis(1300);

/// Time in which changes are collected.
pub(super) const BATCH_DELAY: Duration = Duration::from_millis(15);

/// Time for which the second feed leaves a later catalog to the first one.
pub(super) const SECONDARY_DELAY: Duration = Duration::from_millis(600);

/// Time in which an entry host has to take a message, and to answer.
const IO_TIMEOUT: Duration = Duration::from_millis(2000);

/// Feeds one entry host until its connection is lost.
pub(super) async fn serve<S: Store + 'static>(
    host: SharedHost<S>,
    entry: HostId,
    centre: String,
    (version, secondary): (u64, bool),
    stream: TcpStream,
) -> Result<()> {
    let (mut reader, mut writer) = stream.split();
    let entry_version = Cell::new(version);
    let mut sent = SentState { revision: 0, version, secondary, caught_up: Instant::now() };
    let mut wakeups = host.add_feed();
    host.record_entry_host(entry, centre.clone());
    let sender = async {
        loop {
            sent.raise_version(entry_version.get());
            send_changes(&host, entry, &centre, &mut sent, &mut writer).await?;
            wait_for_changes(&mut wakeups).await;
        }
    }
    .fuse();
    let receiver = async {
        loop {
            let ack: FeedAck = frame::read(&mut reader, IO_TIMEOUT).await?;
            entry_version.set(ack.version);
            host.record_entry_host(entry, centre.clone());
        }
    }
    .fuse();
    pin_mut!(sender, receiver);
    select! {
        result = sender => result,
        result = receiver => result,
    }
}

/// What the entry host was sent.
struct SentState {
    revision: u64,
    version: u64,
    /// Whether another feed sends catalogs first.
    secondary: bool,
    /// Since when the entry host has had no later catalog to wait for.
    caught_up: Instant,
}

impl SentState {
    /// Notes which version the entry host holds, from whichever feed.
    fn raise_version(&mut self, version: u64) {
        self.version = self.version.max(version);
    }

    /// Tells whether a later catalog is to be sent now; the second feed waits for the first one.
    fn is_due(&mut self, version: u64) -> bool {
        if version <= self.version {
            self.caught_up = Instant::now();
            return false;
        }
        !self.secondary || self.caught_up.elapsed() >= SECONDARY_DELAY
    }
}

async fn send_changes<S: Store + 'static, W: AsyncWrite + Unpin>(
    host: &SharedHost<S>,
    entry: HostId,
    centre: &str,
    sent: &mut SentState,
    writer: &mut W,
) -> Result<()> {
    let (targets, revision) = {
        let roster = host.roster.borrow();
        let changed =
            roster.changed_since(sent.revision).map(|record| (record.entry.clone(), record.silent));
        (changed.collect::<Vec<_>>(), roster.revision())
    };
    sent.revision = revision;
    if !targets.is_empty() {
        frame::write(writer, &FeedMessage::Targets(targets), IO_TIMEOUT).await?;
    }
    let neighbours = Neighbour::choose(host.entry_hosts(), entry, centre);
    let (current, controls) = (host.is_current(), host.controls());
    frame::write(writer, &FeedMessage::Status { current, controls, neighbours }, IO_TIMEOUT)
        .await?;
    // Targets go first, as a catalog may take long and what drains can't wait.
    let compressed = host.compressed_document();
    if sent.is_due(compressed.version) {
        sent.version = compressed.version;
        frame::write(writer, &FeedMessage::Catalog((*compressed).clone()), IO_TIMEOUT).await?;
    }
    Ok(())
}

async fn wait_for_changes(wakeups: &mut mpsc::Receiver<()>) {
    if timeout(STATUS_INTERVAL, wakeups.next()).await.is_ok() {
        sleep(BATCH_DELAY).await;
    }
}
