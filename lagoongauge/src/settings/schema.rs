//! Table of all settings keys with type, unit, range and default; see docs/SETTINGS.md.

use std::fmt::Write;

use serde::{Deserialize, Serialize};

use super::path::Level;
use super::value::{Type, Value};
use crate::error::{Error, Kind, Result};

/// Who may set a key at a node.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Authority {
    /// Any operator whose subtree contains the node.
    Subtree,
    /// Only operators whose subtree is the root.
    Consortium,
}

/// A settings key and the values that it accepts.
#[derive(Debug)]
pub struct Key {
    /// Name of the key.
    pub name: &'static str,
    /// Type of its values.
    pub kind: Type,
    /// Levels at which it may be set; a lower level overrides the levels above.
    pub levels: &'static [Level],
    /// Who may set it.
    pub authority: Authority,
    /// Minimum number in the unit of the type, or minimum length of a list.
    pub min: u64,
    /// Maximum number in the unit of the type, or maximum length of a list.
    pub max: u64,
    /// Value if no level sets the key; empty for a required key and for an empty list.
    pub default: &'static str,
    /// Description of the key, as printed in docs/SETTINGS.md.
    pub help: &'static str,
}

const DOWN_TO_SERVICE: &[Level] = &[Level::Consortium, Level::Member, Level::Service];
const DOWN_TO_MEMBER: &[Level] = &[Level::Consortium, Level::Member];
const MEMBER: &[Level] = &[Level::Member];
const SERVICE: &[Level] = &[Level::Service];
const OPERATOR: &[Level] = &[Level::Operator];
const ENTRY_HOST: &[Level] = &[Level::Host];
const CONTROL_HOST: &[Level] = &[Level::Control];
const ANY_HOST: &[Level] = &[Level::Host, Level::Control];

const MS_PER_DAY: u64 = 86_400_000;
const PPM: u64 = 1_000_000;

macro_rules! table {
    ($($name:literal $kind:ident $levels:ident $by:ident $min:tt..$max:tt $default:literal
       $help:literal;)*) => {
        /// Every key of the settings.
        pub const KEYS: &[Key] = &[$(Key {
            name: $name,
            kind: Type::$kind,
            levels: $levels,
            authority: Authority::$by,
            min: $min,
            max: $max,
            default: $default,
            help: $help,
        },)*];
    };
}

table! {
    "address" Address SERVICE Subtree 1..1 "" "Address and port that callers use; no two services share one with the same protocol.";
    "protocol" Protocol DOWN_TO_SERVICE Subtree 1..1 "tcp" "Transport protocol of the service.";
    "group" Count DOWN_TO_SERVICE Subtree 0..65535 "0" "Group of entry hosts that serves the service.";
    "bucket_bits" Count DOWN_TO_SERVICE Subtree 4..20 "14" "Logarithm to base 2 of the number of buckets.";
    "max_flows" Count DOWN_TO_SERVICE Subtree 1..100000000 "500000" "Open flows that the service may hold in its group.";
    "max_rate" Count DOWN_TO_SERVICE Subtree 1..10000000 "20000" "New flows a second that the service may open in its group.";
    "idle_limit" Span DOWN_TO_SERVICE Subtree 1000..MS_PER_DAY "1h" "How long a flow may stay silent before it counts as ended.";
    "drain_limit" Span DOWN_TO_SERVICE Subtree 1000..MS_PER_DAY "12h" "How long a draining target's flows may go on when its announcement names no deadline.";
    "slow_start" Span DOWN_TO_SERVICE Subtree 0..3600000 "30s" "How long a new target takes to reach its full share of new flows.";
    "established_goal" Share DOWN_TO_SERVICE Subtree 0..PPM "99.9%" "Share of flows that must be established.";
    "unbroken_goal" Share DOWN_TO_SERVICE Subtree 0..PPM "99.99%" "Share of flows that must not break.";
    "answer_goal" Span DOWN_TO_SERVICE Subtree 1..60000 "100ms" "Time to the target's first answer that the objective allows.";
    "imbalance_goal" Ratio DOWN_TO_SERVICE Subtree 1000..100000 "1.25" "Highest allowed ratio of the fullest target's flows to the mean.";
    "lock" Keys DOWN_TO_MEMBER Subtree 0..64 "" "Keys that no level below may set.";
    "target_tokens" Tokens MEMBER Subtree 0..2 "" "Salted hashes of the tokens that the member's targets announce with.";
    "networks" Networks MEMBER Consortium 0..64 "" "Networks of the member's targets; no two members share any.";
    "fronts" Networks DOWN_TO_MEMBER Consortium 0..64 "0.0.0.0/0,::/0" "Networks that the addresses of the member's services lie in.";
    "member_flows" Count DOWN_TO_MEMBER Consortium 1..100000000 "2000000" "Open flows that the member may hold in its group.";
    "member_rate" Count DOWN_TO_MEMBER Consortium 1..10000000 "40000" "New flows a second that the member may open in its group.";
    "member_targets" Count DOWN_TO_MEMBER Consortium 1..65536 "1024" "Targets that the member may announce.";
    "member_services" Count DOWN_TO_MEMBER Consortium 1..4096 "256" "Services that the member may have.";
    "member_keys" Count DOWN_TO_MEMBER Consortium 1..65536 "4096" "Keys that the member's part of the tree may set.";
    "member_changes" Count DOWN_TO_MEMBER Consortium 1..60000 "600" "Changes a minute that the member's operators may ask for.";
    "subtree" Path OPERATOR Subtree 1..1 "" "Path below which the operator may read and change.";
    "tokens" Tokens OPERATOR Subtree 0..2 "" "Salted hashes of the operator's tokens; two for rotation without a gap.";
    "centre" Count ANY_HOST Consortium 0..255 "0" "Data centre of the host.";
    "host_group" Count ENTRY_HOST Consortium 0..65535 "0" "Group that the entry host belongs to.";
    "peer" Address ENTRY_HOST Consortium 1..1 "" "Address for messages between entry hosts, over UDP.";
    "listen" Address CONTROL_HOST Consortium 1..1 "" "Address that the control host listens on, over TCP; a host without this entry and outside the first site may not join.";
    "drain" Flag ENTRY_HOST Consortium 1..1 "false" "Takes the entry host out of its group's view, so that it hands over its flows.";
}

/// Index of a key in [`KEYS`]; serialized by name, so that keys can be added to the table.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(try_from = "String", into = "String")]
pub struct KeyId(u8);

impl KeyId {
    /// Returns all keys, in the order of the table.
    pub fn all() -> impl Iterator<Item = Self> {
        (0..KEYS.len()).filter_map(|index| u8::try_from(index).ok()).map(Self)
    }

    /// Returns the key's entry in the table.
    pub fn key(self) -> &'static Key {
        &KEYS[usize::from(self.0)]
    }

    /// Returns the default value, or `None` for a required key.
    pub fn default(self) -> Option<Value> {
        self.key().kind.parse(self.key().default)
    }
}

impl TryFrom<&str> for KeyId {
    type Error = Error;

    fn try_from(name: &str) -> Result<Self> {
        let index = KEYS.iter().position(|key| key.name == name);
        let excerpt: String = name.chars().take(64).collect();
        index
            .and_then(|index| u8::try_from(index).ok())
            .map(Self)
            .ok_or_else(|| Error::new(Kind::NotFound, format!("no key is named {excerpt:?}")))
    }
}

impl TryFrom<String> for KeyId {
    type Error = Error;

    fn try_from(name: String) -> Result<Self> {
        Self::try_from(name.as_str())
    }
}

impl From<KeyId> for String {
    fn from(id: KeyId) -> Self {
        id.key().name.to_string()
    }
}

impl Key {
    /// Parses a value from its text format and checks its range.
    ///
    /// Returns `InvalidValue` with the accepted values for a wrong type, unit or range, and
    /// `NotFound` for an unknown key in a list.
    pub fn parse(&self, text: &str) -> Result<Value> {
        let value = self.kind.parse(text).ok_or_else(|| self.invalid_value(text))?;
        if value.size() < self.min || value.size() > self.max {
            return Err(self.invalid_value(text));
        }
        if let Value::Keys(names) = &value {
            for name in names {
                KeyId::try_from(name.as_str())?;
            }
        }
        Ok(value)
    }

    /// Describes the accepted numbers or lengths; empty for types without a range.
    pub fn range(&self) -> String {
        match self.kind {
            Type::Count => format!("{} to {}", self.min, self.max),
            Type::Span => format!("{} to {}", Value::Span(self.min), Value::Span(self.max)),
            Type::Share => format!("{} to {}", Value::Share(self.min), Value::Share(self.max)),
            Type::Ratio => format!("{} to {}", Value::Ratio(self.min), Value::Ratio(self.max)),
            Type::Networks | Type::Tokens | Type::Keys => format!("at most {}", self.max),
            Type::Address | Type::Protocol | Type::Path | Type::Flag => String::new(),
        }
    }

    fn invalid_value(&self, text: &str) -> Error {
        let excerpt: String = text.chars().take(64).collect();
        let comma = if self.range().is_empty() { "" } else { ", " };
        Error::new(
            Kind::InvalidValue,
            format!(
                "key {:?} has the value {excerpt:?}, but accepts {}{comma}{}",
                self.name,
                self.kind.accepts(),
                self.range()
            ),
        )
    }
}

/// Renders the Markdown table of docs/SETTINGS.md.
pub fn render_key_table() -> String {
    let mut page = String::from(
        "| key | set at | set by | accepts | range | default | meaning |\n\
         | --- | --- | --- | --- | --- | --- | --- |\n",
    );
    for key in KEYS {
        let levels: Vec<String> = key.levels.iter().map(ToString::to_string).collect();
        let authority = match key.authority {
            Authority::Subtree => "operators of the level or above",
            Authority::Consortium => "the consortium",
        };
        let default = if key.default.is_empty() { "none" } else { key.default };
        let _ = writeln!(
            page,
            "| `{}` | {} | {authority} | {} | {} | {default} | {} |",
            key.name,
            levels.join(", "),
            key.kind.accepts(),
            key.range(),
            key.help
        );
    }
    page
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn every_default_is_accepted_by_its_own_key() {
        for key in KEYS.iter().filter(|key| !key.default.is_empty()) {
            assert_eq!(key.parse(key.default).unwrap().to_string(), key.default, "{}", key.name);
        }
    }

    #[test]
    fn names_are_unique_and_values_outside_the_range_are_rejected() {
        for (index, key) in KEYS.iter().enumerate() {
            assert_eq!(KeyId::try_from(key.name).unwrap().0 as usize, index);
        }
        let limit = KeyId::try_from("idle_limit").unwrap().key();
        let error = limit.parse("2d").unwrap_err();
        assert_eq!(error.kind, Kind::InvalidValue);
        assert!(error.detail.contains("1s to 1d"), "{}", error.detail);
    }
}
