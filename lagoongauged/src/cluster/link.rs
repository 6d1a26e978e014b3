//! Connections from a control host to the others.

use std::collections::VecDeque;
use std::io::Result;
use std::time::Duration;

use async_std::net::TcpStream;
use async_std::task::{sleep, spawn_local};
use futures::channel::mpsc;
use futures::{AsyncReadExt, FutureExt, StreamExt, pin_mut, select};
use lagoongauge::id::HostId;
use lagoongauge::replica::Store;

use super::host::SharedHost;
use super::message::{Hello, PeerMessage, host_address};
use crate::daemon::Backoff;
use crate::frame;

/// Time in which a control host has to accept a connection.
const DIAL: Duration = Duration::from_millis(600);

/// Time in which a message has to be counted by its receiver.
pub(super) const ANSWER: Duration = Duration::from_millis(1200);

/// Time after which a quiet connection counts as lost; lists of hosts are sent more often.
pub(super) const QUIET: Duration = Duration::from_millis(4000);

/// Messages that wait for a connection; the oldest are dropped, as the log repeats itself.
const WAITING: usize = 512;

/// Messages to one control host.
#[derive(Debug, Default)]
pub(super) struct Link {
    queue: VecDeque<PeerMessage>,
    wake: Option<mpsc::Sender<()>>,
    /// Messages that were pushed since the link was made.
    pushed: u64,
    /// Messages up to this one have been taken by the other host.
    taken: u64,
    running: bool,
}

impl Link {
    /// Adds a message; returns its number.
    pub(super) fn push(&mut self, message: PeerMessage) -> u64 {
        if self.queue.len() == WAITING {
            self.queue.pop_front();
        }
        self.queue.push_back(message);
        self.pushed += 1;
        if let Some(wake) = &mut self.wake {
            let _ = wake.try_send(());
        }
        self.pushed
    }

    /// Tells whether the other host has taken a message.
    pub(super) fn has_taken(&self, number: u64) -> bool {
        self.taken >= number
    }
}

/// Starts the tasks of links that have none.
pub(super) fn open<S: Store + 'static>(host: &SharedHost<S>) {
    let mut links = host.links.borrow_mut();
    for (peer, link) in links.iter_mut().filter(|(_, link)| !link.running) {
        link.running = true;
        spawn_local(run(SharedHost::clone(host), *peer));
    }
}

async fn run<S: Store + 'static>(host: SharedHost<S>, peer: HostId) {
    let address = host_address(peer, host.setup.port);
    let mut lost = false;
    let mut backoff = Backoff::default();
    loop {
        match frame::dial(address, DIAL).await {
            Ok(stream) => {
                log::info!("control host {peer} at {address} is connected");
                let ended = carry(&host, peer, stream).await;
                log::warn!("control host {peer} at {address} is lost: {}", shown(&ended));
                lost = false;
                backoff.reset();
            }
            Err(error) if !lost => {
                log::warn!("control host {peer} at {address} can't be reached: {error}");
                lost = true;
            }
            Err(_) => {}
        }
        if let Some(link) = host.links.borrow_mut().get_mut(&peer) {
            link.wake = None;
            link.queue.retain(|message| !message.ages());
        }
        sleep(backoff.next_delay()).await;
    }
}

fn shown(ended: &Result<()>) -> String {
    ended.as_ref().err().map_or_else(|| "it closed the connection".into(), ToString::to_string)
}

/// Sends all that is queued and counts what arrives, until the connection is lost.
async fn carry<S: Store + 'static>(
    host: &SharedHost<S>,
    peer: HostId,
    stream: TcpStream,
) -> Result<()> {
    let (mut reader, mut writer) = stream.split();
    let hello = Hello::Control { host: host.setup.host };
    frame::write(&mut writer, &hello, ANSWER).await?;
    let (sender, mut woken) = mpsc::channel(1);
    let base = greet(host, peer, sender);
    let sending = async {
        loop {
            while let Some(message) = next(host, peer) {
                frame::write(&mut writer, &message, ANSWER).await?;
            }
            let _ = woken.next().await;
        }
    }
    .fuse();
    let counting = async {
        loop {
            let waits = host.links.borrow().get(&peer).is_some_and(|it| it.taken < it.pushed);
            let limit = if waits { ANSWER } else { QUIET };
            let count: u64 = frame::read(&mut reader, limit).await?;
            if let Some(link) = host.links.borrow_mut().get_mut(&peer) {
                link.taken = link.taken.max(base + count);
            }
        }
    }
    .fuse();
    pin_mut!(sending, counting);
    select! {
        ended = sending => ended,
        ended = counting => ended,
    }
}

/// Puts all that this host knows at the head of the queue; returns the number before the first
/// queued message, from which the receiver counts.
fn greet<S: Store + 'static>(host: &SharedHost<S>, peer: HostId, wake: mpsc::Sender<()>) -> u64 {
    let entries = host.roster.borrow().entries();
    let hosts = PeerMessage::Hosts { controls: host.controls(), entry_hosts: host.entry_hosts() };
    let mut links = host.links.borrow_mut();
    let Some(link) = links.get_mut(&peer) else { return 0 };
    link.wake = Some(wake);
    link.push(hosts);
    link.push(PeerMessage::Targets(entries));
    link.pushed - link.queue.len() as u64
}

fn next<S>(host: &SharedHost<S>, peer: HostId) -> Option<PeerMessage> {
    host.links.borrow_mut().get_mut(&peer)?.queue.pop_front()
}

/// Takes what another control host sends, and counts it.
pub(super) async fn serve<S: Store + 'static>(
    host: SharedHost<S>,
    peer: HostId,
    stream: TcpStream,
) -> Result<()> {
    let (mut reader, mut writer) = stream.split();
    host.add_controls(&[peer]);
    let mut count = 0u64;
    loop {
        let message: PeerMessage = frame::read(&mut reader, QUIET).await?;
        host.take(peer, message);
        count += 1;
        frame::write(&mut writer, &count, ANSWER).await?;
    }
}
