//! Measures how memory, traffic and CPU time of every role grow with size, and
//! extrapolates them to the target size.
//!
//! Prints one JSON line per row and total; `--page` also writes the tables into docs/CAPACITY.md
//! and the plots beside it.

mod events;
mod fit;
mod group;
mod host;
mod page;
mod routing;
mod row;
mod settings;
mod size;

use std::path::PathBuf;

use bpaf::Bpaf;
use eyre::Result;
use serde::Serialize;

use self::row::{Measurement, Row, Total, sum_totals};
use self::size::{BUDGET, TARGET_SIZE};
use super::meter::CountingAllocator;

/// Options of the measurement.
#[derive(Debug, Clone, Bpaf)]
pub struct Options {
    /// Writes the tables between the markers of CAPACITY.md in this folder, and the plots beside it
    #[bpaf(long, argument("FOLDER"), optional)]
    page: Option<PathBuf>,
}

/// A line of the output.
#[derive(Debug, Serialize)]
#[serde(tag = "line", rename_all = "snake_case")]
enum Output<'a> {
    Size { budget: size::Budget, target: size::ClusterSize },
    Row(&'a Row),
    Total(&'a Total),
    Event(&'a events::Event),
}

/// Measures all rows, totals and events and prints them.
pub fn run(options: &Options, allocator: &CountingAllocator) -> Result<()> {
    let rows: Vec<Row> = measure_all(allocator)?.into_iter().map(Row::from).collect();
    let totals = sum_totals(&rows);
    print(&Output::Size { budget: BUDGET, target: TARGET_SIZE })?;
    for row in &rows {
        print(&Output::Row(row))?;
    }
    for total in &totals {
        print(&Output::Total(total))?;
    }
    let events = events::measure_events()?;
    for event in &events {
        print(&Output::Event(event))?;
    }
    if let Some(folder) = &options.page {
        page::write_page(folder, &rows, &totals, &events)?;
    }
    Ok(())
}

fn measure_all(allocator: &CountingAllocator) -> Result<Vec<Measurement>> {
    let mut measurements = host::measure(allocator);
    measurements.extend(routing::measure(allocator)?);
    measurements.extend(settings::measure(allocator)?);
    Ok(measurements)
}

fn print(line: &Output<'_>) -> Result<()> {
    println!("{}", serde_json::to_string(line)?);
    Ok(())
}
