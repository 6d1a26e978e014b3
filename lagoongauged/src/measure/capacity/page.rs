//! Writes the tables and plots of docs/CAPACITY.md.

use std::fmt::Write;
use std::fs;
use std::path::Path;

use eyre::{Context, ContextCompat, Result};
use plotters::prelude::*;

use super::events::Event;
use super::row::{Resource, Row, Total};
use super::size::BUDGET;

/// Marker before the generated tables.
const TABLES_BEGIN: &str = "<!-- begin: lagoon-measure capacity -->";

/// Marker after the generated tables.
const TABLES_END: &str = "<!-- end: lagoon-measure capacity -->";

/// Width and height of one plot in pixels.
const PLOT_SIZE: (u32, u32) = (330, 200);

/// Plots per row of the image.
const PLOT_COLUMNS: usize = 3;

/// Writes the tables between the markers in CAPACITY.md and the plots into capacity.svg.
pub fn write_page(folder: &Path, rows: &[Row], totals: &[Total], events: &[Event]) -> Result<()> {
    let path = folder.join("CAPACITY.md");
    let page =
        fs::read_to_string(&path).wrap_err_with(|| format!("cannot read {}", path.display()))?;
    let (head, rest) = page
        .split_once(TABLES_BEGIN)
        .wrap_err("CAPACITY.md has no begin marker for the generated tables")?;
    let (_, tail) = rest
        .split_once(TABLES_END)
        .wrap_err("CAPACITY.md has no end marker for the generated tables")?;
    let tables = render_tables(rows, totals, events)?;
    fs::write(&path, format!("{head}{TABLES_BEGIN}\n\n{tables}\n{TABLES_END}{tail}"))?;
    fs::write(folder.join("capacity.svg"), render_plots(rows)?)?;
    Ok(())
}

fn render_tables(rows: &[Row], totals: &[Total], events: &[Event]) -> Result<String> {
    let mut text = String::new();
    writeln!(text, "| role | resource | at the target | budget | ratio | |")?;
    writeln!(text, "| --- | --- | --- | --- | --- | --- |")?;
    for total in totals {
        let (role, resource) = (total.role.name(), total.resource);
        let value = format_quantity(resource, total.total);
        let budget = format_quantity(resource, total.budget);
        let verdict = format_verdict(total.within_budget);
        writeln!(
            text,
            "| {role} | {} | {value} | {budget} | {:.3} | {verdict} |",
            resource_name(resource),
            total.ratio
        )?;
    }
    writeln!(
        text,
        "\n| role | what | per | slope | fixed | fit error | size at target | value | budget | ratio | | mechanism |"
    )?;
    writeln!(text, "| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |")?;
    for row in rows {
        write_row(&mut text, row)?;
    }
    write_events(&mut text, events)?;
    writeln!(text, "\n![Measured points and fitted lines](capacity.svg)")?;
    Ok(text)
}

fn write_events(text: &mut String, events: &[Event]) -> Result<()> {
    writeln!(
        text,
        "\n| event in one group | seconds | bytes a host | worst second of a host | budget | ratio | | a day, all groups |"
    )?;
    writeln!(text, "| --- | --- | --- | --- | --- | --- | --- | --- |")?;
    for event in events {
        let budget = BUDGET.byte_rate;
        let ratio = event.peak_bytes as f64 / budget;
        writeln!(
            text,
            "| {} | {:.1} | {:.0} | {} B | {budget:.0} B | {ratio:.3} | {} | {:.0} |",
            event.description,
            event.seconds,
            event.bytes,
            event.peak_bytes,
            format_verdict(event.within_budget),
            event.daily,
        )?;
    }
    Ok(())
}

fn write_row(text: &mut String, row: &Row) -> Result<()> {
    let suffix = if row.extrapolated { " (extrapolated)" } else { "" };
    writeln!(
        text,
        "| {} | {} ({}) | {} | {} | {} | {:.1}% | {}{suffix} | {} | {} | {:.4} | {} | {} |",
        row.role.name(),
        row.description,
        resource_name(row.resource),
        row.unit,
        format_number(row.fit.slope),
        format_number(row.fit.intercept),
        row.fit.max_error * 100.0,
        format_number(row.size),
        format_quantity(row.resource, row.value),
        format_quantity(row.resource, row.budget),
        row.ratio,
        format_verdict(row.within_budget),
        row.mechanism,
    )?;
    Ok(())
}

const fn resource_name(resource: Resource) -> &'static str {
    match resource {
        Resource::Processor => "processor",
        Resource::Memory => "memory",
        Resource::Network => "network",
    }
}

const fn format_verdict(within_budget: bool) -> &'static str {
    if within_budget { "held" } else { "**not held**" }
}

/// Formats a value with its unit.
fn format_quantity(resource: Resource, value: f64) -> String {
    match resource {
        Resource::Processor => format!("{:.4}% of a core", value * 100.0),
        Resource::Memory => format!("{:.2} MiB", value / (1024.0 * 1024.0)),
        Resource::Network => format!("{value:.0} B/s"),
    }
}

/// Formats a number with about three significant digits.
fn format_number(value: f64) -> String {
    if value != 0.0 && (value.abs() < 0.01 || value.abs() >= 1e7) {
        return format!("{value:.2e}");
    }
    if value.abs() >= 100.0 { format!("{value:.0}") } else { format!("{value:.2}") }
}

fn render_plots(rows: &[Row]) -> Result<String> {
    let plot_rows = rows.len().div_ceil(PLOT_COLUMNS);
    let size = (PLOT_SIZE.0 * PLOT_COLUMNS as u32, PLOT_SIZE.1 * plot_rows as u32);
    let mut svg = String::new();
    {
        let area = SVGBackend::with_string(&mut svg, size).into_drawing_area();
        area.fill(&WHITE)?;
        let cells = area.split_evenly((plot_rows, PLOT_COLUMNS));
        for (row, cell) in rows.iter().zip(&cells) {
            draw_plot(row, cell)
                .wrap_err_with(|| format!("cannot draw the plot of {}", row.description))?;
        }
        area.present()?;
    }
    Ok(svg)
}

fn draw_plot(row: &Row, cell: &DrawingArea<SVGBackend<'_>, plotters::coord::Shift>) -> Result<()> {
    let max_x = row.points.iter().map(|point| point.0).fold(0.0, f64::max);
    let max_y = row.points.iter().map(|point| point.1).fold(f64::MIN_POSITIVE, f64::max);
    let title = format!("{}: {}", row.role.name(), row.description);
    let mut chart = ChartBuilder::on(cell)
        .caption(title, ("sans-serif", 11))
        .margin(8)
        .x_label_area_size(30)
        .y_label_area_size(56)
        .build_cartesian_2d(0.0..max_x * 1.05, 0.0..max_y * 1.1)?;
    chart
        .configure_mesh()
        .light_line_style(WHITE)
        .x_desc(row.unit.as_str())
        .y_desc(row.resource.unit())
        .x_labels(5)
        .y_labels(4)
        .x_label_formatter(&|value| format_number(*value))
        .y_label_formatter(&|value| format_number(*value))
        .draw()?;
    let line = [0.0, max_x].map(|size| (size, row.fit.value_at(size)));
    chart.draw_series(LineSeries::new(line, &RED))?;
    chart.draw_series(row.points.iter().map(|point| Circle::new(*point, 3, BLUE.filled())))?;
    Ok(())
}
