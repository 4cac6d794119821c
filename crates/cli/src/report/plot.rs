//! The report as an SVG plot: requests and flows by second, with the changes marked.

use std::path::Path;

use plotters::{
    coord::Shift,
    prelude::{
        BLACK, BLUE, ChartBuilder, DrawingArea, GREEN, IntoDrawingArea, LineSeries, MAGENTA,
        PathElement, RED, RGBColor, SVGBackend, WHITE,
    },
};

use super::{Run, Second};

/// Size of the picture, in pixels.
const SIZE: (u32, u32) = (900, 640);

/// One line of a plot.
struct Line(&'static str, RGBColor, fn(&Second) -> u64);

const REQUESTS: [Line; 3] = [
    Line("sent", BLACK, |s| s.sent),
    Line("answered", GREEN, |s| s.answered),
    Line("refused", BLUE, |s| s.refused),
];

const FLOWS: [Line; 2] = [
    Line("given up", MAGENTA, |s| s.given_up),
    Line("broken", RED, |s| s.broken),
];

/// Draws `run` into the file `svg`.
pub(super) fn draw(run: &Run, svg: &Path) -> Result<(), String> {
    let area = SVGBackend::new(svg, SIZE).into_drawing_area();
    area.fill(&WHITE).map_err(text)?;
    let (upper, lower) = area.split_vertically(SIZE.1 / 2);
    chart(&upper, run, "Requests a second", &REQUESTS)?;
    chart(&lower, run, "Flows that ended early, a second", &FLOWS)?;
    area.present().map_err(text)
}

fn chart(
    area: &DrawingArea<SVGBackend<'_>, Shift>,
    run: &Run,
    caption: &str,
    lines: &[Line],
) -> Result<(), String> {
    let seconds = &run.seconds;
    let end = seconds.keys().last().map_or(1, |last| last + 1);
    let values = seconds
        .values()
        .flat_map(|s| lines.iter().map(|line| (line.2)(s)));
    let top = values.max().unwrap_or_default() + 1;
    let mut chart = ChartBuilder::on(area)
        .caption(caption, ("sans-serif", 16))
        .margin(10)
        .x_label_area_size(30)
        .y_label_area_size(50)
        .build_cartesian_2d(0..end, 0..top)
        .map_err(text)?;
    chart
        .configure_mesh()
        .x_desc("seconds")
        .draw()
        .map_err(text)?;
    for Line(name, color, value) in lines {
        // A second without an event has no record.
        let points = (0..end).map(|at| (at, seconds.get(&at).map_or(0, value)));
        chart
            .draw_series(LineSeries::new(points, color))
            .map_err(text)?
            .label(*name)
            .legend(move |(x, y)| PathElement::new(vec![(x, y), (x + 16, y)], *color));
    }
    for change in &run.changes {
        let at = change.at_ms / 1_000;
        let mark = PathElement::new(vec![(at, 0), (at, top)], BLACK);
        chart.draw_series([mark]).map_err(text)?;
    }
    let mut labels = chart.configure_series_labels();
    labels.border_style(BLACK).background_style(WHITE);
    labels.draw().map_err(text)
}

fn text(error: impl std::fmt::Display) -> String {
    error.to_string()
}
