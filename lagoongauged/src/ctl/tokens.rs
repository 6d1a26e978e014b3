//! Creates and rotates tokens; only their salted hashes are sent to the control hosts.

use lagoongauge::error::{Error, Kind};
use lagoongauge::settings::{Edit, Level, Path, Token, TokenHash};

use super::Failure;
use crate::control::client::{Client, Query, Reading};

/// A new token and the edits that activate it.
pub struct NewToken {
    /// Text of the token, shown once.
    pub text: String,
    /// Edits that store the token's hash.
    pub edits: Vec<Edit>,
}

/// Creates a token for an operator or a member's targets; its edits replace all existing ones.
pub fn create(path: &str, subtree: Option<String>) -> Result<NewToken, Failure> {
    let parsed_path = Path::try_from(path)?;
    let (token, hash) = generate(&parsed_path);
    let mut edits = Vec::new();
    if parsed_path.level() == Level::Operator {
        let default_subtree = parsed_path.parent().unwrap_or(Path::Root).to_string();
        edits.push(set_edit(path, "subtree", subtree.unwrap_or(default_subtree)));
    }
    edits.push(set_edit(path, token_key(&parsed_path)?, hash.to_string()));
    Ok(NewToken { text: token, edits })
}

/// Creates a second token and returns it with the settings version that its edits are based on;
/// the newest existing token stays valid.
pub fn rotate(client: &Client, path: &str) -> Result<(NewToken, u64), Failure> {
    let parsed_path = Path::try_from(path)?;
    let (token, hash) = generate(&parsed_path);
    let (reading, hashes) = read_hashes(client, path, token_key(&parsed_path)?)?;
    let newest = hashes.last().map_or_else(String::new, |newest| format!("{newest},"));
    let edits = vec![set_edit(path, token_key(&parsed_path)?, format!("{newest}{hash}"))];
    Ok((NewToken { text: token, edits }, reading.version))
}

/// Returns edits that revoke all tokens but the newest one, and the version they are based on.
pub fn finish(client: &Client, path: &str) -> Result<(Vec<Edit>, u64), Failure> {
    let parsed_path = Path::try_from(path)?;
    let (reading, hashes) = read_hashes(client, path, token_key(&parsed_path)?)?;
    let newest = hashes
        .last()
        .ok_or_else(|| Error::new(Kind::NotFound, format!("path {path} has no token")))?;
    Ok((vec![set_edit(path, token_key(&parsed_path)?, newest.clone())], reading.version))
}

fn generate(path: &Path) -> (String, TokenHash) {
    let token = Token::new(path.clone(), rand::random());
    let hash = TokenHash::new(rand::random(), &token.secret);
    let shown = match path.level() {
        Level::Operator => token.reveal(),
        _ => token.secret,
    };
    (shown, hash)
}

fn token_key(path: &Path) -> Result<&'static str, Failure> {
    match path.level() {
        Level::Operator => Ok("tokens"),
        Level::Member => Ok("target_tokens"),
        level => {
            let detail =
                format!("a {level} has no tokens; specify the path of an operator or a member");
            Err(Error::new(Kind::Usage, detail).into())
        }
    }
}

fn read_hashes(client: &Client, path: &str, key: &str) -> Result<(Reading, Vec<String>), Failure> {
    let reading = client.read(Query { operation: "get", path, since: 0, wait: 0 })?;
    let entry = reading.entries.iter().find(|entry| entry.key == key);
    let value = entry.map_or("", |entry| entry.value.as_str());
    let hashes = value.split(',').filter(|part| !part.is_empty()).map(str::to_string).collect();
    Ok((reading, hashes))
}

fn set_edit(path: &str, key: &str, value: impl Into<String>) -> Edit {
    Edit::Set { path: path.to_string(), key: key.to_string(), value: value.into() }
}
