//! What an operator may do and see: its own subtree, and what the levels above share.

use super::path::{Level, Path};
use super::schema::KeyId;
use super::tree::{Origin, Tree};
use crate::error::{Error, Kind, Result};

macro_rules! operations {
    ($($name:ident $text:literal $is_read:literal $help:literal;)*) => {
        /// Everything that an operator can ask of a control host.
        #[derive(Debug, Clone, Copy, PartialEq, Eq)]
        pub enum Operation {
            $(#[doc = $help] $name,)*
        }

        impl Operation {
            /// All operations.
            pub const ALL: &[Self] = &[$(Self::$name,)*];

            /// Returns the operation's name in messages and logs.
            pub const fn name(self) -> &'static str {
                match self {
                    $(Self::$name => $text,)*
                }
            }

            /// Tells whether the operation reads; others change the tree.
            pub const fn is_read(self) -> bool {
                match self {
                    $(Self::$name => $is_read,)*
                }
            }
        }
    };
}

operations! {
    Get "get" true "Reads a node's effective values.";
    Dump "dump" true "Reads the own values of a node and of everything below it.";
    Watch "watch" true "Waits for the next version and reads a node.";
    Set "set" false "Sets a key.";
    Unset "unset" false "Takes a key's own value away.";
    Remove "remove" false "Removes a node with everything below it.";
}

impl Operation {
    /// Checks whether an operator of `subtree` may do this at `path`.
    ///
    /// Returns `Forbidden`, whether or not the path exists.
    pub fn authorize(self, subtree: &Path, path: &Path) -> Result<()> {
        if subtree.contains(path) || self.is_read() && path.contains(subtree) {
            return Ok(());
        }
        let detail = format!(
            "{} of {path} is not allowed to an operator of the subtree {subtree}",
            self.name()
        );
        Err(Error::new(Kind::Forbidden, detail))
    }
}

/// One value that an operator sees.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SettingValue {
    /// Path of the node.
    pub path: Path,
    /// Name of the key.
    pub key: &'static str,
    /// The value as a person writes it.
    pub value: String,
    /// The level that sets it.
    pub origin: Origin,
}

/// Reads the effective values of a node, as an operator of `subtree` may see them.
///
/// Returns `Forbidden` outside the subtree and the levels above it, and `NotFound` for a
/// missing node.
pub fn get(tree: &Tree, subtree: &Path, path: &Path) -> Result<Vec<SettingValue>> {
    Operation::Get.authorize(subtree, path)?;
    if tree.get(path).is_none() {
        return Err(Error::new(Kind::NotFound, format!("path {path} does not exist")));
    }
    let level = path.level();
    let keys = KeyId::all().filter(|id| id.key().levels.contains(&level));
    let visible = keys.filter(|id| is_visible(subtree, path, *id));
    let entries = visible.filter_map(|id| {
        let (value, origin) = tree.effective_value(path, id)?;
        let value = value.to_string();
        Some(SettingValue { path: path.clone(), key: id.key().name, value, origin })
    });
    Ok(entries.collect())
}

/// Reads the own values of a node and of everything below it that the operator may see.
///
/// Returns `Forbidden` as [`get`] does.
pub fn dump(tree: &Tree, subtree: &Path, path: &Path) -> Result<Vec<SettingValue>> {
    Operation::Dump.authorize(subtree, path)?;
    let mut entries = Vec::new();
    for (descendant, node) in tree.nodes().filter(|(descendant, _)| path.contains(descendant)) {
        if Operation::Dump.authorize(subtree, descendant).is_err() {
            continue;
        }
        for (id, value) in node.keys.iter().filter(|(id, _)| is_visible(subtree, descendant, **id))
        {
            entries.push(SettingValue {
                path: descendant.clone(),
                key: id.key().name,
                value: value.to_string(),
                origin: Origin::Set(descendant.clone()),
            });
        }
    }
    Ok(entries)
}

/// Tells whether a level above the operator's own shares a key: those it inherits or obeys.
fn is_visible(subtree: &Path, path: &Path, id: KeyId) -> bool {
    if subtree.contains(path) {
        return true;
    }
    let levels = id.key().levels;
    levels.contains(&subtree.level()) || levels.contains(&Level::Service) || id.key().name == "lock"
}
