//! Rendering of a burn report as one HTML page with SVG plots.

use std::fmt::Write;

use eyre::{Context, Result};
use plotters::prelude::*;

use lagoongauge::burn::{Alert, BurnReport, ObjectiveReport, Window};

use super::{budget_cell, burn_cell, coverage};

/// Size of a plot in pixels.
const PLOT_PIXELS: (u32, u32) = (520, 150);

/// Hours between two points of a plot.
const POINT_HOURS: f64 = 1.0 / 12.0;

/// Hours that a plot covers.
const PLOT_HOURS: f64 = 6.0;

/// Start of the page, up to the summary.
const PAGE_HEAD: &str = "<!doctype html><html lang=\"en\"><meta charset=\"utf-8\">\
<title>Service-level burn</title><style>\
body{font:15px sans-serif;margin:2em;max-width:72em}\
table{border-collapse:collapse}td,th{padding:.3em .7em;border-bottom:1px solid #ccc;text-align:left}\
.page{background:#c0392b;color:#fff}.warn{background:#e67e22;color:#fff}\
.notice{background:#f7dc6f}.partial,.nodata{background:#d5d8dc}.healthy{background:#abebc6}\
.missing{font-weight:bold;color:#c0392b}figure{margin:1em 0}figcaption{font-weight:bold}\
</style><h1>Service-level burn</h1>";

/// Renders a report as one self-contained HTML page.
pub fn render_page(report: &BurnReport) -> Result<String> {
    let mut page = PAGE_HEAD.to_string();
    let class = if report.missing.is_empty() { "all" } else { "missing" };
    let worst = report.worst_alert().name();
    write!(page, "<p>Worst state: <b>{worst}</b>. Settings version {}. ", report.version)?;
    write!(page, "<span class=\"{class}\">{}</span></p>", coverage(report))?;
    write_table(&mut page, report)?;
    page.push_str("<h2>Share of bad events, last 6 hours</h2>");
    page.push_str(
        "<p>The red line is the share that the goal allows; no point means no events.</p>",
    );
    for line in report.lines.iter().filter(|line| line.curve.iter().any(|point| point.total > 0)) {
        let title = format!("{} {}", escape_html(&line.name), line.objective);
        let plot =
            render_plot(line).wrap_err_with(|| format!("failed to render plot of {title}"))?;
        write!(page, "<figure><figcaption>{title}</figcaption>{plot}</figure>")?;
    }
    page.push_str("</html>\n");
    Ok(page)
}

fn write_table(page: &mut String, report: &BurnReport) -> Result<()> {
    page.push_str("<table><tr><th>state<th>service<th>objective<th>goal");
    for window in Window::ALL {
        write!(page, "<th>burn {}", window.name())?;
    }
    page.push_str("<th>budget left</tr>");
    for line in &report.lines {
        write!(page, "<tr><td class=\"{}\">{}", alert_class(line.alert), line.alert.name())?;
        write!(page, "<td>{}<td>{}", escape_html(&line.name), line.objective)?;
        write!(page, "<td>{:.4}%", line.goal.0 * 100.0)?;
        for rate in &line.rates {
            write!(page, "<td>{}", burn_cell(rate))?;
        }
        write!(page, "<td>{}</tr>", budget_cell(line))?;
    }
    page.push_str("</table>");
    Ok(())
}

fn render_plot(line: &ObjectiveReport) -> Result<String> {
    let points: Vec<(f64, f64)> = line
        .curve
        .iter()
        .enumerate()
        .filter_map(|(index, sample)| Some((-(index as f64) * POINT_HOURS, sample.error_ratio()?)))
        .collect();
    let budget = line.goal.error_budget();
    let highest = points.iter().map(|point| point.1).fold(2.0 * budget, f64::max);
    let mut svg = String::new();
    let area = SVGBackend::with_string(&mut svg, PLOT_PIXELS).into_drawing_area();
    let mut chart = ChartBuilder::on(&area)
        .margin(6)
        .x_label_area_size(28)
        .y_label_area_size(64)
        .build_cartesian_2d(-PLOT_HOURS..0.0, 0.0..highest * 1.05)?;
    chart
        .configure_mesh()
        .disable_x_mesh()
        .x_desc("hours ago")
        .x_label_formatter(&|hours| format!("{:.0}", hours.abs()))
        .y_label_formatter(&|share| format!("{:.3}%", share * 100.0))
        .y_labels(4)
        .draw()?;
    chart.draw_series(LineSeries::new([(-PLOT_HOURS, budget), (0.0, budget)], &RED))?;
    chart.draw_series(points.iter().map(|point| Circle::new(*point, 2, BLUE.filled())))?;
    area.present()?;
    drop(chart);
    drop(area);
    Ok(svg)
}

const fn alert_class(alert: Alert) -> &'static str {
    match alert {
        Alert::NoData => "nodata",
        _ => alert.name(),
    }
}

fn escape_html(text: &str) -> String {
    text.replace('&', "&amp;").replace('<', "&lt;").replace('>', "&gt;").replace('"', "&quot;")
}
