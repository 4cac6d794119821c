//! Plots the requests and flows per second of a result as SVG, with a vertical line at each step.

use std::path::Path;

use displaydoc::Display;
use plotters::{
    coord::Shift,
    prelude::{
        BLACK, BLUE, ChartBuilder, DrawingArea, GREEN, IntoDrawingArea, LineSeries, MAGENTA,
        PathElement, RED, RGBColor, SVGBackend, WHITE,
    },
};

use super::report::Report;
use crate::caller::Second;

/// Width and height of the picture, in pixels.
const PLOT_SIZE_PX: (u32, u32) = (900, 640);

/// Reason why a plot can't be drawn.
#[derive(Debug, Display)]
pub enum Error {
    /// plot can't be drawn: {0}
    Draw(String),
}

impl std::error::Error for Error {}

/// One line of a plot.
struct Line {
    name: &'static str,
    color: RGBColor,
    value: fn(&Second) -> u64,
}

const REQUESTS: [Line; 4] = [
    Line {
        name: "sent",
        color: BLACK,
        value: |s| s.sent,
    },
    Line {
        name: "answered",
        color: GREEN,
        value: |s| s.answered,
    },
    Line {
        name: "refused",
        color: BLUE,
        value: |s| s.refused,
    },
    Line {
        name: "unknown",
        color: RED,
        value: |s| s.unknown,
    },
];

const FLOWS: [Line; 3] = [
    Line {
        name: "opened",
        color: GREEN,
        value: |s| s.opened,
    },
    Line {
        name: "given up",
        color: MAGENTA,
        value: |s| s.given_up,
    },
    Line {
        name: "broken",
        color: RED,
        value: |s| s.broken,
    },
];

/// Draws a result into the file `svg`.
///
/// # Errors
///
/// Fails when the file can't be written.
pub fn draw(report: &Report, svg: &Path) -> Result<(), Error> {
    let area = SVGBackend::new(svg, PLOT_SIZE_PX).into_drawing_area();
    let failed = |e: &dyn std::fmt::Display| Error::Draw(e.to_string());
    area.fill(&WHITE).map_err(|e| failed(&e))?;
    let (upper, lower) = area.split_vertically(PLOT_SIZE_PX.1 / 2);
    chart(&upper, report, "requests a second", &REQUESTS)?;
    chart(&lower, report, "flows a second", &FLOWS)?;
    area.present().map_err(|e| failed(&e))
}

fn chart(
    area: &DrawingArea<SVGBackend<'_>, Shift>,
    report: &Report,
    caption: &str,
    lines: &[Line],
) -> Result<(), Error> {
    let failed = |e: &dyn std::fmt::Display| Error::Draw(e.to_string());
    let seconds = &report.seconds;
    let last = seconds.keys().last().copied().unwrap_or_default() + 1;
    let all = seconds
        .values()
        .flat_map(|s| lines.iter().map(|line| (line.value)(s)));
    let top = all.max().unwrap_or_default() + 1;
    let title = format!("{}: {caption}", report.experiment.name);
    let mut chart = ChartBuilder::on(area)
        .caption(title, ("sans-serif", 16))
        .margin(10)
        .x_label_area_size(30)
        .y_label_area_size(50)
        .build_cartesian_2d(0..last, 0..top)
        .map_err(|e| failed(&e))?;
    let mut mesh = chart.configure_mesh();
    mesh.x_desc("seconds").draw().map_err(|e| failed(&e))?;
    for line in lines {
        let color = line.color;
        // A second without events has no entry, and counts as 0.
        let points = (0..last).map(|at| (at, seconds.get(&at).map_or(0, line.value)));
        chart
            .draw_series(LineSeries::new(points, &color))
            .map_err(|e| failed(&e))?
            .label(line.name)
            .legend(move |(x, y)| PathElement::new(vec![(x, y), (x + 16, y)], color));
    }
    for change in &report.changes {
        let at = change.at_ms / 1_000;
        let mark = PathElement::new(vec![(at, 0), (at, top)], MAGENTA);
        chart.draw_series([mark]).map_err(|e| failed(&e))?;
    }
    let mut labels = chart.configure_series_labels();
    labels.border_style(BLACK).background_style(WHITE);
    labels.draw().map_err(|e| failed(&e))
}
