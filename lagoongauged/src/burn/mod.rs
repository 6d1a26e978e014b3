//! Rendering of burn reports as a table or as one HTML page with plots.

mod page;
mod table;

pub use self::page::render_page;
pub use self::table::render_table;

use lagoongauge::burn::{BurnRate, BurnReport, ObjectiveReport};

/// Returns a sentence that states which hosts the report covers.
fn coverage(report: &BurnReport) -> String {
    let heard = report.heard.len();
    if report.missing.is_empty() {
        return format!("Figures of all {heard} entry hosts.");
    }
    let names: Vec<_> = report.missing.iter().map(ToString::to_string).collect();
    format!("Figures of {heard} entry hosts; MISSING: {}.", names.join(", "))
}

/// Formats a burn rate, with the covered share of its window if that is less than all of it.
fn burn_cell(rate: &BurnRate) -> String {
    let Some(burn) = rate.burn else {
        return "-".to_string();
    };
    if rate.covered < 1.0 {
        return format!("{burn:.1} ({:.0}%)", rate.covered * 100.0);
    }
    format!("{burn:.1}")
}

/// Formats the remaining share of the error budget.
fn budget_cell(line: &ObjectiveReport) -> String {
    line.budget.map_or_else(|| "-".to_string(), |budget| format!("{:.1}%", budget * 100.0))
}
