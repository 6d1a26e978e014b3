//! Paths of the nodes in the settings tree.

use std::fmt;

use serde::{Deserialize, Serialize};

use crate::error::{Error, Kind, Result};
use crate::id::HostId;

/// Maximum length of the name of a member, service or operator.
const MAX_NAME_BYTES: usize = 32;

/// Path segment above entry hosts; reserved, so not a valid member name.
const HOSTS: &str = "hosts";

/// Path segment above control hosts; reserved, so not a valid member name.
const CONTROLS: &str = "controls";

/// Path segment above operators; reserved, so not a valid name of a member or service.
const OPERATORS: &str = "operators";

/// Level of a node in the settings tree.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Level {
    /// The consortium, at the root.
    Consortium,
    /// A member.
    Member,
    /// A service of a member.
    Service,
    /// An operator of the consortium or of a member.
    Operator,
    /// An entry host.
    Host,
    /// A control host.
    Control,
}

impl fmt::Display for Level {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Consortium => "consortium",
            Self::Member => "member",
            Self::Service => "service",
            Self::Operator => "operator",
            Self::Host => "host",
            Self::Control => "control host",
        })
    }
}

/// Path of a node in the settings tree.
#[derive(Debug, Clone, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(try_from = "String", into = "String")]
pub enum Path {
    /// `/`, the consortium.
    Root,
    /// `/controls/ID`, a control host.
    Control(HostId),
    /// `/hosts/ID`, an entry host.
    Host(HostId),
    /// `/MEMBER`, a member.
    Member(String),
    /// `/operators/NAME` or `/MEMBER/operators/NAME`, an operator.
    Operator(Option<String>, String),
    /// `/MEMBER/SERVICE`, a service.
    Service(String, String),
}

impl Path {
    /// Returns the level of the node.
    pub const fn level(&self) -> Level {
        match self {
            Self::Root => Level::Consortium,
            Self::Host(_) => Level::Host,
            Self::Control(_) => Level::Control,
            Self::Member(_) => Level::Member,
            Self::Operator(..) => Level::Operator,
            Self::Service(..) => Level::Service,
        }
    }

    /// Returns the path one level up, or `None` for the root.
    pub fn parent(&self) -> Option<Self> {
        match self {
            Self::Root => None,
            Self::Control(_) | Self::Host(_) | Self::Member(_) | Self::Operator(None, _) => {
                Some(Self::Root)
            }
            Self::Operator(Some(member), _) | Self::Service(member, _) => {
                Some(Self::Member(member.clone()))
            }
        }
    }

    /// Returns the name of the member that owns the node, or `None` for nodes of the consortium.
    pub fn member(&self) -> Option<&str> {
        match self {
            Self::Root | Self::Control(_) | Self::Host(_) | Self::Operator(None, _) => None,
            Self::Member(member) | Self::Operator(Some(member), _) | Self::Service(member, _) => {
                Some(member)
            }
        }
    }

    /// Returns whether `other` is this node or a descendant of it.
    pub fn contains(&self, other: &Self) -> bool {
        match self {
            Self::Root => true,
            Self::Member(member) => other.member() == Some(member),
            _ => self == other,
        }
    }
}

impl TryFrom<&str> for Path {
    type Error = Error;

    fn try_from(text: &str) -> Result<Self> {
        let rest =
            text.strip_prefix('/').ok_or_else(|| invalid_path(text, "does not begin with /"))?;
        if rest.is_empty() {
            return Ok(Self::Root);
        }
        let parts: Vec<&str> = rest.split('/').collect();
        match parts.as_slice() {
            [CONTROLS, id] => Ok(Self::Control(HostId(parse_host_id(text, id)?))),
            [HOSTS, id] => Ok(Self::Host(HostId(parse_host_id(text, id)?))),
            [OPERATORS, name] => Ok(Self::Operator(None, parse_name(text, name)?)),
            [member] => Ok(Self::Member(parse_name(text, member)?)),
            [member, OPERATORS, name] => {
                Ok(Self::Operator(Some(parse_name(text, member)?), parse_name(text, name)?))
            }
            [member, service] => {
                Ok(Self::Service(parse_name(text, member)?, parse_name(text, service)?))
            }
            _ => Err(invalid_path(text, "names no level of the tree")),
        }
    }
}

impl TryFrom<String> for Path {
    type Error = Error;

    fn try_from(text: String) -> Result<Self> {
        Self::try_from(text.as_str())
    }
}

impl From<Path> for String {
    fn from(path: Path) -> Self {
        path.to_string()
    }
}

impl fmt::Display for Path {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Root => f.write_str("/"),
            Self::Control(id) => write!(f, "/{CONTROLS}/{}", id.0),
            Self::Host(id) => write!(f, "/{HOSTS}/{}", id.0),
            Self::Member(member) => write!(f, "/{member}"),
            Self::Operator(None, name) => write!(f, "/{OPERATORS}/{name}"),
            Self::Operator(Some(member), name) => write!(f, "/{member}/{OPERATORS}/{name}"),
            Self::Service(member, service) => write!(f, "/{member}/{service}"),
        }
    }
}

fn invalid_path(text: &str, reason: &str) -> Error {
    let excerpt: String = text.chars().take(2 * MAX_NAME_BYTES).collect();
    Error::new(Kind::InvalidValue, format!("path {excerpt:?} {reason}"))
}

fn parse_host_id(text: &str, id: &str) -> Result<u32> {
    let number =
        id.parse().map_err(|_| invalid_path(text, "needs a host number after its first part"))?;
    if id != u32::to_string(&number) {
        return Err(invalid_path(text, "spells its host number with needless characters"));
    }
    Ok(number)
}

fn parse_name(text: &str, name: &str) -> Result<String> {
    if [CONTROLS, HOSTS, OPERATORS].contains(&name) {
        return Err(invalid_path(text, "uses a reserved name"));
    }
    let starts_with_letter = name.starts_with(|c: char| c.is_ascii_lowercase());
    let valid_chars =
        name.chars().all(|c| c.is_ascii_lowercase() || c.is_ascii_digit() || c == '-');
    if !starts_with_letter || !valid_chars || name.len() > MAX_NAME_BYTES {
        return Err(invalid_path(
            text,
            "needs names of at most 32 of a-z, 0-9 and -, a letter first",
        ));
    }
    Ok(name.to_string())
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn paths_round_trip() {
        for text in
            ["/", "/hosts/7", "/controls/1", "/a", "/a/b-2", "/operators/root", "/a/operators/ann"]
        {
            assert_eq!(Path::try_from(text).unwrap().to_string(), text);
        }
    }

    #[test]
    fn invalid_paths_are_rejected() {
        let too_long = format!("/{}", "a".repeat(33));
        let texts = ["", "a", "//", "/a/", "/hosts", "/hosts/x", "/hosts/07", "/operators", "/A"];
        for text in texts.iter().chain(&["/a/operators", "/a/b/c", "/a/hosts", too_long.as_str()]) {
            assert_eq!(Path::try_from(*text).unwrap_err().kind, Kind::InvalidValue, "{text}");
        }
    }

    #[test]
    fn a_member_contains_only_its_own_nodes() {
        let member = Path::try_from("/a").unwrap();
        for (text, contained) in
            [("/a", true), ("/a/b", true), ("/a/operators/x", true), ("/ab", false), ("/", false)]
        {
            assert_eq!(member.contains(&Path::try_from(text).unwrap()), contained, "{text}");
        }
    }
}
