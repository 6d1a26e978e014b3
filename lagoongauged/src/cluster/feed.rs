//! Feeds: streams of the catalog, the targets and the evacuated data centres to entry hosts.

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
use super::message::{FeedAck, FeedMessage};
use super::version::VersionRange;
use crate::frame;

/// Maximum interval between two messages to an entry host.
const STATUS_INTERVAL: Duration = Duration::from_millis(400);

/// Time without a message after which an entry host considers a feed lost and connects to another
/// control host.
pub(crate) const FEED_TIMEOUT: Duration = Duration::from_millis(1300);

/// Delay after a change, so that further changes are sent in the same batch.
pub(super) const BATCH_DELAY: Duration = Duration::from_millis(15);

/// Delay before the secondary feed sends a new catalog that the primary feed has not delivered, and
/// before it sends the roster for the first time.
pub(super) const SECONDARY_DELAY: Duration = Duration::from_millis(600);

/// Timeout for an entry host to accept a chunk of a message, and to send an acknowledgement.
const IO_TIMEOUT: Duration = Duration::from_millis(2000);

/// An entry host that subscribed to a feed.
#[derive(Debug)]
pub(super) struct Subscriber {
    /// Its id.
    pub(super) entry: HostId,
    /// Name of its data centre.
    pub(super) centre: String,
    /// Version of its catalog.
    pub(super) version: u64,
    /// Whether another control host sends catalogs first.
    pub(super) secondary: bool,
    /// Versions of messages that it speaks.
    pub(super) versions: VersionRange,
}

/// Feeds an entry host until its connection is lost.
///
/// Fails with `Unsupported` if the hosts have no version in common; the entry host learns it first.
pub(super) async fn serve<S: Store + 'static>(
    host: SharedHost<S>,
    subscriber: Subscriber,
    stream: TcpStream,
) -> Result<()> {
    let Subscriber { entry, centre, version, secondary, versions } = subscriber;
    let (mut reader, mut writer) = stream.split();
    let agreed = host.versions.borrow_mut().record(entry, versions);
    if versions != VersionRange::UNSAID {
        let own = FeedMessage::Versions(VersionRange::OWN);
        frame::write(&mut writer, &own, IO_TIMEOUT).await?;
    }
    agreed?;
    let entry_version = Cell::new(version);
    let opened = Instant::now();
    let mut sent =
        SentState { revision: 0, evacuations: 0, version, secondary, opened, caught_up: opened };
    let mut wakeups = host.add_feed();
    host.record_entry_host(entry, centre.clone());
    let sender_task = async {
        loop {
            sent.raise_version(entry_version.get());
            send_changes(&host, entry, &centre, &mut sent, &mut writer).await?;
            let current = host.is_current();
            wait_for_changes(&mut wakeups, || host.is_current() != current).await;
        }
    }
    .fuse();
    let receiver_task = async {
        loop {
            let ack: FeedAck = frame::read(&mut reader, IO_TIMEOUT).await?;
            entry_version.set(ack.version);
            host.record_entry_host(entry, centre.clone());
        }
    }
    .fuse();
    pin_mut!(sender_task, receiver_task);
    select! {
        result = sender_task => result,
        result = receiver_task => result,
    }
}

/// State that was sent to the entry host.
struct SentState {
    /// Revision of the roster.
    revision: u64,
    /// Revision of the evacuated data centres.
    evacuations: u64,
    /// Version of the catalog.
    version: u64,
    /// Whether another feed of the entry host is its primary source of catalogs.
    secondary: bool,
    /// When the feed was opened.
    opened: Instant,
    /// When the entry host last had the newest catalog.
    caught_up: Instant,
}

impl SentState {
    /// Records the catalog version of the entry host, which may come from another feed.
    fn raise_version(&mut self, version: u64) {
        self.version = self.version.max(version);
    }

    /// Returns whether targets may be sent now. The first feed sends the whole roster, and the
    /// secondary one waits so that it need not be sent twice while a fleet starts.
    fn may_send_targets(&self) -> bool {
        !self.secondary || self.revision > 0 || self.opened.elapsed() >= SECONDARY_DELAY
    }

    /// Returns whether a catalog has to be sent now; the secondary feed waits for the primary one.
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
    let evacuated = host.evacuated_centres();
    if evacuated.revision > sent.evacuations {
        sent.evacuations = evacuated.revision;
        frame::write(writer, &FeedMessage::Evacuated(evacuated), IO_TIMEOUT).await?;
    }
    while sent.may_send_targets()
        && let Some(batch) = host.target_batch(sent.revision)?
    {
        sent.revision = batch.until;
        frame::write_frame(writer, &batch.frame, IO_TIMEOUT).await?;
    }
    let neighbours = host.neighbours(entry, centre);
    let (current, controls) = (host.is_current(), host.controls());
    frame::write(writer, &FeedMessage::Status { current, controls, neighbours }, IO_TIMEOUT)
        .await?;
    // Targets are sent first: a catalog may take long, and draining targets must not wait for it.
    let compressed = host.compressed_document();
    if sent.is_due(compressed.version) {
        sent.version = compressed.version;
        frame::write(writer, &FeedMessage::Catalog((*compressed).clone()), IO_TIMEOUT).await?;
    }
    Ok(())
}

/// Waits until there may be something to send; what is urgent is not held back for a batch.
async fn wait_for_changes(wakeups: &mut mpsc::Receiver<()>, is_urgent: impl Fn() -> bool) {
    if timeout(STATUS_INTERVAL, wakeups.next()).await.is_ok() && !is_urgent() {
        sleep(BATCH_DELAY).await;
    }
}
