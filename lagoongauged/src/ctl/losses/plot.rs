//! Draws the missed requests of each window, stacked by cause.

use eyre::{Context, Result};
use plotters::prelude::*;

use super::{CauseTotal, LossReport, WindowLosses};

/// Size of the plot in pixels.
const PLOT_PIXELS: (u32, u32) = (960, 360);

/// Colours of the costliest causes, in order; all others share [`OTHER_COLOUR`].
const COLOURS: [RGBColor; 6] = [
    RGBColor(31, 119, 180),
    RGBColor(214, 39, 40),
    RGBColor(255, 127, 14),
    RGBColor(44, 160, 44),
    RGBColor(148, 103, 189),
    RGBColor(140, 86, 75),
];

/// Colour of the causes without a colour of their own.
const OTHER_COLOUR: RGBColor = RGBColor(127, 127, 127);

/// Label of the causes without a colour of their own.
const OTHER_LABEL: &str = "other causes";

/// Part of a bar: its cause by rank, and the counts at which it begins and ends.
type Segment = (usize, u64, u64);

/// Renders the report as an SVG image; fails only if the image can't be drawn.
pub fn write_svg(report: &LossReport) -> Result<String> {
    let mut svg = String::new();
    let area = SVGBackend::with_string(&mut svg, PLOT_PIXELS).into_drawing_area();
    draw(report, &area).wrap_err("failed to draw the plot of the losses")?;
    drop(area);
    Ok(svg)
}

fn draw(
    report: &LossReport,
    area: &DrawingArea<SVGBackend<'_>, plotters::coord::Shift>,
) -> Result<()> {
    let bars: Vec<Vec<Segment>> =
        report.windows.iter().map(|window| stack(window, &report.causes)).collect();
    let highest = bars.iter().filter_map(|bar| bar.last()).map(|(_, _, end)| *end).max();
    let seconds = report.window_seconds * report.windows.len().max(1) as u64;
    area.fill(&WHITE)?;
    let mut chart = ChartBuilder::on(area)
        .caption("Requests answered late or not at all", ("sans-serif", 16))
        .margin(10)
        .x_label_area_size(34)
        .y_label_area_size(56)
        .build_cartesian_2d(0..seconds, 0..highest.unwrap_or(0).max(1))?;
    chart
        .configure_mesh()
        .disable_x_mesh()
        .x_desc("seconds since the first window")
        .y_desc("requests in a window")
        .draw()?;
    let ranks = report.causes.len().min(COLOURS.len() + 1);
    for rank in 0..ranks {
        let name = report.causes.get(rank).filter(|_| rank < COLOURS.len());
        let label = name.map_or(OTHER_LABEL, |total| total.cause.as_str());
        let colour = colour_of(rank);
        let parts = bars.iter().enumerate().flat_map(|(index, bar)| {
            let left = index as u64 * report.window_seconds;
            let right = left + report.window_seconds;
            let own = bar.iter().filter(move |(other, _, _)| *other == rank);
            own.map(move |(_, from, to)| {
                Rectangle::new([(left, *from), (right, *to)], colour.filled())
            })
        });
        chart
            .draw_series(parts)?
            .label(label)
            .legend(move |(x, y)| Rectangle::new([(x, y - 5), (x + 10, y + 5)], colour.filled()));
    }
    chart.configure_series_labels().border_style(BLACK).background_style(WHITE).draw()?;
    area.present()?;
    Ok(())
}

/// Stacks the causes of a window in the order of their totals.
fn stack(window: &WindowLosses, totals: &[CauseTotal]) -> Vec<Segment> {
    let mut parts: Vec<(usize, u64)> = window
        .causes()
        .iter()
        .map(|own| (rank_of(&own.cause, totals), own.missed.late + own.missed.lost))
        .collect();
    parts.sort_by_key(|(rank, _)| *rank);
    let mut top = 0;
    let stacked = parts.into_iter().map(|(rank, count)| {
        let from = top;
        top += count;
        (rank, from, top)
    });
    stacked.collect()
}

/// Returns the rank of a cause; causes without a colour of their own share the last one.
fn rank_of(cause: &str, totals: &[CauseTotal]) -> usize {
    let rank = totals.iter().position(|total| total.cause == cause);
    rank.unwrap_or(COLOURS.len()).min(COLOURS.len())
}

fn colour_of(rank: usize) -> RGBColor {
    COLOURS.get(rank).copied().unwrap_or(OTHER_COLOUR)
}
