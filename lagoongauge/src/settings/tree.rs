//! The settings tree: nodes with their own keys, inheritance and atomic edits.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use super::change::{Edit, Refusal};
use super::path::{Level, Path};
use super::schema::{Authority, KeyId};
use super::token::TokenHash;
use super::validate;
use super::value::Value;
use crate::error::Kind;

/// Node of the tree.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Node {
    /// Id of a member or service, never reused; zero for other nodes.
    pub id: u32,
    /// Keys that are set on this node, without inherited ones.
    pub keys: BTreeMap<KeyId, Value>,
}

/// Origin of an effective value.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Origin {
    /// The node at this path sets it.
    Set(Path),
    /// No level sets it; the default applies.
    Default,
}

/// Tree of nodes, each with the keys set on it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Tree {
    nodes: BTreeMap<Path, Node>,
    last_member: u16,
    last_service: u32,
}

impl Default for Tree {
    fn default() -> Self {
        let nodes = BTreeMap::from([(Path::Root, Node::default())]);
        Self { nodes, last_member: 0, last_service: 0 }
    }
}

impl Tree {
    /// Returns the node at a path.
    pub fn get(&self, path: &Path) -> Option<&Node> {
        self.nodes.get(path)
    }

    /// Returns all nodes, ordered by path.
    pub fn nodes(&self) -> impl Iterator<Item = (&Path, &Node)> {
        self.nodes.iter()
    }

    /// Returns a key's value at a path: that of the nearest level that sets it, or the default.
    pub fn effective_value(&self, path: &Path, key: KeyId) -> Option<(Value, Origin)> {
        let mut next = Some(path.clone());
        while let Some(current) = next {
            let own = self.nodes.get(&current).and_then(|node| node.keys.get(&key));
            if let Some(value) = own {
                return Some((value.clone(), Origin::Set(current)));
            }
            next = current.parent();
        }
        key.default().map(|value| (value, Origin::Default))
    }

    /// Returns the effective value of the key with this name.
    pub fn value(&self, path: &Path, name: &str) -> Option<Value> {
        let key = KeyId::try_from(name).ok()?;
        self.effective_value(path, key).map(|(value, _)| value)
    }

    /// Returns the effective value of a key as a number, or zero if it has no value.
    pub fn number(&self, path: &Path, name: &str) -> u64 {
        self.value(path, name).map_or(0, |value| value.size())
    }

    /// Applies all edits atomically on behalf of an operator of `subtree`.
    ///
    /// If an edit or the edited tree is invalid, returns a refusal with the path and the reason and
    /// leaves the tree unchanged; see docs/SETTINGS.md.
    pub fn apply_edits(&mut self, subtree: &Path, edits: &[Edit]) -> Result<(), Refusal> {
        let mut undo = Undo { nodes: Vec::new(), counters: (self.last_member, self.last_service) };
        let outcome = self.try_edits(subtree, edits, &mut undo);
        if outcome.is_err() {
            self.restore(undo);
        }
        outcome
    }

    /// Inserts the first operator, whose subtree is the root, into an empty tree.
    pub(super) fn insert_first_operator(&mut self, operator: &Path, hash: &TokenHash) {
        let mut node = Node::default();
        let values =
            [("subtree", Value::Path(Path::Root)), ("tokens", Value::Tokens(vec![hash.clone()]))];
        for (name, value) in values {
            if let Ok(key) = KeyId::try_from(name) {
                node.keys.insert(key, value);
            }
        }
        self.nodes.insert(operator.clone(), node);
    }

    fn try_edits(
        &mut self,
        subtree: &Path,
        edits: &[Edit],
        undo: &mut Undo,
    ) -> Result<(), Refusal> {
        let mut changed = Vec::new();
        for edit in edits {
            let path = Path::try_from(edit.path())
                .map_err(|error| Refusal { path: edit.path().to_string(), error })?;
            if !subtree.contains(&path) {
                let detail = format!("path {path} lies outside the operator's subtree {subtree}");
                return Err(Refusal::new(path, Kind::Forbidden, detail));
            }
            match edit {
                Edit::Set { key, value, .. } => self.set(subtree, &path, key, value, undo)?,
                Edit::Unset { key, .. } => self.unset(subtree, &path, key, undo)?,
                Edit::Remove { .. } => self.remove(subtree, &path, undo)?,
            }
            changed.push(path);
        }
        validate::validate_tree(self, &changed)
    }

    fn set(
        &mut self,
        subtree: &Path,
        path: &Path,
        name: &str,
        text: &str,
        undo: &mut Undo,
    ) -> Result<(), Refusal> {
        let id = check_key(subtree, path, name)?;
        let value = id.key().parse(text).map_err(|error| refusal(path, error))?;
        self.create(subtree, path, undo)?;
        undo.save(path, self.nodes.get(path));
        if let Some(node) = self.nodes.get_mut(path) {
            node.keys.insert(id, value);
        }
        Ok(())
    }

    fn unset(
        &mut self,
        subtree: &Path,
        path: &Path,
        name: &str,
        undo: &mut Undo,
    ) -> Result<(), Refusal> {
        let id = check_key(subtree, path, name)?;
        undo.save(path, self.nodes.get(path));
        let node = self.nodes.get_mut(path).ok_or_else(|| not_found(path))?;
        node.keys.remove(&id);
        Ok(())
    }

    fn remove(&mut self, subtree: &Path, path: &Path, undo: &mut Undo) -> Result<(), Refusal> {
        if *path == Path::Root {
            let detail = "the root can't be removed";
            return Err(Refusal::new(path, Kind::InvalidValue, detail));
        }
        let consortium_level = matches!(path.level(), Level::Member | Level::Host | Level::Control);
        if consortium_level && *subtree != Path::Root {
            return Err(consortium_only(path, "remove"));
        }
        if !self.nodes.contains_key(path) {
            return Err(not_found(path));
        }
        let below: Vec<Path> =
            self.nodes.keys().filter(|other| path.contains(other)).cloned().collect();
        for descendant in below {
            undo.save(&descendant, self.nodes.get(&descendant));
            self.nodes.remove(&descendant);
        }
        Ok(())
    }

    fn create(&mut self, subtree: &Path, path: &Path, undo: &mut Undo) -> Result<(), Refusal> {
        if self.nodes.contains_key(path) {
            return Ok(());
        }
        let consortium_level = matches!(path.level(), Level::Member | Level::Host | Level::Control);
        if consortium_level && *subtree != Path::Root {
            return Err(consortium_only(path, "create"));
        }
        if let Some(parent) = path.parent().filter(|parent| !self.nodes.contains_key(parent)) {
            let detail = format!("path {parent} does not exist");
            return Err(Refusal::new(path, Kind::NotFound, detail));
        }
        let id = self.next_id(path)?;
        undo.save(path, None);
        self.nodes.insert(path.clone(), Node { id, keys: BTreeMap::new() });
        Ok(())
    }

    fn next_id(&mut self, path: &Path) -> Result<u32, Refusal> {
        let exhausted =
            || Refusal::new(path, Kind::QuotaExceeded, "all numbers of nodes are used up");
        match path.level() {
            Level::Member => {
                self.last_member = self.last_member.checked_add(1).ok_or_else(exhausted)?;
                Ok(u32::from(self.last_member))
            }
            Level::Service => {
                self.last_service = self.last_service.checked_add(1).ok_or_else(exhausted)?;
                Ok(self.last_service)
            }
            Level::Consortium | Level::Operator | Level::Host | Level::Control => Ok(0),
        }
    }

    fn restore(&mut self, undo: Undo) {
        for (path, node) in undo.nodes.into_iter().rev() {
            match node {
                Some(node) => self.nodes.insert(path, node),
                None => self.nodes.remove(&path),
            };
        }
        (self.last_member, self.last_service) = undo.counters;
    }
}

/// State before a change, restored if it fails: nodes in order of replacement, and the id counters.
struct Undo {
    nodes: Vec<(Path, Option<Node>)>,
    counters: (u16, u32),
}

impl Undo {
    fn save(&mut self, path: &Path, node: Option<&Node>) {
        self.nodes.push((path.clone(), node.cloned()));
    }
}

fn check_key(subtree: &Path, path: &Path, name: &str) -> Result<KeyId, Refusal> {
    let id = KeyId::try_from(name).map_err(|error| refusal(path, error))?;
    let level = path.level();
    if !id.key().levels.contains(&level) {
        let detail = format!("key {name:?} can't be set at the level of a {level}");
        return Err(Refusal::new(path, Kind::InvalidValue, detail));
    }
    if id.key().authority == Authority::Consortium && *subtree != Path::Root {
        let detail = format!("key {name:?} is set by the consortium");
        return Err(Refusal::new(path, Kind::Forbidden, detail));
    }
    Ok(id)
}

fn refusal(path: &Path, error: crate::error::Error) -> Refusal {
    Refusal { path: path.to_string(), error }
}

fn not_found(path: &Path) -> Refusal {
    Refusal::new(path, Kind::NotFound, format!("path {path} does not exist"))
}

fn consortium_only(path: &Path, verb: &str) -> Refusal {
    let detail = format!("only the consortium may {verb} a {}", path.level());
    Refusal::new(path, Kind::Forbidden, detail)
}
