//! Switches of mechanisms: their names, and their page for operators.

use std::fs;

use lagoongauge::mark::switches::{Mechanism, Switches};

#[test]
fn names_are_read_with_or_without_spaces() {
    let switches: Switches = "overload-limit, late-wait".parse().unwrap();
    assert!(!switches.is_on(Mechanism::OverloadLimit));
    assert!(!switches.is_on(Mechanism::LateWait));
    assert_eq!(switches.off().count(), 2);
    assert_eq!("".parse::<Switches>().unwrap(), Switches::default());
}

#[test]
fn an_unknown_name_is_refused_with_the_known_ones() {
    let error = "overload-limit,overlode".parse::<Switches>().unwrap_err().to_string();
    assert!(error.contains("overlode"), "{error}");
    assert!(Mechanism::ALL.iter().all(|mechanism| error.contains(mechanism.name())), "{error}");
}

#[test]
fn the_page_for_operators_lists_each_mechanism_once() {
    let path = concat!(env!("CARGO_MANIFEST_DIR"), "/../docs/OPERATIONS.md");
    let page = fs::read_to_string(path).unwrap();
    for mechanism in Mechanism::ALL {
        let row = format!("\n| `{}` |", mechanism.name());
        assert_eq!(page.matches(&row).count(), 1, "{}", mechanism.name());
    }
}
