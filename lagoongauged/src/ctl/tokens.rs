//! Makes and rotates tokens; only their salted hashes go to the control hosts.

use lagoongauge::error::{Error, Kind};
use lagoongauge::settings::{Edit, Level, Path, Token, TokenHash};

use super::Failure;
use crate::control::client::{Client, Query, Reading};

/// A new token and the edits that make it valid.
pub struct Made {
    /// The token, shown once.
    pub token: String,
    /// What to change.
    pub edits: Vec<Edit>,
}

/// Makes the only token of an operator or of a member's targets.
pub fn make(path: &str, subtree: Option<String>) -> Result<Made, Failure> {
    let place = Path::try_from(path)?;
    let (token, hash) = fresh(&place);
    let mut edits = Vec::new();
    if place.level() == Level::Operator {
        let bound = place.parent().unwrap_or(Path::Root).to_string();
        edits.push(set(path, "subtree", subtree.unwrap_or(bound)));
    }
    edits.push(set(path, key(&place)?, hash.to_string()));
    Ok(Made { token, edits })
}

/// Makes a second token beside the newest one.
pub fn rotate(client: &Client, path: &str) -> Result<(Made, u64), Failure> {
    let place = Path::try_from(path)?;
    let (token, hash) = fresh(&place);
    let (reading, hashes) = current(client, path, key(&place)?)?;
    let newest = hashes.last().map_or_else(String::new, |newest| format!("{newest},"));
    let edits = vec![set(path, key(&place)?, format!("{newest}{hash}"))];
    Ok((Made { token, edits }, reading.version))
}

/// Keeps only the newest token.
pub fn finish(client: &Client, path: &str) -> Result<(Vec<Edit>, u64), Failure> {
    let place = Path::try_from(path)?;
    let (reading, hashes) = current(client, path, key(&place)?)?;
    let newest = hashes
        .last()
        .ok_or_else(|| Error::new(Kind::NotFound, format!("path {path} has no token")))?;
    Ok((vec![set(path, key(&place)?, newest.clone())], reading.version))
}

fn fresh(place: &Path) -> (String, TokenHash) {
    let token = Token::new(place.clone(), rand::random());
    let hash = TokenHash::new(rand::random(), &token.secret);
    let shown = match place.level() {
        Level::Operator => token.reveal(),
        _ => token.secret,
    };
    (shown, hash)
}

fn key(place: &Path) -> Result<&'static str, Failure> {
    match place.level() {
        Level::Operator => Ok("tokens"),
        Level::Member => Ok("target_tokens"),
        level => {
            let detail = format!("a {level} has no tokens; name an operator or a member");
            Err(Error::new(Kind::Usage, detail).into())
        }
    }
}

fn current(client: &Client, path: &str, key: &str) -> Result<(Reading, Vec<String>), Failure> {
    let reading = client.read(Query { operation: "get", path, since: 0, wait: 0 })?;
    let entry = reading.entries.iter().find(|entry| entry.key == key);
    let value = entry.map_or("", |entry| entry.value.as_str());
    let hashes = value.split(',').filter(|part| !part.is_empty()).map(str::to_string).collect();
    Ok((reading, hashes))
}

fn set(path: &str, key: &str, value: impl Into<String>) -> Edit {
    Edit::Set { path: path.to_string(), key: key.to_string(), value: value.into() }
}
