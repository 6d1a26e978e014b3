//! Typed values of settings and their text format.

use std::fmt;
use std::net::SocketAddr;

use ipnet::IpNet;
use serde::{Deserialize, Serialize};

use super::path::Path;
use super::token::TokenHash;
use crate::flow::Protocol;

/// Maximum number of entries in a list.
const MAX_LIST_LENGTH: usize = 64;

/// Units of a span with their length in milliseconds, longest first.
const SPAN_UNITS: &[(&str, u64)] =
    &[("d", 86_400_000), ("h", 3_600_000), ("m", 60_000), ("s", 1000), ("ms", 1)];

/// Type of a value.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Type {
    /// A whole number.
    Count,
    /// A span of time, stored in milliseconds.
    Span,
    /// A share, written in per cent and stored in parts per million.
    Share,
    /// A ratio, stored in thousandths.
    Ratio,
    /// An IP address with a port.
    Address,
    /// Networks in CIDR notation, separated by commas.
    Networks,
    /// Salted hashes of tokens, separated by commas.
    Tokens,
    /// `tcp` or `udp`.
    Protocol,
    /// Names of keys, separated by commas.
    Keys,
    /// A path of the tree.
    Path,
    /// `true` or `false`.
    Flag,
}

impl Type {
    /// Describes the accepted text format.
    pub const fn accepts(self) -> &'static str {
        match self {
            Self::Count => "a whole number",
            Self::Span => "a span such as 250ms, 30s, 5m, 1h or 2d",
            Self::Share => "a share in per cent with at most four decimals, such as 99.95%",
            Self::Ratio => "a ratio with at most three decimals, such as 1.25",
            Self::Address => "an address with a port, such as 192.0.2.1:443 or [2001:db8::1]:443",
            Self::Networks => "networks such as 10.1.0.0/16, separated by commas",
            Self::Tokens => "salted hashes as printed by lagoonctl token, separated by commas",
            Self::Protocol => "tcp or udp",
            Self::Keys => "names of keys, separated by commas",
            Self::Path => "a path such as / or /member/service",
            Self::Flag => "true or false",
        }
    }

    /// Parses a value from its text format; `None` if the text is not of this type.
    pub fn parse(self, text: &str) -> Option<Value> {
        match self {
            Self::Count => parse_integer(text).map(Value::Count),
            Self::Span => parse_span(text).map(Value::Span),
            Self::Share => parse_fixed_point(text.strip_suffix('%')?, 4).map(Value::Share),
            Self::Ratio => parse_fixed_point(text, 3).map(Value::Ratio),
            Self::Address => text.parse().ok().map(Value::Address),
            Self::Networks => parse_list(text, |part| part.parse().ok()).map(Value::Networks),
            Self::Tokens => {
                parse_list(text, |part| TokenHash::try_from(part).ok()).map(Value::Tokens)
            }
            Self::Protocol => parse_protocol(text).map(Value::Protocol),
            Self::Keys => parse_list(text, |part| Some(part.to_string())).map(Value::Keys),
            Self::Path => Path::try_from(text).ok().map(Value::Path),
            Self::Flag => text.parse().ok().map(Value::Flag),
        }
    }
}

/// Value of a setting; numbers are stored in the unit of their type.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Value {
    /// A whole number.
    Count(u64),
    /// Milliseconds.
    Span(u64),
    /// Parts per million.
    Share(u64),
    /// Thousandths.
    Ratio(u64),
    /// An address with a port.
    Address(SocketAddr),
    /// Networks.
    Networks(Vec<IpNet>),
    /// Salted hashes of tokens.
    Tokens(Vec<TokenHash>),
    /// A transport protocol.
    Protocol(Protocol),
    /// Names of keys.
    Keys(Vec<String>),
    /// A path of the tree.
    Path(Path),
    /// A flag.
    Flag(bool),
}

impl Value {
    /// Returns a number in the unit of its type, the length of a list, or 1 for other types.
    pub fn size(&self) -> u64 {
        match self {
            Self::Count(n) | Self::Span(n) | Self::Share(n) | Self::Ratio(n) => *n,
            Self::Networks(list) => list.len() as u64,
            Self::Tokens(list) => list.len() as u64,
            Self::Keys(list) => list.len() as u64,
            Self::Address(_) | Self::Protocol(_) | Self::Path(_) | Self::Flag(_) => 1,
        }
    }
}

impl fmt::Display for Value {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Count(n) => write!(f, "{n}"),
            Self::Span(n) => write_span(f, *n),
            Self::Share(n) => write!(f, "{}%", format_decimal(*n, 4)),
            Self::Ratio(n) => f.write_str(&format_decimal(*n, 3)),
            Self::Address(address) => write!(f, "{address}"),
            Self::Networks(list) => write_list(f, list),
            Self::Tokens(list) => write_list(f, list),
            Self::Protocol(Protocol::Tcp) => f.write_str("tcp"),
            Self::Protocol(Protocol::Udp) => f.write_str("udp"),
            Self::Keys(list) => write_list(f, list),
            Self::Path(path) => write!(f, "{path}"),
            Self::Flag(flag) => write!(f, "{flag}"),
        }
    }
}

fn parse_integer(text: &str) -> Option<u64> {
    let digits = !text.is_empty() && text.bytes().all(|b| b.is_ascii_digit());
    digits.then(|| text.parse().ok()).flatten()
}

fn parse_span(text: &str) -> Option<u64> {
    let start = text.find(|c: char| !c.is_ascii_digit())?;
    let (number, unit) = text.split_at(start);
    let (_, millis) = SPAN_UNITS.iter().find(|(name, _)| *name == unit)?;
    parse_integer(number)?.checked_mul(*millis)
}

fn parse_fixed_point(text: &str, digits: usize) -> Option<u64> {
    let (integer, fraction) = text.split_once('.').unwrap_or((text, ""));
    if fraction.len() > digits {
        return None;
    }
    let scale = 10_u64.pow(u32::try_from(digits).ok()?);
    let fraction_digits = parse_integer(&format!("{fraction:0<digits$}"))?;
    parse_integer(integer)?.checked_mul(scale)?.checked_add(fraction_digits)
}

fn parse_protocol(text: &str) -> Option<Protocol> {
    match text {
        "tcp" => Some(Protocol::Tcp),
        "udp" => Some(Protocol::Udp),
        _ => None,
    }
}

fn parse_list<T>(text: &str, parse: impl Fn(&str) -> Option<T>) -> Option<Vec<T>> {
    if text.is_empty() {
        return Some(Vec::new());
    }
    let parts: Vec<&str> = text.split(',').map(str::trim).collect();
    if parts.len() > MAX_LIST_LENGTH {
        return None;
    }
    parts.into_iter().map(parse).collect()
}

fn format_decimal(number: u64, digits: usize) -> String {
    let scale = 10_u64.pow(digits as u32);
    let text = format!("{}.{:0digits$}", number / scale, number % scale);
    text.trim_end_matches('0').trim_end_matches('.').to_string()
}

fn write_span(f: &mut fmt::Formatter<'_>, millis: u64) -> fmt::Result {
    let largest =
        SPAN_UNITS.iter().find(|(_, unit)| millis >= *unit && millis.is_multiple_of(*unit));
    let (name, unit) = largest.unwrap_or(&("ms", 1));
    write!(f, "{}{name}", millis / unit)
}

fn write_list<T: fmt::Display>(f: &mut fmt::Formatter<'_>, list: &[T]) -> fmt::Result {
    for (index, item) in list.iter().enumerate() {
        if index > 0 {
            f.write_str(",")?;
        }
        write!(f, "{item}")?;
    }
    Ok(())
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn values_round_trip() {
        let cases = [
            (Type::Count, "12"),
            (Type::Span, "250ms"),
            (Type::Span, "36h"),
            (Type::Share, "99.95%"),
            (Type::Ratio, "1.25"),
            (Type::Address, "[2001:db8::1]:443"),
            (Type::Networks, "10.1.0.0/16,10.2.0.0/16"),
            (Type::Protocol, "udp"),
            (Type::Keys, "max_flows,group"),
            (Type::Path, "/a/b"),
            (Type::Flag, "true"),
        ];
        for (kind, text) in cases {
            assert_eq!(kind.parse(text).unwrap().to_string(), text);
        }
    }

    #[test]
    fn values_without_unit_or_of_another_type_are_rejected() {
        let cases = [
            (Type::Count, "+1"),
            (Type::Span, "30"),
            (Type::Span, "99999999999999d"),
            (Type::Share, "99"),
            (Type::Share, "99.95001%"),
            (Type::Ratio, "1,25"),
            (Type::Address, "192.0.2.1"),
            (Type::Networks, "10.1.0.0"),
            (Type::Tokens, "secret"),
            (Type::Flag, "yes"),
        ];
        for (kind, text) in cases {
            assert_eq!(kind.parse(text), None, "{text}");
        }
    }
}
