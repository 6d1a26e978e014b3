//! Replicated state machine of the settings: the tree, its version and outcomes for resends.

use std::collections::{BTreeMap, VecDeque};

use serde::{Deserialize, Serialize};

use super::change::{Change, ChangeOutcome, Command, Refusal};
use super::path::{Level, Path};
use super::schema::KeyId;
use super::token::{Token, TokenHash};
use super::tree::{Node, Tree};
use super::value::Value;
use crate::error::{Error, Kind, Result};
use crate::replica::StateMachine;

/// Maximum number of outcomes recorded per operator.
pub const MAX_RECORDED_OUTCOMES: usize = 64;

/// Version of the snapshot format.
const FORMAT_VERSION: u8 = 1;

/// Time in which the empty change quota of a member refills completely.
const QUOTA_REFILL_MS: u64 = 60_000;

/// State of the settings, identical on all control hosts that applied the same log entries.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct State {
    version: u64,
    tree: Tree,
    outcomes: BTreeMap<Path, VecDeque<RecordedOutcome>>,
    quotas: BTreeMap<String, ChangeQuota>,
}

/// Recorded outcome of a request, with the digest of its change.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
struct RecordedOutcome {
    request_id: String,
    digest: [u8; 16],
    outcome: ChangeOutcome,
}

/// Token bucket that limits a member's changes; counted in thousandths of a change.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
struct ChangeQuota {
    remaining: u64,
    updated_at: u64,
}

impl StateMachine for State {
    fn apply(&mut self, _index: u64, command: &[u8]) -> Vec<u8> {
        let outcome = match Command::decode(command) {
            Ok(command) => self.execute(&command),
            Err(error) => self.refuse(Refusal { path: String::new(), error }),
        };
        outcome.encode()
    }

    fn snapshot(&self) -> Vec<u8> {
        let mut bytes = vec![FORMAT_VERSION];
        bytes.extend(postcard::to_stdvec(self).unwrap_or_default());
        bytes
    }

    fn restore(&mut self, bytes: &[u8]) -> Result<()> {
        *self = Self::decode(bytes)?;
        Ok(())
    }
}

impl State {
    /// Returns the version of the tree; each accepted change increments it.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// Returns the tree.
    pub fn tree(&self) -> &Tree {
        &self.tree
    }

    /// Authenticates an operator by its token and returns the operator's subtree.
    ///
    /// Returns `Unauthenticated` for an invalid token, without disclosing which part is wrong.
    pub fn authenticate(&self, token: &Token) -> Result<Path> {
        let hashes = match self.operator_value(&token.operator, "tokens") {
            Some(Value::Tokens(hashes)) => hashes,
            _ => vec![TokenHash::new([0; 16], "")],
        };
        let valid = TokenHash::any_matches(&hashes, &token.secret);
        match self.operator_value(&token.operator, "subtree") {
            Some(Value::Path(subtree)) if valid => Ok(subtree),
            _ => Err(Error::new(Kind::Unauthenticated, "the token is not valid")),
        }
    }

    /// Checks whether the change quota of the operator's member allows another change.
    ///
    /// Called before a change is proposed and when it is applied. Returns `QuotaExceeded` if the
    /// member has used up its changes per minute; operators of the consortium have no quota.
    pub fn check_quota(&self, operator: &Path, timestamp: u64) -> Result<()> {
        let Some((member, limit)) = self.member_quota(operator) else { return Ok(()) };
        if self.refilled_quota(&member, limit, timestamp).remaining >= 1000 {
            return Ok(());
        }
        let detail = format!("member {member} has used up its {limit} changes a minute");
        Err(Error::new(Kind::QuotaExceeded, detail))
    }

    /// Returns the recorded outcome if the change is a resend.
    ///
    /// Returns `InvalidValue` if the operator used the request id for another change.
    pub fn recorded_outcome(
        &self,
        operator: &Path,
        change: &Change,
    ) -> Result<Option<ChangeOutcome>> {
        let known = self
            .outcomes
            .get(operator)
            .and_then(|list| list.iter().find(|recorded| recorded.request_id == change.request_id));
        let Some(recorded) = known else { return Ok(None) };
        if recorded.digest == change.digest() {
            return Ok(Some(recorded.outcome.clone()));
        }
        let detail = format!("request id {:?} was used for another change", change.request_id);
        Err(Error::new(Kind::InvalidValue, detail))
    }

    /// Decodes a snapshot; `StorageCorrupt` for invalid bytes or an unknown format version.
    fn decode(bytes: &[u8]) -> Result<Self> {
        match bytes.split_first() {
            Some((&FORMAT_VERSION, rest)) => postcard::from_bytes(rest).map_err(|error| {
                Error::new(
                    Kind::StorageCorrupt,
                    format!("failed to decode the settings snapshot: {error}"),
                )
            }),
            Some((format, _)) => {
                let detail = format!("settings snapshot has format version {format}, expected 1");
                Err(Error::new(Kind::StorageCorrupt, detail))
            }
            None => Err(Error::new(Kind::StorageCorrupt, "settings snapshot is empty")),
        }
    }

    /// Applies one command of the log.
    pub fn execute(&mut self, command: &Command) -> ChangeOutcome {
        match command {
            Command::Initialize { operator, hash } => self.initialize(operator, hash),
            Command::Change { operator, timestamp, change } => {
                self.handle_change(operator, *timestamp, change)
            }
        }
    }

    fn initialize(&mut self, operator: &Path, hash: &TokenHash) -> ChangeOutcome {
        if self.version > 0 {
            let detail = "the tree has begun already";
            return self.refuse(Refusal::new(operator, Kind::InvalidValue, detail));
        }
        self.tree.insert_first_operator(operator, hash);
        self.version = 1;
        ChangeOutcome::Accepted { version: self.version }
    }

    fn handle_change(&mut self, operator: &Path, timestamp: u64, change: &Change) -> ChangeOutcome {
        match self.recorded_outcome(operator, change) {
            Ok(None) => {}
            Ok(Some(outcome)) => return outcome,
            Err(error) => return self.refuse(Refusal { path: String::new(), error }),
        }
        if let Err(error) = self.check_quota(operator, timestamp) {
            return self.refuse(Refusal { path: String::new(), error });
        }
        self.consume_quota(operator, timestamp);
        let outcome = self.apply_change(operator, change);
        self.record(operator, change, &outcome);
        outcome
    }

    fn apply_change(&mut self, operator: &Path, change: &Change) -> ChangeOutcome {
        let Some(Value::Path(subtree)) = self.operator_value(operator, "subtree") else {
            let detail = "the operator does not exist any more";
            return self.refuse(Refusal::new("", Kind::Unauthenticated, detail));
        };
        if let Err(error) = change.check() {
            return self.refuse(Refusal { path: String::new(), error });
        }
        if change.expected_version != self.version {
            let detail = format!(
                "expected version {}, current is {}",
                change.expected_version, self.version
            );
            return self.refuse(Refusal::new("", Kind::VersionConflict, detail));
        }
        if let Err(refusal) = self.tree.apply_edits(&subtree, &change.edits) {
            return self.refuse(refusal);
        }
        self.version += 1;
        self.prune();
        ChangeOutcome::Accepted { version: self.version }
    }

    fn refuse(&self, refusal: Refusal) -> ChangeOutcome {
        ChangeOutcome::Refused { version: self.version, path: refusal.path, error: refusal.error }
    }

    fn record(&mut self, operator: &Path, change: &Change, outcome: &ChangeOutcome) {
        if self.tree.get(operator).is_none() {
            return;
        }
        let list = self.outcomes.entry(operator.clone()).or_default();
        if list.len() >= MAX_RECORDED_OUTCOMES {
            list.pop_front();
        }
        list.push_back(RecordedOutcome {
            request_id: change.request_id.clone(),
            digest: change.digest(),
            outcome: outcome.clone(),
        });
    }

    /// Drops outcomes and quotas of removed operators and members.
    fn prune(&mut self) {
        let tree = &self.tree;
        self.outcomes.retain(|operator, _| tree.get(operator).is_some());
        self.quotas.retain(|member, _| tree.get(&Path::Member(member.clone())).is_some());
    }

    fn operator_value(&self, operator: &Path, name: &str) -> Option<Value> {
        if operator.level() != Level::Operator {
            return None;
        }
        let key = KeyId::try_from(name).ok()?;
        let node: &Node = self.tree.get(operator)?;
        node.keys.get(&key).cloned()
    }

    /// Returns the member whose quota applies to an operator's changes, and its limit per minute.
    fn member_quota(&self, operator: &Path) -> Option<(String, u64)> {
        let subtree = self.operator_value(operator, "subtree")?;
        let Value::Path(subtree) = subtree else { return None };
        let member = subtree.member()?.to_string();
        let limit = self.tree.number(&Path::Member(member.clone()), "member_changes");
        Some((member, limit))
    }

    fn refilled_quota(&self, member: &str, limit: u64, timestamp: u64) -> ChangeQuota {
        let full = limit.saturating_mul(1000);
        let Some(quota) = self.quotas.get(member) else {
            return ChangeQuota { remaining: full, updated_at: timestamp };
        };
        // The clock of a new leader may be behind; the elapsed time is then zero.
        let elapsed = timestamp.saturating_sub(quota.updated_at).min(QUOTA_REFILL_MS);
        let remaining =
            quota.remaining.saturating_add(full.saturating_mul(elapsed) / QUOTA_REFILL_MS);
        ChangeQuota { remaining: remaining.min(full), updated_at: timestamp }
    }

    fn consume_quota(&mut self, operator: &Path, timestamp: u64) {
        if let Some((member, limit)) = self.member_quota(operator) {
            let mut quota = self.refilled_quota(&member, limit, timestamp);
            quota.remaining = quota.remaining.saturating_sub(1000);
            self.quotas.insert(member, quota);
        }
    }
}
