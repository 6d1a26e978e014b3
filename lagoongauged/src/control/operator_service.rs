//! RPC service for operators.

use std::rc::Rc;
use std::time::Duration;

use async_std::future::timeout;
use capnp::Error as RpcError;
use lagoongauge::error::{Error, Kind, Result};
use lagoongauge::replica::Store;
use lagoongauge::settings::{
    self, Change, ChangeOutcome, Command, Edit, MAX_EDITS, Operation, Origin, Path, SettingValue,
    Token,
};
use lagoongauge_schema::control_capnp::{edit, entry, operator};

use super::cluster_status;
use super::fault::{Fault, read_text};
use super::host::SharedHost;
use super::view::write_entries;
use crate::daemon::Clock;
use crate::engine::decode_outcome;

/// Time after which the outcome of an unanswered change is reported as unknown.
const CHANGE_TIMEOUT: Duration = Duration::from_secs(5);

/// Maximum time that a read waits for a newer version.
const MAX_WATCH_MS: u32 = 30_000;

/// RPC service for one operator's connection.
pub struct OperatorService<S> {
    host: SharedHost<S>,
}

/// Result of a read.
struct Reading {
    version: u64,
    current: bool,
    entries: Vec<SettingValue>,
}

/// Parameters of a read.
struct Query {
    token: String,
    operation: String,
    path: String,
    since: u64,
    wait: u32,
}

impl<S: Store + 'static> OperatorService<S> {
    /// Creates the service for one connection.
    pub fn new(host: SharedHost<S>) -> Self {
        Self { host }
    }

    /// Verifies a token and returns the operator's path and subtree.
    fn authenticate(&self, token: &str) -> Result<(Path, Path)> {
        let token = Token::try_from(token)?;
        let engine = self.host.engine.borrow();
        if engine.state().version() == 0 {
            return Err(Error::new(Kind::NotCurrent, "this control host has no settings yet"));
        }
        let subtree = engine.state().authenticate(&token)?;
        Ok((token.operator, subtree))
    }

    async fn read_settings(&self, query: Query) -> Result<Reading> {
        let named = Operation::ALL.iter().find(|operation| operation.name() == query.operation);
        let operation = *named.filter(|operation| operation.is_read()).ok_or_else(|| {
            Error::new(Kind::NotFound, format!("no read is named {:?}", query.operation))
        })?;
        let path = Path::try_from(query.path.as_str())?;
        let (_, subtree) = self.authenticate(&query.token)?;
        operation.authorize(&subtree, &path)?;
        if operation == Operation::Watch {
            self.wait_newer(query.since, query.wait).await;
        }
        let confirmed = self.host.confirm().await;
        let current = match confirmed {
            Ok(version) => self.host.wait_applied(version).await,
            Err(_) => false,
        };
        // The operator's rights may have been revoked during the wait.
        let (_, subtree) = self.authenticate(&query.token)?;
        let engine = self.host.engine.borrow();
        let tree = engine.state().tree();
        let entries = match operation {
            Operation::Dump => settings::dump(tree, &subtree, &path)?,
            _ => settings::get(tree, &subtree, &path)?,
        };
        Ok(Reading { version: engine.state().version(), current, entries })
    }

    async fn wait_newer(&self, since: u64, wait: u32) {
        let newer = async {
            while self.host.engine.borrow().state().version() <= since {
                let _ = self.host.accepted.wait().await;
            }
        };
        let limit = Duration::from_millis(u64::from(wait.min(MAX_WATCH_MS)));
        let _ = timeout(limit, newer).await;
    }

    async fn apply_change(&self, token: &str, change: Change) -> std::result::Result<u64, Fault> {
        let pending = self.propose(token, change).map_err(|error| self.fault(error))?;
        let pending = match pending {
            Proposal::Recorded(outcome) => return version_or_fault(outcome),
            Proposal::Pending(pending) => pending,
        };
        self.host.process_effects();
        let unknown = || {
            let detail = "the change was not answered in time; resend it with the same request id";
            self.fault(Error::new(Kind::UnknownOutcome, detail))
        };
        let answer = timeout(CHANGE_TIMEOUT, pending).await.map_err(|_| unknown())?;
        let outcome =
            decode_outcome(answer.map_err(|_| unknown())?).map_err(|error| self.fault(error))?;
        version_or_fault(outcome)
    }

    fn propose(&self, token: &str, change: Change) -> Result<Proposal> {
        self.check_leader()?;
        change.check()?;
        let (operator, _) = self.authenticate(token)?;
        let mut engine = self.host.engine.borrow_mut();
        if let Some(outcome) = engine.state().recorded_outcome(&operator, &change)? {
            return Ok(Proposal::Recorded(outcome));
        }
        let timestamp = Clock::unix_millis();
        engine.state().check_quota(&operator, timestamp)?;
        let command = Command::Change { operator, timestamp, change };
        Ok(Proposal::Pending(engine.propose(self.host.clock.now(), &command)?))
    }

    fn check_leader(&self) -> Result<()> {
        let engine = self.host.engine.borrow();
        if engine.is_leader() {
            return Ok(());
        }
        if engine.leader().is_some() {
            return Err(Error::new(Kind::NotLeader, "another control host leads"));
        }
        Err(Error::new(Kind::NoQuorum, "this control host knows of no leader"))
    }

    async fn retire_host(&self, token: &str, host: u32) -> std::result::Result<(), Fault> {
        let (_, subtree) = self.authenticate(token).map_err(|error| self.fault(error))?;
        if subtree != Path::Root {
            let detail = "only the consortium may remove a control host";
            return Err(self.fault(Error::new(Kind::Forbidden, detail)));
        }
        let now = self.host.clock.now();
        let pending = self.host.engine.borrow_mut().retire(now, lagoongauge::id::HostId(host));
        self.host.process_effects();
        let unknown =
            || self.fault(Error::new(Kind::UnknownOutcome, "the removal was not answered"));
        let pending = pending.map_err(|error| self.fault(error))?;
        let answer = timeout(CHANGE_TIMEOUT, pending).await.map_err(|_| unknown())?;
        answer.map_err(|_| unknown())?.map(drop).map_err(|error| self.fault(error))
    }

    fn fault(&self, error: Error) -> Fault {
        let hint = match error.kind {
            Kind::NotLeader => self.host.leader_hint(),
            _ => String::new(),
        };
        Fault { hint, ..Fault::from(error) }
    }
}

/// Result of proposing a change.
enum Proposal {
    /// Recorded outcome of an earlier request with the same id.
    Recorded(ChangeOutcome),
    /// Answer to a new proposal.
    Pending(crate::engine::PendingAnswer),
}

fn version_or_fault(outcome: ChangeOutcome) -> std::result::Result<u64, Fault> {
    match outcome {
        ChangeOutcome::Accepted { version } => Ok(version),
        ChangeOutcome::Refused { version, path, error } => {
            Err(Fault { error, path, version, hint: String::new() })
        }
    }
}

impl<S: Store + 'static> operator::Server for OperatorService<S> {
    async fn read(
        self: Rc<Self>,
        params: operator::ReadParams,
        mut results: operator::ReadResults,
    ) -> std::result::Result<(), RpcError> {
        let params = params.get()?;
        let query = Query {
            token: read_text(params.get_token()?)?,
            operation: read_text(params.get_operation()?)?,
            path: read_text(params.get_path()?)?,
            since: params.get_since(),
            wait: params.get_wait(),
        };
        match self.read_settings(query).await {
            Ok(reading) => {
                let mut reply = results.get();
                reply.set_version(reading.version);
                reply.set_current(reading.current);
                let mut list = reply.init_entries(reading.entries.len() as u32);
                for (index, entry) in reading.entries.iter().enumerate() {
                    write_entry(entry, list.reborrow().get(index as u32));
                }
            }
            Err(error) => self.fault(error).write(results.get().init_fault()),
        }
        Ok(())
    }

    async fn change(
        self: Rc<Self>,
        params: operator::ChangeParams,
        mut results: operator::ChangeResults,
    ) -> std::result::Result<(), RpcError> {
        let params = params.get()?;
        let edits = params.get_edits()?;
        if edits.len() as usize > MAX_EDITS {
            let detail = format!("the change has {} edits, at most {MAX_EDITS}", edits.len());
            self.fault(Error::new(Kind::Oversized, detail)).write(results.get().init_fault());
            return Ok(());
        }
        let edits: std::result::Result<Vec<Edit>, RpcError> = edits.iter().map(read_edit).collect();
        let (expected_version, request_id) =
            (params.get_expect(), read_text(params.get_request()?)?);
        let change = Change { expected_version, request_id, edits: edits? };
        let token = read_text(params.get_token()?)?;
        match self.apply_change(&token, change).await {
            Ok(version) => results.get().set_version(version),
            Err(fault) => fault.write(results.get().init_fault()),
        }
        Ok(())
    }

    async fn status(
        self: Rc<Self>,
        params: operator::StatusParams,
        mut results: operator::StatusResults,
    ) -> std::result::Result<(), RpcError> {
        let token = read_text(params.get()?.get_token()?)?;
        let subtree = match self.authenticate(&token) {
            Ok((_, subtree)) => subtree,
            Err(error) => {
                self.fault(error).write(results.get().init_fault());
                return Ok(());
            }
        };
        let status = cluster_status::collect_status(&self.host, &subtree).await;
        let mut reply = results.get();
        reply.set_version(self.host.engine.borrow().state().version());
        let mut controls = reply.reborrow().init_controls(status.controls.len() as u32);
        for (index, control) in status.controls.iter().enumerate() {
            control.write(controls.reborrow().get(index as u32));
        }
        write_entries(&status.entries, reply.init_entries(status.entries.len() as u32));
        Ok(())
    }

    async fn retire(
        self: Rc<Self>,
        params: operator::RetireParams,
        mut results: operator::RetireResults,
    ) -> std::result::Result<(), RpcError> {
        let params = params.get()?;
        let token = read_text(params.get_token()?)?;
        if let Err(fault) = self.retire_host(&token, params.get_host()).await {
            fault.write(results.get().init_fault());
        }
        Ok(())
    }
}

fn read_edit(edit: edit::Reader<'_>) -> std::result::Result<Edit, RpcError> {
    let path = read_text(edit.get_path()?)?;
    let key = read_text(edit.get_key()?)?;
    Ok(match edit.which()? {
        edit::Set(value) => Edit::Set { path, key, value: read_text(value?)? },
        edit::Unset(()) => Edit::Unset { path, key },
        edit::Remove(()) => Edit::Remove { path },
    })
}

fn write_entry(entry: &SettingValue, mut builder: entry::Builder<'_>) {
    builder.set_path(entry.path.to_string());
    builder.set_key(entry.key);
    builder.set_value(&entry.value);
    if let Origin::Set(path) = &entry.origin {
        builder.set_origin(path.to_string());
    }
}
