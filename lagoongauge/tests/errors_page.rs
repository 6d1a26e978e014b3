//! Checks that docs/ERRORS.md matches the table of error kinds.
//!
//! `UPDATE_EXPECT=1 cargo test -p lagoongauge --test errors_page` regenerates the page.

use std::collections::HashSet;
use std::fmt::Write;

use expect_test::expect_file;

use lagoongauge::error::{Kind, Ran, Retry};

const HEAD: &str = "# Errors

Every error that the system answers with is of one of these kinds. `ran` tells whether the work that
was asked for ran; a change whose outcome is unknown is asked again with the same request id, which
gives the true answer and never runs it twice. RPC errors carry the name of the kind, a colon and
what went wrong with which thing; programs print the same line and end with the exit code.

| kind | HTTP status | exit code | ran | ask again | meaning |
| --- | --- | --- | --- | --- | --- |
";

#[test]
fn the_page_matches_the_table() {
    let mut page = HEAD.to_string();
    for kind in Kind::ALL {
        let info = kind.info();
        let ran = match info.ran {
            Ran::No => "no",
            Ran::Yes => "yes",
            Ran::Unknown => "unknown",
        };
        let retry = match info.retry {
            Retry::Never => "no",
            Retry::Now => "at once",
            Retry::Later => "later",
        };
        writeln!(
            page,
            "| `{}` | {} | {} | {ran} | {retry} | {} |",
            info.name, info.status, info.exit, info.meaning
        )
        .expect("writing to a string cannot fail");
    }
    expect_file!["../../docs/ERRORS.md"].assert_eq(&page);
}

#[test]
fn names_are_unique_and_statuses_are_errors() {
    let mut names = HashSet::new();
    for kind in Kind::ALL {
        let info = kind.info();
        assert!(names.insert(info.name), "two kinds have the name {}", info.name);
        assert!((400..600).contains(&info.status), "{} has the status {}", info.name, info.status);
        assert_ne!(info.exit, 0, "{} has the exit code of success", info.name);
    }
}
