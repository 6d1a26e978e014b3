//! Parsing of flags and environment variables; errors name the flag, its value and the accepted
//! values.

use std::fmt::Display;
use std::str::FromStr;
use std::{fs, process};

use bpaf::{Args, OptionParser, ParseFailure};

use lagoongauge::error::{Error, Kind, Result};
use lagoongauge::wire::ClusterKey;

/// Exit code for an invalid command line.
const USAGE_EXIT_CODE: i32 = 2;

/// Width of help texts in columns.
const HELP_COLUMNS: usize = 100;

/// Parses the command line; prints the help or a usage error and exits if there is one.
pub fn parse_args<T>(parser: OptionParser<T>) -> T {
    match parser.run_inner(Args::current_args()) {
        Ok(value) => value,
        Err(failure) => {
            failure.print_message(HELP_COLUMNS);
            let is_error = matches!(failure, ParseFailure::Stderr(_));
            process::exit(if is_error { USAGE_EXIT_CODE } else { 0 })
        }
    }
}

/// Parses a required flag.
///
/// Fails with `Usage` if it is missing or invalid.
pub fn require<T: FromStr>(name: &str, value: Option<String>, accepted: &str) -> Result<T> {
    let value = value.ok_or_else(|| missing(name, accepted))?;
    value.trim().parse().map_err(|_| invalid(name, &format_args!("{value:?}"), accepted))
}

/// Reads the cluster key from its flag or from the file given by another flag. The key never
/// appears in an error.
///
/// Fails with `Usage` if both flags or neither are given, or the key is invalid.
pub fn read_key(text: Option<String>, file: Option<String>) -> Result<ClusterKey> {
    let accepted = "64 hexadecimal digits";
    let (name, text) = match (text, file) {
        (Some(text), None) => ("cluster-key", text),
        (None, Some(path)) => ("cluster-key-file", read_file(&path)?),
        _ => {
            let detail = format!(
                "one of {} and {} is required, but not both",
                flag_label("cluster-key"),
                flag_label("cluster-key-file")
            );
            return Err(Error::new(Kind::Usage, detail));
        }
    };
    let redacted = format!("{} characters, not shown", text.trim().len());
    ClusterKey::try_from(text.as_str()).map_err(|_| invalid(name, &redacted, accepted))
}

/// Builds the error for a missing flag.
pub fn missing(name: &str, accepted: &str) -> Error {
    Error::new(Kind::Usage, format!("{} is not given; accepted: {accepted}", flag_label(name)))
}

/// Builds the error for an invalid value of a flag.
pub fn invalid(name: &str, value: &dyn Display, accepted: &str) -> Error {
    Error::new(Kind::Usage, format!("{} is {value}; accepted: {accepted}", flag_label(name)))
}

/// Returns a flag's name with its environment variable.
fn flag_label(name: &str) -> String {
    format!("--{name} (LAGOON_{})", name.replace('-', "_").to_uppercase())
}

fn read_file(path: &str) -> Result<String> {
    fs::read_to_string(path).map_err(|error| {
        let value = format!("{path:?}, which could not be read ({error})");
        invalid("cluster-key-file", &value, "a file with 64 hexadecimal digits")
    })
}
