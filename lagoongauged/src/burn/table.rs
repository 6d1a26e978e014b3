//! Rendering of a burn report as a table for a terminal.

use std::fmt::Write;

use lagoongauge::burn::{BurnReport, ObjectiveReport, Window};

use super::{budget_cell, burn_cell, coverage};

/// Renders a report as a table; a burn rate over a window with partial data shows the covered share
/// of the window.
pub fn render_table(report: &BurnReport) -> String {
    let mut rows = vec![head_row()];
    rows.extend(report.lines.iter().map(objective_row));
    let mut text = String::new();
    for cells in &rows {
        let padded: Vec<_> = cells
            .iter()
            .zip(column_widths(&rows))
            .map(|(cell, width)| format!("{cell:<width$}"))
            .collect();
        writeln!(text, "{}", padded.join("  ").trim_end()).expect("writing to a string can't fail");
    }
    format!("{text}\nSettings version {}. {}\n", report.version, coverage(report))
}

fn head_row() -> Vec<String> {
    let mut cells = vec!["state".to_string(), "service".to_string(), "objective".to_string()];
    cells.push("goal".to_string());
    cells.extend(Window::ALL.iter().map(|window| format!("burn {}", window.name())));
    cells.push("budget left".to_string());
    cells
}

fn objective_row(line: &ObjectiveReport) -> Vec<String> {
    let mut cells = vec![line.alert.name().to_string(), line.name.clone()];
    cells.push(line.objective.to_string());
    cells.push(format!("{:.4}%", line.goal.0 * 100.0));
    cells.extend(line.rates.iter().map(burn_cell));
    cells.push(budget_cell(line));
    cells
}

fn column_widths(rows: &[Vec<String>]) -> Vec<usize> {
    let columns = rows.first().map_or(0, Vec::len);
    let width = |column: usize| rows.iter().map(|row| row[column].len()).max().unwrap_or_default();
    (0..columns).map(width).collect()
}
