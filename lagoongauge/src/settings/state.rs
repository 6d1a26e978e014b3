//! The replicated state: the tree, its version, and the answers that resends get.

use std::collections::{BTreeMap, VecDeque};

use serde::{Deserialize, Serialize};

use super::change::{Answer, Change, Command, Refusal};
use super::path::{Level, Path};
use super::schema::KeyId;
use super::token::{Hash, Token};
use super::tree::{Node, Tree};
use super::value::Value;
use crate::error::{Error, Kind, Result};
use crate::replica::StateMachine;

/// Answers kept per operator.
pub const ANSWERS: usize = 64;

/// Version of the snapshot's format.
const FORMAT: u8 = 1;

/// Milliseconds over which a member's quota of changes is spread.
const MINUTE_MS: u64 = 60_000;

/// Settings as every control host holds them after the same log entries.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct State {
    version: u64,
    tree: Tree,
    answers: BTreeMap<Path, VecDeque<Recorded>>,
    paces: BTreeMap<String, Pace>,
}

/// First answer to a request.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
struct Recorded {
    request: String,
    digest: [u8; 16],
    answer: Answer,
}

/// Token bucket of a member's changes, in thousandths of a change.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
struct Pace {
    left: u64,
    at: u64,
}

impl StateMachine for State {
    fn apply(&mut self, _index: u64, command: &[u8]) -> Vec<u8> {
        let answer = match Command::decode(command) {
            Ok(command) => self.execute(&command),
            Err(error) => self.refuse(Refusal { path: String::new(), error }),
        };
        answer.encode()
    }

    fn snapshot(&self) -> Vec<u8> {
        let mut bytes = vec![FORMAT];
        bytes.extend(postcard::to_stdvec(self).unwrap_or_default());
        bytes
    }

    fn restore(&mut self, bytes: &[u8]) -> Result<()> {
        *self = Self::decode(bytes)?;
        Ok(())
    }
}

impl State {
    /// Returns the version of the tree; it grows by one with each accepted change.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// Returns the tree.
    pub fn tree(&self) -> &Tree {
        &self.tree
    }

    /// Returns the operator's subtree for a valid token.
    ///
    /// Returns `Unauthenticated` for any other token, without saying which part is wrong.
    pub fn authenticate(&self, token: &Token) -> Result<Path> {
        let hashes = match self.operator_value(&token.operator, "tokens") {
            Some(Value::Tokens(hashes)) => hashes,
            _ => vec![Hash::new([0; 16], "")],
        };
        let valid = Hash::any(&hashes, &token.secret);
        match self.operator_value(&token.operator, "subtree") {
            Some(Value::Path(subtree)) if valid => Ok(subtree),
            _ => Err(Error::new(Kind::Unauthenticated, "the token is not valid")),
        }
    }

    /// Tells before a change is proposed whether the operator's quota has room for it.
    ///
    /// Returns `QuotaExceeded` where the member's changes of the last minute are used up.
    pub fn admit(&self, operator: &Path, at: u64) -> Result<()> {
        let Some((member, limit)) = self.paced(operator) else { return Ok(()) };
        if self.pace(&member, limit, at).left >= 1000 {
            return Ok(());
        }
        let detail = format!("member {member} has used up its {limit} changes a minute");
        Err(Error::new(Kind::QuotaExceeded, detail))
    }

    /// Returns the first answer to a request that was seen before.
    ///
    /// Returns `InvalidValue` where the operator used the id for another change.
    pub fn recorded(&self, operator: &Path, change: &Change) -> Result<Option<Answer>> {
        let known = self
            .answers
            .get(operator)
            .and_then(|list| list.iter().find(|recorded| recorded.request == change.request));
        let Some(recorded) = known else { return Ok(None) };
        if recorded.digest == change.digest() {
            return Ok(Some(recorded.answer.clone()));
        }
        let detail = format!("request id {:?} was used for another change", change.request);
        Err(Error::new(Kind::InvalidValue, detail))
    }

    /// Decodes a snapshot; `StorageCorrupt` for other bytes or another format.
    fn decode(bytes: &[u8]) -> Result<Self> {
        match bytes.split_first() {
            Some((&FORMAT, rest)) => postcard::from_bytes(rest).map_err(|error| {
                Error::new(Kind::StorageCorrupt, format!("the settings won't decode: {error}"))
            }),
            Some((format, _)) => {
                let detail = format!("the settings have format {format}, this program reads 1");
                Err(Error::new(Kind::StorageCorrupt, detail))
            }
            None => Err(Error::new(Kind::StorageCorrupt, "the settings are empty")),
        }
    }

    /// Applies one command of the log.
    pub fn execute(&mut self, command: &Command) -> Answer {
        match command {
            Command::Begin { operator, hash } => self.begin(operator, hash),
            Command::Change { operator, at, change } => self.answer(operator, *at, change),
        }
    }

    fn begin(&mut self, operator: &Path, hash: &Hash) -> Answer {
        if self.version > 0 {
            let detail = "the tree has begun already";
            return self.refuse(Refusal::new(operator, Kind::InvalidValue, detail));
        }
        self.tree.seed(operator, hash);
        self.version = 1;
        Answer::Accepted { version: self.version }
    }

    fn answer(&mut self, operator: &Path, at: u64, change: &Change) -> Answer {
        match self.recorded(operator, change) {
            Ok(None) => {}
            Ok(Some(answer)) => return answer,
            Err(error) => return self.refuse(Refusal { path: String::new(), error }),
        }
        if let Err(error) = self.admit(operator, at) {
            return self.refuse(Refusal { path: String::new(), error });
        }
        self.spend(operator, at);
        let answer = self.change(operator, change);
        self.record(operator, change, &answer);
        answer
    }

    fn change(&mut self, operator: &Path, change: &Change) -> Answer {
        let Some(Value::Path(subtree)) = self.operator_value(operator, "subtree") else {
            let detail = "the operator does not exist any more";
            return self.refuse(Refusal::new("", Kind::Unauthenticated, detail));
        };
        if let Err(error) = change.check() {
            return self.refuse(Refusal { path: String::new(), error });
        }
        if change.expect != self.version {
            let detail = format!("expected version {}, current is {}", change.expect, self.version);
            return self.refuse(Refusal::new("", Kind::VersionConflict, detail));
        }
        if let Err(refusal) = self.tree.change(&subtree, &change.edits) {
            return self.refuse(refusal);
        }
        self.version += 1;
        self.forget();
        Answer::Accepted { version: self.version }
    }

    fn refuse(&self, refusal: Refusal) -> Answer {
        Answer::Refused { version: self.version, path: refusal.path, error: refusal.error }
    }

    fn record(&mut self, operator: &Path, change: &Change, answer: &Answer) {
        if self.tree.get(operator).is_none() {
            return;
        }
        let list = self.answers.entry(operator.clone()).or_default();
        if list.len() >= ANSWERS {
            list.pop_front();
        }
        list.push_back(Recorded {
            request: change.request.clone(),
            digest: change.digest(),
            answer: answer.clone(),
        });
    }

    /// Drops what was kept for operators and members that are gone.
    fn forget(&mut self) {
        let tree = &self.tree;
        self.answers.retain(|operator, _| tree.get(operator).is_some());
        self.paces.retain(|member, _| tree.get(&Path::Member(member.clone())).is_some());
    }

    fn operator_value(&self, operator: &Path, name: &str) -> Option<Value> {
        if operator.level() != Level::Operator {
            return None;
        }
        let key = KeyId::try_from(name).ok()?;
        let node: &Node = self.tree.get(operator)?;
        node.keys.get(&key).cloned()
    }

    /// Returns the member whose quota an operator's changes use, with the changes a minute.
    fn paced(&self, operator: &Path) -> Option<(String, u64)> {
        let subtree = self.operator_value(operator, "subtree")?;
        let Value::Path(subtree) = subtree else { return None };
        let member = subtree.member()?.to_string();
        let limit = self.tree.number(&Path::Member(member.clone()), "member_changes");
        Some((member, limit))
    }

    fn pace(&self, member: &str, limit: u64, at: u64) -> Pace {
        let full = limit.saturating_mul(1000);
        let Some(pace) = self.paces.get(member) else { return Pace { left: full, at } };
        // A new leader's clock may lie behind; the time since then counts as zero.
        let passed = at.saturating_sub(pace.at).min(MINUTE_MS);
        let left = pace.left.saturating_add(full.saturating_mul(passed) / MINUTE_MS);
        Pace { left: left.min(full), at }
    }

    fn spend(&mut self, operator: &Path, at: u64) {
        if let Some((member, limit)) = self.paced(operator) {
            let mut pace = self.pace(&member, limit, at);
            pace.left = pace.left.saturating_sub(1000);
            self.paces.insert(member, pace);
        }
    }
}
