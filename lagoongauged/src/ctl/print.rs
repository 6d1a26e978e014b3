//! Prints results as tables or JSON lines.

use std::fmt::Display;
use std::io::{Write, stdout};
use std::process::exit;

use serde::Serialize;

use super::Failure;
use crate::control::client::{Overview, Reading};
use crate::control::{ControlView, EntryView};

/// Time without a report after which an entry host counts as unreachable, in milliseconds.
pub const UNREACHABLE_AFTER_MS: u64 = 15_000;

/// Prints a value as one JSON line.
pub fn json<T: Serialize>(value: &T) {
    line(serde_json::to_string(value).unwrap_or_default());
}

/// Prints settings as a table.
pub fn reading(reading: &Reading) {
    let current = if reading.current { "" } else { ", not confirmed as current" };
    line(format_args!("version {}{current}", reading.version));
    let rows = reading.entries.iter().map(|entry| {
        let origin = if entry.origin.is_empty() { "default" } else { &entry.origin };
        vec![entry.path.clone(), entry.key.clone(), entry.value.clone(), origin.to_string()]
    });
    table(&["PATH", "KEY", "VALUE", "SET BY"], rows.collect());
}

/// Prints the status of all hosts.
pub fn overview(overview: &Overview) {
    let leader = overview.controls.iter().find(|control| control.current);
    match leader {
        Some(leader) => {
            line(format_args!("version {}, host {} leads", leader.version, leader.host));
        }
        None => line(format_args!("version {}, no control host leads", overview.version)),
    }
    let controls = overview.controls.iter().map(control_row).collect();
    table(&["CONTROL", "CENTRE", "ROLE", "STATE", "VERSION", "TERM", "ADDRESS"], controls);
    hosts(overview);
    for entry in overview.entries.iter().filter(|entry| !entry.report.is_empty()) {
        line(format_args!("host {} reports {}", entry.host, entry.report));
    }
}

/// Prints the entry hosts as a table.
pub fn hosts(overview: &Overview) {
    let version = overview.controls.iter().map(|control| control.version).max();
    let version = version.unwrap_or(overview.version);
    let rows = overview.entries.iter().map(|entry| entry_row(entry, version)).collect();
    table(&["ENTRY", "CENTRE", "VERSION", "STATE", "UNCONFIRMED", "HEARD BY"], rows);
}

/// Prints the failure of a command: JSON to standard output, text to standard error.
pub fn failure(failure: &Failure, as_json: bool) {
    let fault = &failure.fault;
    if as_json {
        let info = fault.error.kind.info();
        json(&serde_json::json!({
            "error": info.name,
            "detail": fault.error.detail,
            "path": fault.path,
            "version": fault.version,
            "ran": format!("{:?}", info.ran).to_lowercase(),
            "retry": format!("{:?}", info.retry).to_lowercase(),
            "advice": failure.advice,
        }));
        return;
    }
    eprintln!("lagoonctl: {}", fault.error);
    if !fault.path.is_empty() {
        eprintln!("  path: {}", fault.path);
    }
    if fault.version > 0 {
        eprintln!("  current version: {}", fault.version);
    }
    if !failure.advice.is_empty() {
        eprintln!("  {}", failure.advice);
    }
}

/// Prints a line; exits if standard output is closed.
pub fn line(text: impl Display) {
    if writeln!(stdout(), "{text}").is_err() {
        exit(0);
    }
}

/// Prints rows in aligned columns.
pub fn table(headers: &[&str], rows: Vec<Vec<String>>) {
    let headers = headers.iter().map(ToString::to_string).collect();
    let rows: Vec<Vec<String>> = std::iter::once(headers).chain(rows).collect();
    let width =
        |column: usize| rows.iter().filter_map(|row| row.get(column)).map(String::len).max();
    let widths: Vec<usize> = (0..rows[0].len()).filter_map(width).collect();
    for row in &rows {
        let cells = row.iter().zip(&widths).map(|(cell, width)| format!("{cell:width$}"));
        line(cells.collect::<Vec<_>>().join("  ").trim_end());
    }
}

fn control_row(control: &ControlView) -> Vec<String> {
    let state = match (control.reachable, control.leads, control.current) {
        (false, ..) => "cut off",
        (_, true, true) => "leads",
        (_, true, false) => "leads without a lease",
        _ => "follows",
    };
    vec![
        control.host.to_string(),
        control.centre.to_string(),
        control.role.clone(),
        state.to_string(),
        control.version.to_string(),
        control.term.to_string(),
        control.address.clone(),
    ]
}

fn entry_row(entry: &EntryView, version: u64) -> Vec<String> {
    let state = match (entry.silent, entry.version) {
        (u64::MAX, _) => "never heard",
        (silent, _) if silent >= UNREACHABLE_AFTER_MS => "cut off",
        (_, applied) if applied < version => "behind",
        _ => "in force",
    };
    let seconds = |millis: u64| match millis {
        u64::MAX => "-".to_string(),
        millis => format!("{}s", millis / 1000),
    };
    vec![
        entry.host.to_string(),
        entry.centre.to_string(),
        entry.version.to_string(),
        state.to_string(),
        seconds(entry.unconfirmed),
        if entry.control == 0 { "-".to_string() } else { entry.control.to_string() },
    ]
}
