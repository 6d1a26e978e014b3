//! Checks that docs/SETTINGS.md matches the table of keys.

use std::fs;

use expect_test::expect_file;
use lagoongauge::settings;

const HEAD: &str = "# Settings

Settings stand in a tree: the consortium `/`, members `/MEMBER` and services `/MEMBER/SERVICE`.
A key's value is that of the nearest level that sets it; where none does, the default holds. A level
may lock keys with `lock`, so that no level below sets them. Operators stand at `/operators/NAME`
and `/MEMBER/operators/NAME`, entry hosts at `/hosts/ID`. See [DESIGN.md](DESIGN.md) for the rules.

This page is written from the table of keys by a test:
`UPDATE_EXPECT=1 cargo test -p lagoongauge --test settings_page`.

";

#[test]
fn the_page_matches_the_table_of_keys() {
    let path = concat!(env!("CARGO_MANIFEST_DIR"), "/../docs/SETTINGS.md");
    assert!(fs::exists(path).unwrap(), "docs/SETTINGS.md is missing");
    expect_file![path].assert_eq(&format!("{HEAD}{}", settings::render_key_table()));
}
