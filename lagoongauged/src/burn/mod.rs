//! How a burn report is shown: as a table, or as one HTML page with plots.

mod page;
mod table;

pub use self::page::render_page;
pub use self::table::render_table;

use lagoongauge::burn::{BurnRate, BurnReport, ObjectiveReport};

/// Says in a sentence which hosts' figures the report holds.
fn coverage(report: &BurnReport) -> String {
    let heard = report.heard.len();
    if report.missing.is_empty() {
        return format!("Figures of all {heard} entry hosts.");
    }
    let names: Vec<_> = report.missing.iter().map(ToString::to_string).collect();
    format!("Figures of {heard} entry hosts; MISSING: {}.", names.join(", "))
}

/// Shows a burn rate with the share of its window that was counted, where that is not all.
fn burn_cell(rate: &BurnRate) -> String {
    let Some(burn) = rate.burn else {
        return "-".to_string();
    };
    if rate.covered < 1.0 {
        return format!("{burn:.1} ({:.0}%)", rate.covered * 100.0);
    }
    format!("{burn:.1}")
}

/// Shows the share of the error budget that is left.
fn budget_cell(line: &ObjectiveReport) -> String {
    line.budget.map_or_else(|| "-".to_string(), |budget| format!("{:.1}%", budget * 100.0))
}
