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
const STATUS: Duration = Duration::from_millis(400);

/// Time after which an entry host takes a quiet feed for lost and turns to another control host.
pub(crate) const FEED_TIMEOUT: Duration = Duration::from_millis(1300);

/// Time in which changes are collected.
pub(super) const COLLECT: Duration = Duration::from_millis(15);

/// Time for which the second feed leaves a later catalog to the first one.
pub(super) const SECOND: Duration = Duration::from_millis(600);

/// Time in which an entry host has to take a message, and to answer.
const ANSWER: Duration = Duration::from_millis(2000);

/// Feeds one entry host until its connection is lost.
pub(super) async fn serve<S: Store + 'static>(
    host: SharedHost<S>,
    entry: HostId,
    centre: String,
    (version, secondary): (u64, bool),
    stream: TcpStream,
) -> Result<()> {
    let (mut reader, mut writer) = stream.split();
    let held = Cell::new(version);
    let mut state = Sent { stamp: 0, version, secondary, since: Instant::now() };
    let mut woken = host.add_feed();
    host.note_entry(entry, centre.clone());
    let sending = async {
        loop {
            state.skip(held.get());
            send(&host, entry, &centre, &mut state, &mut writer).await?;
            wait(&mut woken).await;
        }
    }
    .fuse();
    let answers = async {
        loop {
            let answer: FeedAck = frame::read(&mut reader, ANSWER).await?;
            held.set(answer.version);
            host.note_entry(entry, centre.clone());
        }
    }
    .fuse();
    pin_mut!(sending, answers);
    select! {
        ended = sending => ended,
        ended = answers => ended,
    }
}

/// What the entry host was sent.
struct Sent {
    stamp: u64,
    version: u64,
    /// Whether another feed sends catalogs first.
    secondary: bool,
    /// Since when the entry host has had no later catalog to wait for.
    since: Instant,
}

impl Sent {
    /// Notes which version the entry host holds, from whichever feed.
    fn skip(&mut self, held: u64) {
        self.version = self.version.max(held);
    }

    /// Tells whether a later catalog is to be sent now; the second feed waits for the first one.
    fn is_due(&mut self, version: u64) -> bool {
        if version <= self.version {
            self.since = Instant::now();
            return false;
        }
        !self.secondary || self.since.elapsed() >= SECOND
    }
}

async fn send<S: Store + 'static, W: AsyncWrite + Unpin>(
    host: &SharedHost<S>,
    entry: HostId,
    centre: &str,
    sent: &mut Sent,
    writer: &mut W,
) -> Result<()> {
    let (targets, stamp) = {
        let roster = host.roster.borrow();
        let changed =
            roster.changed_since(sent.stamp).map(|held| (held.entry.clone(), held.silent));
        (changed.collect::<Vec<_>>(), roster.revision())
    };
    sent.stamp = stamp;
    if !targets.is_empty() {
        frame::write(writer, &FeedMessage::Targets(targets), ANSWER).await?;
    }
    let neighbours = Neighbour::choose(host.entry_hosts(), entry, centre);
    let (current, controls) = (host.is_current(), host.controls());
    frame::write(writer, &FeedMessage::Status { current, controls, neighbours }, ANSWER).await?;
    // Targets go first, as a catalog may take long and what drains can't wait.
    let packed = host.packed();
    if sent.is_due(packed.version) {
        sent.version = packed.version;
        frame::write(writer, &FeedMessage::Catalog((*packed).clone()), ANSWER).await?;
    }
    Ok(())
}

async fn wait(woken: &mut mpsc::Receiver<()>) {
    if timeout(STATUS, woken.next()).await.is_ok() {
        sleep(COLLECT).await;
    }
}
