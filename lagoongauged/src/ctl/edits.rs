//! Parses the arguments of `set` into edits.

use lagoongauge::error::{Error, Kind, Result};
use lagoongauge::settings::Edit;

/// Parses paths, each followed by `KEY=VALUE` and `~KEY`.
///
/// Fails with `Usage` for a key before any path, a path without keys, or any other word.
pub fn parse_edits(words: &[String]) -> Result<Vec<Edit>> {
    let mut edits = Vec::new();
    let mut path: Option<(&str, usize)> = None;
    for word in words {
        if word.starts_with('/') {
            check_has_edits(path, edits.len())?;
            path = Some((word, edits.len()));
            continue;
        }
        let (path, _) = path.ok_or_else(|| {
            Error::new(Kind::Usage, format!("{word:?} is not preceded by a path"))
        })?;
        edits.push(parse_edit(path, word)?);
    }
    check_has_edits(path, edits.len())?;
    Ok(edits)
}

fn check_has_edits(path: Option<(&str, usize)>, count: usize) -> Result<()> {
    match path {
        Some((path, start)) if start == count => {
            Err(Error::new(Kind::Usage, format!("path {path:?} is not followed by a key")))
        }
        _ => Ok(()),
    }
}

fn parse_edit(path: &str, word: &str) -> Result<Edit> {
    let path = path.to_string();
    if let Some(key) = word.strip_prefix('~') {
        return Ok(Edit::Unset { path, key: key.to_string() });
    }
    let (key, value) = word.split_once('=').ok_or_else(|| {
        Error::new(Kind::Usage, format!("{word:?} is not /PATH, KEY=VALUE or ~KEY"))
    })?;
    Ok(Edit::Set { path, key: key.to_string(), value: value.to_string() })
}

#[cfg(test)]
mod tests {
    use super::*;

    fn parse_line(line: &str) -> Result<Vec<Edit>> {
        parse_edits(&line.split(' ').map(str::to_string).collect::<Vec<_>>())
    }

    #[test]
    fn words_are_parsed_as_edits_of_the_preceding_path() {
        let edits = parse_line("/ lock=a /b ~c d=e=f").unwrap();
        assert_eq!(edits.len(), 3);
        let unset = Edit::Unset { path: "/b".into(), key: "c".into() };
        let set = Edit::Set { path: "/b".into(), key: "d".into(), value: "e=f".into() };
        assert_eq!(edits[1..], [unset, set]);
    }

    #[test]
    fn invalid_words_are_rejected() {
        for line in ["a=b", "/", "/a / b=c", "/a b"] {
            assert_eq!(parse_line(line).unwrap_err().kind, Kind::Usage, "{line}");
        }
    }
}
