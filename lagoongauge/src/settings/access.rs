//! Access control: operators may change their own subtree and read it with the values it inherits.

use super::path::{Level, Path};
use super::schema::KeyId;
use super::tree::{Origin, Tree};
use crate::error::{Error, Kind, Result};

macro_rules! operations {
    ($($name:ident $text:literal $is_read:literal $help:literal;)*) => {
        /// Operation that an operator can request from a control host.
        #[derive(Debug, Clone, Copy, PartialEq, Eq)]
        pub enum Operation {
            $(#[doc = $help] $name,)*
        }

        impl Operation {
            /// All operations.
            pub const ALL: &[Self] = &[$(Self::$name,)*];

            /// Returns the name of the operation in messages and logs.
            pub const fn name(self) -> &'static str {
                match self {
                    $(Self::$name => $text,)*
                }
            }

            /// Returns whether the operation only reads the tree; all others change it.
            pub const fn is_read(self) -> bool {
                match self {
                    $(Self::$name => $is_read,)*
                }
            }
        }
    };
}

operations! {
    Get "get" true "Reads the effective values of a node.";
    Dump "dump" true "Reads the values set on a node and on its descendants.";
    Watch "watch" true "Waits for the next version and reads the effective values of a node.";
    Set "set" false "Sets a key.";
    Unset "unset" false "Removes a key's value from a node.";
    Remove "remove" false "Removes a node and all its descendants.";
}

impl Operation {
    /// Checks whether an operator of `subtree` may perform the operation at `path`.
    ///
    /// Returns `Forbidden` otherwise, whether or not the path exists.
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

/// Value of a key at a node, as returned to an operator.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SettingValue {
    /// Path of the node.
    pub path: Path,
    /// Name of the key.
    pub key: &'static str,
    /// The value in text format.
    pub value: String,
    /// The level that sets the value, or the default.
    pub origin: Origin,
}

/// Reads the effective values of a node that are visible to an operator of `subtree`.
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

/// Reads the values set on a node and on its descendants that are visible to the operator.
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

/// Returns whether an operator of `subtree` may read a key at a path: in its subtree any key, on
/// other levels only keys that the subtree can inherit, and `lock`.
fn is_visible(subtree: &Path, path: &Path, id: KeyId) -> bool {
    if subtree.contains(path) {
        return true;
    }
    let levels = id.key().levels;
    levels.contains(&subtree.level()) || levels.contains(&Level::Service) || id.key().name == "lock"
}
