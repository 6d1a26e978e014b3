//! RPC service for other hosts: polls of entry hosts and replication messages.

use std::rc::Rc;
use std::time::Duration;

use async_std::future::timeout;
use capnp::Error;

use lagoongauge::distribute::{Digest, TableVersion};
use lagoongauge::error::{Error as ServiceError, Kind};
use lagoongauge::id::{CentreId, HostId};
use lagoongauge::replica::{Message, Store};
use lagoongauge::time::{Instant, Span};
use lagoongauge_schema::control_capnp::control;

use super::fault::{Fault, read_text};
use super::host::{EntryReport, SharedHost};
use super::view;

/// Shortest time limit of a poll that waits for a newer version.
const MIN_WAIT_MS: u64 = 2000;

/// Longest time limit of a poll that waits for a newer version.
const MAX_WAIT_MS: u64 = 10_000;

/// Time that each active entry host adds to the limit, so that the poll traffic stays bounded.
const WAIT_PER_HOST_MS: u64 = 80;

/// Time after its last poll during which an entry host counts as active.
const ACTIVE_WINDOW: Span = Span::seconds(30);

/// RPC service for one authenticated host.
pub struct HostService<S> {
    host: SharedHost<S>,
    peer: HostId,
}

impl<S: Store + 'static> HostService<S> {
    /// Creates the service for a host that has authenticated with the cluster key.
    pub fn new(host: SharedHost<S>, peer: HostId) -> Self {
        Self { host, peer }
    }

    /// Waits until there is a newer version than the host has, or until the poll wait has passed.
    async fn wait_newer(&self, table_version: Option<TableVersion>) {
        let wait = async {
            while self.host.source.borrow().update(table_version).is_none() {
                let _ = self.host.published.wait().await;
            }
        };
        let _ = timeout(Duration::from_millis(self.poll_wait_ms()), wait).await;
    }

    fn poll_wait_ms(&self) -> u64 {
        let now = self.host.clock.now();
        let reports = self.host.entry_reports.borrow();
        let active =
            reports.values().filter(|report| now.since(report.received_at) < ACTIVE_WINDOW).count()
                as u64;
        (active * WAIT_PER_HOST_MS).clamp(MIN_WAIT_MS, MAX_WAIT_MS)
    }

    /// Returns whether a quorum has confirmed the published version since `arrived_at`.
    ///
    /// With `ask_leader`, a follower asks the leader now; otherwise it relies on its periodic
    /// confirmation.
    async fn is_current(&self, arrived_at: Instant, ask_leader: bool) -> bool {
        let is_leader = self.host.engine.borrow().is_leader();
        if is_leader {
            let _ = self.host.confirm_as_leader();
        } else if ask_leader {
            let version = self.host.confirm().await.unwrap_or_default();
            self.wait_published(version).await;
        }
        let version = self.host.source.borrow().version();
        let confirmed = self.host.confirmed.get();
        version > 0
            && confirmed.is_some_and(|(at, confirmed_version)| {
                at >= arrived_at && confirmed_version == version
            })
    }

    async fn wait_published(&self, version: u64) {
        let wait = async {
            while self.host.source.borrow().version() < version {
                let _ = self.host.published.wait().await;
            }
        };
        let _ = timeout(Duration::from_secs(1), wait).await;
    }
}

impl<S: Store + 'static> control::Server for HostService<S> {
    async fn poll(
        self: Rc<Self>,
        params: control::PollParams,
        mut results: control::PollResults,
    ) -> Result<(), Error> {
        let arrived_at = self.host.clock.now();
        let params = params.get()?;
        let table_version = read_table_version(params.get_version(), params.get_digest()?)?;
        let known_book_digest = params.get_book();
        let report = EntryReport {
            centre: CentreId(params.get_centre()),
            version: params.get_version(),
            unconfirmed: params.get_unconfirmed(),
            report: read_text(params.get_report()?)?,
            received_at: arrived_at,
        };
        if HostId(params.get_host()) != self.peer {
            let detail = format!("{} speaks for host {}", self.peer, params.get_host());
            let fault = Fault::from(ServiceError::new(Kind::Forbidden, detail));
            fault.write(results.get().init_fault());
            return Ok(());
        }
        self.host.record_report(self.peer, report);
        if table_version.is_some() {
            self.wait_newer(table_version).await;
        }
        let current = self.is_current(arrived_at, table_version.is_none()).await;
        let source = self.host.source.borrow();
        let mut reply = results.get();
        reply.set_version(source.version());
        reply.set_current(current);
        reply.set_wait(self.poll_wait_ms() as u32);
        if let Some(update) = source.update(table_version).filter(|update| update.version > 0) {
            reply.set_update(&update.encode());
        }
        let address_book = self.host.address_book();
        if address_book.digest() != known_book_digest {
            address_book.write(reply.init_controls(address_book.len()));
        }
        Ok(())
    }

    async fn step(
        self: Rc<Self>,
        params: control::StepParams,
        mut results: control::StepResults,
    ) -> Result<(), Error> {
        let bytes = params.get()?.get_message()?;
        let message =
            Message::from_bytes(bytes).map_err(|error| Error::failed(error.to_string()))?;
        if message.from.host != self.peer {
            return Err(Error::failed(format!("{} speaks for another host", self.peer)));
        }
        let now = self.host.clock.now();
        self.host.engine.borrow_mut().handle_message(now, message);
        let replies = self.host.process_effects_for(self.peer);
        let mut list = results.get().init_messages(replies.len() as u32);
        for (index, reply) in replies.iter().enumerate() {
            list.set(index as u32, reply);
        }
        Ok(())
    }

    async fn confirm(
        self: Rc<Self>,
        _params: control::ConfirmParams,
        mut results: control::ConfirmResults,
    ) -> Result<(), Error> {
        match self.host.confirm_as_leader() {
            Ok(version) => results.get().set_version(version),
            Err(error) => Fault::from(error).write(results.get().init_fault()),
        }
        Ok(())
    }

    async fn view(
        self: Rc<Self>,
        _params: control::ViewParams,
        mut results: control::ViewResults,
    ) -> Result<(), Error> {
        let mut reply = results.get();
        view::own_control(&self.host).write(reply.reborrow().init_control());
        let entries = view::own_entries(&self.host);
        view::write_entries(&entries, reply.init_entries(entries.len() as u32));
        Ok(())
    }
}

fn read_table_version(version: u64, digest: &[u8]) -> Result<Option<TableVersion>, Error> {
    if version == 0 || digest.is_empty() {
        return Ok(None);
    }
    let digest = <[u8; 16]>::try_from(digest)
        .map_err(|_| Error::failed("a digest does not have 16 bytes".into()))?;
    Ok(Some(TableVersion { version, digest: Digest(u128::from_le_bytes(digest)) }))
}
