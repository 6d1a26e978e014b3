//! Client of the operators' API: finds the leader and retries where that is safe.

use std::future::Future;
use std::net::SocketAddr;
use std::pin::pin;
use std::time::Duration;

use async_std::future::timeout;
use async_std::task::sleep;
use capnp_rpc::{RpcSystem, rpc_twoparty_capnp, twoparty};
use futures::executor::LocalPool;
use futures::future::{Either, select};

use lagoongauge::error::{Error, Kind};
use lagoongauge::settings::{Change, Edit};
use lagoongauge_schema::control_capnp::{entry, operator};

use super::connection;
use super::fault::{Fault, call_error, read_text};
use super::server::host_reader_options;
use super::traffic::{CountedStream, Traffic};
use super::view::{self, ControlView, EntryView};

/// Delay after all control hosts have failed, before they are tried again.
const RETRY_DELAY: Duration = Duration::from_millis(200);

/// Result of a call.
pub type Result<T> = std::result::Result<T, Fault>;

/// Client of the control hosts that authenticates with an operator's token.
#[derive(Debug, Clone)]
pub struct Client {
    addresses: Vec<SocketAddr>,
    token: String,
    limit: Duration,
}

/// One setting.
#[derive(Debug, Clone, PartialEq, Eq, serde::Serialize)]
pub struct SettingEntry {
    /// Path of the node.
    pub path: String,
    /// Name of the key.
    pub key: String,
    /// The value.
    pub value: String,
    /// Path of the level that sets it; empty if it is the default.
    pub origin: String,
}

/// Result of a read.
#[derive(Debug, Clone, PartialEq, Eq, serde::Serialize)]
pub struct Reading {
    /// Version of the tree.
    pub version: u64,
    /// Whether a quorum confirmed that no later version was accepted before the call.
    pub current: bool,
    /// The values.
    pub entries: Vec<SettingEntry>,
}

/// Status of all hosts.
#[derive(Debug, Clone, PartialEq, Eq, serde::Serialize)]
pub struct Overview {
    /// Version of the tree at the control host that answered.
    pub version: u64,
    /// The control hosts.
    pub controls: Vec<ControlView>,
    /// The entry hosts.
    pub entries: Vec<EntryView>,
}

/// Parameters of a read.
#[derive(Debug, Clone, Copy)]
pub struct Query<'a> {
    /// Name of the operation: `get`, `dump` or `watch`.
    pub operation: &'a str,
    /// Path of the node.
    pub path: &'a str,
    /// Version that the caller already has, for `watch`.
    pub since: u64,
    /// Milliseconds to wait for a later version, for `watch`.
    pub wait: u32,
}

impl Client {
    /// Creates a client that gives up after `limit`.
    pub fn new(addresses: Vec<SocketAddr>, token: String, limit: Duration) -> Self {
        Self { addresses, token, limit }
    }

    /// Reads settings.
    pub fn read(&self, query: Query<'_>) -> Result<Reading> {
        self.call(|client| self.read_with(client, query))
    }

    /// Requests a change; safe to repeat with the same request id.
    pub fn change(&self, change: &Change) -> Result<u64> {
        self.call(|client| self.change_with(client, change))
    }

    /// Requests the status of all hosts.
    pub fn status(&self) -> Result<Overview> {
        self.call(|client| self.status_with(client))
    }

    /// Removes a control host from the voters and learners.
    pub fn retire(&self, host: u32) -> Result<()> {
        self.call(|client| self.retire_with(client, host))
    }

    /// Calls the control hosts in turn, the hinted leader first, until one gives a final answer.
    fn call<T, F, C>(&self, call: C) -> Result<T>
    where
        F: Future<Output = Result<T>>,
        C: Fn(operator::Client) -> F,
    {
        let mut attempts = Attempts::default();
        let result = LocalPool::new().run_until(timeout(self.limit, async {
            loop {
                let mut addresses: Vec<String> =
                    self.addresses.iter().map(ToString::to_string).collect();
                while let Some(address) = attempts.next_address(&mut addresses) {
                    match attempts.run(&address, &call).await {
                        Err(fault) if is_retryable(fault.error.kind) => attempts.record(fault),
                        answer => return answer,
                    }
                }
                attempts.tried.clear();
                sleep(RETRY_DELAY).await;
            }
        }));
        result.unwrap_or_else(|_| Err(attempts.into_fault()))
    }

    async fn read_with(&self, client: operator::Client, query: Query<'_>) -> Result<Reading> {
        let mut request = client.read_request();
        let mut params = request.get();
        params.set_token(&self.token);
        params.set_operation(query.operation);
        params.set_path(query.path);
        params.set_since(query.since);
        params.set_wait(query.wait);
        let response = request.send().promise.await.map_err(connection_fault)?;
        let reader = response.get().map_err(connection_fault)?;
        if reader.has_fault() {
            return Err(reader.get_fault().and_then(Fault::read).map_err(connection_fault)?);
        }
        let entries = reader.get_entries().map_err(connection_fault)?;
        let entries: std::result::Result<Vec<SettingEntry>, capnp::Error> =
            entries.iter().map(read_setting).collect();
        let (version, current) = (reader.get_version(), reader.get_current());
        Ok(Reading { version, current, entries: entries.map_err(connection_fault)? })
    }

    async fn change_with(&self, client: operator::Client, change: &Change) -> Result<u64> {
        let mut request = client.change_request();
        let mut params = request.get();
        params.set_token(&self.token);
        params.set_expect(change.expected_version);
        params.set_request(&change.request_id);
        let mut list = params.init_edits(change.edits.len() as u32);
        for (index, edit) in change.edits.iter().enumerate() {
            write_edit(edit, list.reborrow().get(index as u32));
        }
        let response = request.send().promise.await.map_err(connection_fault)?;
        let reader = response.get().map_err(connection_fault)?;
        if reader.has_fault() {
            return Err(reader.get_fault().and_then(Fault::read).map_err(connection_fault)?);
        }
        Ok(reader.get_version())
    }

    async fn status_with(&self, client: operator::Client) -> Result<Overview> {
        let mut request = client.status_request();
        request.get().set_token(&self.token);
        let response = request.send().promise.await.map_err(connection_fault)?;
        let reader = response.get().map_err(connection_fault)?;
        if reader.has_fault() {
            return Err(reader.get_fault().and_then(Fault::read).map_err(connection_fault)?);
        }
        let controls = reader.get_controls().map_err(connection_fault)?;
        let controls: std::result::Result<Vec<ControlView>, capnp::Error> =
            controls.iter().map(ControlView::read).collect();
        let entries =
            reader.get_entries().and_then(view::read_entries).map_err(connection_fault)?;
        Ok(Overview {
            version: reader.get_version(),
            controls: controls.map_err(connection_fault)?,
            entries,
        })
    }

    async fn retire_with(&self, client: operator::Client, host: u32) -> Result<()> {
        let mut request = client.retire_request();
        request.get().set_token(&self.token);
        request.get().set_host(host);
        let response = request.send().promise.await.map_err(connection_fault)?;
        let reader = response.get().map_err(connection_fault)?;
        if reader.has_fault() {
            return Err(reader.get_fault().and_then(Fault::read).map_err(connection_fault)?);
        }
        Ok(())
    }
}

/// State of the attempts of one call.
#[derive(Debug, Default)]
struct Attempts {
    in_flight: bool,
    outcome_unknown: bool,
    hint: String,
    tried: Vec<String>,
    last_fault: Option<Fault>,
}

impl Attempts {
    /// Returns the hinted leader, even if it is not in the list, or else the first address.
    fn next_address(&mut self, addresses: &mut Vec<String>) -> Option<String> {
        let hint = std::mem::take(&mut self.hint);
        let address = if hint.is_empty() || self.tried.contains(&hint) {
            (!addresses.is_empty()).then(|| addresses.remove(0))?
        } else {
            addresses.retain(|address| *address != hint);
            hint
        };
        self.tried.push(address.clone());
        Some(address)
    }

    /// Makes one attempt; once connected, the call may run even if the attempt fails later.
    async fn run<T, F: Future<Output = Result<T>>>(
        &mut self,
        address: &str,
        call: &impl Fn(operator::Client) -> F,
    ) -> Result<T> {
        let connection = connection::dial_operator(address, &Traffic::default()).await?;
        self.in_flight = true;
        let answer = run_call(connection, call).await;
        self.in_flight = false;
        let may_have_run =
            |fault: &Fault| matches!(fault.error.kind, Kind::Unreachable | Kind::UnknownOutcome);
        self.outcome_unknown |= answer.as_ref().is_err_and(may_have_run);
        answer
    }

    /// Records why an attempt failed; `Unreachable` does not replace a more specific error.
    fn record(&mut self, fault: Fault) {
        self.hint.clone_from(&fault.hint);
        let unreachable = fault.error.kind == Kind::Unreachable;
        if !unreachable || self.last_fault.is_none() {
            self.last_fault = Some(fault);
        }
    }

    /// Returns why the call failed; an attempt that was interrupted or unanswered may have run.
    fn into_fault(self) -> Fault {
        let unreachable = Error::new(Kind::Unreachable, "no control host answered in time");
        let fault = self.last_fault.unwrap_or_else(|| Fault::from(unreachable));
        if !self.outcome_unknown && !self.in_flight {
            return fault;
        }
        let detail = format!("the call may have run; last error: {}", fault.error);
        Fault::from(Error::new(Kind::UnknownOutcome, detail))
    }
}

async fn run_call<T, F: Future<Output = Result<T>>>(
    (reader, writer): (CountedStream, CountedStream),
    call: &impl Fn(operator::Client) -> F,
) -> Result<T> {
    let side = rpc_twoparty_capnp::Side::Client;
    let network = twoparty::VatNetwork::new(reader, writer, side, host_reader_options());
    let mut system = RpcSystem::new(Box::new(network), None);
    let client: operator::Client = system.bootstrap(rpc_twoparty_capnp::Side::Server);
    match select(system, pin!(call(client))).await {
        Either::Left((ended, _)) => {
            let reason =
                ended.err().map_or_else(|| "closed by the peer".to_string(), |e| e.to_string());
            let detail = format!("control host disconnected: {reason}");
            Err(Fault::from(Error::new(Kind::Unreachable, detail)))
        }
        Either::Right((answer, _)) => answer,
    }
}

/// Returns whether the call may succeed on another control host, or on the same one later.
///
/// Resending is safe because a change carries its request id.
const fn is_retryable(kind: Kind) -> bool {
    matches!(
        kind,
        Kind::NotLeader
            | Kind::NoQuorum
            | Kind::NotCurrent
            | Kind::Unreachable
            | Kind::UnknownOutcome
    )
}

fn connection_fault(error: capnp::Error) -> Fault {
    Fault::from(call_error(&error))
}

fn read_setting(entry: entry::Reader<'_>) -> std::result::Result<SettingEntry, capnp::Error> {
    Ok(SettingEntry {
        path: read_text(entry.get_path()?)?,
        key: read_text(entry.get_key()?)?,
        value: read_text(entry.get_value()?)?,
        origin: read_text(entry.get_origin()?)?,
    })
}

fn write_edit(edit: &Edit, mut builder: lagoongauge_schema::control_capnp::edit::Builder<'_>) {
    builder.set_path(edit.path());
    match edit {
        Edit::Set { key, value, .. } => {
            builder.set_key(key);
            builder.set_set(value);
        }
        Edit::Unset { key, .. } => {
            builder.set_key(key);
            builder.set_unset(());
        }
        Edit::Remove { .. } => builder.set_remove(()),
    }
}
