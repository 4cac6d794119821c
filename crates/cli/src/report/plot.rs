//! Draws requests and flows per second as an SVG plot, with the planned changes marked.

use std::path::Path;

use plotters::{
    coord::Shift,
    prelude::{
        BLACK, BLUE, ChartBuilder, DrawingArea, GREEN, IntoDrawingArea, LineSeries, MAGENTA,
        PathElement, RED, RGBColor, SVGBackend, WHITE,
    },
};

use super::{RunResult, Second};

/// Width and height of the picture, in pixels.
const SIZE_PX: (u32, u32) = (900, 640);

/// A line of a chart: label, color, and the count shown for each second.
struct Series(&'static str, RGBColor, fn(&Second) -> u64);

const REQUESTS: [Series; 3] = [
    Series("sent", BLACK, |s| s.sent),
    Series("answered", GREEN, |s| s.answered),
    Series("refused", BLUE, |s| s.refused),
];

const FLOWS: [Series; 2] = [
    Series("given up", MAGENTA, |s| s.given_up),
    Series("broken", RED, |s| s.broken),
];

/// Draws `run` and writes the picture to the file `svg`.
pub(super) fn draw(run: &RunResult, svg: &Path) -> Result<(), String> {
    let area = SVGBackend::new(svg, SIZE_PX).into_drawing_area();
    area.fill(&WHITE).map_err(error_text)?;
    let (upper, lower) = area.split_vertically(SIZE_PX.1 / 2);
    draw_chart(&upper, run, "Requests per second", &REQUESTS)?;
    draw_chart(&lower, run, "Flows that ended early, per second", &FLOWS)?;
    area.present().map_err(error_text)
}

fn draw_chart(
    area: &DrawingArea<SVGBackend<'_>, Shift>,
    run: &RunResult,
    caption: &str,
    series: &[Series],
) -> Result<(), String> {
    let seconds = &run.seconds;
    let end = seconds.keys().last().map_or(1, |last| last + 1);
    let values = seconds
        .values()
        .flat_map(|s| series.iter().map(|line| (line.2)(s)));
    let top = values.max().unwrap_or_default() + 1;
    let mut chart = ChartBuilder::on(area)
        .caption(caption, ("sans-serif", 16))
        .margin(10)
        .x_label_area_size(30)
        .y_label_area_size(50)
        .build_cartesian_2d(0..end, 0..top)
        .map_err(error_text)?;
    chart
        .configure_mesh()
        .x_desc("seconds")
        .draw()
        .map_err(error_text)?;
    for Series(name, color, value) in series {
        // The result file has no entry for a second without events.
        let points = (0..end).map(|at| (at, seconds.get(&at).map_or(0, value)));
        chart
            .draw_series(LineSeries::new(points, color))
            .map_err(error_text)?
            .label(*name)
            .legend(move |(x, y)| PathElement::new(vec![(x, y), (x + 16, y)], *color));
    }
    for change in &run.changes {
        let at = change.at_ms / 1_000;
        let marker = PathElement::new(vec![(at, 0), (at, top)], BLACK);
        chart.draw_series([marker]).map_err(error_text)?;
    }
    let mut labels = chart.configure_series_labels();
    labels.border_style(BLACK).background_style(WHITE);
    labels.draw().map_err(error_text)
}

fn error_text(error: impl std::fmt::Display) -> String {
    error.to_string()
}
